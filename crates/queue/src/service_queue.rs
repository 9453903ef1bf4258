//! The requests that wait for one service.

use std::collections::{BTreeMap, HashMap};

use lentil_catalog::PriorityLevel;
use lentil_core::{OrganisationId, Span, Time};

use crate::departures::Departures;
use crate::entry::{Class, Entry, Tier};
use crate::fair_class::Position;
use crate::fair_queue::{FairQueue, Queued};
use crate::first_event_time::FirstEventTime;
use crate::outcome::{Offer, Rejection, RejectionCause, Start, Ticket};
use crate::request::{QueuedRequest, RequestCost};

/// Requests of its own size that are ahead of a request below which it is not rejected early.
const EARLY_REJECTION_AHEAD_MIN: u64 = 4;
/// Part of its time that an arriving request may be expected to wait, in percent. The rest
/// covers errors of the measured rate, with which admitted requests would be late in a row.
const EXPECTED_WAIT_PERCENT: u64 = 80;
/// Most requests of a class that one check rejects because they are not expected to be in time,
/// which bounds the time that the check takes.
const SWEEP_REJECTIONS_MAX: usize = 256;
/// Interval of the check for requests that can't be served in time any more.
const SWEEP_INTERVAL: Span = Span::from_ms(100);

/// Where a waiting request is in the fair queue.
#[derive(Debug, Clone)]
pub(crate) struct Place {
    pub(crate) class: Class,
    pub(crate) owner: Option<OrganisationId>,
    pub(crate) position: Position,
}

/// The requests that wait for one service.
#[derive(Debug)]
pub struct ServiceQueue {
    pub(crate) waiting: FairQueue<Entry>,
    pub(crate) places: HashMap<Ticket, Place>,
    len_max: usize,
    next_ticket: u64,
    /// Whether the last dispatch left requests waiting for room.
    blocked: bool,
    pub(crate) departures: Departures,
    first_event_time: FirstEventTime,
    sweep_at: Time,
}

impl ServiceQueue {
    /// Creates an empty queue for at most `len_max` requests.
    #[must_use]
    pub fn new(len_max: usize) -> Self {
        Self {
            waiting: FairQueue::new(),
            places: HashMap::new(),
            len_max,
            next_ticket: 0,
            blocked: false,
            departures: Departures::default(),
            first_event_time: FirstEventTime::default(),
            sweep_at: Time::ZERO,
        }
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Number of waiting requests of each priority level that has any.
    #[must_use]
    pub fn len_by_priority(&self) -> BTreeMap<PriorityLevel, usize> {
        let mut counts = BTreeMap::new();
        for (class, len) in self.waiting.lens() {
            *counts.entry(class.1).or_default() += len;
        }
        counts
    }

    /// Whether no request is waiting.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a request, or rejects it if it is not expected to be served in time. If the queue
    /// is full, the last request of the longest flow in the last class is rejected.
    ///
    /// # Errors
    ///
    /// A rejection of this request.
    pub fn offer(&mut self, now: Time, request: QueuedRequest) -> Result<Offer, Rejection> {
        self.departures.advance(now, !self.is_empty());
        let mut entry = Entry::new(now, Ticket(self.next_ticket), request);
        entry.start_due = entry.request.first_due - self.first_event_time(&entry);
        if self.is_late(now, &entry) {
            entry.tier = Tier::Late;
        }
        if let Some(wait) = self.expected_wait(&entry)
            && self.is_late(now + planned(wait), &entry)
        {
            return Err(Rejection::new(RejectionCause::NotInTime, Some(wait)));
        }
        self.next_ticket += 1;
        let ticket = entry.ticket;
        self.insert(entry);
        match self.evict() {
            Some((rejected, rejection)) if rejected == ticket => Err(rejection),
            evicted => Ok(Offer { ticket, evicted }),
        }
    }

    /// Rejects a request if the queue is longer than allowed.
    fn evict(&mut self) -> Option<(Ticket, Rejection)> {
        if self.len() <= self.len_max {
            return None;
        }
        let entry = self.waiting.drop_last()?;
        self.places.remove(&entry.ticket);
        let all_in_time = (Tier::Late, PriorityLevel::new(0));
        let cost = self.waiting.cost_before(all_in_time);
        let wait = self.departures.time_for(cost, PriorityLevel::new(0));
        let rejection = Rejection::new(RejectionCause::Full, wait);
        Some((entry.ticket, rejection))
    }

    fn insert(&mut self, entry: Entry) {
        let (ticket, class, owner) = (entry.ticket, entry.class(), entry.owner().clone());
        let position = match entry.request.continued {
            true => self.waiting.push_front(entry),
            false => self.waiting.push(entry),
        };
        let place = Place {
            class,
            owner,
            position,
        };
        self.places.insert(ticket, place);
    }

    /// Removes a request that is no longer wanted. Returns whether it waited.
    pub fn cancel(&mut self, now: Time, ticket: Ticket) -> bool {
        self.departures.advance(now, !self.is_empty());
        self.remove(ticket).is_some()
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Entry> {
        let place = self.places.remove(&ticket)?;
        self.waiting
            .remove(place.class, &place.owner, place.position)
    }

    /// Whether a dispatch may start this request, which has just been added. If the queue
    /// waits for room, only its next request has to be tried.
    #[must_use]
    pub fn is_due(&self, ticket: Ticket) -> bool {
        let first = self.waiting.first();
        !self.blocked || first.is_some_and(|(_, entry)| entry.ticket == ticket)
    }

    /// Starts requests in order until one finds no room. Of those behind it in its class, a
    /// few smaller ones are tried, unless it has to start now to be in time.
    pub fn dispatch(&mut self, now: Time, mut try_start: impl FnMut(Ticket) -> Start) {
        self.departures.advance(now, !self.is_empty());
        self.blocked = false;
        while let Some(ticket) = self.next(now) {
            if self.start(now, ticket, &mut try_start) == Start::NoRoom {
                self.blocked = true;
                self.start_smaller(now, ticket, &mut try_start);
                return;
            }
        }
    }

    /// The next request, after those that have become late were moved behind the others.
    fn next(&mut self, now: Time) -> Option<Ticket> {
        loop {
            let (_, entry) = self.waiting.first()?;
            let ticket = entry.ticket;
            if entry.tier == Tier::Late || !self.is_late(now, entry) {
                return Some(ticket);
            }
            self.demote(ticket);
        }
    }

    fn demote(&mut self, ticket: Ticket) {
        if let Some(mut entry) = self.remove(ticket) {
            entry.tier = Tier::Late;
            self.insert(entry);
        }
    }

    pub(crate) fn start(
        &mut self,
        now: Time,
        ticket: Ticket,
        try_start: &mut impl FnMut(Ticket) -> Start,
    ) -> Start {
        let start = try_start(ticket);
        match start {
            Start::Started => self.depart(now, ticket),
            Start::Ended => drop(self.remove(ticket)),
            Start::NoRoom => {}
        }
        start
    }

    fn depart(&mut self, now: Time, ticket: Ticket) {
        let Some(place) = self.places.remove(&ticket) else {
            return;
        };
        let taken = self.waiting.take(place.class, &place.owner, place.position);
        // Requests that found room at once say nothing of the rate that the service sustains.
        if let Some(entry) = taken
            && (entry.queued_at < now || !self.is_empty())
        {
            self.departures.record(entry.request.priority, entry.cost());
        }
    }

    /// Whether [`ServiceQueue::sweep`] has something to do.
    #[must_use]
    pub const fn is_sweep_due(&self, now: Time) -> bool {
        self.sweep_at.has_passed(now)
    }

    /// Rejects the requests that can't be served in time any more, at most every 100 ms.
    pub fn sweep(&mut self, now: Time) -> Vec<(Ticket, Rejection)> {
        if !self.is_sweep_due(now) {
            return Vec::new();
        }
        self.sweep_at = now + SWEEP_INTERVAL;
        self.departures.advance(now, !self.is_empty());
        let mut expired = Vec::new();
        let mut late = Vec::new();
        for (_, entry) in self.waiting.iter() {
            if entry.give_up_at.has_passed(now) {
                expired.push(entry.ticket);
            } else if entry.tier == Tier::InTime && self.is_late(now, entry) {
                late.push(entry.ticket);
            }
        }
        for ticket in late {
            self.demote(ticket);
        }
        let mut rejected: Vec<_> = expired
            .into_iter()
            .filter_map(|ticket| {
                let entry = self.remove(ticket)?;
                let wait = self.expected_wait(&entry);
                Some((ticket, Rejection::new(RejectionCause::Expired, wait)))
            })
            .collect();
        let classes: Vec<Class> = self.waiting.classes().collect();
        for class in classes {
            self.reject_hopeless(now, class, &mut rejected);
        }
        rejected
    }

    /// Rejects the requests of a class that are served last until the last one is expected to
    /// be in time.
    fn reject_hopeless(
        &mut self,
        now: Time,
        class: Class,
        rejected: &mut Vec<(Ticket, Rejection)>,
    ) {
        let rejections_max = rejected.len() + SWEEP_REJECTIONS_MAX;
        loop {
            let lasts = self.waiting.lasts(class).map(|entry| entry.ticket);
            let lasts: Vec<_> = lasts.collect();
            if lasts.is_empty() {
                return;
            }
            for ticket in lasts {
                let Some(wait) = self.hopeless_wait(now, ticket) else {
                    return;
                };
                if rejected.len() >= rejections_max {
                    return;
                }
                self.remove(ticket);
                let rejection = Rejection::new(RejectionCause::NotInTime, Some(wait));
                rejected.push((ticket, rejection));
            }
        }
    }

    /// The expected wait of a request that is served last of its class, if it will be late.
    fn hopeless_wait(&self, now: Time, ticket: Ticket) -> Option<Span> {
        let place = self.places.get(&ticket)?;
        let entry = self
            .waiting
            .get(place.class, &place.owner, place.position)?;
        let ahead = self.waiting.cost_of(place.class) - entry.cost();
        let wait = self.wait_behind(entry, ahead)?;
        self.is_late(now + wait, entry).then_some(wait)
    }

    /// Whether a request that starts at this time is late, or too late if it is late already.
    pub(crate) fn is_late(&self, starts_at: Time, entry: &Entry) -> bool {
        match entry.tier {
            Tier::InTime => starts_at + self.first_event_time(entry) > entry.request.first_due,
            Tier::Late => starts_at > entry.give_up_at,
        }
    }

    /// Expected wait of a request that arrives now. `None` if few are ahead of it or the rate
    /// is unknown.
    fn expected_wait(&self, entry: &Entry) -> Option<Span> {
        self.wait_behind(entry, self.waiting.cost_ahead(entry))
    }

    /// Expected wait behind this cost of requests of the same class.
    fn wait_behind(&self, entry: &Entry, own_class: u64) -> Option<Span> {
        let earlier = self.waiting.cost_before(entry.class());
        if earlier + own_class < EARLY_REJECTION_AHEAD_MIN * entry.cost() {
            return None;
        }
        // More urgent requests take what they need first, also those that are yet to arrive.
        let until_class = self.departures.time_for(earlier, PriorityLevel::new(0))?;
        let in_class = self
            .departures
            .time_for(own_class, entry.request.priority)?;
        Some(until_class + in_class)
    }

    /// Records the time from the start of a request to its first event or its answer.
    pub fn record_first_event(&mut self, cost: RequestCost, took: Span) {
        self.first_event_time.record(cost, took);
    }

    /// Records that a request that was started did no work, as its endpoint failed or
    /// declined it. Fast failures must not look like a high rate of departures.
    pub fn record_failed_start(&mut self, priority: PriorityLevel, cost: RequestCost) {
        self.departures.retract(priority, cost.total());
    }

    /// Time to the first event that is allowed for: at most half of the request's time, so
    /// that no request counts as late when it arrives because the service is slow.
    pub(crate) fn first_event_time(&self, entry: &Entry) -> Span {
        let half = Span::from_us(entry.time_given().as_us() / 2);
        self.first_event_time
            .allowance(entry.request.cost)
            .min(half)
    }
}

/// The wait that an arriving request must have time for.
const fn planned(expected: Span) -> Span {
    Span::from_us(expected.as_us() / EXPECTED_WAIT_PERCENT * 100)
}
