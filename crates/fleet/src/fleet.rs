//! The table of endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use lentil_catalog::Catalog;
use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount, ZoneId};

use crate::endpoint::{Endpoint, EndpointRecord, EngineReport, EngineStage, Standing, ToldLoad};
use crate::in_flight::{AttemptResult, Flight, PlacementId};

/// How long an engine's report is believed.
pub(crate) const REPORT_LASTS: Span = Span::from_ms(1_500);
/// Entries assumed to send to an endpoint while no report tells their number.
pub(crate) const ENTRIES_ASSUMED: u32 = 8;

/// Bounds that deployments set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetConfig {
    /// Requests a second that it bears beyond that.
    pub cold_slack: f64,
    /// How long a leaving endpoint goes on after its notice.
    pub drain: Span,
    /// How long an entry that vanished in a disturbance of the store is waited for.
    pub expiry_grace: Span,
}

/// What changed in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FleetChange {
    /// An endpoint may get work.
    Joined(EndpointId),
    /// An endpoint gets no new work.
    Leaving(LeavingEndpoint),
    /// An endpoint started anew; what it held is lost.
    Restarted(EndpointId),
}

/// An endpoint that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeavingEndpoint {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// When it is expected to be gone.
    pub terminates_at: Time,
}

/// All endpoints, as one entry believes them to be.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) bounds: FleetConfig,
    pub(crate) zone: ZoneId,
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    zones_out: BTreeSet<ZoneId>,
    pub(crate) flights: HashMap<PlacementId, Flight>,
    pub(crate) next_flight: u64,
}

impl Fleet {
    /// An empty table of an entry in `zone`.
    #[must_use]
    pub fn new(bounds: FleetConfig, zone: ZoneId) -> Self {
        Self {
            bounds,
            zone,
            catalog: None,
            endpoints: BTreeMap::new(),
            zones_out: BTreeSet::new(),
            flights: HashMap::new(),
            next_flight: 0,
        }
    }

    /// Takes the shapes of services from a version that came in force.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog);
    }

    /// These availability zones get no work.
    pub fn set_excluded_zones(&mut self, zones: BTreeSet<ZoneId>) {
        self.zones_out = zones;
    }

    /// Addresses of listed endpoints.
    #[must_use]
    pub fn addresses(&self) -> Vec<(ServiceName, SocketAddr)> {
        self.endpoints
            .values()
            .filter(|endpoint| endpoint.listed)
            .map(|endpoint| (endpoint.listing.service.clone(), endpoint.listing.address))
            .collect()
    }

    /// Entries that send to the same endpoints, this one included.
    #[must_use]
    pub fn entry_count(&self, now: Time) -> u32 {
        let told = self.endpoints.values().filter_map(|endpoint| {
            let (at, report) = endpoint.report.as_ref()?;
            (!(*at + REPORT_LASTS).has_passed(now)).then_some(report.followers)
        });
        told.max()
            .filter(|followers| *followers > 0)
            .unwrap_or(ENTRIES_ASSUMED)
    }

    /// The list shows an endpoint.
    ///
    /// Where two entries name one address, the endpoint that started later has
    /// it; the entry of the other one has not expired yet.
    pub fn upsert_endpoint(&mut self, now: Time, listing: EndpointRecord) -> Vec<FleetChange> {
        let rivals: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| {
                **id != listing.endpoint && endpoint.listing.address == listing.address
            })
            .map(|(id, endpoint)| (id.clone(), endpoint.listing.started_at_ms))
            .collect();
        let later = |started_at_ms: &Option<u64>| *started_at_ms > listing.started_at_ms;
        if rivals.iter().any(|(_, started_at_ms)| later(started_at_ms)) {
            return Vec::new();
        }
        let mut changes: Vec<_> = rivals
            .iter()
            .filter_map(|(id, _)| self.mark_gone(now, id))
            .collect();
        changes.extend(self.apply_record(now, listing));
        changes
    }

    /// An endpoint is no longer at its address.
    pub fn mark_gone(&mut self, now: Time, id: &EndpointId) -> Option<FleetChange> {
        self.begin_leaving(now, id, Some(now), true)
    }

    fn apply_record(&mut self, now: Time, listing: EndpointRecord) -> Option<FleetChange> {
        let id = listing.endpoint.clone();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            let draining = listing.draining;
            self.endpoints
                .insert(id.clone(), Endpoint::new(now, listing));
            return if draining {
                self.begin_leaving(now, &id, None, true)
            } else {
                Some(FleetChange::Joined(id))
            };
        };
        if endpoint.is_restart(listing.started_at_ms) || endpoint.listing.address != listing.address
        {
            let draining = listing.draining;
            *endpoint = Endpoint::new(now, listing);
            self.drop_flights(&id);
            if draining {
                return self.begin_leaving(now, &id, None, true);
            }
            return Some(FleetChange::Restarted(id));
        }
        endpoint.cold_until = endpoint.cold_until.max(now + listing.cold_remaining);
        endpoint.listed = true;
        let draining = listing.draining;
        endpoint.listing = listing;
        if draining {
            return self.begin_leaving(now, &id, None, true);
        }
        match endpoint.standing {
            Standing::Lapsed { .. } => {
                endpoint.standing = Standing::Open;
                None
            }
            Standing::Leaving {
                announced: false, ..
            } => {
                endpoint.standing = Standing::Open;
                Some(FleetChange::Joined(id))
            }
            Standing::Open | Standing::Leaving { .. } => None,
        }
    }

    /// The list no longer shows an endpoint. Where the store was `disturbed`
    /// shortly before, a living endpoint's entry may have lapsed and come back.
    pub fn remove_endpoint(
        &mut self,
        now: Time,
        id: &EndpointId,
        disturbed: bool,
    ) -> Option<FleetChange> {
        let endpoint = self.endpoints.get_mut(id)?;
        if !std::mem::take(&mut endpoint.listed) {
            return None;
        }
        if disturbed && endpoint.standing == Standing::Open {
            endpoint.standing = Standing::Lapsed {
                until: now + self.bounds.expiry_grace,
            };
            return None;
        }
        self.begin_leaving(now, id, None, false)
    }

    /// The list holds just these endpoints.
    pub fn retain_only(
        &mut self,
        now: Time,
        ids: &BTreeSet<EndpointId>,
        disturbed: bool,
    ) -> Vec<FleetChange> {
        let missing: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| endpoint.listed && !ids.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        missing
            .iter()
            .filter_map(|id| self.remove_endpoint(now, id, disturbed))
            .collect()
    }

    /// An engine at this address told about itself.
    pub fn apply_report(
        &mut self,
        now: Time,
        address: SocketAddr,
        report: EngineReport,
    ) -> Option<FleetChange> {
        let (id, endpoint) = self
            .endpoints
            .iter_mut()
            .filter(|(_, endpoint)| endpoint.listing.address == address)
            .find(|(_, endpoint)| !endpoint.is_restart(report.started_at_ms))?;
        let stage = report.stage;
        endpoint.report = Some((now, report));
        let id = id.clone();
        match stage {
            EngineStage::Serving => None,
            EngineStage::Leaving { at } => self.begin_leaving(now, &id, at, true),
        }
    }

    /// An endpoint told its load with an answer.
    pub fn record_load(&mut self, now: Time, id: &EndpointId, load: (u32, u32, u32)) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            let (running, waiting, slots) = load;
            endpoint.told = Some(ToldLoad {
                running,
                waiting,
                slots,
                at: now,
            });
        }
    }

    /// An endpoint told with an answer that it is cold.
    pub fn record_cold(&mut self, now: Time, id: &EndpointId, cold_remaining: Span) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.cold_until = endpoint.cold_until.max(now + cold_remaining);
        }
    }

    fn begin_leaving(
        &mut self,
        now: Time,
        id: &EndpointId,
        at: Option<Time>,
        announces: bool,
    ) -> Option<FleetChange> {
        let drain = self.bounds.drain;
        let endpoint = self.endpoints.get_mut(id)?;
        let terminates_at = at.unwrap_or(now + drain);
        if let Standing::Leaving {
            terminates_at: before,
            announced,
        } = &mut endpoint.standing
        {
            *announced |= announces;
            if let Some(at) = at {
                *before = at;
            }
            return None;
        }
        endpoint.standing = Standing::Leaving {
            terminates_at,
            announced: announces,
        };
        Some(FleetChange::Leaving(LeavingEndpoint {
            endpoint: id.clone(),
            address: endpoint.listing.address,
            zone: endpoint.listing.zone.clone(),
            terminates_at,
        }))
    }

    /// When a leaving endpoint is expected to be gone.
    #[must_use]
    pub fn terminates_at(&self, id: &EndpointId) -> Option<Time> {
        match self.endpoints.get(id)?.standing {
            Standing::Leaving { terminates_at, .. } => Some(terminates_at),
            Standing::Open | Standing::Lapsed { .. } => None,
        }
    }

    /// Unix millisecond of an endpoint's start; 0 if it isn't known.
    #[must_use]
    pub fn started_at_ms(&self, id: &EndpointId) -> u64 {
        self.endpoints
            .get(id)
            .and_then(|endpoint| endpoint.listing.started_at_ms)
            .unwrap_or(0)
    }

    /// Lets time pass: lapsed entries count as leaving, and endpoints that are
    /// unlisted and without flights are forgotten.
    pub fn tick(&mut self, now: Time) -> Vec<FleetChange> {
        let lapsed: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(_, endpoint)| {
                matches!(endpoint.standing, Standing::Lapsed { until } if until.has_passed(now))
            })
            .map(|(id, _)| id.clone())
            .collect();
        let changes = lapsed
            .iter()
            .filter_map(|id| self.begin_leaving(now, id, None, false))
            .collect();
        let busy: BTreeSet<_> = self
            .flights
            .values()
            .map(|flight| flight.endpoint.clone())
            .collect();
        self.endpoints.retain(|id, endpoint| {
            let gone = matches!(
                endpoint.standing,
                Standing::Leaving { terminates_at, .. } if terminates_at.has_passed(now)
            );
            endpoint.listed || !gone || busy.contains(id)
        });
        changes
    }

    /// Whether an endpoint may get new work.
    #[must_use]
    pub fn is_available(&self, now: Time, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.open(now) && !self.zones_out.contains(&endpoint.listing.zone)
        })
    }

    /// Whether any endpoint of a service may get work.
    #[must_use]
    pub fn has_available(&self, now: Time, service: &ServiceName) -> bool {
        self.endpoints.iter().any(|(id, endpoint)| {
            endpoint.listing.service == *service && self.is_available(now, id)
        })
    }

    /// A flight's output has reached this many tokens.
    pub fn record_progress(&mut self, flight: PlacementId, made: TokenCount) {
        if let Some(flight) = self.flights.get_mut(&flight) {
            flight.started = true;
            flight.made = made;
        }
    }

    /// A flight ended.
    pub fn finish(&mut self, now: Time, flight: PlacementId, ending: AttemptResult) {
        let Some(flight) = self.flights.remove(&flight) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&flight.endpoint) else {
            return;
        };
        match ending {
            AttemptResult::Succeeded => endpoint.health.good(),
            AttemptResult::Failed => endpoint.health.failed(),
            AttemptResult::Unreachable => endpoint.health.unreached(now),
            AttemptResult::Overloaded | AttemptResult::Inconclusive => {}
        }
    }

    fn drop_flights(&mut self, id: &EndpointId) {
        self.flights.retain(|_, flight| flight.endpoint != *id);
    }
}
