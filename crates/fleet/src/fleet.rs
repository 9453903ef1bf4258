//! The table of endpoints.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use lentil_catalog::{Catalog, Service};
use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount, ZoneId};

use crate::endpoint::{Endpoint, EngineReport, EngineStage, Listing, Standing, ToldLoad};
use crate::flight::{Ending, Flight, FlightId};
use crate::place::{
    FAILING_WEIGHT, FAR_WEIGHT, GROWTH_PART, GenerationNeed, JITTER, MEMORY_FILL, Nearness, Need,
    Place, Placement, UNREAD_FULL_TOKENS,
};

/// How long an engine's report is believed.
const REPORT_LASTS: Span = Span::from_ms(1_500);
/// How long the load told with an answer is believed.
const TOLD_LASTS: Span = Span::from_ms(500);
/// Endpoints of an availability zone that could not be reached before the whole
/// zone is in doubt.
const DOUBT_ENDPOINTS: u32 = 2;
/// What that doubt weighs against a full memory.
const DOUBT_WEIGHT: f64 = 0.6;
/// Fewest endpoints among which the least loaded is chosen.
const SAMPLE_LEAST: usize = 2;
/// How many times its part of the endpoints an entry chooses among.
const SAMPLE_FACTOR: usize = 4;
/// Entries assumed to send to an endpoint while no report tells their number.
const ENTRIES_ASSUMED: u32 = 8;
/// Tokens by which another entry's running generation will yet grow.
const GROWTH_ASSUMED: u32 = 350;
/// Memory of an engine whose service doesn't tell it.
const MEMORY_ASSUMED: u32 = 16_384;

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
    bounds: FleetBounds,
    zone: ZoneId,
    catalog: Option<Arc<Catalog>>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    zones_out: BTreeSet<ZoneId>,
    flights: HashMap<FlightId, Flight>,
    next_flight: u64,
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

    /// Chooses an endpoint and begins a flight there.
    pub fn place(&mut self, now: Time, need: &Need, tried: &[EndpointId]) -> Placement {
        let entries = self.entries(now);
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&need.service).cloned());
        let doubtful = self.doubtful_zones(now);
        let mut alive = false;
        let mut fitting: Vec<(u64, f64, EndpointId)> = Vec::new();
        let ids: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| {
                endpoint.listing.service == need.service
                    && self.open(now, id)
                    && !tried.contains(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            alive = true;
            if !self.bears(now, &id, service.as_ref(), entries) {
                continue;
            }
            let Some(score) = self.score(now, &id, need, service.as_ref(), entries) else {
                continue;
            };
            let doubt = self.endpoints.get(&id).map_or(0.0, |endpoint| {
                let doubted = doubtful.contains(&endpoint.listing.zone);
                if doubted { DOUBT_WEIGHT } else { 0.0 }
            });
            fitting.push((spread(&id, need.draw), score + doubt, id));
        }
        if let Nearness::Copy(zone) = &need.near {
            self.keep_near(zone, &mut fitting);
        }
        match choose(fitting, entries) {
            Some(id) => self.begin(now, id, need),
            None if alive => Placement::Full,
            None => Placement::Nowhere,
        }
    }

    /// Leaves those in one availability zone, if there are any.
    fn keep_near(&self, zone: &ZoneId, fitting: &mut Vec<(u64, f64, EndpointId)>) {
        let near = |id: &EndpointId| {
            self.endpoints
                .get(id)
                .is_some_and(|endpoint| endpoint.listing.zone == *zone)
        };
        if fitting.iter().any(|(_, _, id)| near(id)) {
            fitting.retain(|(_, _, id)| near(id));
        }
    }

    /// Other availability zones in which several endpoints could not be reached
    /// just now: this one may be cut off from them.
    fn doubtful_zones(&self, now: Time) -> BTreeSet<ZoneId> {
        let mut unreached: BTreeMap<&ZoneId, u32> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            if endpoint.health.recently_unreached(now) && endpoint.listing.zone != self.zone {
                *unreached.entry(&endpoint.listing.zone).or_default() += 1;
            }
        }
        unreached
            .into_iter()
            .filter(|(_, count)| *count >= DOUBT_ENDPOINTS)
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    fn begin(&mut self, now: Time, id: EndpointId, need: &Need) -> Placement {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return Placement::Nowhere;
        };
        endpoint.cold.sent(now);
        let address = endpoint.listing.address;
        let flight = FlightId(self.next_flight);
        self.next_flight += 1;
        let generation = need.generation.unwrap_or(GenerationNeed {
            prompt: TokenCount::ZERO,
            output: TokenCount::ZERO,
        });
        self.flights.insert(
            flight,
            Flight {
                endpoint: id.clone(),
                placed: now,
                prompt: generation.prompt,
                output: generation.output,
                made: TokenCount::ZERO,
                started: false,
            },
        );
        Placement::At(Place {
            endpoint: id,
            address,
            flight,
        })
    }

    /// Whether an endpoint's cold bound and health allow one more.
    fn bears(
        &mut self,
        now: Time,
        id: &EndpointId,
        service: Option<&Service>,
        entries: u32,
    ) -> bool {
        let bounds = self.bounds;
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        if endpoint.health.paused(now) {
            return false;
        }
        let cold = service.and_then(|service| service.cold);
        let Some(cold) = cold.filter(|_| !endpoint.cold_until.has_passed(now)) else {
            return true;
        };
        let bound = cold.requests_per_s + bounds.cold_slack / 2.0;
        endpoint.cold.admits(now, part(bound, entries))
    }

    /// How loaded an endpoint is, or `None` if it has no room.
    fn score(
        &self,
        now: Time,
        id: &EndpointId,
        need: &Need,
        service: Option<&Service>,
        entries: u32,
    ) -> Option<f64> {
        let endpoint = self.endpoints.get(id)?;
        let load = match &need.generation {
            Some(generation) => self.engine_load(now, id, endpoint, service, generation)?,
            None => self.service_load(now, id, endpoint, entries),
        };
        let far = match &need.near {
            Nearness::Own if endpoint.listing.zone != self.zone => FAR_WEIGHT,
            Nearness::Own | Nearness::Copy(_) => 0.0,
        };
        let failing = endpoint.health.failing_share() * FAILING_WEIGHT;
        Some(load + far + failing + jitter(id, need.draw))
    }

    fn service_load(&self, now: Time, id: &EndpointId, endpoint: &Endpoint, entries: u32) -> f64 {
        let own = f64::from(count(self.flights_at(id).count()));
        let told = endpoint
            .told
            .filter(|told| !(told.at + TOLD_LASTS).has_passed(now));
        match told {
            Some(told) => {
                let since = self.flights_at(id).filter(|flight| flight.placed > told.at);
                let known =
                    f64::from(told.running + told.waiting) + f64::from(count(since.count()));
                known / f64::from(told.slots.max(1))
            }
            None => own * f64::from(entries) / f64::from(ENTRIES_ASSUMED),
        }
    }

    /// The forecast share of an engine's memory, and what waits to be read.
    fn engine_load(
        &self,
        now: Time,
        id: &EndpointId,
        endpoint: &Endpoint,
        service: Option<&Service>,
        generation: &GenerationNeed,
    ) -> Option<f64> {
        let shape = service.and_then(|service| service.engine);
        let total = shape.map_or(MEMORY_ASSUMED, |shape| shape.memory_tokens.get());
        let slots = shape.map_or(1, |shape| shape.slots.max(1));
        let report = endpoint
            .report
            .as_ref()
            .filter(|(at, _)| !(*at + REPORT_LASTS).has_passed(now));
        let own_used = self.tokens(id, |flight| {
            if flight.started {
                flight.prompt + flight.made
            } else {
                flight.prompt
            }
        });
        let own_growth = self.tokens(id, Flight::growth);
        let own_count = count(self.flights_at(id).count());
        let (used, running, waiting) = match report {
            Some((at, report)) => {
                let late = self
                    .flights_at(id)
                    .filter(|flight| flight.placed > *at)
                    .map(|flight| flight.prompt);
                let late_tokens: TokenCount = late.sum();
                (
                    (report.memory_used + late_tokens).max(own_used),
                    report.running.max(own_count),
                    report.waiting,
                )
            }
            None => (own_used, own_count, 0),
        };
        let others = running.saturating_sub(own_count);
        let growth = f64::from(own_growth.get()) + f64::from(others * GROWTH_ASSUMED);
        let need =
            f64::from(generation.prompt.get()) + f64::from(generation.output.get()) * GROWTH_PART;
        let forecast = f64::from(used.get()) + growth * GROWTH_PART;
        let total = f64::from(total.max(1));
        let empty = running == 0 && waiting == 0 && own_count == 0;
        if !empty && (forecast + need > total * MEMORY_FILL || running + waiting >= slots) {
            return None;
        }
        let unread = self.tokens(id, |flight| {
            if flight.started {
                TokenCount::ZERO
            } else {
                flight.prompt
            }
        });
        let others_unread = waiting.saturating_sub(self.unstarted(id));
        let unread =
            f64::from(unread.get()) + f64::from(others_unread) * f64::from(generation.prompt.get());
        Some((forecast + need) / total + unread / UNREAD_FULL_TOKENS)
    }

    fn flights_at<'a>(&'a self, id: &'a EndpointId) -> impl Iterator<Item = &'a Flight> {
        self.flights
            .values()
            .filter(move |flight| flight.endpoint == *id)
    }

    fn tokens(&self, id: &EndpointId, of: impl Fn(&Flight) -> TokenCount) -> TokenCount {
        self.flights_at(id).map(of).sum()
    }

    fn unstarted(&self, id: &EndpointId) -> u32 {
        count(self.flights_at(id).filter(|flight| !flight.started).count())
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

/// The least loaded of a random sample. The more entries choose between two
/// reports, the smaller the sample: with the same late figures they would all
/// choose the same endpoint.
fn choose(mut fitting: Vec<(u64, f64, EndpointId)>, entries: u32) -> Option<EndpointId> {
    let entries = usize::try_from(entries.max(1)).unwrap_or(usize::MAX);
    let sample = (SAMPLE_FACTOR * fitting.len() / entries).max(SAMPLE_LEAST);
    fitting.sort_by_key(|(spread, _, _)| *spread);
    fitting.truncate(sample);
    fitting
        .into_iter()
        .min_by(|(_, one, _), (_, other, _)| one.total_cmp(other))
        .map(|(_, _, id)| id)
}

fn count(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// One entry's whole requests of a bound that all share.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn part(bound: f64, entries: u32) -> usize {
    ((bound / f64::from(entries.max(1))).floor() as usize).max(1)
}

/// A number that differs by endpoint and draw.
fn spread(id: &EndpointId, draw: u64) -> u64 {
    let mixed = id.as_str().bytes().fold(draw, |mixed, byte| {
        (mixed ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    // The low bits of such a product depend on few bytes.
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
}

/// A number below [`JITTER`] that differs by endpoint and draw.
fn jitter(id: &EndpointId, draw: u64) -> f64 {
    let low = u32::try_from(spread(id, draw) & 0xffff).unwrap_or(0);
    f64::from(low) / f64::from(0xffff_u32) * JITTER
}
