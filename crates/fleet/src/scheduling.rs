//! Placing requests by what is believed of the endpoints.

use std::collections::{BTreeMap, BTreeSet};

use lentil_catalog::Service;
use lentil_core::{EndpointId, Span, Time, TokenCount, ZoneId};

use crate::Fleet;
use crate::endpoint::Endpoint;
use crate::fleet::{ENTRIES_ASSUMED, REPORT_LASTS};
use crate::in_flight::{Flight, PlacementId};
use crate::placement::{
    FAILING_WEIGHT, FAR_WEIGHT, GROWTH_PART, GenerationSize, JITTER, MEMORY_FILL, PlacedRequest,
    Placement, PlacementRequest, UNREAD_FULL_TOKENS, ZonePreference,
};

/// How long the load told with an answer is believed.
const TOLD_LASTS: Span = Span::from_ms(500);
/// Tokens by which another entry's running generation will yet grow.
const GROWTH_ASSUMED: u32 = 350;
/// Memory of an engine whose service doesn't tell it.
const MEMORY_ASSUMED: u32 = 16_384;
/// Endpoints of an availability zone that could not be reached before the whole
/// zone is in doubt.
const DOUBT_ENDPOINTS: u32 = 2;
/// What that doubt weighs against a full memory.
const DOUBT_WEIGHT: f64 = 0.6;
/// Fewest endpoints among which the least loaded is chosen: with more, a large
/// site sends an empty engine more prompts than it reads within the target
/// latency before a report shows them.
const SAMPLE_LEAST: usize = 3;
/// Makes the sample all endpoints for up to four entries, which know a quarter
/// or more of all requests themselves, and a few of them for ten or more.
const SAMPLE_FACTOR: usize = 20;

/// What an engine holds.
struct Occupied {
    used: TokenCount,
    running: u32,
    waiting: u32,
    /// Requests of this entry among them.
    own: u32,
}

/// An endpoint that has room, with a random number and its load.
type Fitting = (u64, f64, EndpointId);

impl Fleet {
    /// Chooses an endpoint and begins a flight there.
    pub fn place(&mut self, now: Time, need: &PlacementRequest, tried: &[EndpointId]) -> Placement {
        let entries = self.entry_count(now);
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&need.service).cloned());
        let open: Vec<_> = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| {
                endpoint.listing.service == need.service
                    && self.is_available(now, id)
                    && !tried.contains(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        if open.is_empty() {
            return Placement::NoEndpoint;
        }
        let mut fitting = self.fitting(now, open, need, service.as_ref(), entries);
        if let ZonePreference::CopySource(zone) = &need.zone_preference {
            self.keep_near(zone, &mut fitting);
        }
        match choose(fitting, entries) {
            Some(id) => self.begin(now, id, need),
            None => Placement::NoCapacity,
        }
    }

    /// Those that have room, with their loads.
    fn fitting(
        &mut self,
        now: Time,
        open: Vec<EndpointId>,
        need: &PlacementRequest,
        service: Option<&Service>,
        entries: u32,
    ) -> Vec<Fitting> {
        let doubtful = self.doubtful_zones(now);
        let mut fitting = Vec::new();
        for id in open {
            if !self.bears(now, &id, service, entries) {
                continue;
            }
            if let Some(score) = self.score(now, &id, need, service, entries) {
                let doubted = self
                    .endpoints
                    .get(&id)
                    .is_some_and(|endpoint| doubtful.contains(&endpoint.listing.zone));
                let doubt = if doubted { DOUBT_WEIGHT } else { 0.0 };
                fitting.push((spread(&id, need.jitter_seed), score + doubt, id));
            }
        }
        fitting
    }

    /// Leaves those in one availability zone, if there are any.
    fn keep_near(&self, zone: &ZoneId, fitting: &mut Vec<Fitting>) {
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

    fn begin(&mut self, now: Time, id: EndpointId, need: &PlacementRequest) -> Placement {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return Placement::NoEndpoint;
        };
        endpoint.cold.sent(now);
        let address = endpoint.listing.address;
        let flight = PlacementId(self.next_flight);
        self.next_flight += 1;
        let generation = need.generation.unwrap_or(GenerationSize {
            prompt_tokens: TokenCount::ZERO,
            expected_output_tokens: TokenCount::ZERO,
        });
        self.flights.insert(
            flight,
            Flight {
                endpoint: id.clone(),
                placed: now,
                prompt: generation.prompt_tokens,
                output: generation.expected_output_tokens,
                made: TokenCount::ZERO,
                started: false,
            },
        );
        Placement::Placed(PlacedRequest {
            endpoint: id,
            address,
            id: flight,
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
        need: &PlacementRequest,
        service: Option<&Service>,
        entries: u32,
    ) -> Option<f64> {
        let endpoint = self.endpoints.get(id)?;
        let load = match &need.generation {
            Some(generation) => self.engine_load(now, id, endpoint, service, generation)?,
            None => self.service_load(now, id, endpoint, entries),
        };
        let far = match &need.zone_preference {
            ZonePreference::Local if endpoint.listing.zone != self.zone => FAR_WEIGHT,
            ZonePreference::Local | ZonePreference::CopySource(_) => 0.0,
        };
        let failing = endpoint.health.failing_share() * FAILING_WEIGHT;
        Some(load + far + failing + jitter(id, need.jitter_seed))
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

    /// The forecast share of an engine's memory, and what waits to be read;
    /// `None` without room.
    fn engine_load(
        &self,
        now: Time,
        id: &EndpointId,
        endpoint: &Endpoint,
        service: Option<&Service>,
        generation: &GenerationSize,
    ) -> Option<f64> {
        let shape = service.and_then(|service| service.engine);
        let total = shape.map_or(MEMORY_ASSUMED, |shape| shape.memory_tokens.get());
        let total = f64::from(total.max(1));
        let slots = shape.map_or(1, |shape| shape.slots.max(1));
        let occupied = self.occupied(now, id, endpoint);
        let own_growth = self.tokens(id, Flight::growth);
        let others = occupied.running.saturating_sub(occupied.own);
        let growth = f64::from(own_growth.get()) + f64::from(others * GROWTH_ASSUMED);
        let need = f64::from(generation.prompt_tokens.get())
            + f64::from(generation.expected_output_tokens.get()) * GROWTH_PART;
        let forecast = f64::from(occupied.used.get()) + growth * GROWTH_PART + need;
        let empty = occupied.running == 0 && occupied.waiting == 0;
        let full = forecast > total * MEMORY_FILL || occupied.running + occupied.waiting >= slots;
        if full && !empty {
            return None;
        }
        let unread = self.tokens(id, Flight::unread);
        let others_unread = occupied.waiting.saturating_sub(self.unstarted(id));
        let unread = f64::from(unread.get())
            + f64::from(others_unread) * f64::from(generation.prompt_tokens.get());
        Some(forecast / total + unread / UNREAD_FULL_TOKENS)
    }

    /// What an engine holds: its latest report, and what this entry has sent
    /// there since.
    fn occupied(&self, now: Time, id: &EndpointId, endpoint: &Endpoint) -> Occupied {
        let own_used = self.tokens(id, Flight::held);
        let own = count(self.flights_at(id).count());
        let report = endpoint
            .report
            .as_ref()
            .filter(|(at, _)| !(*at + REPORT_LASTS).has_passed(now));
        let Some((at, report)) = report else {
            return Occupied {
                used: own_used,
                running: own,
                waiting: 0,
                own,
            };
        };
        let since: TokenCount = self
            .flights_at(id)
            .filter(|flight| flight.placed > *at)
            .map(|flight| flight.prompt)
            .sum();
        Occupied {
            used: (report.memory_used + since).max(own_used),
            running: report.running.max(own),
            waiting: report.waiting,
            own,
        }
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
}

/// The least loaded of a random sample. The more entries choose between two
/// reports, the smaller the sample: with the same late figures they would all
/// choose the same endpoint, and the smaller a part of them is, the less an
/// entry's own requests tell it.
fn choose(mut fitting: Vec<Fitting>, entries: u32) -> Option<EndpointId> {
    let entries = usize::try_from(entries.max(1)).unwrap_or(usize::MAX);
    let sample = (SAMPLE_FACTOR * fitting.len() / (entries * entries)).max(SAMPLE_LEAST);
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
