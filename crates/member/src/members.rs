//! The endpoints that one entry knows of.

use std::collections::{BTreeMap, BTreeSet};

use lentil_core::{BootId, EndpointId, EntryId, HostId, ModelId, ServiceName, Span, Time, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::eligibility::{Eligibility, Facts, eligibility};
use crate::link::Link;
use crate::subset::{Candidate, Location, choose_subset};

/// Limits of the member table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberLimits {
    /// Most endpoints held.
    pub members_max: usize,
    /// Most agents of one group that an entry keeps links to.
    pub subset_max: usize,
    /// How long a word of an agent counts.
    pub lease: Span,
    /// Longest time between two ticks of a process that wasn't stopped.
    pub pause_max: Span,
    /// Longest wait after a pause for news of the configuration.
    pub confirm_timeout: Span,
    /// Entries open an endpoint that returns spread over this time.
    pub return_jitter_max: Span,
    /// A link with longer round trips is slow.
    pub slow_above: Span,
}

impl Default for MemberLimits {
    fn default() -> Self {
        Self {
            members_max: 4_096,
            subset_max: 48,
            lease: Span::from_s(15),
            pause_max: Span::from_s(2),
            confirm_timeout: Span::from_s(2),
            return_jitter_max: Span::from_s(3),
            slow_above: Span::from_ms(250),
        }
    }
}

/// Endpoints that can serve the same requests.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Group {
    /// Engines that serve a model.
    Model(ModelId),
    /// Replicas of a plain service.
    Service(ServiceName),
}

/// One line of the platform's host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Its host.
    pub host: HostId,
    /// Where it is.
    pub location: Location,
    /// What it serves.
    pub groups: BTreeSet<Group>,
    /// Where its agent answers, as IP:PORT.
    pub address: String,
    /// Whether the platform is about to take the host away.
    pub leaving: bool,
}

/// What operators ordered, from the configuration in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutOfService {
    /// Availability zones out of service.
    pub zones_out: BTreeSet<ZoneId>,
    /// Endpoints out of service.
    pub endpoints_out: BTreeSet<EndpointId>,
}

/// What an agent says of its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// Started a moment ago, or cold again.
    Cold,
    /// Bears its full load.
    Warm,
    /// About to stop.
    Leaving,
    /// The endpoint doesn't answer its agent.
    Down,
}

/// What happened.
#[derive(Debug, Clone)]
pub enum Event {
    /// The host list was read.
    HostListRead(Vec<ListedEndpoint>),
    /// An agent reported.
    Report {
        /// Its endpoint.
        endpoint: EndpointId,
        /// The agent's boot; an older one is not listened to.
        boot: BootId,
        /// Counts the reports of a boot.
        sequence: u64,
        /// What it says.
        state: ReportedState,
    },
    /// A link failed, or nothing came over it in time.
    LinkFailed(EndpointId),
    /// A round trip was measured.
    RoundTrip(EndpointId, Span),
    /// The configuration in force says what is out.
    OutOfService(OutOfService),
    /// Peer or log confirmed the configuration a moment ago.
    ConfigurationConfirmed,
    /// Time has passed; due at least every half of `pause_max`.
    Tick,
}

/// Counts of what happened, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Endpoints left out because the table was full.
    pub members_dropped: u64,
    /// Reports of an older boot, or out of order.
    pub stale_reports: u64,
    /// Links that failed or stalled.
    pub link_failures: u64,
    /// Pauses of this process noticed.
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
    heard_until: Time,
    leaving_boot: Option<BootId>,
    /// As the host list said last; a line that is gone takes nothing back.
    listed_leaving: bool,
    opens_at: Time,
    link: Link,
}

/// The member table of one entry.
#[derive(Debug)]
pub struct MemberTable {
    me: EntryId,
    home: Location,
    limits: MemberLimits,
    orders: OutOfService,
    members: BTreeMap<EndpointId, Member>,
    awake_until: Time,
    confirm_until: Option<Time>,
    counters: Counters,
}

impl MemberTable {
    /// An empty table.
    #[must_use]
    pub fn new(now: Time, me: EntryId, home: Location, limits: MemberLimits) -> Self {
        Self {
            me,
            home,
            orders: OutOfService::default(),
            members: BTreeMap::new(),
            awake_until: now + limits.pause_max,
            confirm_until: None,
            counters: Counters::default(),
            limits,
        }
    }

    /// Takes an event.
    pub fn on(&mut self, now: Time, event: Event) {
        match event {
            Event::HostListRead(list) => self.on_listed(list),
            Event::Report {
                endpoint,
                boot,
                sequence,
                state,
            } => self.on_report(now, &endpoint, (boot, sequence), state),
            Event::LinkFailed(endpoint) => self.on_link_failed(now, &endpoint),
            Event::RoundTrip(endpoint, span) => {
                if let Some(member) = self.members.get_mut(&endpoint) {
                    member.link.sample(span, self.limits.slow_above);
                }
            }
            Event::OutOfService(orders) => self.on_orders(now, orders),
            Event::ConfigurationConfirmed => {
                if !self.awake_until.has_passed(now) {
                    self.confirm_until = None;
                }
            }
            Event::Tick => self.on_tick(now),
        }
    }

    /// What an endpoint may be given at this moment.
    #[must_use]
    pub fn eligibility(&self, now: Time, endpoint: &EndpointId) -> Eligibility {
        match self.members.get(endpoint) {
            Some(member) => eligibility(now, &self.facts(now, endpoint, member)),
            None => Eligibility::Ineligible(crate::IneligibleReason::Gone),
        }
    }

    /// All endpoints with their standing.
    pub fn endpoints(
        &self,
        now: Time,
    ) -> impl Iterator<Item = (&EndpointId, &Location, Eligibility)> {
        self.members.iter().map(move |(endpoint, member)| {
            let standing = eligibility(now, &self.facts(now, endpoint, member));
            (endpoint, &member.location, standing)
        })
    }

    /// The line of the host list for an endpoint.
    #[must_use]
    pub fn listed_endpoint(&self, endpoint: &EndpointId) -> Option<&ListedEndpoint> {
        self.members.get(endpoint)?.listed.as_ref()
    }

    /// The agents of a group that this entry keeps links to, own zone first.
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
        choose_subset(&self.me, &self.home, &candidates, self.limits.subset_max)
    }

    /// Counts for metrics.
    #[must_use]
    pub const fn counters(&self) -> Counters {
        self.counters
    }

    fn facts(&self, now: Time, endpoint: &EndpointId, member: &Member) -> Facts {
        Facts {
            paused: self.awake_until.has_passed(now) || self.confirm_until.is_some(),
            endpoint_out: self.orders.endpoints_out.contains(endpoint),
            zone_out: self.orders.zones_out.contains(&member.location.zone),
            leaving: member.listed_leaving || member.leaving_boot == Some(member.boot),
            listed: member.listed.is_some(),
            heard: !member.heard_until.has_passed(now),
            reported_down: member.state == ReportedState::Down,
            cold: member.state == ReportedState::Cold,
            slow: member.link.is_slow(),
            link: member.link.fact(now),
            opens_at: member.opens_at,
        }
    }

    fn on_listed(&mut self, list: Vec<ListedEndpoint>) {
        for member in self.members.values_mut() {
            member.listed = None;
        }
        for line in list {
            if let Some(member) = self.members.get_mut(&line.endpoint) {
                member.location = line.location.clone();
                member.groups.clone_from(&line.groups);
                member.listed_leaving = line.leaving;
                member.listed = Some(line);
            } else if self.members.len() < self.limits.members_max {
                self.members
                    .insert(line.endpoint.clone(), Member::new(line));
            } else {
                self.counters.members_dropped += 1;
            }
        }
    }

    fn on_report(
        &mut self,
        now: Time,
        endpoint: &EndpointId,
        order: (BootId, u64),
        state: ReportedState,
    ) {
        let heard_until = now + self.limits.lease;
        let Some(member) = self.members.get_mut(endpoint) else {
            return;
        };
        if order < (member.boot, member.sequence) {
            self.counters.stale_reports += 1;
            return;
        }
        (member.boot, member.sequence) = order;
        member.heard_until = heard_until;
        member.link.work(now);
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
        member.heard_until = now;
        member.link.fail(now, jitter);
    }

    /// Endpoints that are in again are opened at this entry's own moment.
    fn on_orders(&mut self, now: Time, orders: OutOfService) {
        let before = std::mem::replace(&mut self.orders, orders);
        let spread_us = self.limits.return_jitter_max.as_us().max(1);
        let returned: Vec<EndpointId> = self
            .members
            .iter()
            .filter(|(endpoint, member)| {
                before.covers(&member.location.zone, endpoint)
                    && !self.orders.covers(&member.location.zone, endpoint)
            })
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        for endpoint in returned {
            let wait_us = self.jitter(endpoint.as_str(), 0) % spread_us;
            if let Some(member) = self.members.get_mut(&endpoint) {
                member.opens_at = now + Span::from_us(wait_us);
            }
        }
    }

    fn on_tick(&mut self, now: Time) {
        if self.awake_until.has_passed(now) {
            self.counters.pauses += 1;
            self.confirm_until = Some(now + self.limits.confirm_timeout);
        }
        self.awake_until = now + self.limits.pause_max;
        if self
            .confirm_until
            .is_some_and(|until| until.has_passed(now))
        {
            self.confirm_until = None;
        }
        self.members
            .retain(|_, member| member.listed.is_some() || !member.heard_until.has_passed(now));
    }

    fn jitter(&self, text: &str, seed: u64) -> u64 {
        let own = xxh3_64_with_seed(self.me.as_str().as_bytes(), seed);
        xxh3_64_with_seed(text.as_bytes(), own)
    }
}

impl OutOfService {
    /// Whether an endpoint is out, by itself or with its zone.
    #[must_use]
    pub fn covers(&self, zone: &ZoneId, endpoint: &EndpointId) -> bool {
        self.zones_out.contains(zone) || self.endpoints_out.contains(endpoint)
    }
}

impl Member {
    fn new(line: ListedEndpoint) -> Self {
        Self {
            location: line.location.clone(),
            groups: line.groups.clone(),
            listed_leaving: line.leaving,
            listed: Some(line),
            boot: BootId::default(),
            sequence: 0,
            state: ReportedState::Cold,
            heard_until: Time::ZERO,
            leaving_boot: None,
            opens_at: Time::ZERO,
            link: Link::default(),
        }
    }
}
