//! Waiting for capacity of services that are scheduled adaptively.

use std::cell::RefCell;
use std::rc::Rc;

use lentil_catalog::PriorityLevel;
use lentil_core::{Refusal, RefusalReason, ServiceName, Span, Time, TokenCount};
use lentil_fleet::AttemptResult;
use lentil_queue::{QueuedRequest, Rejection, RequestCost};

use crate::attempt::Job;
use crate::gateway::{Gateway, Permit, not_sent};
use crate::service_waits::{AdaptiveWaits, EXTRA_DISPATCH_INTERVAL, WaitEnd};
use crate::wait_queue::Wait;

/// The waiting requests of a gateway, which its permits report to.
pub(crate) type SharedWaits = Rc<RefCell<AdaptiveWaits<Result<Permit, Refusal>>>>;

/// A request that left its service's queue and of which nothing was heard yet.
#[derive(Debug)]
pub(crate) struct Departure {
    waits: SharedWaits,
    placed_at: Time,
    service: ServiceName,
    priority: PriorityLevel,
    cost: RequestCost,
    continued: bool,
}

/// The [`Departure`] of a permit, until its first result.
#[derive(Debug, Default)]
pub(crate) struct PendingDeparture(RefCell<Option<Departure>>);

impl PendingDeparture {
    pub(crate) fn set(&self, departure: Departure) {
        self.0.replace(Some(departure));
    }

    /// Records the first event of the response or its end.
    pub(crate) fn record_first_event(&self, now: Time) {
        let Some(departure) = self.0.take() else {
            return;
        };
        // A continued response has had its first event elsewhere.
        if !departure.continued {
            let took = now.since(departure.placed_at);
            let mut waits = departure.waits.borrow_mut();
            waits.record_first_event(&departure.service, departure.cost, took);
        }
    }

    pub(crate) fn record_result(&self, now: Time, result: AttemptResult) {
        match result {
            AttemptResult::Succeeded => self.record_first_event(now),
            AttemptResult::Failed | AttemptResult::Unreachable | AttemptResult::Overloaded => {
                if let Some(departure) = self.0.take() {
                    let service = &departure.service;
                    let mut waits = departure.waits.borrow_mut();
                    waits.record_failed_start(service, departure.priority, departure.cost);
                }
            }
            AttemptResult::Inconclusive => {}
        }
    }
}

impl Gateway {
    /// Reserves capacity at an endpoint, waiting in the order of the service's queue if there
    /// is none.
    pub(crate) async fn wait_in_order(
        &self,
        job: &Job,
        wait: Wait,
        generated_tokens: TokenCount,
    ) -> Result<Permit, Refusal> {
        let now = self.now();
        let continued = generated_tokens > TokenCount::ZERO;
        let request = queued_request(now, job, &wait, continued);
        let (priority, cost) = (request.priority, request.cost);
        let service = wait.need.service.clone();
        let place = self.adaptive_waits.borrow_mut().enqueue(
            now,
            wait,
            request,
            |rejection| Err(self.rejected(rejection)),
            |wait| self.end_wait(now, wait),
        );
        let (place, was_tried) = place.map_err(|rejection| self.rejected(rejection))?;
        if !was_tried {
            // It may be small enough to pass the one that waits for room.
            self.request_dispatch(self.adaptive_waits.borrow().next_extra_dispatch());
        }
        let Ok(result) = place.await else {
            return Err(not_sent(RefusalReason::Overloaded));
        };
        let permit = result?;
        permit.departure.set(Departure {
            waits: Rc::clone(&self.adaptive_waits),
            placed_at: self.now(),
            service,
            priority,
            cost,
            continued,
        });
        Ok(permit)
    }

    fn end_wait(&self, now: Time, wait: &Wait) -> Option<WaitEnd<Result<Permit, Refusal>>> {
        let Some(result) = self.try_end_wait(now, wait, 0) else {
            self.request_dispatch_at_limit(now, wait);
            return None;
        };
        Some(match result {
            Ok(_) => WaitEnd::Placed(result),
            Err(_) => WaitEnd::Refused(result),
        })
    }

    /// Asks for a dispatch when the endpoints' named limits allow the next request. No end of a
    /// request tells of it.
    fn request_dispatch_at_limit(&self, now: Time, wait: &Wait) {
        let fleet = self.fleet.borrow();
        if let Some(limited) = fleet.limited_capacity(now, &wait.need, &wait.excluded) {
            self.request_dispatch(limited.next_at.max(now + EXTRA_DISPATCH_INTERVAL));
        }
    }

    /// Dispatches the waiting requests of services that are scheduled adaptively.
    pub(crate) fn dispatch_in_order(&self, now: Time) {
        let mut waits = self.adaptive_waits.borrow_mut();
        waits.dispatch(
            now,
            |rejection| Err(self.rejected(rejection)),
            |wait| self.end_wait(now, wait),
        );
        for (priority, len) in waits.len_by_priority() {
            self.metrics.set_queued(priority, len);
        }
    }

    /// The refusal of a request that its queue rejected. Repeats are spread over a quarter of
    /// the expected wait.
    fn rejected(&self, rejection: Rejection) -> Refusal {
        self.metrics.count_rejection(rejection.cause.as_str());
        let refusal = not_sent(RefusalReason::Overloaded);
        match rejection.retry_after {
            Some(wait) => {
                let jitter = Span::from_us(rand::random_range(0..=wait.as_us() / 4));
                refusal.retry_after(wait + jitter)
            }
            None => refusal,
        }
    }
}

/// What the queue of its service knows of a request.
fn queued_request(now: Time, job: &Job, wait: &Wait, continued: bool) -> QueuedRequest {
    let cost = wait.need.generation.map_or(RequestCost::PLAIN, |size| {
        RequestCost::generation(size.prompt_tokens, size.expected_output_tokens)
    });
    let arrived = if continued { now } else { job.arrived };
    QueuedRequest {
        organisation: job.organisation.clone(),
        priority: job.rank,
        arrived,
        first_due: job.deadline.min(arrived + job.route.target_latency),
        deadline: job.deadline,
        cost,
        restricted: wait.is_restricted(),
        continued,
    }
}
