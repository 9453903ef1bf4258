//! Records of the order stream of an availability zone.

use lentil_core::{BootId, EndpointId, FenceNumber, ModelId, Offset};

use crate::Assignment;

/// Limits on concurrent changes, taken from the preset in force at the claimant.
///
/// They are part of the claim, so that readers reach the same decision even while
/// their configurations differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of endpoints that may be leaving a model at the same time.
    pub changing_max: u32,
    /// Minimum number of replicas that a model must keep.
    pub replicas_min: u32,
    /// Maximum number of endpoints of the availability zone that may fetch weights
    /// at the same time.
    pub fetching_max: u32,
}

/// An agent's claim on the right to change what its endpoint holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The agent's boot; a claim of a newer boot supersedes this one.
    pub boot: BootId,
    /// Sequence number of the claim within its boot. It identifies duplicates that
    /// result from a retried append.
    pub sequence: u64,
    /// The model that loses a replica.
    pub from: Option<ModelId>,
    /// The assignment that the endpoint is to load.
    pub to: Assignment,
    /// Replicas of `from` in the availability zone that serve and are not leaving it.
    pub from_live: u32,
    /// Replicas of `to`'s model in the availability zone that serve.
    pub to_live: u32,
    /// The first offset that the two counts do not include.
    pub read_to: Offset,
    /// Limits from the preset in force.
    pub bounds: Bounds,
}

/// A record of the order stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// Claims the right to change an endpoint; its offset is the fence number.
    Claim(Claim),
    /// Renews the lease of a claim.
    Renewed {
        /// The endpoint.
        endpoint: EndpointId,
        /// The claim's fence number.
        number: FenceNumber,
        /// Sequence number of the renewal within the claim.
        sequence: u64,
    },
    /// The endpoint holds the claimed assignment.
    Finished {
        /// The endpoint.
        endpoint: EndpointId,
        /// The claim's fence number.
        number: FenceNumber,
    },
    /// The holder gave up the claim, or an observer declared it expired because its
    /// holder did not renew it.
    Dropped {
        /// The endpoint.
        endpoint: EndpointId,
        /// The claim's fence number.
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
