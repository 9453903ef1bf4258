//! Adaptive placement of plain requests, by the learned latency and limit of each endpoint.
//!
//! It is designed for a few endpoints of different speed that many entries send to. An endpoint
//! gets requests in proportion to its throughput, so that entries with the same knowledge don't
//! all choose the fastest one.

use std::collections::HashMap;

use lentil_core::{EndpointId, Span, Time};

use crate::Fleet;
use crate::endpoint::Endpoint;
use crate::in_flight::PlacementId;
use crate::placement::{Placement, PlacementRequest};
use crate::scheduling::{Candidate, REPORTED_LOAD_TTL, choose, unit};

/// Latency of a slow request relative to the mean one: work of 15 to 60 ms is 38 ms on average.
const SLOW_REQUEST_RATIO: f64 = 1.6;
/// Usual latency before any answer of a service.
const DEFAULT_LATENCY: Span = Span::from_ms(40);
/// Part of an endpoint's limit that one entry uses where it does not know the load, multiplied by
/// the number of entries. They seldom send at the same time.
const BLIND_SPREAD: u32 = 4;

/// The estimate for one endpoint.
struct Estimate {
    candidate: Candidate,
    ahead: u32,
    expected_us: f64,
    limit: u32,
    has_room: bool,
}

/// This entry's requests at an endpoint.
#[derive(Debug, Clone, Copy, Default)]
struct OwnCalls {
    all: u32,
    since_load: u32,
}

impl Fleet {
    /// When the answer to a plain request is wanted, if it is placed adaptively.
    pub(crate) fn adaptive_call_target(&self, request: &PlacementRequest) -> Option<Time> {
        let adaptive = request.generation.is_none() && self.is_adaptive(&request.service);
        request.wanted_by.filter(|_| adaptive)
    }

    /// Leaves out a plain request's latency, as its answer says nothing about the endpoint's speed.
    pub fn exclude_latency(&mut self, id: PlacementId) {
        if let Some(request) = self.in_flight.get_mut(&id) {
            request.calls_ahead = None;
        }
    }

    /// The learned limits that have changed by more than a third since they were last returned.
    pub fn changed_limits(&mut self, now: Time) -> Vec<(EndpointId, u32)> {
        let endpoints = self.endpoints.iter_mut();
        endpoints
            .filter_map(|(id, endpoint)| {
                let limit = endpoint.capacity.changed_limit(now)?;
                Some((id.clone(), limit))
            })
            .collect()
    }

    /// Places a plain request that is wanted by a time, at one of `candidates`.
    pub(crate) fn place_call(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        wanted_by: Time,
        candidates: Vec<Candidate>,
        entries: u32,
    ) -> Placement {
        let usual = self.usual_latency(request);
        let own = self.own_calls();
        let mut estimates = Vec::new();
        for candidate in candidates {
            let own = own.get(&candidate.2).copied().unwrap_or_default();
            if let Some(endpoint) = self.endpoints.get_mut(&candidate.2) {
                endpoint.capacity.set_service(usual, entries);
                estimates.push(estimate(now, candidate, endpoint, own, entries));
            }
        }
        let left_us = to_f64(wanted_by.since(now));
        let waiting_helps = to_f64(usual) * SLOW_REQUEST_RATIO <= left_us;
        let in_time = |estimate: &&Estimate| {
            estimate.has_room && estimate.expected_us * SLOW_REQUEST_RATIO <= left_us
        };
        let chosen = draw(estimates.iter().filter(in_time), request.jitter_seed).or_else(|| {
            draw(
                estimates.iter().filter(|one| one.has_room),
                request.jitter_seed,
            )
        });
        let chosen = match chosen {
            Some(chosen) => Some(chosen),
            None if waiting_helps => None,
            None => {
                let all = estimates.iter().map(|one| one.candidate.clone()).collect();
                choose(all, entries)
            }
        };
        let Some(id) = chosen else {
            return Placement::NoCapacity;
        };
        let ahead = estimates
            .iter()
            .find(|estimate| estimate.candidate.2 == id)
            .map(|estimate| estimate.ahead);
        if let Some(endpoint) = self.endpoints.get_mut(&id) {
            endpoint.capacity.record_send(now);
        }
        let placement = self.assign(now, id, request);
        if let Placement::Placed(placed) = &placement
            && let Some(in_flight) = self.in_flight.get_mut(&placed.id)
        {
            in_flight.calls_ahead = ahead;
        }
        placement
    }

    /// The mean unloaded latency of a service's endpoints, which is assumed where nothing is known:
    /// the lower half of them, as one slow endpoint says nothing about a new one.
    fn usual_latency(&self, request: &PlacementRequest) -> Span {
        let mut known: Vec<_> = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.record.service == request.service)
            .filter_map(|endpoint| endpoint.capacity.unloaded())
            .collect();
        known.sort_unstable();
        known
            .get(known.len().saturating_sub(1) / 2)
            .copied()
            .unwrap_or(DEFAULT_LATENCY)
    }

    fn own_calls(&self) -> HashMap<EndpointId, OwnCalls> {
        let mut calls: HashMap<EndpointId, OwnCalls> = HashMap::new();
        for request in self.in_flight.values() {
            let load = self
                .endpoints
                .get(&request.endpoint)
                .and_then(|endpoint| endpoint.reported_load);
            let since = load.is_some_and(|load| request.placed_at > load.reported_at);
            let own = calls.entry(request.endpoint.clone()).or_default();
            own.all += 1;
            own.since_load += u32::from(since);
        }
        calls
    }
}

fn estimate(
    now: Time,
    candidate: Candidate,
    endpoint: &Endpoint,
    own: OwnCalls,
    entries: u32,
) -> Estimate {
    let limit = endpoint.capacity.limit(now);
    let load = endpoint
        .reported_load
        .filter(|load| !(load.reported_at + REPORTED_LOAD_TTL).has_passed(now))
        .map(|reported| reported.load.running + reported.load.waiting + own.since_load);
    let ahead = load.unwrap_or(own.all).max(own.all);
    let expected = endpoint.capacity.expected_latency(now, ahead);
    let (expected, has_room) = if load.is_some() {
        (expected, ahead < limit)
    } else {
        let share = limit.saturating_mul(BLIND_SPREAD) / entries.max(1);
        let recent = endpoint.capacity.recent_latency(now);
        (expected.max(recent), own.all < share.clamp(1, limit))
    };
    Estimate {
        candidate,
        ahead,
        expected_us: to_f64(expected).max(1.0),
        limit,
        has_room,
    }
}

/// Draws an endpoint at random, in proportion to the endpoints' throughput.
fn draw<'a>(estimates: impl Iterator<Item = &'a Estimate>, seed: u64) -> Option<EndpointId> {
    let arrival = |estimate: &Estimate| {
        let throughput = f64::from(estimate.limit) / estimate.expected_us;
        -unit(&estimate.candidate.2, seed)
            .max(f64::MIN_POSITIVE)
            .ln()
            / throughput
    };
    estimates
        .min_by(|one, other| arrival(one).total_cmp(&arrival(other)))
        .map(|estimate| estimate.candidate.2.clone())
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(span: Span) -> f64 {
    span.as_us() as f64
}
