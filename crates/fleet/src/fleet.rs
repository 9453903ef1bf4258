//! The table of endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use lentil_catalog::Catalog;
use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount, ZoneId};

use crate::endpoint::{Endpoint, EngineReport, EngineStage, Listing, Standing, ToldLoad};
use crate::flight::{Ending, Flight, FlightId};

/// How long an engine's report is believed.
pub(crate) const REPORT_LASTS: Span = Span::from_ms(1_500);
/// Entries assumed to send to an endpoint while no report tells their number.
pub(crate) const ENTRIES_ASSUMED: u32 = 8;

/// Bounds that deployments set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FleetBounds {
    /// Requests a second that it bears beyond that.
    pub cold_slack: f64,
    /// How long a leaving endpoint goes on after its notice.
    pub drain: Span,
    /// How long an entry that vanished in a disturbance of the store is waited for.
    pub lapse_grace: Span,
}

/// What changed in the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// An endpoint may get work.
    Joined(EndpointId),
    /// An endpoint gets no new work.
    Leaves(Leaving),
    /// An endpoint started anew; what it held is lost.
    BornAgain(EndpointId),
}

/// An endpoint that leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Leaving {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// When it is expected to be gone.
    pub gone_at: Time,
}

/// All endpoints, as one entry believes them to be.
#[derive(Debug)]
pub struct Fleet {
    pub(crate) bounds: FleetBounds,
    pub(crate) zone: ZoneId,
    pub(crate) catalog: Option<Arc<Catalog>>,
    pub(crate) endpoints: BTreeMap<EndpointId, Endpoint>,
    zones_out: BTreeSet<ZoneId>,
    pub(crate) flights: HashMap<FlightId, Flight>,
    pub(crate) next_flight: u64,
}

impl Fleet {
    /// An empty table of an entry in `zone`.
    #[must_use]
    pub fn new(bounds: FleetBounds, zone: ZoneId) -> Self {
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
    pub fn configure(&mut self, catalog: Arc<Catalog>) {
        self.catalog = Some(catalog);
    }

    /// These availability zones get no work.
    pub fn take_out(&mut self, zones: BTreeSet<ZoneId>) {
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
    pub fn entries(&self, now: Time) -> u32 {
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
    pub fn list(&mut self, now: Time, listing: Listing) -> Vec<Change> {
        let rivals: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| {
                **id != listing.endpoint && endpoint.listing.address == listing.address
            })
            .map(|(id, endpoint)| (id.clone(), endpoint.listing.born_ms))
            .collect();
        let later = |born_ms: &Option<u64>| *born_ms > listing.born_ms;
        if rivals.iter().any(|(_, born_ms)| later(born_ms)) {
            return Vec::new();
        }
        let mut changes: Vec<_> = rivals
            .iter()
            .filter_map(|(id, _)| self.gone(now, id))
            .collect();
        changes.extend(self.list_alone(now, listing));
        changes
    }

    /// An endpoint is no longer at its address.
    pub fn gone(&mut self, now: Time, id: &EndpointId) -> Option<Change> {
        self.begin_leaving(now, id, Some(now), true)
    }

    fn list_alone(&mut self, now: Time, listing: Listing) -> Option<Change> {
        let id = listing.endpoint.clone();
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            let draining = listing.draining;
            self.endpoints
                .insert(id.clone(), Endpoint::new(now, listing));
            return if draining {
                self.begin_leaving(now, &id, None, true)
            } else {
                Some(Change::Joined(id))
            };
        };
        if endpoint.born_again(listing.born_ms) || endpoint.listing.address != listing.address {
            let draining = listing.draining;
            *endpoint = Endpoint::new(now, listing);
            self.drop_flights(&id);
            if draining {
                return self.begin_leaving(now, &id, None, true);
            }
            return Some(Change::BornAgain(id));
        }
        endpoint.cold_until = endpoint.cold_until.max(now + listing.cold_for);
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
                Some(Change::Joined(id))
            }
            Standing::Open | Standing::Leaving { .. } => None,
        }
    }

    /// The list no longer shows an endpoint. Where the store was `disturbed`
    /// shortly before, a living endpoint's entry may have lapsed and come back.
    pub fn unlist(&mut self, now: Time, id: &EndpointId, disturbed: bool) -> Option<Change> {
        let endpoint = self.endpoints.get_mut(id)?;
        if !std::mem::take(&mut endpoint.listed) {
            return None;
        }
        if disturbed && endpoint.standing == Standing::Open {
            endpoint.standing = Standing::Lapsed {
                until: now + self.bounds.lapse_grace,
            };
            return None;
        }
        self.begin_leaving(now, id, None, false)
    }

    /// The list holds just these endpoints.
    pub fn list_only(
        &mut self,
        now: Time,
        ids: &BTreeSet<EndpointId>,
        disturbed: bool,
    ) -> Vec<Change> {
        let missing: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| endpoint.listed && !ids.contains(*id))
            .map(|(id, _)| id.clone())
            .collect();
        missing
            .iter()
            .filter_map(|id| self.unlist(now, id, disturbed))
            .collect()
    }

    /// An engine at this address told about itself.
    pub fn report(
        &mut self,
        now: Time,
        address: SocketAddr,
        report: EngineReport,
    ) -> Option<Change> {
        let (id, endpoint) = self
            .endpoints
            .iter_mut()
            .filter(|(_, endpoint)| endpoint.listing.address == address)
            .find(|(_, endpoint)| !endpoint.born_again(report.born_ms))?;
        let stage = report.stage;
        endpoint.report = Some((now, report));
        let id = id.clone();
        match stage {
            EngineStage::Serving => None,
            EngineStage::Leaving { at } => self.begin_leaving(now, &id, at, true),
        }
    }

    /// An endpoint told its load with an answer.
    pub fn told_load(&mut self, now: Time, id: &EndpointId, load: (u32, u32, u32)) {
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
    pub fn told_cold(&mut self, now: Time, id: &EndpointId, cold_for: Span) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.cold_until = endpoint.cold_until.max(now + cold_for);
        }
    }

    fn begin_leaving(
        &mut self,
        now: Time,
        id: &EndpointId,
        at: Option<Time>,
        announces: bool,
    ) -> Option<Change> {
        let drain = self.bounds.drain;
        let endpoint = self.endpoints.get_mut(id)?;
        let gone_at = at.unwrap_or(now + drain);
        if let Standing::Leaving {
            gone_at: before,
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
            gone_at,
            announced: announces,
        };
        Some(Change::Leaves(Leaving {
            endpoint: id.clone(),
            address: endpoint.listing.address,
            zone: endpoint.listing.zone.clone(),
            gone_at,
        }))
    }

    /// When a leaving endpoint is expected to be gone.
    #[must_use]
    pub fn gone_at(&self, id: &EndpointId) -> Option<Time> {
        match self.endpoints.get(id)?.standing {
            Standing::Leaving { gone_at, .. } => Some(gone_at),
            Standing::Open | Standing::Lapsed { .. } => None,
        }
    }

    /// Unix millisecond of an endpoint's start; 0 if it isn't known.
    #[must_use]
    pub fn born_ms(&self, id: &EndpointId) -> u64 {
        self.endpoints
            .get(id)
            .and_then(|endpoint| endpoint.listing.born_ms)
            .unwrap_or(0)
    }

    /// Lets time pass: lapsed entries count as leaving, and endpoints that are
    /// unlisted and without flights are forgotten.
    pub fn tick(&mut self, now: Time) -> Vec<Change> {
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
                Standing::Leaving { gone_at, .. } if gone_at.has_passed(now)
            );
            endpoint.listed || !gone || busy.contains(id)
        });
        changes
    }

    /// Whether an endpoint may get new work.
    #[must_use]
    pub fn open(&self, now: Time, id: &EndpointId) -> bool {
        self.endpoints.get(id).is_some_and(|endpoint| {
            endpoint.open(now) && !self.zones_out.contains(&endpoint.listing.zone)
        })
    }

    /// Whether any endpoint of a service may get work.
    #[must_use]
    pub fn serves(&self, now: Time, service: &ServiceName) -> bool {
        self.endpoints
            .iter()
            .any(|(id, endpoint)| endpoint.listing.service == *service && self.open(now, id))
    }

    /// A flight's output has reached this many tokens.
    pub fn progress(&mut self, flight: FlightId, made: TokenCount) {
        if let Some(flight) = self.flights.get_mut(&flight) {
            flight.started = true;
            flight.made = made;
        }
    }

    /// A flight ended.
    pub fn end(&mut self, now: Time, flight: FlightId, ending: Ending) {
        let Some(flight) = self.flights.remove(&flight) else {
            return;
        };
        let Some(endpoint) = self.endpoints.get_mut(&flight.endpoint) else {
            return;
        };
        match ending {
            Ending::Good => endpoint.health.good(),
            Ending::Failed => endpoint.health.failed(),
            Ending::Unreached => endpoint.health.unreached(now),
            Ending::Full | Ending::Untold => {}
        }
    }

    fn drop_flights(&mut self, id: &EndpointId) {
        self.flights.retain(|_, flight| flight.endpoint != *id);
    }
}
