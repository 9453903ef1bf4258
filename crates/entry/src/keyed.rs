//! Calls with an idempotency key, retried until they are answered or refused.

use std::time::Duration;

use lentil_core::{
    AttemptId, BootId, EndpointId, Outcome, Refusal, RefusalReason, Span, TokenCount,
};
use lentil_once::{AttemptReport, CallTracker, Executor, NextStep};
use lentil_wire::v1;
use lentil_wire::v1::call_reply;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::attempt::parse_refusal;
use crate::callers::{Context, new_attempt};
use crate::route::RoutedRequest;
use crate::routing::AgentConnection;

/// Maximum number of attempts per call.
const ATTEMPTS_MAX: u32 = 8;
/// Delay between attempts.
const RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout for asking an agent about the outcome of an attempt.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(500);

/// State of a call across its attempts.
struct KeyedCall<'a> {
    context: &'a Context,
    route: RoutedRequest,
    message: v1::CallRequest,
    tracker: CallTracker,
    /// The endpoint last assigned by the routing thread, until its attempt's end is reported back.
    assigned: Option<EndpointId>,
    /// The endpoint that is responsible for the key, to be tried next.
    executor: Option<EndpointId>,
    deadline: Instant,
    retry_after: Option<Span>,
}

/// The result of one attempt.
enum AttemptResult {
    Answered(v1::Answer),
    Reported(AttemptReport),
    /// No endpoint is available.
    NoEndpoint(Refusal),
}

/// Runs a call whose message has an idempotency key.
///
/// The attempt, boot and remaining time of the message are set for each attempt.
pub(crate) async fn run(
    context: &Context,
    route: RoutedRequest,
    message: v1::CallRequest,
) -> Result<v1::Answer, Refusal> {
    let time_left = Duration::from_millis(message.remaining_ms);
    let call = KeyedCall {
        context,
        route,
        message,
        tracker: CallTracker::new(ATTEMPTS_MAX),
        assigned: None,
        executor: None,
        deadline: Instant::now() + time_left,
        retry_after: None,
    };
    call.run().await
}

impl KeyedCall<'_> {
    async fn run(mut self) -> Result<v1::Answer, Refusal> {
        loop {
            if self.deadline <= Instant::now() {
                return Err(self.tracker.give_up(RefusalReason::DeadlineExceeded));
            }
            let attempt = new_attempt();
            let report = match self.run_attempt(attempt).await {
                AttemptResult::Answered(answer) => return Ok(answer),
                AttemptResult::NoEndpoint(refusal) => {
                    self.retry_after = refusal.retry_after;
                    return Err(self.with_retry_after(self.tracker.give_up(refusal.reason)));
                }
                AttemptResult::Reported(report) => report,
            };
            match self.tracker.report(attempt, &report) {
                Some(NextStep::Refuse(refusal)) => return Err(self.with_retry_after(refusal)),
                Some(NextStep::Retry(Some(endpoint))) => self.executor = Some(endpoint),
                Some(NextStep::Retry(None)) | None => {}
            }
            sleep(RETRY_DELAY).await;
        }
    }

    /// Adds the last Retry-After value received, if any.
    fn with_retry_after(&self, refusal: Refusal) -> Refusal {
        match self.retry_after {
            Some(span) => refusal.retry_after(span),
            None => refusal,
        }
    }

    async fn run_attempt(&mut self, attempt: AttemptId) -> AttemptResult {
        let endpoint = match self.choose_endpoint().await {
            Ok(endpoint) => endpoint,
            Err(refusal) => return AttemptResult::NoEndpoint(refusal),
        };
        self.tracker.begin(attempt);
        let Some(mut connection) = self.connect(&endpoint).await else {
            self.fail_attempt(&endpoint, Outcome::NotRun).await;
            return AttemptResult::Reported(AttemptReport::NeverSent(
                RefusalReason::EndpointFailed,
            ));
        };
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let message = v1::CallRequest {
            attempt: attempt.to_string(),
            boot: connection.epoch,
            remaining_ms: Span::from(time_left).as_ms().max(1),
            ..self.message.clone()
        };
        let reply = timeout_at(self.deadline, connection.client.call(message)).await;
        match reply {
            Ok(Ok(reply)) if reply.get_ref().attempt == attempt.to_string() => {
                self.process_reply(endpoint, reply.into_inner()).await
            }
            Ok(Err(status)) if connection_refused(&status) => {
                self.fail_attempt(&endpoint, Outcome::NotRun).await;
                AttemptResult::Reported(AttemptReport::NeverSent(RefusalReason::EndpointFailed))
            }
            _ => AttemptResult::Reported(self.settle(attempt, endpoint, connection).await),
        }
    }

    /// Returns the endpoint that is responsible for the key, or the router's next choice.
    async fn choose_endpoint(&mut self) -> Result<EndpointId, Refusal> {
        if let Some(endpoint) = self.executor.take() {
            return Ok(endpoint);
        }
        if let Some(endpoint) = self.assigned.take() {
            self.route.refused(&endpoint, None).await;
        }
        let endpoint = match timeout_at(self.deadline, self.route.next_endpoint()).await {
            Ok(endpoint) => endpoint?,
            Err(_) => return Err(self.tracker.give_up(RefusalReason::DeadlineExceeded)),
        };
        self.assigned = Some(endpoint.clone());
        Ok(endpoint)
    }

    /// Connects to an agent and, if it is unknown, asks for the `boot` value that calls must
    /// send.
    async fn connect(&self, endpoint: &EndpointId) -> Option<AgentConnection> {
        let mut connection = self.context.find_agent(endpoint.clone()).await?;
        if connection.epoch == 0 {
            let request = self.settle_request(new_attempt(), 0);
            let reply = timeout(SETTLE_TIMEOUT, connection.client.settle(request)).await;
            connection.epoch = reply.ok()?.ok()?.get_ref().boot;
        }
        Some(connection)
    }

    /// Reports a failed attempt, so that the router assigns another endpoint.
    async fn fail_attempt(&mut self, endpoint: &EndpointId, outcome: Outcome) {
        if self.assigned.as_ref() == Some(endpoint) {
            self.assigned = None;
            // A retry is safe: the log prevents a second run if this attempt may have run.
            self.route.failed(endpoint, outcome, true).await;
        }
    }

    async fn process_reply(&mut self, endpoint: EndpointId, reply: v1::CallReply) -> AttemptResult {
        let report = match reply.result {
            Some(call_reply::Result::Answer(mut answer)) => {
                self.route.forward_load(answer.load.take()).await;
                if let Some(assigned) = self.assigned.take() {
                    self.route.finished(&assigned, TokenCount::ZERO);
                }
                return AttemptResult::Answered(answer);
            }
            Some(call_reply::Result::Refused(refused)) => {
                let refusal = parse_refusal(&refused);
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
                self.fail_attempt(&endpoint, Outcome::Unknown).await;
                AttemptReport::Lost
            }
        };
        AttemptResult::Reported(report)
    }

    fn settle_request(&self, attempt: AttemptId, epoch: u64) -> v1::SettleRequest {
        v1::SettleRequest {
            attempt: attempt.to_string(),
            organisation: self.message.organisation.clone(),
            key: self.message.key.clone(),
            boot: epoch,
        }
    }

    /// Asks the agent for the outcome of an attempt that got no valid reply.
    async fn settle(
        &mut self,
        attempt: AttemptId,
        endpoint: EndpointId,
        mut connection: AgentConnection,
    ) -> AttemptReport {
        let request = self.settle_request(attempt, connection.epoch);
        let reply = timeout(SETTLE_TIMEOUT, connection.client.settle(request)).await;
        let outcome = match reply {
            Ok(Ok(reply)) if reply.get_ref().attempt == attempt.to_string() => {
                Outcome::try_from(reply.get_ref().outcome()).ok()
            }
            _ => None,
        };
        match outcome {
            Some(Outcome::NotRun) => {
                self.fail_attempt(&endpoint, Outcome::NotRun).await;
                AttemptReport::Refused(Outcome::NotRun, RefusalReason::EndpointFailed)
            }
            Some(Outcome::Ran | Outcome::Unknown) => {
                // The agent is alive: a retry there joins the running call or gets its answer.
                self.executor = Some(endpoint);
                AttemptReport::Lost
            }
            None => {
                self.fail_attempt(&endpoint, Outcome::Unknown).await;
                AttemptReport::Lost
            }
        }
    }
}

/// Whether the connection was refused, so that nothing was sent.
fn connection_refused(status: &tonic::Status) -> bool {
    let first = std::error::Error::source(status);
    std::iter::successors(first, |error| error.source())
        .filter_map(|error| error.downcast_ref::<std::io::Error>())
        .any(|error| error.kind() == std::io::ErrorKind::ConnectionRefused)
}
