//! What becomes of a request that is offered to a queue.

use lentil_core::Span;

/// Shortest and longest delay advised for a retry.
const RETRY_AFTER_MIN: Span = Span::from_ms(100);
const RETRY_AFTER_MAX: Span = Span::from_s(10);

/// Identifies a waiting request in its queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// Why a request is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectionCause {
    /// It is not expected to be served in time.
    NotInTime,
    /// It has waited for as long as it may.
    Expired,
    /// The queue is full.
    Full,
}

impl RejectionCause {
    /// The cause's name in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotInTime => "not_in_time",
            Self::Expired => "expired",
            Self::Full => "full",
        }
    }
}

/// A request that is not served, and when a repeat of it has a chance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection {
    /// Why it is rejected.
    pub cause: RejectionCause,
    /// Time after which room is expected; `None` if it is unknown.
    pub retry_after: Option<Span>,
}

/// A request that was added to a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// Identifies the request.
    pub ticket: Ticket,
    /// A request that is rejected for it because the queue was full.
    pub evicted: Option<(Ticket, Rejection)>,
}

/// Result of an attempt to start a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// It was sent to an endpoint.
    Started,
    /// No endpoint has room for it now.
    NoRoom,
    /// It no longer waits and was not sent.
    Ended,
}

impl Rejection {
    /// A rejection of a request that would wait for this time.
    pub(crate) fn new(cause: RejectionCause, wait: Option<Span>) -> Self {
        let retry_after = wait.map(|wait| wait.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX));
        Self { cause, retry_after }
    }
}
