//! Smaller requests that pass one without room.

use lentil_core::{Span, Time};

use crate::entry::{Entry, Tier};
use crate::fair_queue::Queued;
use crate::outcome::{Start, Ticket};
use crate::service_queue::ServiceQueue;

/// Number of smaller requests that are tried in one dispatch while the next one has no room.
const PASSING_TRIES_MAX: usize = 4;
/// Number of requests of each organisation, and in all, that are considered for passing.
const PASSING_SCAN_PER_OWNER: usize = 16;
const PASSING_SCAN_MAX: usize = 64;

impl ServiceQueue {
    /// Starts a few smaller requests of the class of one that has no room, unless that one has to
    /// start now to be in time.
    pub(crate) fn start_smaller(
        &mut self,
        now: Time,
        blocked: Ticket,
        try_start: &mut impl FnMut(Ticket) -> Start,
    ) {
        let Some((_, head)) = self.waiting.first() else {
            return;
        };
        if head.ticket != blocked || self.starts_by(head).has_passed(now) {
            return;
        }
        // Those behind a request that was sent elsewhere before mostly use other endpoints.
        let passing_max = match head.request.restricted {
            true => u64::MAX,
            false => head.passed_cost_max(now).saturating_sub(head.passed_cost),
        };
        let smaller: Vec<_> = self
            .waiting
            .upcoming(head.class(), PASSING_SCAN_PER_OWNER)
            .take(PASSING_SCAN_MAX)
            .map(|(_, entry)| entry)
            .filter(|entry| entry.ticket != blocked)
            .filter(|entry| {
                let has_more_endpoints = head.request.restricted && !entry.request.restricted;
                entry.cost() < head.cost() || has_more_endpoints
            })
            .filter(|entry| entry.tier == Tier::Late || !self.is_late(now, entry))
            .take(PASSING_TRIES_MAX)
            .map(|entry| (entry.ticket, entry.cost()))
            .collect();
        let mut passed_cost = 0;
        for (ticket, cost) in smaller {
            if passed_cost + cost <= passing_max
                && self.start(now, ticket, try_start) == Start::Started
            {
                passed_cost += cost;
            }
        }
        self.record_passed(blocked, passed_cost);
    }

    fn record_passed(&mut self, ticket: Ticket, cost: u64) {
        let place = self.places.get(&ticket);
        let entry = place.and_then(|place| {
            self.waiting
                .get_mut(place.class, &place.owner, place.position)
        });
        if let Some(entry) = entry {
            entry.passed_cost += cost;
        }
    }

    /// When a request must start to be in time. The room for it must become free by then,
    /// which takes as long as requests of its cost take to leave.
    fn starts_by(&self, entry: &Entry) -> Time {
        let due = match entry.tier {
            Tier::InTime => entry.request.first_due,
            Tier::Late => entry.give_up_at,
        };
        let waits_at_most = due.since(entry.queued_at);
        let room = self
            .departures
            .time_for(entry.cost(), entry.request.priority);
        let needed = self.first_event_time(entry).max(room.unwrap_or(Span::ZERO));
        due - needed.min(Span::from_us(waits_at_most.as_us() / 2))
    }
}
