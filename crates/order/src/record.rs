//! Records of a zone's order stream.

use lentil_core::{BootId, EndpointId, FenceNumber, ModelId, Offset};

use crate::Assignment;

/// Bounds that a claim's writer found in the preset in force.
///
/// They travel with the claim, so that readers whose configuration differs for
/// a moment still reach the same verdict.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most endpoints of a model that may leave it at once.
    pub changing_max: u32,
    /// Fewest replicas of a model that must stay.
    pub replicas_min: u32,
    /// Most endpoints of the zone that may fetch weights at once.
    pub fetching_max: u32,
}

/// An agent's claim on the right to change what its endpoint loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The agent's boot; a newer one supersedes it.
    pub boot: BootId,
    /// Counts the claims of a boot, so that the twin of a repeated append is dropped.
    pub sequence: u64,
    /// The model that loses a replica.
    pub from: Option<ModelId>,
    /// What the endpoint is to hold.
    pub to: Assignment,
    /// Replicas of `from` in the zone that serve and are not about to leave it.
    pub from_live: u32,
    /// Replicas of `to`'s model in the zone that serve.
    pub to_live: u32,
    /// The first offset that is not in the two counts.
    pub read_to: Offset,
    /// Bounds of the preset in force.
    pub bounds: Bounds,
}

/// A record of the order stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Claims the right to change an endpoint; its offset is the fence number.
    Claim(Claim),
    /// Extends the lease of a claim.
    Renewed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The claim's number.
        number: FenceNumber,
        /// Counts the renewals of the claim.
        sequence: u64,
    },
    /// The endpoint loaded what was claimed.
    Finished {
        /// The endpoint.
        endpoint: EndpointId,
        /// The claim's number.
        number: FenceNumber,
    },
    /// The claim was given up, or an observer waited it out without a sign of its holder.
    Dropped {
        /// The endpoint.
        endpoint: EndpointId,
        /// The claim's number.
        number: FenceNumber,
    },
}

impl Record {
    /// The endpoint that the record is about.
    #[must_use]
    pub const fn endpoint(&self) -> &EndpointId {
        match self {
            Self::Claim(claim) => &claim.endpoint,
            Self::Renewed { endpoint, .. }
            | Self::Finished { endpoint, .. }
            | Self::Dropped { endpoint, .. } => endpoint,
        }
    }
}
