//! Failures of the platform, kept apart by what they tell about the effect.

use thiserror::Error;

/// What went wrong with one exchange.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// No connection could be made, so nothing was sent.
    #[error("no connection: {0}")]
    Connect(String),
    /// The exchange broke off or took too long after something was sent.
    #[error("exchange broken: {0}")]
    Interrupted(String),
    /// The service answered that it refuses.
    #[error("refused with status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// The answer does not have the expected form.
    #[error("answer not understood: {0}")]
    Malformed(String),
    /// The request can't be formed.
    #[error("request not formed: {0}")]
    Invalid(String),
}

impl RequestError {
    /// Whether the service surely did not act.
    ///
    /// A status of the 400 class is a refusal before acting; one of the 500
    /// class says nothing about the effect.
    #[must_use]
    pub const fn is_known_not_applied(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Invalid(_) => true,
            Self::Status { status } => *status >= 400 && *status < 500,
            Self::Interrupted(_) | Self::Malformed(_) => false,
        }
    }
}

/// A write that was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The write surely did not and will not take effect.
    #[error("not applied: {0}")]
    NotApplied(#[source] RequestError),
    /// The write may have taken effect, or may yet.
    #[error("unknown whether applied: {0}")]
    Unknown(#[source] RequestError),
}

impl From<RequestError> for WriteError {
    fn from(error: RequestError) -> Self {
        if error.is_known_not_applied() {
            Self::NotApplied(error)
        } else {
            Self::Unknown(error)
        }
    }
}

/// A read that gave nothing.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("not read: {0}")]
pub struct ReadError(#[from] pub RequestError);
