//! Adaptive placement: by the estimated time to the first event.
//!
//! It is designed for bursts in which all engines are busy and requests differ in urgency. Engines
//! serve their queues in order of arrival, so that a request is placed only where its first event
//! comes in time, and where a more urgent one after it would still be in time. Otherwise it waits
//! in the gateway, where requests can be reordered.

use std::collections::BTreeMap;

use lentil_capacity::PrefillWork;
use lentil_catalog::{PriorityLevel, RouteKind};
use lentil_core::{EndpointId, ServiceName, Span, Time};

use crate::Fleet;
use crate::engine_view::{ServiceHistory, to_f64};
use crate::in_flight::PlacementId;
use crate::placement::{GenerationSize, Placement, PlacementRequest, ZonePreference};
use crate::scheduling::{Candidate, choose};

/// Part of the time left that an estimate may fill. With 0.95, replays had no more requests in time.
const TIME_LEFT_USED: f64 = 0.85;
/// Time for the way to the engine and back, including a connection.
const TRANSIT: Span = Span::from_ms(50);
/// Part of the target of more urgent requests up to which less urgent ones may fill an engine's
/// queue, so that a request with an own prefill of a third of its target is still in time.
const URGENT_TARGET_USED: f64 = 0.6;
/// Multiple of a prompt's own prefill that it may take at least beside more urgent requests.
const LARGE_PROMPT_ROOM: f64 = 1.4;
/// Time before the last moment from which on a request takes any engine that is in time. Its
/// gateway learns of the engines' state every 240 ms.
const LAST_CHANCE: Span = Span::from_ms(400);

impl Fleet {
    /// When the first event of a request is wanted, if it is placed adaptively. A generation that
    /// moves from a leaving engine is not, as its prompt is not prefilled again.
    pub(crate) fn adaptive_target(
        &self,
        request: &PlacementRequest,
    ) -> Option<(Time, GenerationSize)> {
        let moves = matches!(request.zone_preference, ZonePreference::CopySource(_));
        if moves || !self.is_adaptive(&request.service) {
            return None;
        }
        Some((request.wanted_by?, request.generation?))
    }

    /// Places a generation that wants its first event by a time, at one of `candidates`.
    pub(crate) fn place_in_time(
        &mut self,
        now: Time,
        request: &PlacementRequest,
        (wanted_by, size): (Time, GenerationSize),
        candidates: Vec<Candidate>,
        entries: u32,
    ) -> Placement {
        let history = self.histories.entry(request.service.clone());
        history.or_insert_with(|| ServiceHistory::new(request.jitter_seed));
        let chosen = self.choose_engine(now, request, (wanted_by, size), candidates, entries);
        let Some((id, work)) = chosen else {
            return Placement::NoCapacity;
        };
        let placement = self.assign(now, id, request);
        if let Placement::Placed(placed) = &placement {
            if let Some(in_flight) = self.in_flight.get_mut(&placed.id) {
                in_flight.prefill_work = Some(work);
            }
            if let Some(history) = self.histories.get_mut(&request.service) {
                history.record_placement(now, size.prompt_tokens);
            }
        }
        placement
    }

    /// Chooses an engine that produces the first event in time. If there is none, the request waits
    /// while an idle engine would still be in time, and gets the least loaded one afterwards.
    fn choose_engine(
        &self,
        now: Time,
        request: &PlacementRequest,
        (wanted_by, size): (Time, GenerationSize),
        candidates: Vec<Candidate>,
        entries: u32,
    ) -> Option<(EndpointId, PrefillWork)> {
        let history = self.histories.get(&request.service)?;
        let view = self.engine_view(now, request, history, entries);
        let usable = usable_time(wanted_by.since(now));
        let shortest = view.shortest(&size);
        let mut firsts = BTreeMap::new();
        for (_, _, id) in &candidates {
            if let Some(endpoint) = self.endpoints.get(id) {
                let first = view.first_event(now, id, endpoint, &size);
                firsts.insert(id.clone(), (first, endpoint));
            }
        }
        let soonest = firsts.values().map(|(first, _)| first.expected).min();
        // A less urgent request that would be late after another wait takes what is in time.
        let is_last_chance = soonest.is_some_and(|soonest| soonest + LAST_CHANCE >= usable);
        let limit = if is_last_chance {
            usable
        } else {
            usable.min(self.room_limit(request, shortest))
        };
        let is_in_time = |(_, _, id): &Candidate| {
            let first = firsts.get(id).map(|(first, _)| first);
            first
                .is_some_and(|first| first.fits && first.expected <= limit && first.in_share(limit))
        };
        let costs = candidates.into_iter().filter_map(|(hash, score, id)| {
            let (first, endpoint) = firsts.get(&id)?;
            Some((hash, score + view.cost(first, endpoint, &size), id))
        });
        let (in_time, others): (Vec<_>, Vec<_>) = costs.partition(is_in_time);
        let chosen = if !in_time.is_empty() {
            choose(in_time, entries)
        } else if shortest <= usable {
            None
        } else {
            choose(others, entries)
        };
        let id = chosen?;
        let work = firsts.get(&id)?.0.work;
        Some((id, work))
    }

    /// The time to the first event up to which a request may fill an engine's queue beside more
    /// urgent ones.
    fn room_limit(&self, request: &PlacementRequest, shortest: Span) -> Span {
        let urgent = self.urgent_target(&request.service, request.priority);
        urgent.map_or(Span::from_us(u64::MAX), |target| {
            // A prompt that alone takes longer than that must not wait for ever.
            part(target, URGENT_TARGET_USED).max(part(shortest, LARGE_PROMPT_ROOM))
        })
    }

    /// Records that the first event of a request has arrived.
    pub fn record_first_event(&mut self, now: Time, id: PlacementId) {
        let Some(request) = self.in_flight.get_mut(&id) else {
            return;
        };
        let took = now.since(request.placed_at);
        let Some(work) = request.prefill_work.take() else {
            return;
        };
        let endpoint = self.endpoints.get(&request.endpoint);
        let service = endpoint.map(|endpoint| &endpoint.record.service);
        if let Some(history) = service.and_then(|service| self.histories.get_mut(service)) {
            history.prefill.record_first_event(&work, took);
        }
    }

    /// The shortest target of the service's more urgent generations.
    fn urgent_target(&self, service: &ServiceName, priority: PriorityLevel) -> Option<Span> {
        let routes = self.catalog.iter().flat_map(|catalog| catalog.routes());
        routes
            .filter(|route| route.kind == RouteKind::Streaming && route.priority < priority)
            .filter(|route| {
                let mut services = route.weighted_services.iter();
                services.any(|weighted| weighted.service == *service)
            })
            .map(|route| route.target_latency)
            .min()
    }
}

/// The part of the time left that an estimate may fill.
fn usable_time(time_left: Span) -> Span {
    let left = time_left.as_us().saturating_sub(TRANSIT.as_us());
    part(Span::from_us(left), TIME_LEFT_USED)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn part(span: Span, part: f64) -> Span {
    Span::from_us((to_f64(span) * part) as u64)
}
