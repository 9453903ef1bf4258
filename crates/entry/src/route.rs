//! The request side of the routing thread's interface.

use lentil_core::{
    EndpointId, NotRunProof, Outcome, Priority, Refusal, RefusalReason, Time, TokenCount, Weight,
};
use lentil_core::{OrganisationId, Span};
use lentil_route::{PrefixHash, Request, RequestId};
use lentil_shell::{BoundedReceiver, BoundedSender, bounded_channel};
use lentil_wire::v1::LoadReport;

use crate::callers::Context;
use crate::member::Target;
use crate::pool::{AttemptEvent, Placement};
use crate::routing::{AgentConnection, Command};

/// Maximum number of routing decisions queued for one request.
const PLACEMENT_QUEUE_CAPACITY: usize = 8;
/// Prompt bytes per token, used to estimate the length of a prompt in tokens.
const BYTES_PER_TOKEN: usize = 4;
/// Length of the prompt prefix that is hashed for prefix-aware routing.
const PREFIX_BYTES: usize = 256;

/// The properties of a request that routing depends on.
#[derive(Debug)]
pub(crate) struct RouteParams<'a> {
    pub(crate) target: Target,
    pub(crate) organisation: OrganisationId,
    pub(crate) priority: Priority,
    pub(crate) prompt: &'a [u8],
    pub(crate) remaining: Span,
    pub(crate) hedgeable: bool,
}

/// A request that the routing thread is tracking.
///
/// Dropping it before the end cancels the request.
#[derive(Debug)]
pub(crate) struct RoutedRequest {
    target: Target,
    id: RequestId,
    expires_at: Time,
    placements: BoundedReceiver<Placement>,
    routing: BoundedSender<Command>,
    ended: bool,
}

fn routing_stopped() -> Refusal {
    Refusal::not_run(NotRunProof::NeverSent, RefusalReason::Stopping)
}

impl RoutedRequest {
    /// Submits a request to the routing thread.
    pub(crate) async fn begin(context: &Context, params: RouteParams<'_>) -> Result<Self, Refusal> {
        let (outbox, placements) = bounded_channel(PLACEMENT_QUEUE_CAPACITY);
        let id = RequestId::new(rand::random());
        let expires_at = context.clock.now() + params.remaining;
        let prompt_tokens =
            u32::try_from(params.prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX);
        let prompt_prefix = params.prompt.get(..PREFIX_BYTES);
        let request = Request {
            id,
            organisation: params.organisation,
            weight: Weight::new(1),
            priority: params.priority,
            prompt: TokenCount::new(prompt_tokens),
            deadline: expires_at,
            prefix: prompt_prefix.map(PrefixHash::of),
            hedgeable: params.hedgeable,
        };
        let command = Command::RouteRequest {
            target: params.target.clone(),
            request,
            placements: outbox,
        };
        context
            .routing
            .send(command)
            .await
            .map_err(|_| routing_stopped())?;
        Ok(Self {
            target: params.target,
            id,
            expires_at,
            placements,
            routing: context.routing.clone(),
            ended: false,
        })
    }

    /// Returns the time until the caller's deadline, but at least one millisecond.
    pub(crate) fn remaining(&self, context: &Context) -> Span {
        let left = self.expires_at.since(context.clock.now());
        left.max(Span::from_ms(1))
    }

    /// Waits for the next endpoint to send an attempt to.
    pub(crate) async fn next_endpoint(&mut self) -> Result<EndpointId, Refusal> {
        match self.placements.recv().await {
            Some(Placement::At(endpoint)) => Ok(endpoint),
            Some(Placement::Rejected(refusal)) => {
                self.ended = true;
                Err(refusal)
            }
            None => Err(routing_stopped()),
        }
    }

    /// Returns a connection to an endpoint; if there is none, reports the attempt as failed.
    pub(crate) async fn connect(
        &self,
        context: &Context,
        endpoint: &EndpointId,
    ) -> Option<AgentConnection> {
        let connection = context.find_agent(endpoint.clone()).await;
        if connection.is_none() {
            self.failed(endpoint, Outcome::NotRun, true).await;
        }
        connection
    }

    /// Reports that the agent accepted the request, with the load from its reply.
    pub(crate) async fn accepted(&self, endpoint: &EndpointId, load: Option<LoadReport>) {
        self.forward_load(load).await;
        self.report(endpoint, AttemptEvent::Accepted).await;
    }

    /// Reports that the agent refused the request without running it.
    pub(crate) async fn refused(&self, endpoint: &EndpointId, load: Option<LoadReport>) {
        self.forward_load(load).await;
        self.report(endpoint, AttemptEvent::Refused).await;
    }

    /// Reports that the attempt failed.
    pub(crate) async fn failed(&self, endpoint: &EndpointId, outcome: Outcome, repeatable: bool) {
        let attempt_event = AttemptEvent::Failed {
            outcome,
            repeatable,
        };
        self.report(endpoint, attempt_event).await;
    }

    /// Reports that the first part of the response arrived.
    pub(crate) fn response_started(&self, endpoint: &EndpointId) {
        let _ = self
            .routing
            .try_send(self.command(endpoint, AttemptEvent::ResponseStarted));
    }

    /// Reports that the request completed; its other attempts are no longer needed.
    pub(crate) fn finished(&mut self, endpoint: &EndpointId, tokens: TokenCount) {
        let attempt_event = self.command(endpoint, AttemptEvent::Finished(tokens));
        self.ended = self.routing.try_send(attempt_event).is_ok();
    }

    /// Forwards the load from an agent's reply to the routing thread.
    pub(crate) async fn forward_load(&self, load: Option<LoadReport>) {
        if let Some(report) = load {
            let _ = self.routing.send(Command::Load(report)).await;
        }
    }

    async fn report(&self, endpoint: &EndpointId, attempt_event: AttemptEvent) {
        let _ = self
            .routing
            .send(self.command(endpoint, attempt_event))
            .await;
    }

    fn command(&self, endpoint: &EndpointId, attempt_event: AttemptEvent) -> Command {
        Command::AttemptEvent {
            target: self.target.clone(),
            request: self.id,
            endpoint: endpoint.clone(),
            attempt_event,
        }
    }
}

impl Drop for RoutedRequest {
    fn drop(&mut self) {
        if !self.ended {
            let _ = self.routing.try_send(Command::Cancel {
                target: self.target.clone(),
                request: self.id,
            });
        }
    }
}

/// Whether a request that an agent refused this way may be retried at another endpoint.
pub(crate) fn may_retry_elsewhere(refusal: &Refusal) -> bool {
    refusal.outcome() == Outcome::NotRun
        && matches!(
            refusal.reason,
            RefusalReason::Overloaded | RefusalReason::Stopping | RefusalReason::EndpointFailed
        )
}
