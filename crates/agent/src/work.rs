//! Requests as the agent's threads pass them on.

use lentil_core::{
    AttemptId, GenerationId, ModelId, OrganisationId, Outcome, Priority, Refusal, RefusalReason,
    RequestKey, Time, TokenCount, TokenIndex,
};
use lentil_shell::{BoundedSender, StagedSpan, TraceSpan};
use lentil_wire::{WireError, v1};

/// Where the events of one request go.
pub(crate) type Sink = BoundedSender<v1::RunEvent>;

/// A request to generate.
#[derive(Debug)]
pub(crate) struct GenerationRequest {
    pub(crate) attempt: AttemptId,
    pub(crate) organisation: OrganisationId,
    pub(crate) model: ModelId,
    pub(crate) prompt: String,
    pub(crate) priority: Priority,
    pub(crate) tokens_max: TokenCount,
    pub(crate) deadline_us: Time,
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
    pub(crate) deadline_us: Time,
    pub(crate) key: Option<RequestKey>,
    pub(crate) traceparent: String,
}

/// Reading a generation from a token on.
#[derive(Debug)]
pub(crate) struct Reading {
    pub(crate) generation: GenerationId,
    pub(crate) next_index: TokenIndex,
    pub(crate) organisation: OrganisationId,
    pub(crate) sink: Sink,
}

fn id<T: std::str::FromStr<Err = lentil_core::ParseIdError>>(
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

/// The local deadline of a request that has `remaining_ms` left; 0 is none.
fn deadline(now: Time, remaining_ms: u64) -> Time {
    match remaining_ms {
        0 => Time::NEVER,
        ms => now + lentil_core::Span::from_ms(ms),
    }
}

impl GenerationRequest {
    /// Reads a message that arrived at `now`.
    pub(crate) fn read(now: Time, message: v1::RunRequest) -> Result<Self, WireError> {
        let organisation: OrganisationId = id("organisation", &message.organisation)?;
        Ok(Self {
            attempt: id("attempt", &message.attempt)?,
            model: id("model", &message.model)?,
            priority: Priority::try_from(message.priority())?,
            tokens_max: TokenCount::new(message.max_tokens),
            deadline_us: deadline(now, message.remaining_ms),
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
    /// Reads a message that arrived at `now`.
    pub(crate) fn read(now: Time, message: v1::CallRequest) -> Result<Self, WireError> {
        let organisation: OrganisationId = id("organisation", &message.organisation)?;
        Ok(Self {
            attempt: id("attempt", &message.attempt)?,
            key: optional_key(&organisation, &message.key)?,
            method: message.method,
            path: message.path,
            headers: message.headers,
            body: message.body,
            deadline_us: deadline(now, message.remaining_ms),
            traceparent: message.traceparent,
        })
    }
}

/// The attempt that an entry asks for, and its key if it has one.
pub(crate) fn read_settle(
    message: &v1::SettleRequest,
) -> Result<(AttemptId, Option<RequestKey>), WireError> {
    let attempt = id("attempt", &message.attempt)?;
    if message.key.is_empty() {
        return Ok((attempt, None));
    }
    let organisation: OrganisationId = id("organisation", &message.organisation)?;
    Ok((attempt, optional_key(&organisation, &message.key)?))
}

/// The wire form of a refusal.
pub(crate) fn refused(refusal: Refusal) -> v1::Refused {
    v1::Refused {
        outcome: v1::Outcome::from(refusal.outcome()).into(),
        reason: refusal.reason.as_str().to_owned(),
        retry_after_ms: refusal.retry_after.map_or(0, lentil_core::Span::as_ms),
        load: None,
    }
}

/// An event that ends a request with a refusal.
pub(crate) fn refused_event(attempt: AttemptId, refusal: Refusal) -> v1::RunEvent {
    v1::RunEvent {
        attempt: attempt.to_string(),
        event: Some(v1::run_event::Event::Refused(refused(refusal))),
    }
}

/// A call's reply that is a refusal.
pub(crate) fn refused_call(attempt: AttemptId, refusal: Refusal) -> v1::CallReply {
    v1::CallReply {
        attempt: attempt.to_string(),
        result: Some(v1::call_reply::Result::Refused(refused(refusal))),
    }
}

/// The refusal of a request that this agent never handed to its endpoint.
pub(crate) fn not_handed_on(attempt: AttemptId, reason: RefusalReason) -> Refusal {
    let refusal = Refusal::not_run(lentil_core::NotRunProof::AgentTombstone(attempt), reason);
    debug_assert_eq!(refusal.outcome(), Outcome::NotRun);
    refusal
}
