//! Router of one pool of endpoints.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use lentil_core::{EndpointId, Outcome, Priority, RefusalReason, Span, Time, TokenCount, ZoneId};

use crate::budget::RetryBudget;
use crate::choose::EndpointChoice;
use crate::endpoint_view::EndpointView;
use crate::event::{Action, Event, Request, RequestId, RouterConfig};
use crate::in_flight::{Attempt, HedgeDelay, InFlight};
use crate::prefix_locations::PrefixLocations;
use crate::queue::{FairQueue, promote};

/// Divisor that gives the weight of a new interval between sends in the moving average.
const INTERVAL_AVERAGE_DIVISOR: u64 = 16;
/// Waiting requests ahead below which no request is refused early.
const EARLY_REFUSAL_QUEUE_MIN: usize = 8;
/// Shortest delay advised for a retry.
const RETRY_AFTER_MIN: Span = Span::from_ms(100);
/// Longest time that a retry waits for the retry budget.
const BUDGET_WAIT_MAX: Span = Span::from_s(2);
/// Most withdrawn availability zones remembered.
const WITHDRAWN_ZONES_MAX: usize = 256;

/// Event counts of a [`Router`] since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RouterCounters {
    /// Requests that arrived.
    pub requests: u64,
    /// Attempts that were sent.
    pub attempts: u64,
    /// Those attempts that were hedges.
    pub hedges: u64,
    /// Attempts refused by an agent.
    pub refused_by_agent: u64,
    /// Requests refused on arrival because they would have missed their deadline.
    pub refused_early: u64,
    /// Requests refused because the queue was full.
    pub overflowed: u64,
    /// Requests whose deadline passed in the queue.
    pub expired: u64,
    /// Retries that had to wait for the retry budget.
    pub retries_delayed: u64,
}

/// A request to be retried once the retry budget allows it.
#[derive(Debug)]
struct DelayedRetry {
    request: Request,
    give_up_at: Time,
}

/// Decides which endpoint each request goes to and when.
#[derive(Debug)]
pub struct Router {
    config: RouterConfig,
    endpoints: BTreeMap<EndpointId, EndpointView>,
    withdrawn_zones: Vec<ZoneId>,
    queue: FairQueue,
    /// Requests to be retried that wait for the retry budget.
    delayed_retries: VecDeque<DelayedRetry>,
    /// Requests of which an earlier attempt may have run.
    possibly_ran: HashSet<RequestId>,
    in_flight_requests: HashMap<RequestId, InFlight>,
    prefix_locations: PrefixLocations,
    retry_budget: RetryBudget,
    hedge_delay: HedgeDelay,
    send_interval_us: u64,
    last_sent_at: Option<Time>,
    counters: RouterCounters,
}

impl Router {
    /// Creates a router without endpoints.
    #[must_use]
    pub fn new(config: RouterConfig) -> Self {
        Self {
            config,
            endpoints: BTreeMap::new(),
            withdrawn_zones: Vec::new(),
            queue: FairQueue::new(),
            delayed_retries: VecDeque::new(),
            possibly_ran: HashSet::new(),
            in_flight_requests: HashMap::new(),
            prefix_locations: PrefixLocations::default(),
            retry_budget: RetryBudget::new(),
            hedge_delay: HedgeDelay::default(),
            send_interval_us: 0,
            last_sent_at: None,
            counters: RouterCounters::default(),
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Arrived(request) => self.arrived(now, request, &mut actions),
            Event::Accepted { request, endpoint } => self.accepted(request, &endpoint),
            Event::ResponseStarted { request, endpoint } => {
                self.response_started(now, request, &endpoint);
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
                    self.possibly_ran.insert(request);
                }
                let may_retry = repeatable || outcome == Outcome::NotRun;
                self.end_attempt(now, request, &endpoint, may_retry, &mut actions);
            }
            Event::Cancelled { request } => self.cancelled(request, &mut actions),
            Event::Tick => self.tick(now, &mut actions),
            endpoint_event => self.endpoint_changed(now, endpoint_event),
        }
        self.dispatch(now, &mut actions);
        actions
    }

    /// Number of requests waiting for an endpoint or for the retry budget.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queue.len() + self.delayed_retries.len()
    }

    /// Number of requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight_requests.len()
    }

    /// Event counts since creation.
    #[must_use]
    pub const fn counters(&self) -> RouterCounters {
        self.counters
    }

    /// Processes an event about endpoints.
    fn endpoint_changed(&mut self, now: Time, endpoint_event: Event) {
        match endpoint_event {
            Event::EndpointAdded { endpoint, zone } => {
                self.endpoints
                    .entry(endpoint)
                    .or_insert_with(|| EndpointView::new(zone));
            }
            Event::EndpointRemoved { endpoint } => {
                self.endpoints.remove(&endpoint);
                self.prefix_locations.remove_endpoint(&endpoint);
            }
            Event::Withdrawn {
                endpoint,
                withdrawn,
            } => {
                if let Some(view) = self.endpoints.get_mut(&endpoint) {
                    view.withdrawn = withdrawn;
                }
            }
            Event::ZoneWithdrawn { zone, withdrawn } => self.zone_withdrawn(zone, withdrawn),
            Event::Load { endpoint, load } => {
                if let Some(view) = self.endpoints.get_mut(&endpoint) {
                    view.load_reported(now, load);
                }
            }
            Event::Credits {
                endpoint,
                boot,
                credits,
                expires,
            } => {
                if let Some(view) = self.endpoints.get_mut(&endpoint) {
                    view.credits_granted(boot, credits, expires);
                }
            }
            Event::Cached {
                endpoint,
                prefix,
                kept: true,
            } => self.prefix_locations.cached(now, prefix, endpoint),
            Event::Cached {
                endpoint, prefix, ..
            } => self.prefix_locations.evicted(prefix, &endpoint),
            _ => {}
        }
    }

    fn zone_withdrawn(&mut self, zone: ZoneId, withdrawn: bool) {
        self.withdrawn_zones
            .retain(|withdrawn_zone| *withdrawn_zone != zone);
        if withdrawn && self.withdrawn_zones.len() < WITHDRAWN_ZONES_MAX {
            self.withdrawn_zones.push(zone);
        }
    }

    fn arrived(&mut self, now: Time, request: Request, actions: &mut Vec<Action>) {
        self.counters.requests += 1;
        self.retry_budget.earn(&request.organisation);
        if self.would_miss_deadline(now, &request) {
            self.counters.refused_early += 1;
            return self.refuse(now, &request, RefusalReason::Overloaded, actions);
        }
        self.queue.push(request);
        while self.waiting() > self.config.queue_max {
            let Some(shed) = self.queue.drop_last() else {
                return;
            };
            self.counters.overflowed += 1;
            self.refuse(now, &shed, RefusalReason::Overloaded, actions);
        }
    }

    /// Whether the request would wait in the queue beyond its deadline.
    fn would_miss_deadline(&self, now: Time, request: &Request) -> bool {
        let requests_ahead = self.queue.ahead_of(request);
        requests_ahead >= EARLY_REFUSAL_QUEUE_MIN
            && (now + self.expected_wait(requests_ahead)) > request.deadline
    }

    fn expected_wait(&self, requests_ahead: usize) -> Span {
        Span::from_us(self.send_interval_us)
            .times(u64::try_from(requests_ahead).unwrap_or(u64::MAX))
    }

    fn accepted(&mut self, request: RequestId, endpoint: &EndpointId) {
        let attempt = self
            .in_flight_requests
            .get_mut(&request)
            .and_then(|in_flight| in_flight.attempt(endpoint));
        let Some(attempt) = attempt else {
            return;
        };
        if !std::mem::replace(&mut attempt.accepted, true) {
            let sent_at = attempt.sent_at;
            self.agent_answered(endpoint, sent_at);
        }
    }

    fn agent_answered(&mut self, endpoint: &EndpointId, sent_at: Time) {
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.request_answered(sent_at);
        }
    }

    fn response_started(&mut self, now: Time, request: RequestId, endpoint: &EndpointId) {
        self.accepted(request, endpoint);
        let Some(in_flight) = self.in_flight_requests.get_mut(&request) else {
            return;
        };
        let hedgeable = in_flight.request.hedgeable;
        let Some(attempt) = in_flight.attempt(endpoint) else {
            return;
        };
        if attempt.response_started.replace(now).is_none() && hedgeable {
            self.hedge_delay.answered(now.since(attempt.sent_at));
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
        self.response_started(now, id, endpoint);
        let Some(mut in_flight) = self.in_flight_requests.remove(&id) else {
            return;
        };
        self.possibly_ran.remove(&id);
        if let Some(attempt) = in_flight.remove_attempt(endpoint) {
            let since = attempt.response_started.unwrap_or(attempt.sent_at);
            if let Some(view) = self.endpoints.get_mut(endpoint) {
                view.record_tokens(now.since(since), tokens.get());
            }
        }
        self.queue.charge(&in_flight.request, tokens);
        self.cancel_attempts(id, &in_flight.attempts, actions);
    }

    fn cancel_attempts(
        &mut self,
        request: RequestId,
        attempts: &[Attempt],
        actions: &mut Vec<Action>,
    ) {
        for attempt in attempts {
            if !attempt.accepted {
                self.agent_answered(&attempt.endpoint, attempt.sent_at);
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
        if let Some(view) = self.endpoints.get_mut(endpoint) {
            view.refused();
        }
        self.end_attempt(now, id, endpoint, true, actions);
    }

    /// Ends an attempt. Without another one in progress, the request is retried or fails.
    fn end_attempt(
        &mut self,
        now: Time,
        id: RequestId,
        endpoint: &EndpointId,
        may_retry: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(in_flight) = self.in_flight_requests.get_mut(&id) else {
            return;
        };
        let Some(attempt) = in_flight.remove_attempt(endpoint) else {
            return;
        };
        let was_last = in_flight.attempts.is_empty();
        if !attempt.accepted {
            self.agent_answered(endpoint, attempt.sent_at);
        }
        if !was_last {
            return;
        }
        let Some(in_flight) = self.in_flight_requests.remove(&id) else {
            return;
        };
        if may_retry {
            self.retry(now, in_flight.request);
        } else {
            self.possibly_ran.remove(&id);
            actions.push(Action::Fail { request: id });
        }
    }

    /// Queues a retry, or delays it if the retry budget is used up.
    fn retry(&mut self, now: Time, request: Request) {
        if self.retry_budget.spend(&request.organisation) {
            self.queue.push_front(request);
            return;
        }
        self.counters.retries_delayed += 1;
        let give_up_at = request.deadline.min(now + BUDGET_WAIT_MAX);
        self.delayed_retries.push_back(DelayedRetry {
            request,
            give_up_at,
        });
    }

    /// Queues the delayed retries that the budget now allows and ends those that waited too
    /// long.
    fn retry_delayed(&mut self, now: Time, actions: &mut Vec<Action>) {
        for delayed in std::mem::take(&mut self.delayed_retries) {
            if delayed.give_up_at.has_passed(now) {
                self.refuse(now, &delayed.request, RefusalReason::Overloaded, actions);
            } else if self.retry_budget.spend(&delayed.request.organisation) {
                self.queue.push_front(delayed.request);
            } else {
                self.delayed_retries.push_back(delayed);
            }
        }
    }

    fn cancelled(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.possibly_ran.remove(&id);
        self.queue.remove_matching(|request| request.id == id);
        self.delayed_retries
            .retain(|delayed| delayed.request.id != id);
        if let Some(in_flight) = self.in_flight_requests.remove(&id) {
            self.cancel_attempts(id, &in_flight.attempts, actions);
        }
    }

    fn tick(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired = self
            .queue
            .remove_matching(|request| request.deadline.has_passed(now));
        for request in expired {
            self.counters.expired += 1;
            self.refuse(now, &request, RefusalReason::DeadlineExceeded, actions);
        }
        self.retry_delayed(now, actions);
        promote(&mut self.queue, now);
        self.send_due_hedges(now, actions);
    }

    /// Ends a request that has no attempt in progress.
    fn refuse(
        &mut self,
        now: Time,
        request: &Request,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        if self.possibly_ran.remove(&request.id) {
            return actions.push(Action::Fail {
                request: request.id,
            });
        }
        let wait = self.expected_wait(self.queue.len()).max(RETRY_AFTER_MIN);
        actions.push(Action::Refuse {
            request: request.id,
            reason,
            retry_at: now + wait,
        });
    }

    fn dispatch(&mut self, now: Time, actions: &mut Vec<Action>) {
        for priority in Priority::ALL {
            while let Some(request) = self.queue.peek(priority) {
                let Some(endpoint) = self.choose(now, request, None) else {
                    break;
                };
                let Some(request) = self.queue.pop(priority) else {
                    break;
                };
                self.record_send_interval(now);
                self.send(now, request, endpoint, actions);
            }
        }
        if self.queue.is_empty() {
            self.last_sent_at = None;
        }
    }

    fn choose(
        &self,
        now: Time,
        request: &Request,
        excluded: Option<&EndpointId>,
    ) -> Option<EndpointId> {
        let prefix_location = request
            .prefix
            .and_then(|prefix| self.prefix_locations.locate(now, prefix));
        EndpointChoice {
            config: &self.config,
            endpoints: &self.endpoints,
            withdrawn_zones: &self.withdrawn_zones,
            median_token_us: self.median_token_us(),
            prefix_location,
            excluded,
        }
        .select(now, request)
    }

    fn median_token_us(&self) -> Option<u64> {
        let mut token_times: Vec<u64> = self
            .endpoints
            .values()
            .filter_map(EndpointView::token_us)
            .collect();
        token_times.sort_unstable();
        token_times.get(token_times.len() / 2).copied()
    }

    /// Records the time since the previous send while requests are waiting.
    fn record_send_interval(&mut self, now: Time) {
        if let Some(previous) = self.last_sent_at.replace(now) {
            let sample_us = now.since(previous).as_us();
            self.send_interval_us = (self.send_interval_us * (INTERVAL_AVERAGE_DIVISOR - 1)
                + sample_us)
                / INTERVAL_AVERAGE_DIVISOR;
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
        if let Some(view) = self.endpoints.get_mut(&endpoint) {
            view.request_sent(now);
        }
        if let Some(prefix) = request.prefix {
            self.prefix_locations.cached(now, prefix, endpoint.clone());
        }
        let in_flight = self
            .in_flight_requests
            .entry(id)
            .or_insert_with(|| InFlight {
                request,
                attempts: Vec::new(),
                hedged: false,
            });
        in_flight.attempts.push(Attempt {
            endpoint: endpoint.clone(),
            sent_at: now,
            accepted: false,
            response_started: None,
        });
        actions.push(Action::Send {
            request: id,
            endpoint,
        });
    }

    fn send_due_hedges(&mut self, now: Time, actions: &mut Vec<Action>) {
        let delay = self.hedge_delay.delay();
        let mut due: Vec<RequestId> = self
            .in_flight_requests
            .iter()
            .filter(|(_, in_flight)| in_flight.hedge_due(now, delay))
            .map(|(id, _)| *id)
            .collect();
        due.sort_unstable();
        for id in due {
            self.send_hedge(now, id, actions);
        }
    }

    fn send_hedge(&mut self, now: Time, id: RequestId, actions: &mut Vec<Action>) {
        let Some(in_flight) = self.in_flight_requests.get(&id) else {
            return;
        };
        let first = in_flight.attempts.first().map(|attempt| &attempt.endpoint);
        let Some(endpoint) = self.choose(now, &in_flight.request, first) else {
            return;
        };
        if !self.retry_budget.spend_shared() {
            return;
        }
        let request = in_flight.request.clone();
        if let Some(in_flight) = self.in_flight_requests.get_mut(&id) {
            in_flight.hedged = true;
        }
        self.counters.hedges += 1;
        self.send(now, request, endpoint, actions);
    }
}
