//! Requests of this entry that are on their way.

use lentil_core::{EndpointId, Time, TokenCount};

/// A request placed at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PlacementId(pub(crate) u64);

/// How a flight ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint answered well.
    Succeeded,
    /// The endpoint failed the request.
    Failed,
    /// The endpoint could not be reached or was silent.
    Unreachable,
    /// The endpoint refused for lack of room.
    Overloaded,
    /// The caller left, or nothing can be told of the endpoint.
    Inconclusive,
}

#[derive(Debug, Clone)]
pub(crate) struct Flight {
    pub(crate) endpoint: EndpointId,
    pub(crate) placed: Time,
    /// Tokens that the request holds in the engine's memory once it runs.
    pub(crate) prompt: TokenCount,
    /// Tokens that the output is expected to have.
    pub(crate) output: TokenCount,
    /// Tokens made so far.
    pub(crate) made: TokenCount,
    /// Whether the engine has read the prompt.
    pub(crate) started: bool,
}

impl Flight {
    /// Tokens that the output will yet add.
    pub(crate) fn growth(&self) -> TokenCount {
        self.output - self.made
    }

    /// Tokens that it holds in the engine's memory, or will once it is read.
    pub(crate) fn held(&self) -> TokenCount {
        self.prompt + self.made
    }

    /// Tokens of the prompt that the engine has not read yet.
    pub(crate) const fn unread(&self) -> TokenCount {
        if self.started {
            TokenCount::ZERO
        } else {
            self.prompt
        }
    }
}
