//! The table of endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

use lentil_catalog::Catalog;
use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount, ZoneId};
use lentil_rollout::Version;

use crate::copies::EngineCopy;
use crate::departed::Departed;
use crate::endpoint::{
    Availability, Endpoint, EndpointRecord, EngineReport, EngineStage, LoadNotice, PacePercent,
    ReportedLoad,
};
use crate::engine_view::ServiceHistory;
use crate::entry_count::EntryCounter;
use crate::in_flight::{AttemptResult, InFlightRequest, PlacementId};
use crate::named_limit::{LimitChange, LimitNotice, NamedLimit};
use crate::pauses::SlowestPace;
use crate::placement::PlacedRequest;
use crate::rest::{Rest, RestNotice};
use crate::unnamed::UnnamedRecords;
use crate::version_rules::VersionRules;

/// How long an engine's report is used.
pub(crate) const REPORT_TTL: Span = Span::from_ms(1_500);
/// Largest amount by which an endpoint may round up the time that it has left.
const LEFT_TIME_ROUNDING: Span = Span::from_ms(1);
/// Time from the moment at which an observer states the time left until a gateway adds it to its
/// clock. The poll of the engine counts from its start and adds nothing.
const REPORT_TRANSFER: Span = Span::from_ms(5);
/// Further delay of that on a busy host, where threads wait for their turn.
const SCHEDULING_DELAY: Span = Span::from_ms(10);
/// Time by which an endpoint that ends may close its streams before its announced end.
const CLOSING_TIME: Span = Span::from_ms(4);
/// How much sooner than a gateway holds an endpoint may terminate. In a trial, streams were seen
/// to end 0.2 to 3.2 ms after the held time. Values of some time ago, which reports may state, are
/// not part of it: whether the endpoint still answers decides there.
const TERMINATION_MARGIN: Span = Span::from_us(
    LEFT_TIME_ROUNDING.as_us()
        + REPORT_TRANSFER.as_us()
        + SCHEDULING_DELAY.as_us()
        + CLOSING_TIME.as_us(),
);
/// Assumed number of entries while no report gives it.
pub(crate) const DEFAULT_ENTRY_COUNT: u32 = 8;

/// Settings of [`Fleet`].
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetConfig {
    /// Requests per second that a cold endpoint handles beyond its service's limit.
    pub cold_slack: f64,
    /// Time from an endpoint's leave notice until it terminates, where the notice
    /// does not say.
    pub drain: Span,
    /// Time since its last renewal after which an endpoint's record may expire.
    pub record_ttl: Span,
    /// Time after the end of a store failure within which records that expired during it
    /// are back, including the time until they are read.
    pub record_return: Span,
    /// Whether all services are scheduled adaptively; see [`Fleet::is_adaptive`].
    pub adaptive: bool,
}

/// A change of an endpoint's availability.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// An endpoint became available.
    Joined(EndpointId),
    /// An endpoint gets no new requests.
    Leaving(LeavingEndpoint),
    /// An endpoint restarted and lost its requests.
    Restarted(EndpointId),
    /// An endpoint gets no requests until it is shown to live, as another one claims its
    /// address.
    Contested {
        /// The endpoint's id.
        endpoint: EndpointId,
        /// The other endpoint's id.
        claimed_by: EndpointId,
    },
    /// An endpoint's record disappeared and may return. It still gets requests.
    Unlisted {
        /// The endpoint's id.
        endpoint: EndpointId,
        /// When it counts as leaving unless its record is back.
        until: Time,
    },
}

/// How it is known that an endpoint is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaveEvidence {
    /// Its record in the list says so.
    Record,
    /// Its record was removed from the list, or did not return.
    Removal,
    /// Its report says so.
    Report,
    /// An answer of it says so.
    Answer,
    /// Another endpoint has its address.
    AddressReused,
}

impl LeaveEvidence {
    /// Whether the endpoint does not become available again in this lifetime. A record may
    /// also be removed from an endpoint that goes on serving.
    const fn is_final(self) -> bool {
        !matches!(self, Self::Removal)
    }
}

impl fmt::Display for LeaveEvidence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Record => "its record",
            Self::Removal => "the removal of its record",
            Self::Report => "its report",
            Self::Answer => "its answer",
            Self::AddressReused => "another endpoint at its address",
        })
    }
}

/// An endpoint that is leaving.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingEndpoint {
    /// The endpoint's id.
    pub endpoint: EndpointId,
    /// Its network address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// When it is expected to terminate.
    pub terminates_at: Time,
    /// How this became known.
    pub evidence: LeaveEvidence,
}

/// All endpoints, with their state as estimated by one entry.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) config: FleetConfig,
    pub(crate) zone: ZoneId,
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    excluded_zones: BTreeSet<ZoneId>,
    pub(crate) in_flight: HashMap<PlacementId, InFlightRequest>,
    pub(crate) next_placement_id: u64,
    /// Engines that generations are placed at while any of them is available; all if
    /// empty.
    pub(crate) followed: BTreeSet<EndpointId>,
    entry_counter: EntryCounter,
    departed: Departed,
    unnamed: UnnamedRecords,
    /// When a request to the store was sent that failed, the last time.
    store_failed_at: Option<Time>,
    /// Services whose endpoints have stated their pace.
    paced: BTreeSet<ServiceName>,
    /// The slowest pace that endpoints of each service have stated.
    pub(crate) slowest_paces: BTreeMap<ServiceName, SlowestPace>,
    /// What was learned about the services that are scheduled adaptively.
    pub(crate) histories: BTreeMap<ServiceName, ServiceHistory>,
    /// Copies of this entry's running generations at engines other than their own.
    pub(crate) copies: HashMap<PlacementId, EngineCopy>,
    /// Tokens of running generations that must move and have no room yet.
    pub(crate) displaced: BTreeMap<ServiceName, BTreeMap<Option<Version>, TokenCount>>,
    pub(crate) version_rules: BTreeMap<ServiceName, Arc<VersionRules>>,
    /// Versions that roll-outs have rolled back.
    pub(crate) rolled_back: BTreeMap<ServiceName, BTreeSet<Version>>,
}

impl Fleet {
    /// Creates an empty table for an entry in availability zone `zone`.
    #[must_use]
    pub fn new(config: FleetConfig, zone: ZoneId) -> Self {
        Self {
            config,
            zone,
            catalog: None,
            endpoints: BTreeMap::new(),
            excluded_zones: BTreeSet::new(),
            in_flight: HashMap::new(),
            next_placement_id: 0,
            followed: BTreeSet::new(),
            entry_counter: EntryCounter::default(),
            departed: Departed::default(),
            unnamed: UnnamedRecords::default(),
            store_failed_at: None,
            paced: BTreeSet::new(),
            slowest_paces: BTreeMap::new(),
            histories: BTreeMap::new(),
            copies: HashMap::new(),
            displaced: BTreeMap::new(),
            version_rules: BTreeMap::new(),
            rolled_back: BTreeMap::new(),
        }
    }

    /// Whether a service is scheduled by the learned capacity of its endpoints: if the settings
    /// say so for all services, or once one of its endpoints has stated its pace.
    #[must_use]
    pub fn is_adaptive(&self, service: &ServiceName) -> bool {
        self.config.adaptive || self.paced.contains(service)
    }

    /// Sets the catalog that describes the services. Records of services that it names and the
    /// one before did not are applied.
    pub fn set_catalog(&mut self, now: Time, catalog: Arc<Catalog>) -> Vec<FleetChange> {
        if self.catalog.is_none() {
            let is_unnamed = |_: &_, endpoint: &mut Endpoint| {
                catalog.service(&endpoint.record.service).is_none()
            };
            for (_, endpoint) in self.endpoints.extract_if(.., is_unnamed) {
                self.unnamed.insert(now, endpoint.record);
            }
        }
        let named = self.unnamed.take_named(now, &catalog);
        self.catalog = Some(catalog);
        named
            .into_iter()
            .flat_map(|record| self.upsert_endpoint(now, record))
            .collect()
    }

    /// Sets the availability zones whose endpoints get no new requests.
    pub fn set_excluded_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.excluded_zones = zones;
    }

    /// Sets the engines that generations are placed at while any of them is available.
    pub fn set_followed(&mut self, engines: BTreeSet<EndpointId>) {
        self.followed = engines;
    }

    /// The address of an endpoint.
    #[must_use]
    pub fn address(&self, id: &EndpointId) -> Option<SocketAddr> {
        Some(self.endpoints.get(id)?.record.address)
    }

    /// The availability zone of an endpoint.
    #[must_use]
    pub fn zone_of(&self, id: &EndpointId) -> Option<&ZoneId> {
        Some(&self.endpoints.get(id)?.record.zone)
    }

    /// The records of a service's known endpoints, including leaving ones.
    pub fn records<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a EndpointRecord> {
        let records = self.endpoints.values().map(|endpoint| &endpoint.record);
        records.filter(move |record| record.service == *service)
    }

    /// Number of entries that send to the same endpoints, including this one.
    #[must_use]
    pub fn entry_count(&self, now: Time) -> u32 {
        self.entry_counter.get(now).unwrap_or(DEFAULT_ENTRY_COUNT)
    }

    /// Adds or updates an endpoint from its record in the list.
    ///
    /// A record whose service the configuration does not name is no endpoint's. It is kept, and
    /// has no effect until its service is named.
    pub fn upsert_endpoint(&mut self, now: Time, record: EndpointRecord) -> Vec<FleetChange> {
        let catalog = self.catalog.as_ref();
        if catalog.is_some_and(|catalog| catalog.service(&record.service).is_none()) {
            self.unnamed.insert(now, record);
            return Vec::new();
        }
        self.unnamed.remove(&record.endpoint);
        let started_at_ms = record.started_at_ms;
        let is_known = self.endpoints.contains_key(&record.endpoint);
        if !is_known && self.departed.contains(now, &record.endpoint, started_at_ms) {
            return Vec::new();
        }
        let id = record.endpoint.clone();
        let known = self.endpoints.get(&id);
        let is_new = known.is_none_or(|known| known.is_succeeded_by(&record));
        let change = self.apply_record(now, record);
        match change {
            Some(change @ (FleetChange::Joined(_) | FleetChange::Restarted(_))) if is_new => {
                self.claim_address(&id, change)
            }
            change => change.into_iter().collect(),
        }
    }

    /// Handles a record of the older copy that the platform's store has come back from. It may have
    /// changed since, so that it makes no endpoint available: an endpoint that lives renews its
    /// record.
    pub fn apply_copied_record(&mut self, now: Time, record: EndpointRecord) -> Vec<FleetChange> {
        let Some(known) = self.endpoints.get(&record.endpoint) else {
            return Vec::new();
        };
        let is_renewed = record.sequence > known.record.sequence || known.is_succeeded_by(&record);
        if known.availability == Availability::Available || record.draining || is_renewed {
            return self.upsert_endpoint(now, record);
        }
        Vec::new()
    }

    /// Handles the list of a store that has come back from an older copy: endpoints other than
    /// these may be missing because their records were lost. They get requests until these are
    /// due to be back.
    pub fn await_missing(&mut self, now: Time, ids: &BTreeSet<EndpointId>) -> Vec<FleetChange> {
        let until = now + self.config.record_return;
        let missing = self.endpoints.iter_mut().filter(|(id, endpoint)| {
            endpoint.listed
                && endpoint.availability == Availability::Available
                && !ids.contains(*id)
        });
        missing
            .map(|(id, endpoint)| {
                endpoint.listed = false;
                endpoint.availability = Availability::Unlisted { until };
                let endpoint = id.clone();
                FleetChange::Unlisted { endpoint, until }
            })
            .collect()
    }

    /// Marks an endpoint that is no longer at its address as leaving immediately.
    pub fn mark_gone(&mut self, now: Time, id: &EndpointId) -> Option<FleetChange> {
        self.begin_leaving(now, id, Some(now), LeaveEvidence::AddressReused)
    }

    fn apply_record(&mut self, now: Time, record: EndpointRecord) -> Option<FleetChange> {
        let id = record.endpoint.clone();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            let draining = record.draining;
            self.endpoints
                .insert(id.clone(), Endpoint::new(now, record));
            if draining {
                return self.begin_leaving(now, &id, None, LeaveEvidence::Record);
            }
            return Some(FleetChange::Joined(id));
        };
        if endpoint.is_earlier_lifetime(record.started_at_ms) {
            return None;
        }
        if endpoint.is_succeeded_by(&record) {
            let draining = record.draining;
            *endpoint = Endpoint::new(now, record);
            self.drop_in_flight(&id);
            if draining {
                return self.begin_leaving(now, &id, None, LeaveEvidence::Record);
            }
            return Some(FleetChange::Restarted(id));
        }
        endpoint.cold_until = endpoint.cold_until.max(now + record.cold_remaining);
        endpoint.listed = true;
        let draining = record.draining;
        let is_renewed = record.sequence > endpoint.record.sequence;
        let written_after = endpoint.record.written_after.max(record.written_after);
        let sequence = endpoint.record.sequence.max(record.sequence);
        endpoint.record = EndpointRecord {
            written_after,
            sequence,
            ..record
        };
        if draining {
            return self.begin_leaving(now, &id, None, LeaveEvidence::Record);
        }
        match endpoint.availability {
            Availability::Unlisted { .. } => {
                endpoint.availability = Availability::Available;
                None
            }
            Availability::Leaving {
                announced: false, ..
            } => {
                endpoint.availability = Availability::Available;
                Some(FleetChange::Joined(id))
            }
            Availability::Contested if is_renewed => {
                endpoint.availability = Availability::Available;
                Some(FleetChange::Joined(id))
            }
            Availability::Available | Availability::Contested | Availability::Leaving { .. } => {
                None
            }
        }
    }

    /// Records that a request to the store failed that was sent at this time, and so
    /// before the failure ended.
    pub fn record_store_failure(&mut self, sent_at: Time) {
        if self.store_failed_at >= Some(sent_at) {
            return;
        }
        self.store_failed_at = Some(sent_at);
        let returned_at = sent_at + self.config.record_return;
        for endpoint in self.endpoints.values_mut() {
            if let Availability::Unlisted { until } = &mut endpoint.availability {
                *until = returned_at.max(*until);
            }
        }
    }

    /// When records that expired during the last failure of the store are back.
    fn records_return_at(&self, now: Time) -> Option<Time> {
        let returned_at = self.store_failed_at? + self.config.record_return;
        (!returned_at.has_passed(now)).then_some(returned_at)
    }

    /// Handles a record that was removed from the list.
    ///
    /// A record also disappears if it is not renewed in time, which endpoints can't do
    /// while the store fails. Such an endpoint is alive, and its record returns soon after
    /// the failure. Any other removal means that the endpoint leaves.
    pub fn remove_endpoint(&mut self, now: Time, id: &EndpointId) -> Option<FleetChange> {
        self.unnamed.remove(id);
        let records_return_at = self.records_return_at(now);
        let endpoint = self.endpoints.get_mut(id)?;
        if !std::mem::take(&mut endpoint.listed) {
            return None;
        }
        if let Some(until) = records_return_at
            && endpoint.availability == Availability::Available
            && endpoint.may_have_expired(now, self.config.record_ttl)
        {
            endpoint.availability = Availability::Unlisted { until };
            let endpoint = id.clone();
            return Some(FleetChange::Unlisted { endpoint, until });
        }
        self.begin_leaving(now, id, None, LeaveEvidence::Removal)
    }

    /// Handles a complete list: removes all endpoints other than these.
    pub fn retain_only(&mut self, now: Time, ids: &BTreeSet<EndpointId>) -> Vec<FleetChange> {
        self.unnamed.retain(|id| ids.contains(id));
        let missing: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| endpoint.listed && !ids.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        missing
            .iter()
            .filter_map(|id| self.remove_endpoint(now, id))
            .collect()
    }

    /// Applies a report from the engine at this address.
    pub fn apply_report(
        &mut self,
        now: Time,
        address: SocketAddr,
        mut report: EngineReport,
    ) -> Option<FleetChange> {
        self.entry_counter.record(now, report.followers);
        let (id, endpoint) = self
            .endpoints
            .iter_mut()
            .filter(|(_, endpoint)| endpoint.record.address == address)
            .filter(|(_, endpoint)| !endpoint.is_other_lifetime(report.started_at_ms))
            .min_by_key(|(_, endpoint)| endpoint.availability == Availability::Contested)?;
        let stage = report.stage;
        let confirms_address = endpoint.availability == Availability::Contested
            && report.started_at_ms.is_some()
            && report.started_at_ms == endpoint.record.started_at_ms;
        // Only observers measure from the runs.
        report.runs.clear();
        endpoint.record_report(now, report);
        let id = id.clone();
        match stage {
            EngineStage::Serving if confirms_address => self.confirm_address(&id),
            EngineStage::Serving => None,
            EngineStage::Leaving { at } => self.begin_leaving(now, &id, at, LeaveEvidence::Report),
        }
    }

    /// Records that an endpoint said with an answer that it is leaving. It may terminate
    /// sooner than the drain time from now, as it has left since an unknown time.
    pub fn record_leaving(&mut self, now: Time, id: &EndpointId) -> Option<FleetChange> {
        self.begin_leaving(now, id, None, LeaveEvidence::Answer)
    }

    /// Records the load that an endpoint stated with an answer. Returns `true` if its service
    /// is scheduled adaptively from now on.
    pub fn record_load(&mut self, now: Time, id: &EndpointId, load: LoadNotice) -> bool {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        endpoint.reported_load = Some(ReportedLoad {
            load,
            reported_at: now,
        });
        let pace = load.pace.map(PacePercent::get);
        endpoint.capacity.record_load(now, load.slots, pace);
        let service = &endpoint.record.service;
        if let Some(pace) = load.pace {
            let mut known = self.slowest_paces.get(service).copied();
            SlowestPace::record(&mut known, now, pace);
            if let Some(known) = known {
                self.slowest_paces.insert(service.clone(), known);
            }
        }
        load.pace.is_some() && self.paced.insert(service.clone()) && !self.config.adaptive
    }

    /// Records that an endpoint reported with an answer that it is cold.
    pub fn record_cold(&mut self, now: Time, id: &EndpointId, cold_remaining: Span) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.cold_until = endpoint.cold_until.max(now + cold_remaining);
        }
    }

    /// Records what an answer says about its endpoint's limit. Returns the change, if any.
    pub fn record_limit(
        &mut self,
        now: Time,
        id: &EndpointId,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        let entries = self.entry_count(now);
        let endpoint = self.endpoints.get_mut(id)?;
        let sharing = endpoint.sharing_entries(now, entries);
        NamedLimit::apply(&mut endpoint.named_limit, now, notice, sharing)
    }

    /// Records that an endpoint wants no requests for a while.
    pub fn record_rest(&mut self, now: Time, id: &EndpointId, notice: RestNotice) {
        let entries = self.entry_count(now);
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let sending = endpoint.sharing_entries(now, entries);
            Rest::apply(&mut endpoint.rest, now, notice, sending);
        }
    }

    /// Records an answer, to a request sent at this time, by which the endpoint does not ask
    /// for rest.
    pub fn record_answer(&mut self, id: &EndpointId, sent_at: Time) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            Rest::record_answer(&mut endpoint.rest, sent_at);
        }
    }

    /// Whether a stream may continue at an endpoint that it was placed at before, and counts
    /// it if the endpoint wants no requests.
    pub fn allow_continuation(&mut self, now: Time, id: &EndpointId) -> bool {
        let endpoint = self.endpoints.get_mut(id);
        let rest = endpoint.and_then(|endpoint| endpoint.rest.as_mut());
        rest.is_none_or(|rest| rest.allow_continuation(now))
    }

    /// Number of endpoints that want no requests now.
    #[must_use]
    pub fn resting_endpoints(&self, now: Time) -> usize {
        let rests = self.endpoints.values().filter_map(|endpoint| endpoint.rest);
        rests.filter(|rest| !rest.until.has_passed(now)).count()
    }

    /// Number of endpoints that name a limit.
    #[must_use]
    pub fn limited_endpoints(&self) -> usize {
        let endpoints = self.endpoints.values();
        endpoints
            .filter(|endpoint| endpoint.named_limit.is_some())
            .count()
    }

    fn begin_leaving(
        &mut self,
        now: Time,
        id: &EndpointId,
        at: Option<Time>,
        evidence: LeaveEvidence,
    ) -> Option<FleetChange> {
        let drain = self.config.drain;
        let endpoint = self.endpoints.get_mut(id)?;
        let terminates_at = at.unwrap_or(now + drain);
        if let Availability::Leaving {
            terminates_at: known,
            announced,
        } = &mut endpoint.availability
        {
            *announced |= evidence.is_final();
            if let Some(at) = at {
                *known = at;
            }
            return None;
        }
        endpoint.availability = Availability::Leaving {
            terminates_at,
            announced: evidence.is_final(),
        };
        Some(FleetChange::Leaving(LeavingEndpoint {
            endpoint: id.clone(),
            address: endpoint.record.address,
            zone: endpoint.record.zone.clone(),
            terminates_at,
            evidence,
        }))
    }

    /// When an endpoint is expected to terminate; `None` if it is not leaving.
    #[must_use]
    pub fn terminates_at(&self, id: &EndpointId) -> Option<Time> {
        match self.endpoints.get(id)?.availability {
            Availability::Leaving { terminates_at, .. } => Some(terminates_at),
            Availability::Available | Availability::Unlisted { .. } | Availability::Contested => {
                None
            }
        }
    }

    /// Whether the endpoint of a request may have ended since the request was placed: it has
    /// restarted, or the time has come at which its report says that it terminates.
    #[must_use]
    pub fn may_have_ended(&self, now: Time, place: &PlacedRequest) -> bool {
        let Some(endpoint) = self.endpoints.get(&place.endpoint) else {
            return true;
        };
        let report = endpoint.report.as_ref().map(|(_, report)| report.stage);
        report.is_some_and(|stage| has_terminated(now, stage)) || !self.is_in_flight(place.id)
    }

    /// Whether a report that the endpoint of a request gave shows that it has neither ended nor
    /// restarted since the request was placed.
    #[must_use]
    pub fn shows_alive(&self, now: Time, place: &PlacedRequest, report: &EngineReport) -> bool {
        let endpoint = self.endpoints.get(&place.endpoint);
        endpoint.is_some_and(|endpoint| !endpoint.is_other_lifetime(report.started_at_ms))
            && !has_terminated(now, report.stage)
            && !self.may_have_ended(now, place)
    }

    /// Start time of an endpoint in Unix milliseconds; 0 if it is unknown.
    #[must_use]
    pub fn started_at_ms(&self, id: &EndpointId) -> u64 {
        self.endpoints
            .get(id)
            .and_then(|endpoint| endpoint.record.started_at_ms)
            .unwrap_or(0)
    }

    /// Handles the passage of time: endpoints whose record did not return in time
    /// count as leaving, and unlisted endpoints without requests in flight are
    /// removed once they have terminated.
    pub fn tick(&mut self, now: Time) -> Vec<FleetChange> {
        let expired: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                matches!(endpoint.availability, Availability::Unlisted { until } if until.has_passed(now))
            })
            .map(|(id, _)| id.clone())
            .collect();
        let mut changes: Vec<_> = expired
            .iter()
            .filter_map(|id| self.begin_leaving(now, id, None, LeaveEvidence::Removal))
            .collect();
        changes.extend(self.release_addresses(now));
        let busy: BTreeSet<_> = self
            .in_flight
            .values()
            .map(|request| request.endpoint.clone())
            .collect();
        let departed = &mut self.departed;
        self.endpoints.retain(|id, endpoint| {
            let (terminated, announced) = match endpoint.availability {
                Availability::Leaving {
                    terminates_at,
                    announced,
                } => (terminates_at.has_passed(now), announced),
                Availability::Available
                | Availability::Unlisted { .. }
                | Availability::Contested => (false, false),
            };
            let keep = endpoint.listed || !terminated || busy.contains(id);
            if !keep && announced {
                departed.add(now, id.clone(), endpoint.record.started_at_ms);
            }
            keep
        });
        changes
    }

    /// Whether an endpoint may get new requests.
    #[must_use]
    pub fn is_available(&self, now: Time, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.is_available(now) && !self.excluded_zones.contains(&endpoint.record.zone)
        })
    }

    /// Whether any endpoint of a service may get new requests.
    #[must_use]
    pub fn has_available(&self, now: Time, service: &ServiceName) -> bool {
        self.endpoints
            .iter()
            .any(|(id, endpoint)| endpoint.record.service == *service && self.is_available(now, id))
    }

    /// Records that the observer of its engine knows of a request, so that later reports of the
    /// engine include it.
    pub fn record_announced(&mut self, now: Time, id: PlacementId) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.announced_at = Some(now);
        }
    }

    /// Records how many output tokens a request has generated.
    pub fn record_progress(&mut self, id: PlacementId, generated: TokenCount) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.prefilled = true;
            request.generated = generated;
        }
    }

    /// Whether a request is in flight: it has not ended, and its endpoint has not restarted.
    #[must_use]
    pub fn is_in_flight(&self, id: PlacementId) -> bool {
        self.in_flight.contains_key(&id)
    }

    /// Removes a request that ended and records its result for the endpoint.
    pub fn finish(&mut self, now: Time, id: PlacementId, result: AttemptResult) {
        let Some(request) = self.in_flight.remove(&id) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&request.endpoint) else {
            return;
        };
        if let Some(ahead) = request.calls_ahead {
            endpoint.record_call(now, now.since(request.placed_at), ahead, result);
        }
        match result {
            AttemptResult::Succeeded => endpoint.health.record_success(),
            AttemptResult::Failed => endpoint.health.record_failure(),
            AttemptResult::Unreachable => endpoint.health.record_unreachable(now),
            AttemptResult::Overloaded | AttemptResult::Inconclusive => {}
        }
    }

    fn drop_in_flight(&mut self, id: &EndpointId) {
        self.in_flight.retain(|_, request| request.endpoint != *id);
        self.copies.retain(|_, copy| copy.endpoint != *id);
    }
}

/// Whether the time has come at which an endpoint of this stage terminates.
fn has_terminated(now: Time, stage: EngineStage) -> bool {
    match stage {
        EngineStage::Leaving { at: Some(at) } => at <= now + TERMINATION_MARGIN,
        EngineStage::Leaving { at: None } | EngineStage::Serving => false,
    }
}
