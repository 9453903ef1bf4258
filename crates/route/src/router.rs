//! The router of one pool.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use lentil_core::{EndpointId, Outcome, Priority, RefusalReason, Span, Time, TokenCount, ZoneId};

use crate::budget::RetryBudget;
use crate::choose::Choice;
use crate::endpoint_view::Replica;
use crate::event::{Action, Event, Request, RequestId, RouterConfig};
use crate::in_flight::{Attempt, Flight, HedgeDelay};
use crate::prefix_locations::Beliefs;
use crate::queue::FairQueue;

/// Weight of a new interval between sends, as a part.
const INTERVAL_PART: u64 = 16;
/// Waiting requests below which nothing is refused early.
const EARLY_REFUSAL_MIN: usize = 8;
/// Shortest advice when to repeat.
const RETRY_MIN: Span = Span::from_ms(100);
/// Longest wait for the budget of a further attempt.
const HOLD_MAX: Span = Span::from_s(2);
/// Availability zones out of service that are remembered.
const ZONES_MAX: usize = 256;

/// What routing counted since it was made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Attempts sent as hedges, among them.
    pub hedges: u64,
    /// Attempts that an agent refused.
    pub refused_by_agent: u64,
    /// Requests refused on arrival since their deadline can't be met.
    pub refused_early: u64,
    /// Requests refused because the queue was full.
    pub overflowed: u64,
    /// Requests whose deadline passed while they waited.
    pub expired: u64,
    /// Times the budget held a further attempt back.
    pub held_back: u64,
}

/// A request that waits for its organisation's budget.
#[derive(Debug)]
struct Held {
    request: Request,
    until: Time,
}

/// Decides where each request goes.
#[derive(Debug)]
pub struct Router {
    shape: RouterConfig,
    replicas: BTreeMap<EndpointId, Replica>,
    zones_out: Vec<ZoneId>,
    queue: FairQueue,
    /// Requests that need a further attempt and wait for the budget.
    held: VecDeque<Held>,
    /// Requests of which an attempt may have run.
    maybe_ran: HashSet<RequestId>,
    flights: HashMap<RequestId, Flight>,
    beliefs: Beliefs,
    budget: RetryBudget,
    hedge: HedgeDelay,
    interval_us: u64,
    sent_at: Option<Time>,
    counters: RouterCounters,
}

impl Router {
    /// A router that knows no endpoint yet.
    #[must_use]
    pub fn new(shape: RouterConfig) -> Self {
        Self {
            shape,
            replicas: BTreeMap::new(),
            zones_out: Vec::new(),
            queue: FairQueue::new(),
            held: VecDeque::new(),
            maybe_ran: HashSet::new(),
            flights: HashMap::new(),
            beliefs: Beliefs::default(),
            budget: RetryBudget::new(),
            hedge: HedgeDelay::default(),
            interval_us: 0,
            sent_at: None,
            counters: RouterCounters::default(),
        }
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived(request) => self.arrived(now, request, &mut actions),
            Event::Accepted { request, endpoint } => self.accepted(request, &endpoint),
            Event::ResponseStarted { request, endpoint } => {
                self.answering(now, request, &endpoint);
                return actions;
            }
            Event::Finished {
                request,
                endpoint,
                tokens,
            } => self.finished(now, request, &endpoint, tokens, &mut actions),
            Event::Refused { request, endpoint } => {
                self.refused(now, request, &endpoint, &mut actions);
            }
            Event::Failed {
                request,
                endpoint,
                outcome,
                repeatable,
            } => {
                if outcome != Outcome::NotRun {
                    self.maybe_ran.insert(request);
                }
                let again = repeatable || outcome == Outcome::NotRun;
                self.end_attempt(now, request, &endpoint, again, &mut actions);
            }
            Event::Cancelled { request } => self.cancelled(request, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
            news => self.learn(now, news),
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Requests that wait here.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.held.len()
    }

    /// Requests under way.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.flights.len()
    }

    /// What was counted.
    #[must_use]
    pub const fn counters(&self) -> RouterCounters {
        self.counters
    }

    /// News of endpoints.
    fn learn(&mut self, now: Time, news: Event) {
        match news {
            Event::EndpointAdded { endpoint, zone } => {
                self.replicas
                    .entry(endpoint)
                    .or_insert_with(|| Replica::new(zone));
            }
            Event::EndpointRemoved { endpoint } => {
                self.replicas.remove(&endpoint);
                self.beliefs.forget(&endpoint);
            }
            Event::Withdrawn {
                endpoint,
                withdrawn,
            } => {
                if let Some(replica) = self.replicas.get_mut(&endpoint) {
                    replica.withdrawn = withdrawn;
                }
            }
            Event::ZoneWithdrawn { zone, withdrawn } => self.zone_withdrawn(zone, withdrawn),
            Event::Load { endpoint, load } => {
                if let Some(replica) = self.replicas.get_mut(&endpoint) {
                    replica.told(now, load);
                }
            }
            Event::Credits {
                endpoint,
                boot,
                credits,
                expires,
            } => {
                if let Some(replica) = self.replicas.get_mut(&endpoint) {
                    replica.granted(boot, credits, expires);
                }
            }
            Event::Cached {
                endpoint,
                prefix,
                kept: true,
            } => self.beliefs.kept(now, prefix, endpoint),
            Event::Cached {
                endpoint, prefix, ..
            } => self.beliefs.dropped(prefix, &endpoint),
            _ => {}
        }
    }

    fn zone_withdrawn(&mut self, zone: ZoneId, withdrawn: bool) {
        self.zones_out.retain(|out| *out != zone);
        if withdrawn && self.zones_out.len() < ZONES_MAX {
            self.zones_out.push(zone);
        }
    }

    fn arrived(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        self.counters.requests += 1;
        self.budget.earn(&request.organisation);
        if self.is_hopeless(now, &request) {
            self.counters.refused_early += 1;
            return self.refuse(now, &request, RefusalReason::Overloaded, actions);
        }
        self.queue.push(request);
        while self.waiting() > self.shape.queue_max {
            let Some(dropped) = self.queue.drop_last() else {
                return;
            };
            self.counters.overflowed += 1;
            self.refuse(now, &dropped, RefusalReason::Overloaded, actions);
        }
    }

    /// Whether the queue ahead takes longer than the caller can wait.
    fn is_hopeless(&self, now: Time, request: &Request) -> bool {
        let ahead = self.queue.ahead_of(request);
        ahead >= EARLY_REFUSAL_MIN && (now + self.expected_wait(ahead)) > request.deadline
    }

    fn expected_wait(&self, ahead: usize) -> Span {
        Span::from_us(self.interval_us).times(u64::try_from(ahead).unwrap_or(u64::MAX))
    }

    fn accepted(&mut self, request: RequestId, endpoint: &EndpointId) {
        let attempt = self
            .flights
            .get_mut(&request)
            .and_then(|flight| flight.attempt(endpoint));
        let Some(attempt) = attempt else {
            return;
        };
        if !std::mem::replace(&mut attempt.accepted, true) {
            let sent = attempt.sent;
            self.replica_answered(endpoint, sent);
        }
    }

    fn replica_answered(&mut self, endpoint: &EndpointId, sent: Time) {
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.answered(sent);
        }
    }

    fn answering(&mut self, now: Time, request: RequestId, endpoint: &EndpointId) {
        self.accepted(request, endpoint);
        let Some(flight) = self.flights.get_mut(&request) else {
            return;
        };
        let hedgeable = flight.request.hedgeable;
        let Some(attempt) = flight.attempt(endpoint) else {
            return;
        };
        if attempt.answering.replace(now).is_none() && hedgeable {
            self.hedge.answered(now.since(attempt.sent));
        }
    }

    fn finished(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: &EndpointId,
        tokens: TokenCount,
        actions: &mut Vec<Action>,
    ) {
        self.answering(now, id, endpoint);
        let Some(mut flight) = self.flights.remove(&id) else {
            return;
        };
        self.maybe_ran.remove(&id);
        if let Some(attempt) = flight.take(endpoint) {
            let since = attempt.answering.unwrap_or(attempt.sent);
            if let Some(replica) = self.replicas.get_mut(endpoint) {
                replica.made_tokens(now.since(since), tokens.get());
            }
        }
        self.queue.charge(&flight.request, tokens);
        self.cancel_attempts(id, &flight.attempts, actions);
    }

    fn cancel_attempts(
        &mut self,
        request: RequestId,
        attempts: &[Attempt],
        actions: &mut Vec<Action>,
    ) {
        for attempt in attempts {
            if !attempt.accepted {
                self.replica_answered(&attempt.endpoint, attempt.sent);
            }
            actions.push(Action::CancelAttempt {
                request,
                endpoint: attempt.endpoint.clone(),
            });
        }
    }

    fn refused(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: &EndpointId,
        actions: &mut Vec<Action>,
    ) {
        self.counters.refused_by_agent += 1;
        if let Some(replica) = self.replicas.get_mut(endpoint) {
            replica.refused();
        }
        self.end_attempt(now, id, endpoint, true, actions);
    }

    /// Ends one attempt, and the request unless another attempt runs or may follow.
    fn end_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: &EndpointId,
        again: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(flight) = self.flights.get_mut(&id) else {
            return;
        };
        let Some(attempt) = flight.take(endpoint) else {
            return;
        };
        let last = flight.attempts.is_empty();
        if !attempt.accepted {
            self.replica_answered(endpoint, attempt.sent);
        }
        if !last {
            return;
        }
        let Some(flight) = self.flights.remove(&id) else {
            return;
        };
        if again {
            self.try_again(now, flight.request);
        } else {
            self.maybe_ran.remove(&id);
            actions.push(Action::Fail { request: id });
        }
    }

    /// Queues a further attempt once the organisation's budget pays for it.
    fn try_again(&mut self, now: Time, request: Request) {
        if self.budget.spend(&request.organisation) {
            return self.queue.push_front(request);
        }
        self.counters.held_back += 1;
        let until = request.deadline.min(now + HOLD_MAX);
        self.held.push_back(Held { request, until });
    }

    /// Pays for held requests, and ends those that waited too long.
    fn release_held(&mut self, now: Time, actions: &mut Vec<Action>) {
        for held in std::mem::take(&mut self.held) {
            if held.until.has_passed(now) {
                self.refuse(now, &held.request, RefusalReason::Overloaded, actions);
            } else if self.budget.spend(&held.request.organisation) {
                self.queue.push_front(held.request);
            } else {
                self.held.push_back(held);
            }
        }
    }

    fn cancelled(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.maybe_ran.remove(&id);
        self.queue.take(|request| request.id == id);
        self.held.retain(|held| held.request.id != id);
        if let Some(flight) = self.flights.remove(&id) {
            self.cancel_attempts(id, &flight.attempts, actions);
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired = self.queue.take(|request| request.deadline.has_passed(now));
        for request in expired {
            self.counters.expired += 1;
            self.refuse(now, &request, RefusalReason::DeadlineExceeded, actions);
        }
        self.release_held(now, actions);
        self.queue.promote(now);
        self.send_hedges(now, actions);
    }

    /// Ends a request that runs nowhere.
    fn refuse(
        &mut self,
        now: Time,
        request: &Request,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        if self.maybe_ran.remove(&request.id) {
            return actions.push(Action::Fail {
                request: request.id,
            });
        }
        let wait = self.expected_wait(self.queue.len()).max(RETRY_MIN);
        actions.push(Action::Refuse {
            request: request.id,
            reason,
            retry_at: now + wait,
        });
    }

    fn dispatch(&mut self, now: Time, actions: &mut Vec<Action>) {
        for priority in Priority::ALL {
            while let Some(request) = self.queue.first(priority) {
                let Some(endpoint) = self.choose(now, request, None) else {
                    break;
                };
                let Some(request) = self.queue.pop(priority) else {
                    break;
                };
                self.note_interval(now);
                self.send(now, request, endpoint, actions);
            }
        }
        if self.queue.is_empty() {
            self.sent_at = None;
        }
    }

    fn choose(
        &self,
        now: Time,
        request: &Request,
        except: Option<&EndpointId>,
    ) -> Option<EndpointId> {
        let believed = request
            .prefix
            .and_then(|prefix| self.beliefs.place(now, prefix));
        Choice {
            shape: &self.shape,
            replicas: &self.replicas,
            zones_out: &self.zones_out,
            median_token_us: self.median_token_us(),
            believed,
            except,
        }
        .make(now, request)
    }

    fn median_token_us(&self) -> Option<u64> {
        let mut times: Vec<u64> = self
            .replicas
            .values()
            .filter_map(Replica::token_us)
            .collect();
        times.sort_unstable();
        times.get(times.len() / 2).copied()
    }

    /// Learns the time between two sends while requests wait.
    fn note_interval(&mut self, now: Time) {
        if let Some(before) = self.sent_at.replace(now) {
            let sample_us = now.since(before).as_us();
            self.interval_us = (self.interval_us * (INTERVAL_PART - 1) + sample_us) / INTERVAL_PART;
        }
    }

    fn send(
        &mut self,
        now: Time,
        request: Request,
        endpoint: EndpointId,
        actions: &mut Vec<Action>,
    ) {
        let id = request.id;
        self.counters.attempts += 1;
        if let Some(replica) = self.replicas.get_mut(&endpoint) {
            replica.sent(now);
        }
        if let Some(prefix) = request.prefix {
            self.beliefs.kept(now, prefix, endpoint.clone());
        }
        let flight = self.flights.entry(id).or_insert_with(|| Flight {
            request,
            attempts: Vec::new(),
            hedged: false,
        });
        flight.attempts.push(Attempt {
            endpoint: endpoint.clone(),
            sent: now,
            accepted: false,
            answering: None,
        });
        actions.push(Action::Send {
            request: id,
            endpoint,
        });
    }

    fn send_hedges(&mut self, now: Time, actions: &mut Vec<Action>) {
        let delay = self.hedge.delay();
        let mut due: Vec<RequestId> = self
            .flights
            .iter()
            .filter(|(_, flight)| flight.wants_hedge(now, delay))
            .map(|(id, _)| *id)
            .collect();
        due.sort_unstable();
        for id in due {
            self.send_hedge(now, id, actions);
        }
    }

    fn send_hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(flight) = self.flights.get(&id) else {
            return;
        };
        let first = flight.attempts.first().map(|attempt| &attempt.endpoint);
        let Some(endpoint) = self.choose(now, &flight.request, first) else {
            return;
        };
        if !self.budget.spend_shared() {
            return;
        }
        let request = flight.request.clone();
        if let Some(flight) = self.flights.get_mut(&id) {
            flight.hedged = true;
        }
        self.counters.hedges += 1;
        self.send(now, request, endpoint, actions);
    }
}
