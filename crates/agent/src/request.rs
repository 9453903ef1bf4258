//! Requests and refusals, with their conversions from and to wire messages.

use lentil_core::{
    AttemptId, GenerationId, ModelId, OrganisationId, Outcome, Priority, Refusal, RefusalReason,
    RequestKey, Time, TokenCount, TokenIndex,
};
use lentil_shell::{BoundedSender, StagedSpan, TraceSpan};
use lentil_wire::{WireError, v1};

/// Sender for the events of one request.
pub(crate) type EventSender = BoundedSender<v1::RunEvent>;

/// A generation request.
#[derive(Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) attempt: AttemptId,
    pub(crate) organisation: OrganisationId,
    pub(crate) model: ModelId,
    pub(crate) prompt: String,
    pub(crate) priority: Priority,
    pub(crate) tokens_max: TokenCount,
    pub(crate) deadline: Time,
    pub(crate) traceparent: String,
    pub(crate) stages: Option<StagedSpan>,
}

/// A call of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceCall {
    pub(crate) attempt: AttemptId,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<v1::Header>,
    pub(crate) body: Vec<u8>,
    pub(crate) deadline: Time,
    pub(crate) key: Option<RequestKey>,
    pub(crate) traceparent: String,
}

/// A request to read a generation from a given token on.
#[derive(Debug)]
pub(crate) struct ReadRequest {
    pub(crate) generation: GenerationId,
    pub(crate) next_index: TokenIndex,
    pub(crate) organisation: OrganisationId,
    pub(crate) sink: EventSender,
}

fn parse_id<T: std::str::FromStr<Err = lentil_core::ParseIdError>>(
    field: &'static str,
    text: &str,
) -> Result<T, WireError> {
    text.parse()
        .map_err(|source| WireError::InvalidId { field, source })
}

fn optional_key(
    organisation: &OrganisationId,
    text: &str,
) -> Result<Option<RequestKey>, WireError> {
    if text.is_empty() {
        return Ok(None);
    }
    RequestKey::new(organisation.clone(), text)
        .map(Some)
        .map_err(|source| WireError::InvalidId {
            field: "key",
            source,
        })
}

/// The local deadline of a request that has `remaining_ms` left; 0 means that it
/// has no deadline.
fn local_deadline(now: Time, remaining_ms: u64) -> Time {
    match remaining_ms {
        0 => Time::NEVER,
        ms => now + lentil_core::Span::from_ms(ms),
    }
}

impl GenerationRequest {
    /// Converts a message that arrived at `now`.
    pub(crate) fn from_wire(now: Time, message: v1::RunRequest) -> Result<Self, WireError> {
        let organisation: OrganisationId = parse_id("organisation", &message.organisation)?;
        Ok(Self {
            attempt: parse_id("attempt", &message.attempt)?,
            model: parse_id("model", &message.model)?,
            priority: Priority::try_from(message.priority())?,
            tokens_max: TokenCount::new(message.max_tokens),
            deadline: local_deadline(now, message.remaining_ms),
            prompt: message.prompt,
            stages: Some(StagedSpan::start(
                TraceSpan::from_traceparent("agent", &message.traceparent),
                "agent admission",
            )),
            traceparent: message.traceparent,
            organisation,
        })
    }
}

impl ServiceCall {
    /// Converts a message that arrived at `now`.
    pub(crate) fn from_wire(now: Time, message: v1::CallRequest) -> Result<Self, WireError> {
        let organisation: OrganisationId = parse_id("organisation", &message.organisation)?;
        Ok(Self {
            attempt: parse_id("attempt", &message.attempt)?,
            key: optional_key(&organisation, &message.key)?,
            method: message.method,
            path: message.path,
            headers: message.headers,
            body: message.body,
            deadline: local_deadline(now, message.remaining_ms),
            traceparent: message.traceparent,
        })
    }
}

/// Extracts the attempt that an entry asks about, and its key if it has one.
pub(crate) fn parse_settle(
    message: &v1::SettleRequest,
) -> Result<(AttemptId, Option<RequestKey>), WireError> {
    let attempt = parse_id("attempt", &message.attempt)?;
    if message.key.is_empty() {
        return Ok((attempt, None));
    }
    let organisation: OrganisationId = parse_id("organisation", &message.organisation)?;
    Ok((attempt, optional_key(&organisation, &message.key)?))
}

/// Converts a refusal to its wire message.
pub(crate) fn refusal_to_wire(refusal: Refusal) -> v1::Refused {
    v1::Refused {
        outcome: v1::Outcome::from(refusal.outcome()).into(),
        reason: refusal.reason.as_str().to_owned(),
        retry_after_ms: refusal.retry_after.map_or(0, lentil_core::Span::as_ms),
        load: None,
    }
}

/// Creates the event that ends a request with a refusal.
pub(crate) fn refusal_event(attempt: AttemptId, refusal: Refusal) -> v1::RunEvent {
    v1::RunEvent {
        attempt: attempt.to_string(),
        event: Some(v1::run_event::Event::Refused(refusal_to_wire(refusal))),
    }
}

/// Creates the reply that refuses a call.
pub(crate) fn refusal_reply(attempt: AttemptId, refusal: Refusal) -> v1::CallReply {
    v1::CallReply {
        attempt: attempt.to_string(),
        result: Some(v1::call_reply::Result::Refused(refusal_to_wire(refusal))),
    }
}

/// The refusal of a request that this agent never sent to its endpoint.
pub(crate) fn not_dispatched(attempt: AttemptId, reason: RefusalReason) -> Refusal {
    let refusal = Refusal::not_run(lentil_core::NotRunProof::AgentTombstone(attempt), reason);
    debug_assert_eq!(refusal.outcome(), Outcome::NotRun);
    refusal
}
