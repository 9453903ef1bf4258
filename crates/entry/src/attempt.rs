//! Starting a generation, trying one agent after another.

use lentil_core::{
    EndpointId, GenerationId, ModelId, NotRunProof, OrganisationId, Outcome, Priority, Refusal,
    RefusalReason, Span, TokenCount,
};
use lentil_wire::v1;
use lentil_wire::v1::run_event::Event;
use tonic::Streaming;

use crate::callers::{Context, new_attempt};
use crate::member::Target;
use crate::route::{RouteParams, RoutedRequest, may_retry_elsewhere};
use crate::routing::AgentConnection;

/// A parsed generation request, before an agent is selected.
#[derive(Debug, Clone)]
pub(crate) struct GenerationRequest {
    pub(crate) organisation: OrganisationId,
    pub(crate) model: ModelId,
    pub(crate) prompt: String,
    pub(crate) priority: Priority,
    pub(crate) tokens_max: u32,
    pub(crate) remaining: Span,
    pub(crate) key: String,
    pub(crate) fingerprint: String,
    pub(crate) traceparent: String,
}

/// Reports the progress of an accepted request to the router.
///
/// Dropping it before [`Self::finished`] cancels the request.
#[derive(Debug)]
pub(crate) struct RoutedAttempt {
    route: RoutedRequest,
    endpoint: EndpointId,
}

impl RoutedAttempt {
    /// Reports the first token.
    pub(crate) fn response_started(&self) {
        self.route.response_started(&self.endpoint);
    }

    /// Reports that the generation completed.
    pub(crate) fn finished(mut self, tokens: TokenCount) {
        self.route.finished(&self.endpoint, tokens);
    }
}

/// A generation that an agent has accepted.
#[derive(Debug)]
pub(crate) struct OpenGeneration {
    pub(crate) generation: GenerationId,
    pub(crate) events: Streaming<v1::RunEvent>,
    pub(crate) routed_attempt: Option<RoutedAttempt>,
}

/// Why an attempt at one agent did not start the generation.
enum AttemptError {
    Refused(v1::Refused),
    /// The connection failed or the agent sent an unexpected message.
    LinkFailed,
}

/// Tries agents in the order given by the router until one accepts the request.
pub(crate) async fn open_generation(
    context: &Context,
    request: &GenerationRequest,
) -> Result<OpenGeneration, Refusal> {
    let params = RouteParams {
        target: Target::Model(request.model.clone()),
        organisation: request.organisation.clone(),
        priority: request.priority,
        prompt: request.prompt.as_bytes(),
        remaining: request.remaining,
        hedgeable: false,
    };
    let mut route = RoutedRequest::begin(context, params).await?;
    loop {
        let endpoint = route.next_endpoint().await?;
        let Some(connection) = route.connect(context, &endpoint).await else {
            continue;
        };
        match start_generation(connection, request, route.remaining(context)).await {
            Ok((generation, events, load)) => {
                route.accepted(&endpoint, load).await;
                return Ok(OpenGeneration {
                    generation,
                    events,
                    routed_attempt: Some(RoutedAttempt { route, endpoint }),
                });
            }
            Err(AttemptError::Refused(refused)) => {
                let refusal = parse_refusal(&refused);
                if !may_retry_elsewhere(&refusal) {
                    return Err(refusal);
                }
                route.refused(&endpoint, refused.load).await;
            }
            // No token has reached the caller yet, so starting a second generation is safe.
            Err(AttemptError::LinkFailed) => route.failed(&endpoint, Outcome::Unknown, true).await,
        }
    }
}

type AcceptedGeneration = (
    GenerationId,
    Streaming<v1::RunEvent>,
    Option<v1::LoadReport>,
);

async fn start_generation(
    connection: AgentConnection,
    request: &GenerationRequest,
    remaining: Span,
) -> Result<AcceptedGeneration, AttemptError> {
    let attempt = new_attempt();
    let message = v1::RunRequest {
        attempt: attempt.to_string(),
        organisation: request.organisation.to_string(),
        model: request.model.to_string(),
        prompt: request.prompt.clone(),
        priority: v1::Priority::from(request.priority).into(),
        max_tokens: request.tokens_max,
        remaining_ms: remaining.as_ms(),
        key: request.key.clone(),
        fingerprint: request.fingerprint.clone(),
        traceparent: request.traceparent.clone(),
        boot: 0,
        suspect: false,
    };
    let mut client = connection.client;
    let mut events = client
        .run(message)
        .await
        .map_err(|_| AttemptError::LinkFailed)?
        .into_inner();
    let first = events
        .message()
        .await
        .map_err(|_| AttemptError::LinkFailed)?;
    match first.and_then(|event| event.event) {
        Some(Event::Accepted(accepted)) => {
            let generation = accepted
                .generation
                .parse()
                .map_err(|_| AttemptError::LinkFailed)?;
            Ok((generation, events, accepted.load))
        }
        Some(Event::Refused(refused)) => Err(AttemptError::Refused(refused)),
        _ => Err(AttemptError::LinkFailed),
    }
}

/// Parses the reason sent by an agent; an unrecognised one becomes `EndpointFailed`.
fn parse_reason(text: &str) -> RefusalReason {
    [
        RefusalReason::KeyConflict,
        RefusalReason::KeyExpired,
        RefusalReason::Overloaded,
        RefusalReason::DeadlineExceeded,
        RefusalReason::Stopping,
        RefusalReason::LogUnavailable,
        RefusalReason::Poison,
        RefusalReason::NotFound,
        RefusalReason::BadRequest,
        RefusalReason::OtherSystem,
    ]
    .into_iter()
    .find(|reason| reason.as_str() == text)
    .unwrap_or(RefusalReason::EndpointFailed)
}

/// Converts a refusal received from an agent.
pub(crate) fn parse_refusal(refused: &v1::Refused) -> Refusal {
    let reason = parse_reason(&refused.reason);
    let refusal = match refused.outcome() {
        v1::Outcome::NotRun => Refusal::not_run(
            NotRunProof::AgentTombstone(lentil_core::AttemptId::new(0)),
            reason,
        ),
        v1::Outcome::Ran => Refusal::ran(reason),
        v1::Outcome::Unknown | v1::Outcome::Unspecified => Refusal::unknown(reason),
    };
    match refused.retry_after_ms {
        0 => refusal,
        ms => refusal.retry_after(Span::from_ms(ms)),
    }
}
