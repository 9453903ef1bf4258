//! The table of endpoints that one entry knows about.

use std::collections::{BTreeMap, BTreeSet};

use lentil_core::{BootId, EndpointId, EntryId, HostId, ModelId, ServiceName, Span, Time, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::eligibility::{Eligibility, Facts, eligibility};
use crate::link::LinkHealth;
use crate::subset::{Candidate, Location, choose_subset};

/// Limits of the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberLimits {
    /// Maximum number of endpoints in the table.
    pub members_max: usize,
    /// Maximum number of agents of one group that an entry keeps links to.
    pub subset_max: usize,
    /// How long an agent's report stays valid.
    pub report_lease: Span,
    /// Longest time between two ticks; a longer gap means that the process was
    /// paused.
    pub pause_max: Span,
    /// Longest time that a process waits after a pause for its configuration to
    /// be confirmed.
    pub confirm_timeout: Span,
    /// Upper bound of each entry's delay before it sends work to an endpoint that
    /// is back in service; it differs by entry, so that load returns gradually.
    pub return_jitter_max: Span,
    /// A link is slow when its round trips take longer than this.
    pub slow_round_trip: Span,
}

impl Default for MemberLimits {
    fn default() -> Self {
        Self {
            members_max: 4_096,
            subset_max: 48,
            report_lease: Span::from_s(15),
            pause_max: Span::from_s(2),
            confirm_timeout: Span::from_s(2),
            return_jitter_max: Span::from_s(3),
            slow_round_trip: Span::from_ms(250),
        }
    }
}

/// A group of endpoints that can serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Group {
    /// Engines that serve a model.
    Model(ModelId),
    /// Replicas of a plain service.
    Service(ServiceName),
}

/// One endpoint in the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The endpoint's identifier.
    pub endpoint: EndpointId,
    /// The host that it runs on.
    pub host: HostId,
    /// Availability zone and region of the host.
    pub location: Location,
    /// The groups that it serves.
    pub groups: BTreeSet<Group>,
    /// Address of its agent, as IP:PORT.
    pub address: String,
    /// Whether the platform is about to reclaim the host.
    pub leaving: bool,
}

/// What operators took out of service in the configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutOfService {
    /// Availability zones out of service.
    pub zones_out: BTreeSet<ZoneId>,
    /// Endpoints out of service.
    pub endpoints_out: BTreeSet<EndpointId>,
}

/// The state that an agent reports for its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// Recently started, or cold again.
    Cold,
    /// Can handle its full load.
    Warm,
    /// About to stop.
    Leaving,
    /// Does not answer its agent.
    Down,
}

/// An input of the member table.
#[derive(Debug, Clone)]
pub enum Event {
    /// The host list was read.
    HostListRead(Vec<ListedEndpoint>),
    /// An agent reported.
    Report {
        /// The agent's endpoint.
        endpoint: EndpointId,
        /// The agent's boot; reports of an older boot are ignored.
        boot: BootId,
        /// Sequence number of the report within its boot.
        sequence: u64,
        /// The reported state.
        state: ReportedState,
    },
    /// A link failed, or no message arrived over it in time.
    LinkFailed(EndpointId),
    /// A round trip to an agent was measured.
    RoundTrip(EndpointId, Span),
    /// The out-of-service list of the configuration in force.
    OutOfService(OutOfService),
    /// A peer or the log just confirmed that the configuration is current.
    ConfigurationConfirmed,
    /// Time has passed. The caller must send a tick at least once per half of
    /// `pause_max`.
    Tick,
}

/// Event counts for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Endpoints not added because the table was full.
    pub members_dropped: u64,
    /// Reports from an older boot or out of order.
    pub stale_reports: u64,
    /// Links that failed or stalled.
    pub link_failures: u64,
    /// Detected pauses of this process.
    pub pauses: u64,
}

#[derive(Debug, Clone)]
struct Member {
    listed: Option<ListedEndpoint>,
    location: Location,
    groups: BTreeSet<Group>,
    boot: BootId,
    sequence: u64,
    state: ReportedState,
    report_valid_until: Time,
    leaving_boot: Option<BootId>,
    /// As last stated by the host list; stays set when the endpoint disappears
    /// from the list.
    listed_leaving: bool,
    /// When this entry may send work again after a return to service.
    opens_at: Time,
    link: LinkHealth,
}

/// The member table of one entry.
#[derive(Debug)]
pub struct MemberTable {
    entry: EntryId,
    local: Location,
    limits: MemberLimits,
    out_of_service: OutOfService,
    members: BTreeMap<EndpointId, Member>,
    pause_deadline: Time,
    confirm_deadline: Option<Time>,
    counters: Counters,
}

impl MemberTable {
    /// Creates an empty table.
    #[must_use]
    pub fn new(now: Time, entry: EntryId, local: Location, limits: MemberLimits) -> Self {
        Self {
            entry,
            local,
            out_of_service: OutOfService::default(),
            members: BTreeMap::new(),
            pause_deadline: now + limits.pause_max,
            confirm_deadline: None,
            counters: Counters::default(),
            limits,
        }
    }

    /// Applies an event.
    pub fn on(&mut self, now: Time, event: Event) {
        match event {
            Event::HostListRead(list) => self.on_host_list(list),
            Event::Report {
                endpoint,
                boot,
                sequence,
                state,
            } => self.on_report(now, &endpoint, (boot, sequence), state),
            Event::LinkFailed(endpoint) => self.on_link_failed(now, &endpoint),
            Event::RoundTrip(endpoint, span) => {
                if let Some(member) = self.members.get_mut(&endpoint) {
                    member
                        .link
                        .record_round_trip(span, self.limits.slow_round_trip);
                }
            }
            Event::OutOfService(out_of_service) => self.on_out_of_service(now, out_of_service),
            Event::ConfigurationConfirmed => {
                if !self.pause_deadline.has_passed(now) {
                    self.confirm_deadline = None;
                }
            }
            Event::Tick => self.on_tick(now),
        }
    }

    /// Which work an endpoint may receive at this moment.
    #[must_use]
    pub fn eligibility(&self, now: Time, endpoint: &EndpointId) -> Eligibility {
        match self.members.get(endpoint) {
            Some(member) => eligibility(now, &self.facts(now, endpoint, member)),
            None => Eligibility::Ineligible(crate::IneligibleReason::Gone),
        }
    }

    /// All endpoints with their location and eligibility.
    pub fn endpoints(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&EndpointId, &Location, Eligibility)> {
        self.members.iter().map(move |(endpoint, member)| {
            let member_eligibility = eligibility(now, &self.facts(now, endpoint, member));
            (endpoint, &member.location, member_eligibility)
        })
    }

    /// The endpoint as it appears in the last host list.
    #[must_use]
    pub fn listed_endpoint(&self, endpoint: &EndpointId) -> Option<&ListedEndpoint> {
        self.members.get(endpoint)?.listed.as_ref()
    }

    /// The agents of a group that this entry keeps links to, those of its own
    /// availability zone first.
    #[must_use]
    pub fn subset(&self, now: Time, group: &Group) -> Vec<EndpointId> {
        let candidates: Vec<Candidate<'_>> = self
            .members
            .iter()
            .filter(|(endpoint, member)| {
                member.groups.contains(group)
                    && eligibility(now, &self.facts(now, endpoint, member)).keeps_link()
            })
            .map(|(endpoint, member)| Candidate {
                endpoint,
                location: &member.location,
            })
            .collect();
        choose_subset(
            &self.entry,
            &self.local,
            &candidates,
            self.limits.subset_max,
        )
    }

    /// Event counts for metrics.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    fn facts(&self, now: Time, endpoint: &EndpointId, member: &Member) -> Facts {
        Facts {
            paused: self.pause_deadline.has_passed(now) || self.confirm_deadline.is_some(),
            endpoint_out: self.out_of_service.endpoints_out.contains(endpoint),
            zone_out: self
                .out_of_service
                .zones_out
                .contains(&member.location.zone),
            leaving: member.listed_leaving || member.leaving_boot == Some(member.boot),
            listed: member.listed.is_some(),
            report_valid: !member.report_valid_until.has_passed(now),
            reported_down: member.state == ReportedState::Down,
            cold: member.state == ReportedState::Cold,
            slow: member.link.is_slow(),
            link: member.link.status(now),
            opens_at: member.opens_at,
        }
    }

    fn on_host_list(&mut self, list: Vec<ListedEndpoint>) {
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for listed in list {
            if let Some(member) = self.members.get_mut(&listed.endpoint) {
                member.location = listed.location.clone();
                member.groups.clone_from(&listed.groups);
                member.listed_leaving = listed.leaving;
                member.listed = Some(listed);
            } else if self.members.len() < self.limits.members_max {
                self.members
                    .insert(listed.endpoint.clone(), Member::new(listed));
            } else {
                self.counters.members_dropped += 1;
            }
        }
    }

    fn on_report(
        &mut self,
        now: Time,
        endpoint: &EndpointId,
        report_id: (BootId, u64),
        state: ReportedState,
    ) {
        let report_valid_until = now + self.limits.report_lease;
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        if report_id < (member.boot, member.sequence) {
            self.counters.stale_reports += 1;
            return;
        }
        (member.boot, member.sequence) = report_id;
        member.report_valid_until = report_valid_until;
        member.link.record_message(now);
        if state == ReportedState::Leaving {
            member.leaving_boot = Some(member.boot);
        }
        member.state = state;
    }

    fn on_link_failed(&mut self, now: Time, endpoint: &EndpointId) {
        let jitter = self.jitter(endpoint.as_str(), now.as_us());
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        self.counters.link_failures += 1;
        member.report_valid_until = now;
        member.link.record_failure(now, jitter);
    }

    /// Replaces the out-of-service list. An endpoint that is back in service
    /// opens after a delay derived from this entry's name.
    fn on_out_of_service(&mut self, now: Time, out_of_service: OutOfService) {
        let before = std::mem::replace(&mut self.out_of_service, out_of_service);
        let jitter_max_us = self.limits.return_jitter_max.as_us().max(1);
        let returned: Vec<EndpointId> = self
            .members
            .iter()
            .filter(|(endpoint, member)| {
                before.covers(&member.location.zone, endpoint)
                    && !self.out_of_service.covers(&member.location.zone, endpoint)
            })
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in returned {
            let jitter_us = self.jitter(endpoint.as_str(), 0) % jitter_max_us;
            if let Some(member) = self.members.get_mut(&endpoint) {
                member.opens_at = now + Span::from_us(jitter_us);
            }
        }
    }

    fn on_tick(&mut self, now: Time) {
        if self.pause_deadline.has_passed(now) {
            self.counters.pauses += 1;
            self.confirm_deadline = Some(now + self.limits.confirm_timeout);
        }
        self.pause_deadline = now + self.limits.pause_max;
        if self
            .confirm_deadline
            .is_some_and(|until| until.has_passed(now))
        {
            self.confirm_deadline = None;
        }
        self.members.retain(|_, member| {
            member.listed.is_some() || !member.report_valid_until.has_passed(now)
        });
    }

    fn jitter(&self, text: &str, seed: u64) -> u64 {
        let entry_hash = xxh3_64_with_seed(self.entry.as_str().as_bytes(), seed);
        xxh3_64_with_seed(text.as_bytes(), entry_hash)
    }
}

impl OutOfService {
    /// Whether an endpoint is out of service, by itself or with its availability
    /// zone.
    #[must_use]
    pub fn covers(&self, zone: &ZoneId, endpoint: &EndpointId) -> bool {
        self.zones_out.contains(zone) || self.endpoints_out.contains(endpoint)
    }
}

impl Member {
    fn new(listed: ListedEndpoint) -> Self {
        Self {
            location: listed.location.clone(),
            groups: listed.groups.clone(),
            listed_leaving: listed.leaving,
            listed: Some(listed),
            boot: BootId::default(),
            sequence: 0,
            state: ReportedState::Cold,
            report_valid_until: Time::ZERO,
            leaving_boot: None,
            opens_at: Time::ZERO,
            link: LinkHealth::default(),
        }
    }
}
