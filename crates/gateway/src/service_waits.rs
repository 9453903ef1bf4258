//! Requests that wait for services that are scheduled adaptively.

use std::collections::{BTreeMap, HashMap};

use lentil_catalog::PriorityLevel;
use lentil_core::{ServiceName, Span, Time};
use lentil_queue::{QueuedRequest, Rejection, RequestCost, ServiceQueue, Start, Ticket};
use tokio::sync::oneshot;

use crate::wait_queue::Wait;

/// Largest number of waiting requests of a service.
const WAITING_MAX: usize = 4_096;
/// Shortest time between a dispatch and another one without the end of a request. Each dispatch
/// tries up to five placements while nothing has room, and in a flood requests arrive and engines
/// report hundreds of times a second.
pub(crate) const EXTRA_DISPATCH_INTERVAL: Span = Span::from_ms(10);

/// One waiting request.
#[derive(Debug)]
struct Waiter<T> {
    wait: Wait,
    sender: oneshot::Sender<T>,
}

/// The requests that wait for one service.
#[derive(Debug)]
struct ServiceWaits<T> {
    queue: ServiceQueue,
    waiters: HashMap<Ticket, Waiter<T>>,
}

/// How a try to end a wait went.
#[derive(Debug)]
pub(crate) enum WaitEnd<T> {
    /// The request was placed.
    Placed(T),
    /// The request is refused.
    Refused(T),
}

/// The requests that wait for services that are scheduled adaptively, in the order of
/// [`ServiceQueue`]. `T` is what a request gets at the end of its wait.
#[derive(Debug)]
pub(crate) struct AdaptiveWaits<T> {
    services: BTreeMap<ServiceName, ServiceWaits<T>>,
    /// When a dispatch may next take place without the end of a request.
    next_extra_dispatch: Time,
}

impl<T> Default for AdaptiveWaits<T> {
    fn default() -> Self {
        Self {
            services: BTreeMap::new(),
            next_extra_dispatch: Time::ZERO,
        }
    }
}

impl<T> ServiceWaits<T> {
    fn new() -> Self {
        Self {
            queue: ServiceQueue::new(WAITING_MAX),
            waiters: HashMap::new(),
        }
    }

    fn dispatch(&mut self, now: Time, end: &mut impl FnMut(&Wait) -> Option<WaitEnd<T>>) {
        let waiters = &mut self.waiters;
        self.queue.dispatch(now, |ticket| {
            let Some(waiter) = waiters.get(&ticket) else {
                return Start::Ended;
            };
            if waiter.sender.is_closed() {
                waiters.remove(&ticket);
                return Start::Ended;
            }
            let (start, result) = match end(&waiter.wait) {
                None => return Start::NoRoom,
                Some(WaitEnd::Placed(result)) => (Start::Started, result),
                Some(WaitEnd::Refused(result)) => (Start::Ended, result),
            };
            if let Some(waiter) = waiters.remove(&ticket) {
                drop(waiter.sender.send(result));
            }
            start
        });
    }

    /// Removes the requests whose callers have disconnected, so that those behind them are
    /// not rejected because of them.
    fn remove_closed(&mut self, now: Time) {
        let queue = &mut self.queue;
        let closed = self
            .waiters
            .extract_if(|_, waiter| waiter.sender.is_closed());
        for (ticket, _) in closed {
            queue.cancel(now, ticket);
        }
    }

    fn reject(&mut self, ticket: Ticket, result: T) {
        if let Some(waiter) = self.waiters.remove(&ticket) {
            drop(waiter.sender.send(result));
        }
    }
}

impl<T> AdaptiveWaits<T> {
    /// Adds a request to its service's queue, and starts it if there is room. `reject` gives
    /// the result of a request that is rejected for it. Returns the end of the wait and whether
    /// the request has been tried.
    pub(crate) fn enqueue(
        &mut self,
        now: Time,
        wait: Wait,
        request: QueuedRequest,
        reject: impl Fn(Rejection) -> T,
        mut end: impl FnMut(&Wait) -> Option<WaitEnd<T>>,
    ) -> Result<(oneshot::Receiver<T>, bool), Rejection> {
        let service = self
            .services
            .entry(wait.need.service.clone())
            .or_insert_with(ServiceWaits::new);
        let offer = service.queue.offer(now, request)?;
        let (sender, receiver) = oneshot::channel();
        service
            .waiters
            .insert(offer.ticket, Waiter { wait, sender });
        if let Some((evicted, rejection)) = offer.evicted {
            service.reject(evicted, reject(rejection));
        }
        let is_due = service.queue.is_due(offer.ticket);
        if is_due {
            service.dispatch(now, &mut end);
        }
        Ok((receiver, is_due))
    }

    /// Rejects what can't be served in time any more, and starts requests that find room.
    pub(crate) fn dispatch(
        &mut self,
        now: Time,
        reject: impl Fn(Rejection) -> T,
        mut end: impl FnMut(&Wait) -> Option<WaitEnd<T>>,
    ) {
        self.next_extra_dispatch = now + EXTRA_DISPATCH_INTERVAL;
        for service in self.services.values_mut() {
            if service.queue.is_sweep_due(now) {
                service.remove_closed(now);
                for (ticket, rejection) in service.queue.sweep(now) {
                    service.reject(ticket, reject(rejection));
                }
            }
            service.dispatch(now, &mut end);
        }
    }

    /// When a dispatch may next take place without the end of a request.
    pub(crate) const fn next_extra_dispatch(&self) -> Time {
        self.next_extra_dispatch
    }

    /// Records the time from the start of a request to its first event or its answer.
    pub(crate) fn record_first_event(
        &mut self,
        service: &ServiceName,
        cost: RequestCost,
        took: Span,
    ) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.record_first_event(cost, took);
        }
    }

    /// Records that an endpoint failed or declined a request that was started.
    pub(crate) fn record_failed_start(
        &mut self,
        service: &ServiceName,
        priority: PriorityLevel,
        cost: RequestCost,
    ) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.record_failed_start(priority, cost);
        }
    }

    pub(crate) fn len(&self) -> usize {
        let services = self.services.values();
        services.map(|service| service.queue.len()).sum()
    }

    /// Number of waiting requests of each priority level that has had any.
    pub(crate) fn len_by_priority(&self) -> BTreeMap<PriorityLevel, usize> {
        let mut counts = BTreeMap::new();
        for service in self.services.values() {
            for (priority, len) in service.queue.len_by_priority() {
                *counts.entry(priority).or_default() += len;
            }
        }
        counts
    }
}
