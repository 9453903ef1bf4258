//! What an agent tells of its endpoint's load.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{Blocks, BootId, Span};

/// What an endpoint may be handed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// It bears its cold bound until it has finished some work.
    #[default]
    Cold,
    /// It has finished some work; its free slots tell what it bears.
    Warm,
    /// It finishes what it runs and takes nothing new.
    Leaving,
    /// It doesn't answer.
    Down,
}

impl EndpointState {
    /// Whether new work may go there.
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

/// An endpoint's load at one moment; entries see it late.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointLoad {
    /// The boot of the reporting agent.
    pub boot: BootId,
    /// Counts the reports of that boot.
    pub sequence: u64,
    /// What the endpoint may be handed.
    pub state: EndpointState,
    /// Requests at the endpoint.
    pub running: u32,
    /// Requests that wait at the agent.
    pub waiting: u32,
    /// Requests the agent would start now.
    pub free_slots: u32,
    /// Cache blocks in use.
    pub blocks_used: Blocks,
    /// Cache blocks of the engine; zero for a plain service.
    pub blocks_total: Blocks,
    /// Expected wait of a request that comes now.
    pub wait: Span,
}
