//! This entry's requests in flight.

use lentil_capacity::PrefillWork;
use lentil_core::{EndpointId, Time, TokenCount};

/// Identifies a request placed at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlacementId(pub(crate) u64);

/// How a placed request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint served the request.
    Succeeded,
    /// The endpoint failed the request.
    Failed,
    /// The endpoint could not be reached or did not respond.
    Unreachable,
    /// The endpoint refused the request because it has no capacity.
    Overloaded,
    /// The caller cancelled, or the result says nothing about the endpoint.
    Inconclusive,
}

#[derive(Debug, Clone)]
pub(crate) struct InFlightRequest {
    pub(crate) endpoint: EndpointId,
    pub(crate) placed_at: Time,
    /// Tokens that the request occupies in the engine's memory when it starts.
    pub(crate) prompt: TokenCount,
    /// Expected number of output tokens.
    pub(crate) expected_output: TokenCount,
    /// Output tokens generated so far.
    pub(crate) generated: TokenCount,
    /// Whether the engine has completed the prefill.
    pub(crate) prefilled: bool,
    /// The estimated work until the first event, if the request was placed adaptively.
    pub(crate) prefill_work: Option<PrefillWork>,
    /// When the engine's observer confirmed that it knows of the request.
    pub(crate) announced_at: Option<Time>,
    /// Number of requests found at the endpoint, if this one is plain and was placed adaptively.
    pub(crate) calls_ahead: Option<u32>,
}

impl InFlightRequest {
    /// Output tokens that are still expected.
    pub(crate) fn remaining_output(&self) -> TokenCount {
        self.expected_output - self.generated
    }

    /// Tokens that the request occupies in the engine's memory once it is prefilled.
    pub(crate) fn memory_used(&self) -> TokenCount {
        self.prompt + self.generated
    }

    /// Prompt tokens that the engine still has to prefill.
    pub(crate) const fn prefill_pending(&self) -> TokenCount {
        if self.prefilled {
            TokenCount::ZERO
        } else {
            self.prompt
        }
    }
}
