//! Errors of the platform's services, distinguished by whether the request may
//! have taken effect.

use thiserror::Error;

/// A failed request.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The connection failed, so nothing was sent.
    #[error("connection failed: {0}")]
    Connect(String),
    /// The connection was lost or the request timed out after data may have been sent.
    #[error("request interrupted: {0}")]
    Interrupted(String),
    /// The service responded with an error status.
    #[error("request failed with status {status}")]
    Status {
        /// HTTP status code.
        status: u16,
    },
    /// The response can't be decoded.
    #[error("invalid response: {0}")]
    Malformed(String),
    /// The request or the client can't be built.
    #[error("invalid request: {0}")]
    Invalid(String),
}

impl RequestError {
    /// Whether the request is known not to have taken effect.
    ///
    /// With a 4xx status the service rejected the request before acting on it.
    /// With a 5xx status the effect is unknown.
    #[must_use]
    pub const fn is_known_not_applied(&self) -> bool {
        match self {
            Self::Connect(_) | Self::Invalid(_) => true,
            Self::Status { status } => *status >= 400 && *status < 500,
            Self::Interrupted(_) | Self::Malformed(_) => false,
        }
    }
}

/// An unconfirmed write.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The write did not and will not take effect.
    #[error("not applied: {0}")]
    NotApplied(#[source] RequestError),
    /// The write may have taken effect, or may still take effect.
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

/// A failed read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("read failed: {0}")]
pub struct ReadError(#[from] pub RequestError);
