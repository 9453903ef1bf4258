//! Requests that wait for a service.

use lentil_catalog::PriorityLevel;
use lentil_core::{OrganisationId, Time, TokenCount};

/// Fixed cost of a request, in output tokens, on top of the cost of its tokens.
const REQUEST_COST: u64 = 64;
/// Number of prompt tokens that cost as much as one output token.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: u64 = 8;

/// Cost of a request, in output tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RequestCost {
    total: u64,
    /// Part of the cost that is due before the first event.
    first_event: u64,
}

impl RequestCost {
    /// Cost of a request to a plain service.
    pub const PLAIN: Self = Self {
        total: REQUEST_COST,
        first_event: REQUEST_COST,
    };

    /// Cost of a generation.
    #[must_use]
    pub fn generation(prompt: TokenCount, expected_output: TokenCount) -> Self {
        let first_event = REQUEST_COST + u64::from(prompt.get()) / PROMPT_TOKENS_PER_OUTPUT_TOKEN;
        Self {
            total: first_event + u64::from(expected_output.get()),
            first_event,
        }
    }

    /// The cost of the whole request.
    #[must_use]
    pub const fn total(self) -> u64 {
        self.total
    }

    /// The part of the cost that is due before the first event.
    #[must_use]
    pub const fn first_event(self) -> u64 {
        self.first_event
    }
}

/// A request that waits for a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The caller's organisation. Callers without one are treated as one organisation.
    pub organisation: Option<OrganisationId>,
    /// Priority level of the request.
    pub priority: PriorityLevel,
    /// When the request arrived.
    pub arrived: Time,
    /// When its first event or its answer is due.
    pub first_due: Time,
    /// When the complete response is due.
    pub deadline: Time,
    /// Cost of the request.
    pub cost: RequestCost,
    /// Whether it can't be sent to some endpoints, which failed or declined it before.
    pub restricted: bool,
    /// Whether it continues a response that the caller has part of. It is served before the
    /// others of its organisation and priority, as its caller sees the wait as a pause.
    pub continued: bool,
}
