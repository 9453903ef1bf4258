//! Calls with an idempotency key, over as many attempts as it takes.

use std::time::Duration;

use lentil_core::{
    AttemptId, BootId, EndpointId, Outcome, Refusal, RefusalReason, Span, TokenCount,
};
use lentil_once::{AttemptReport, CallTracker, Executor, NextStep};
use lentil_wire::v1;
use lentil_wire::v1::call_reply;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::attempt::read_refused;
use crate::callers::{Context, new_attempt};
use crate::route::Route;
use crate::routing::Picked;

/// Most attempts for one call.
const TRIES: u32 = 8;
/// Wait between two attempts.
const AGAIN_WAIT: Duration = Duration::from_millis(50);
/// Longest wait for an agent's word on a lost attempt.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// One caller's call.
struct Keyed<'a> {
    context: &'a Context,
    route: Route,
    message: v1::CallRequest,
    tracker: CallTracker,
    /// The place that the routing thread gave last, until it is told the end.
    placed: Option<EndpointId>,
    /// The endpoint that stands for the key.
    next: Option<EndpointId>,
    ends_at: Instant,
    retry_after: Option<Span>,
}

/// How one attempt ended.
enum Ended {
    Answered(v1::Answer),
    Reported(AttemptReport),
    /// No endpoint is to be had.
    Nowhere(Refusal),
}

/// Serves a call whose message names a key; attempt, boot and time are filled in.
pub(crate) async fn run(
    context: &Context,
    route: Route,
    message: v1::CallRequest,
) -> Result<v1::Answer, Refusal> {
    let patience = Duration::from_millis(message.remaining_ms);
    let call = Keyed {
        context,
        route,
        message,
        tracker: CallTracker::new(TRIES),
        placed: None,
        next: None,
        ends_at: Instant::now() + patience,
        retry_after: None,
    };
    call.run().await
}

impl Keyed<'_> {
    async fn run(mut self) -> Result<v1::Answer, Refusal> {
        loop {
            if self.ends_at <= Instant::now() {
                return Err(self.tracker.give_up(RefusalReason::DeadlineExceeded));
            }
            let attempt = new_attempt();
            let report = match self.attempt(attempt).await {
                Ended::Answered(answer) => return Ok(answer),
                Ended::Nowhere(refusal) => {
                    self.retry_after = refusal.retry_after;
                    return Err(self.advise(self.tracker.give_up(refusal.reason)));
                }
                Ended::Reported(report) => report,
            };
            match self.tracker.report(attempt, &report) {
                Some(NextStep::Refuse(refusal)) => return Err(self.advise(refusal)),
                Some(NextStep::Retry(Some(endpoint))) => self.next = Some(endpoint),
                Some(NextStep::Retry(None)) | None => {}
            }
            sleep(AGAIN_WAIT).await;
        }
    }

    /// Adds the advice when to repeat.
    fn advise(&self, refusal: Refusal) -> Refusal {
        match self.retry_after {
            Some(span) => refusal.retry_after(span),
            None => refusal,
        }
    }

    async fn attempt(&mut self, attempt: AttemptId) -> Ended {
        let endpoint = match self.place().await {
            Ok(endpoint) => endpoint,
            Err(refusal) => return Ended::Nowhere(refusal),
        };
        self.tracker.begin(attempt);
        let Some(mut picked) = self.link(&endpoint).await else {
            self.leave(&endpoint, Outcome::NotRun).await;
            return Ended::Reported(AttemptReport::NeverSent(RefusalReason::EndpointFailed));
        };
        let left = self.ends_at.saturating_duration_since(Instant::now());
        let message = v1::CallRequest {
            attempt: attempt.to_string(),
            boot: picked.epoch,
            remaining_ms: Span::from(left).as_ms().max(1),
            ..self.message.clone()
        };
        let reply = timeout_at(self.ends_at, picked.client.call(message)).await;
        match reply {
            Ok(Ok(reply)) if reply.get_ref().attempt == attempt.to_string() => {
                self.read(endpoint, reply.into_inner()).await
            }
            Ok(Err(status)) if never_connected(&status) => {
                self.leave(&endpoint, Outcome::NotRun).await;
                Ended::Reported(AttemptReport::NeverSent(RefusalReason::EndpointFailed))
            }
            _ => Ended::Reported(self.settle(attempt, endpoint, picked).await),
        }
    }

    /// The endpoint that stands for the key, or the next place.
    async fn place(&mut self) -> Result<EndpointId, Refusal> {
        if let Some(endpoint) = self.next.take() {
            return Ok(endpoint);
        }
        if let Some(endpoint) = self.placed.take() {
            self.route.refused(&endpoint, None).await;
        }
        let endpoint = match timeout_at(self.ends_at, self.route.place()).await {
            Ok(place) => place?,
            Err(_) => return Err(self.tracker.give_up(RefusalReason::DeadlineExceeded)),
        };
        self.placed = Some(endpoint.clone());
        Ok(endpoint)
    }

    /// A link whose agent has said what calls must name as its boot.
    async fn link(&self, endpoint: &EndpointId) -> Option<Picked> {
        let mut picked = self.context.find(endpoint.clone()).await?;
        if picked.epoch == 0 {
            let question = self.question(new_attempt(), 0);
            let asked = timeout(SETTLE_TIMEOUT, picked.client.settle(question)).await;
            picked.epoch = asked.ok()?.ok()?.get_ref().boot;
        }
        Some(picked)
    }

    /// The attempt is over at `endpoint`, and the call goes on elsewhere.
    async fn leave(&mut self, endpoint: &EndpointId, outcome: Outcome) {
        if self.placed.as_ref() == Some(endpoint) {
            self.placed = None;
            // The log lets no other attempt run what this one may have run.
            self.route.failed(endpoint, outcome, true).await;
        }
    }

    async fn read(&mut self, endpoint: EndpointId, reply: v1::CallReply) -> Ended {
        let report = match reply.result {
            Some(call_reply::Result::Answer(mut answer)) => {
                self.route.load(answer.load.take()).await;
                if let Some(placed) = self.placed.take() {
                    self.route.finished(&placed, TokenCount::ZERO);
                }
                return Ended::Answered(answer);
            }
            Some(call_reply::Result::Refused(refused)) => {
                let refusal = read_refused(&refused);
                self.retry_after = refusal.retry_after;
                AttemptReport::Refused(refusal.outcome(), refusal.reason)
            }
            Some(call_reply::Result::Elsewhere(elsewhere)) => match elsewhere.endpoint.parse() {
                Ok(endpoint) => AttemptReport::Follow(Executor {
                    endpoint,
                    boot: BootId::new(elsewhere.boot),
                }),
                Err(_) => AttemptReport::Lost,
            },
            None => {
                self.leave(&endpoint, Outcome::Unknown).await;
                AttemptReport::Lost
            }
        };
        Ended::Reported(report)
    }

    fn question(&self, attempt: AttemptId, epoch: u64) -> v1::SettleRequest {
        v1::SettleRequest {
            attempt: attempt.to_string(),
            organisation: self.message.organisation.clone(),
            key: self.message.key.clone(),
            boot: epoch,
        }
    }

    /// Asks the agent what became of an attempt whose link broke.
    async fn settle(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        mut picked: Picked,
    ) -> AttemptReport {
        let question = self.question(attempt, picked.epoch);
        let reply = timeout(SETTLE_TIMEOUT, picked.client.settle(question)).await;
        let word = match reply {
            Ok(Ok(reply)) if reply.get_ref().attempt == attempt.to_string() => {
                Outcome::try_from(reply.get_ref().outcome()).ok()
            }
            _ => None,
        };
        match word {
            Some(Outcome::NotRun) => {
                self.leave(&endpoint, Outcome::NotRun).await;
                AttemptReport::Refused(Outcome::NotRun, RefusalReason::EndpointFailed)
            }
            Some(Outcome::Ran | Outcome::Unknown) => {
                // The agent lives: the same key joins there or gets its answer.
                self.next = Some(endpoint);
                AttemptReport::Lost
            }
            None => {
                self.leave(&endpoint, Outcome::Unknown).await;
                AttemptReport::Lost
            }
        }
    }
}

/// Whether nobody listened, so that nothing was sent.
fn never_connected(status: &tonic::Status) -> bool {
    let first = std::error::Error::source(status);
    std::iter::successors(first, |error| error.source())
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}
