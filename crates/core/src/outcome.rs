//! What became of a request, and why it was refused.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Span};

/// What is known of a request that got no answer of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It is proved that the request did not run and never will.
    NotRun,
    /// It ran; its answer is not available any more.
    Ran,
    /// It may have run.
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

/// Evidence that a request did not run and cannot run later.
///
/// A refusal with [`Outcome::NotRun`] can be built from this alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunProof {
    /// The request was never handed to another process.
    NeverSent,
    /// The executing agent answered that it refuses the attempt and keeps a
    /// tombstone against its late arrival.
    AgentTombstone(AttemptId),
    /// The log shows that another claim won, or that the claim was released
    /// before its executor began.
    LogSettled(AttemptId),
    /// The endpoint itself answered that it did not run the request.
    EndpointDeclined,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed or lacks what it needs.
    BadRequest,
    /// No key, or a key that no organisation has.
    Unauthorised,
    /// The model, service or generation is not known.
    NotFound,
    /// The idempotency key was used with another body.
    KeyConflict,
    /// The idempotency key is older than the system remembers.
    KeyExpired,
    /// No endpoint can take the request before its deadline.
    Overloaded,
    /// The organisation has used up its quota.
    QuotaExceeded,
    /// The deadline passed.
    DeadlineExceeded,
    /// The process is stopping.
    Stopping,
    /// The endpoint failed or went away.
    EndpointFailed,
    /// The platform's log can't be reached, and the request needs it.
    LogUnavailable,
    /// The request is suspected of crashing the endpoints that run it.
    Poison,
    /// The request belongs to the system that runs beside this one.
    OtherSystem,
}

impl RefusalReason {
    /// The name used in problem documents and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::Unauthorised => "unauthorised",
            Self::NotFound => "not_found",
            Self::KeyConflict => "key_conflict",
            Self::KeyExpired => "key_expired",
            Self::Overloaded => "overloaded",
            Self::QuotaExceeded => "quota_exceeded",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::Stopping => "stopping",
            Self::EndpointFailed => "endpoint_failed",
            Self::LogUnavailable => "log_unavailable",
            Self::Poison => "poison",
            Self::OtherSystem => "other_system",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A request's refusal. Its outcome is private, so that `NotRun` needs a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// When a repeat is useful, counted from the moment of reading this.
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// A refusal of a request that is proved not to have run.
    #[must_use]
    pub const fn not_run(_proof: NotRunProof, reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request that ran and whose answer is gone.
    #[must_use]
    pub const fn ran(reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::Ran,
            reason,
            retry_after: None,
        }
    }

    /// A refusal of a request that may have run.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// The same refusal, with advice when to repeat.
    #[must_use]
    pub const fn retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// What became of the request.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        self.outcome
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.reason, self.outcome)
    }
}

impl std::error::Error for Refusal {}
