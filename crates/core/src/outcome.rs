//! Execution outcomes of requests, and refusals with their reasons.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AttemptId, Span};

/// What is known about the execution of a request that received no answer from
/// its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request provably did not run and will not run later.
    NotRun,
    /// The request ran, but its answer is no longer available.
    Ran,
    /// The request may have run.
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
/// A refusal with [`Outcome::NotRun`] can only be built from such a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunProof {
    /// The request was never sent to another process.
    NeverSent,
    /// The executing agent refused the attempt and keeps a tombstone that
    /// rejects the attempt if it arrives later.
    AgentTombstone(AttemptId),
    /// The log shows that another claim won, or that the claim was released
    /// before execution started.
    LogSettled(AttemptId),
    /// The endpoint reported that it did not run the request.
    EndpointDeclined,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request is malformed or incomplete.
    BadRequest,
    /// The request has no API key, or one that belongs to no organisation.
    Unauthorised,
    /// The model, service or generation does not exist.
    NotFound,
    /// The idempotency key was already used with a different body.
    KeyConflict,
    /// The idempotency key is older than the retention period.
    KeyExpired,
    /// No endpoint can accept the request before its deadline.
    Overloaded,
    /// The organisation has exhausted its quota.
    QuotaExceeded,
    /// The request's deadline has passed.
    DeadlineExceeded,
    /// The process is shutting down.
    Stopping,
    /// The endpoint failed or left.
    EndpointFailed,
    /// The request needs the platform's log, which is unreachable.
    LogUnavailable,
    /// The request is suspected of crashing the endpoints that run it.
    Poison,
    /// The version of the endpoints' software that began the stream no longer serves.
    VersionGone,
    /// The request belongs to the other system running alongside this one.
    OtherSystem,
}

impl RefusalReason {
    /// The reason's name in problem documents and metrics.
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
            Self::VersionGone => "version_gone",
            Self::OtherSystem => "other_system",
        }
    }
}

impl fmt::Display for RefusalReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The refusal of a request.
///
/// The outcome is private so that `NotRun` cannot be set without a
/// [`NotRunProof`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    outcome: Outcome,
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Delay after which a retry is worthwhile, counted from receipt of the refusal.
    pub retry_after: Option<Span>,
}

impl Refusal {
    /// Refuses a request that provably did not run.
    #[must_use]
    pub const fn not_run(_proof: NotRunProof, reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::NotRun,
            reason,
            retry_after: None,
        }
    }

    /// Refuses a request that ran and whose answer is no longer available.
    #[must_use]
    pub const fn ran(reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::Ran,
            reason,
            retry_after: None,
        }
    }

    /// Refuses a request that may have run.
    #[must_use]
    pub const fn unknown(reason: RefusalReason) -> Self {
        Self {
            outcome: Outcome::Unknown,
            reason,
            retry_after: None,
        }
    }

    /// Sets the delay after which a retry is worthwhile.
    #[must_use]
    pub const fn retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// What is known about the request's execution.
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
