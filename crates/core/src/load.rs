//! The load that an agent reports for its endpoint.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Blocks, BootId, Span};

/// Whether an endpoint accepts new requests, and how many.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Has not completed enough work yet; its cold limit applies.
    #[default]
    Cold,
    /// Has completed some work; its free slots show how many requests it can take.
    Warm,
    /// Completes running requests and accepts no new ones.
    Leaving,
    /// Does not respond.
    Down,
}

impl EndpointState {
    /// Whether new requests may be sent to the endpoint.
    #[must_use]
    pub const fn accepts_requests(self) -> bool {
        matches!(self, Self::Cold | Self::Warm)
    }
}

impl fmt::Display for EndpointState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Cold => "cold",
            Self::Warm => "warm",
            Self::Leaving => "leaving",
            Self::Down => "down",
        })
    }
}

/// A snapshot of an endpoint's load; entries receive it with a delay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The boot of the reporting agent.
    pub boot: BootId,
    /// Sequence number of the report within that boot.
    pub sequence: u64,
    /// Whether the endpoint accepts new requests.
    pub state: EndpointState,
    /// Requests running at the endpoint.
    pub running: u32,
    /// Requests queued at the agent.
    pub waiting: u32,
    /// Number of further requests that the agent would start immediately.
    pub free_slots: u32,
    /// Key-value cache blocks in use.
    pub blocks_used: Blocks,
    /// Key-value cache blocks of the engine; zero for a plain service.
    pub blocks_total: Blocks,
    /// Expected queueing time of a request that arrives now.
    pub wait: Span,
}
