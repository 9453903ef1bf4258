//! Placement of requests by the estimated load of the endpoints.

use std::collections::{BTreeMap, BTreeSet};

use lentil_catalog::Service;
use lentil_core::{EndpointId, Span, Time, TokenCount, ZoneId};

use crate::Fleet;
use crate::endpoint::{Endpoint, ReportedLoad};
use crate::fleet::{DEFAULT_ENTRY_COUNT, REPORT_TTL};
use crate::in_flight::{InFlightRequest, PlacementId};
use crate::named_limit::{LimitedCapacity, combined_interval, send_interval};
use crate::placement::{
    FAILURE_WEIGHT, GenerationSize, JITTER_MAX, MEMORY_FILL_MAX, OUTPUT_RESERVE,
    PREFILL_FULL_TOKENS, PlacedRequest, Placement, PlacementRequest, REMOTE_ZONE_PENALTY,
    ZonePreference,
};

/// How long a load reported with an answer is used.
pub(crate) const REPORTED_LOAD_TTL: Span = Span::from_ms(500);
/// Assumed remaining output tokens of another entry's running generation.
const DEFAULT_REMAINING_OUTPUT: u32 = 350;
/// Assumed memory of an engine, in tokens, if the service does not specify it.
pub(crate) const DEFAULT_MEMORY_TOKENS: u32 = 16_384;
/// Number of unreachable endpoints in an availability zone from which on the whole
/// availability zone is suspected to be unreachable.
const SUSPECT_ZONE_ENDPOINTS: u32 = 2;
/// Score added for endpoints in such an availability zone, relative to a full memory.
const SUSPECT_ZONE_PENALTY: f64 = 0.6;
/// Minimum number of endpoints among which the least loaded is chosen. With more, a
/// large site sends an empty engine more prompts than it can prefill within the
/// target latency before a report shows them.
const SAMPLE_MIN: usize = 3;
/// Scales the sample so that it contains all endpoints for up to four entries, which
/// send a quarter or more of all requests themselves, and a few endpoints for ten or
/// more entries.
const SAMPLE_FACTOR: usize = 20;

/// Estimated use of an engine.
pub(crate) struct EngineUsage {
    memory_used: TokenCount,
    pub(crate) running: u32,
    pub(crate) waiting: u32,
    /// Number of this entry's requests at the engine.
    own: u32,
}

/// A random number, the score and the id of an endpoint that has capacity.
pub(crate) type Candidate = (u64, f64, EndpointId);

impl Fleet {
    /// Chooses an endpoint for a request, other than those in `tried`, and counts the
    /// request as in flight there.
    pub fn place(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        tried: &[EndpointId],
    ) -> Placement {
        let entries = self.entry_count(now);
        let service = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&request.service).cloned());
        let available = self.available(now, request, tried);
        if available.is_empty() {
            return Placement::NoEndpoint;
        }
        let available = self.prefer_followed(available, request);
        let mut candidates = self.candidates(now, available, request, service.as_ref(), entries);
        if let ZonePreference::CopySource(zone) = &request.zone_preference {
            self.prefer_zone(zone, &mut candidates);
        } else {
            self.keep_displaced_room(now, &mut candidates, request);
        }
        if let Some(target) = self.adaptive_target(request) {
            return self.place_in_time(now, request, target, candidates, entries);
        }
        if let Some(wanted_by) = self.adaptive_call_target(request) {
            return self.place_call(now, request, wanted_by, candidates, entries);
        }
        match choose(candidates, entries) {
            Some(id) => self.assign(now, id, request),
            None => Placement::NoCapacity,
        }
    }

    /// What this entry may send for a request if every endpoint that it could be placed at
    /// names a limit or wants no requests for a while; `None` if one does neither.
    #[must_use]
    pub fn limited_capacity(
        &self,
        now: Time,
        request: &PlacementRequest,
        tried: &[EndpointId],
    ) -> Option<LimitedCapacity> {
        let entries = self.entry_count(now);
        let available = self.prefer_followed(self.available(now, request, tried), request);
        let limits: Option<Vec<_>> = available
            .iter()
            .filter_map(|id| self.endpoints.get(id))
            .map(|endpoint| {
                let sharing = endpoint.sharing_entries(now, entries);
                let interval = endpoint
                    .named_limit
                    .map_or(Span::ZERO, |limit| send_interval(limit.rate, sharing));
                Some((endpoint.limited_until(now)?, interval))
            })
            .collect();
        let limits = limits?;
        let next_at = limits.iter().map(|(next_at, _)| *next_at).min()?;
        let intervals = limits.iter().map(|(_, interval)| *interval);
        Some(LimitedCapacity {
            next_at: next_at.max(now),
            interval: combined_interval(intervals),
        })
    }

    /// The endpoints that may get a request, other than those in `tried`.
    pub(crate) fn available(
        &self,
        now: Time,
        request: &PlacementRequest,
        tried: &[EndpointId],
    ) -> Vec<EndpointId> {
        let available = self
            .endpoints
            .iter()
            .filter(|(id, endpoint)| {
                endpoint.record.service == request.service
                    && self.is_available(now, id)
                    && !tried.contains(id)
            })
            .map(|(id, _)| id.clone())
            .collect();
        self.restrict_versions(request, available)
    }

    /// The available endpoints that have capacity, with their scores.
    fn candidates(
        &mut self,
        now: Time,
        available: Vec<EndpointId>,
        request: &PlacementRequest,
        service: Option<&Service>,
        entries: u32,
    ) -> Vec<Candidate> {
        let suspect_zones = self.suspect_zones(now);
        let mut candidates = Vec::new();
        for id in available {
            if !self.may_send_to(now, &id, service, entries) {
                continue;
            }
            if let Some(score) = self.score(now, &id, request, service, entries) {
                let in_suspect_zone = self
                    .endpoints
                    .get(&id)
                    .is_some_and(|endpoint| suspect_zones.contains(&endpoint.record.zone));
                let penalty = if in_suspect_zone {
                    SUSPECT_ZONE_PENALTY
                } else {
                    0.0
                };
                let pauses = self.pause_cost(now, &id, request);
                let score = score + penalty + pauses;
                candidates.push((hash(&id, request.jitter_seed), score, id));
            }
        }
        candidates
    }

    /// Keeps only the followed engines, if any of them is available. Of the others this
    /// entry knows neither the load nor in time that they leave.
    fn prefer_followed(
        &self,
        mut available: Vec<EndpointId>,
        request: &PlacementRequest,
    ) -> Vec<EndpointId> {
        let is_followed = |id: &EndpointId| self.followed.contains(id);
        if request.generation.is_some() && available.iter().any(is_followed) {
            available.retain(is_followed);
        }
        available
    }

    /// Keeps only the candidates in one availability zone, if there are any.
    fn prefer_zone(&self, zone: &ZoneId, candidates: &mut Vec<Candidate>) {
        let is_in_zone = |id: &EndpointId| {
            self.endpoints
                .get(id)
                .is_some_and(|endpoint| endpoint.record.zone == *zone)
        };
        if candidates.iter().any(|(_, _, id)| is_in_zone(id)) {
            candidates.retain(|(_, _, id)| is_in_zone(id));
        }
    }

    /// Other availability zones in which several endpoints were unreachable recently;
    /// this entry may be partitioned from them.
    fn suspect_zones(&self, now: Time) -> BTreeSet<ZoneId> {
        let mut unreachable: BTreeMap<&ZoneId, u32> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            if endpoint.health.recently_unreachable(now) && endpoint.record.zone != self.zone {
                *unreachable.entry(&endpoint.record.zone).or_default() += 1;
            }
        }
        unreachable
            .into_iter()
            .filter(|(_, count)| *count >= SUSPECT_ZONE_ENDPOINTS)
            .map(|(zone, _)| zone.clone())
            .collect()
    }

    pub(crate) fn assign(
        &mut self,
        now: Time,
        id: EndpointId,
        request: &PlacementRequest,
    ) -> Placement {
        let entries = self.entry_count(now);
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return Placement::NoEndpoint;
        };
        endpoint.cold_window.record(now);
        let sharing = endpoint.sharing_entries(now, entries);
        if let Some(limit) = &mut endpoint.named_limit {
            limit.record_send(now, sharing);
        }
        let address = endpoint.record.address;
        let version = endpoint.record.version.clone();
        let placement_id = PlacementId(self.next_placement_id);
        self.next_placement_id += 1;
        let generation = request.generation.unwrap_or(GenerationSize {
            prompt_tokens: TokenCount::ZERO,
            expected_output_tokens: TokenCount::ZERO,
        });
        self.in_flight.insert(
            placement_id,
            InFlightRequest {
                endpoint: id.clone(),
                placed_at: now,
                prompt: generation.prompt_tokens,
                expected_output: generation.expected_output_tokens,
                generated: TokenCount::ZERO,
                prefilled: false,
                prefill_work: None,
                announced_at: None,
                calls_ahead: None,
            },
        );
        Placement::Placed(PlacedRequest {
            endpoint: id,
            address,
            id: placement_id,
            version,
        })
    }

    /// Whether an endpoint's health and limits allow another request.
    pub(crate) fn may_send_to(
        &mut self,
        now: Time,
        id: &EndpointId,
        service: Option<&Service>,
        entries: u32,
    ) -> bool {
        let config = self.config;
        if !self.is_rested(now, id) {
            return false;
        }
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return false;
        };
        let limited = endpoint
            .named_limit
            .is_some_and(|limit| !limit.next_at.has_passed(now));
        if endpoint.health.in_backoff(now) || limited {
            return false;
        }
        let cold = service.and_then(|service| service.cold);
        let Some(cold) = cold.filter(|_| !endpoint.cold_until.has_passed(now)) else {
            return true;
        };
        let limit = cold.requests_per_s + config.cold_slack / 2.0;
        let sharing = endpoint.sharing_entries(now, entries);
        endpoint
            .cold_window
            .allows(now, entry_share(limit, sharing))
    }

    /// Whether an endpoint that asked for rest may get another request.
    fn is_rested(&self, now: Time, id: &EndpointId) -> bool {
        let rest = self.endpoints.get(id).and_then(|endpoint| endpoint.rest);
        rest.is_none_or(|rest| {
            let since = |request: &&InFlightRequest| request.placed_at >= rest.until;
            rest.allows(now, self.requests_at(id).filter(since).count())
        })
    }

    /// The score of an endpoint, where lower is better; `None` if it has no capacity.
    fn score(
        &self,
        now: Time,
        id: &EndpointId,
        request: &PlacementRequest,
        service: Option<&Service>,
        entries: u32,
    ) -> Option<f64> {
        let endpoint = self.endpoints.get(id)?;
        let load = match &request.generation {
            Some(generation) => self.engine_load(now, id, endpoint, service, generation)?,
            None => self.service_load(now, id, endpoint, entries),
        };
        let zone_penalty = match &request.zone_preference {
            ZonePreference::Local if endpoint.record.zone != self.zone => REMOTE_ZONE_PENALTY,
            ZonePreference::Local | ZonePreference::CopySource(_) => 0.0,
        };
        let failures = endpoint.health.failure_rate() * FAILURE_WEIGHT;
        Some(load + zone_penalty + failures + jitter(id, request.jitter_seed))
    }

    fn service_load(&self, now: Time, id: &EndpointId, endpoint: &Endpoint, entries: u32) -> f64 {
        let own = f64::from(to_u32(self.requests_at(id).count()));
        let reported = endpoint
            .reported_load
            .filter(|load| !(load.reported_at + REPORTED_LOAD_TTL).has_passed(now));
        match reported {
            Some(ReportedLoad { load, reported_at }) => {
                let since = self
                    .requests_at(id)
                    .filter(|request| request.placed_at > reported_at);
                let requests =
                    f64::from(load.running + load.waiting) + f64::from(to_u32(since.count()));
                requests / f64::from(load.slots.max(1))
            }
            None => own * f64::from(entries) / f64::from(DEFAULT_ENTRY_COUNT),
        }
    }

    /// The forecast memory use of an engine as a fraction of its memory, plus its
    /// pending prefill; `None` if it has no capacity.
    fn engine_load(
        &self,
        now: Time,
        id: &EndpointId,
        endpoint: &Endpoint,
        service: Option<&Service>,
        generation: &GenerationSize,
    ) -> Option<f64> {
        let engine = service.and_then(|service| service.engine);
        let total = engine.map_or(DEFAULT_MEMORY_TOKENS, |engine| engine.memory_tokens.get());
        let total = f64::from(total.max(1));
        let slots = engine.map_or(1, |engine| engine.slots.max(1));
        let usage = self.engine_usage(now, id, endpoint);
        let forecast = self.forecast_memory(id, &usage) + requested_memory(generation);
        let empty = usage.running == 0 && usage.waiting == 0;
        let full = forecast > total * MEMORY_FILL_MAX || usage.running + usage.waiting >= slots;
        if full && !empty {
            return None;
        }
        let own_prefill = self.sum_tokens(id, InFlightRequest::prefill_pending);
        let others_waiting = usage.waiting.saturating_sub(self.prefill_pending_count(id));
        let prefill_pending = f64::from(own_prefill.get())
            + f64::from(others_waiting) * f64::from(generation.prompt_tokens.get());
        Some(forecast / total + prefill_pending / PREFILL_FULL_TOKENS)
    }

    /// The tokens that an engine's requests, and this entry's copies there, are expected to
    /// occupy together.
    pub(crate) fn forecast_memory(&self, id: &EndpointId, usage: &EngineUsage) -> f64 {
        let own_output = self.sum_tokens(id, InFlightRequest::remaining_output);
        let others = usage.running.saturating_sub(usage.own);
        let remaining_output =
            f64::from(own_output.get()) + f64::from(others * DEFAULT_REMAINING_OUTPUT);
        f64::from(usage.memory_used.get())
            + remaining_output * OUTPUT_RESERVE
            + f64::from(self.copied_tokens(id).get())
    }

    /// Estimates how much memory an engine uses and how many requests it has running and
    /// waiting.
    ///
    /// The engine's latest report covers the requests of all entries. The prompts of the
    /// requests that the entry process owning this [`Fleet`] has placed at the engine since
    /// then are added to the reported memory use. The requests in flight from this process
    /// are a lower bound, and count alone if there is no recent report.
    pub(crate) fn engine_usage(
        &self,
        now: Time,
        id: &EndpointId,
        endpoint: &Endpoint,
    ) -> EngineUsage {
        let own_used = self.sum_tokens(id, InFlightRequest::memory_used);
        let own = to_u32(self.requests_at(id).count());
        let report = endpoint
            .report
            .as_ref()
            .filter(|(at, _)| !(*at + REPORT_TTL).has_passed(now));
        let Some((at, report)) = report else {
            return EngineUsage {
                memory_used: own_used,
                running: own,
                waiting: 0,
                own,
            };
        };
        let since: TokenCount = self
            .requests_at(id)
            .filter(|request| request.placed_at > *at)
            .map(|request| request.prompt)
            .sum();
        EngineUsage {
            memory_used: (report.memory_used + since).max(own_used),
            running: report.running.max(own),
            waiting: report.waiting,
            own,
        }
    }

    fn requests_at<'a>(&'a self, id: &'a EndpointId) -> impl Iterator<Item = &'a InFlightRequest> {
        self.in_flight
            .values()
            .filter(move |request| request.endpoint == *id)
    }

    fn sum_tokens(
        &self,
        id: &EndpointId,
        tokens: impl Fn(&InFlightRequest) -> TokenCount,
    ) -> TokenCount {
        self.requests_at(id).map(tokens).sum()
    }

    fn prefill_pending_count(&self, id: &EndpointId) -> u32 {
        to_u32(
            self.requests_at(id)
                .filter(|request| !request.prefilled)
                .count(),
        )
    }
}

/// Chooses the candidate with the lowest score from a random sample.
///
/// The sample shrinks with the number of entries. Entries with the same outdated
/// reports would otherwise all choose the same endpoint, and with many entries, the
/// requests that each of them places itself say little about the load.
pub(crate) fn choose(mut candidates: Vec<Candidate>, entries: u32) -> Option<EndpointId> {
    let entries = usize::try_from(entries.max(1)).unwrap_or(usize::MAX);
    let sample_size = (SAMPLE_FACTOR * candidates.len() / (entries * entries)).max(SAMPLE_MIN);
    candidates.sort_by_key(|(hash, _, _)| *hash);
    candidates.truncate(sample_size);
    candidates
        .into_iter()
        .min_by(|(_, one, _), (_, other, _)| one.total_cmp(other))
        .map(|(_, _, id)| id)
}

/// The tokens of memory that a generation needs by forecast.
pub(crate) fn requested_memory(generation: &GenerationSize) -> f64 {
    f64::from(generation.prompt_tokens.get())
        + f64::from(generation.expected_output_tokens.get()) * OUTPUT_RESERVE
}

fn to_u32(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// One entry's share of a limit that applies to all entries together, in whole
/// requests and at least 1.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn entry_share(limit: f64, entries: u32) -> usize {
    ((limit / f64::from(entries.max(1))).floor() as usize).max(1)
}

/// Hashes an endpoint id with a seed.
fn hash(id: &EndpointId, seed: u64) -> u64 {
    let hash = id.as_str().bytes().fold(seed, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
    });
    // The low bits of such a product depend on only a few bytes of the id.
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 16
}

/// A number between 0 and [`JITTER_MAX`], derived from an endpoint id and a seed.
fn jitter(id: &EndpointId, seed: u64) -> f64 {
    unit(id, seed) * JITTER_MAX
}

/// A number between 0 and 1, derived from an endpoint id and a seed.
pub(crate) fn unit(id: &EndpointId, seed: u64) -> f64 {
    let low = u32::try_from(hash(id, seed) & 0xffff).unwrap_or(0);
    f64::from(low) / f64::from(0xffff_u32)
}
