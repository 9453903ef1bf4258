//! JSON encoding of the order stream's records in the log.

use std::collections::BTreeSet;

use bytes::Bytes;
use lentil_core::{AdapterId, BootId, EndpointId, FenceNumber, ModelId, Offset, VersionId};
use lentil_order::{Assignment, Bounds, Claim, Record, Role};
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A record can't be decoded or encoded.
#[derive(Debug, Error)]
#[error("not a record of the order stream: {0}")]
pub(crate) struct RecordError(#[from] serde_json::Error);

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Wire {
    Claim(WireClaim),
    Renewed {
        endpoint: EndpointId,
        number: FenceNumber,
        sequence: u64,
    },
    Finished {
        endpoint: EndpointId,
        number: FenceNumber,
    },
    Dropped {
        endpoint: EndpointId,
        number: FenceNumber,
    },
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct WireClaim {
    endpoint: EndpointId,
    boot: BootId,
    sequence: u64,
    from: Option<ModelId>,
    model: ModelId,
    version: VersionId,
    adapters: BTreeSet<AdapterId>,
    role: Role,
    from_live: u32,
    to_live: u32,
    read_to: Offset,
    changing_max: u32,
    replicas_min: u32,
    fetching_max: u32,
}

impl From<&Claim> for WireClaim {
    fn from(claim: &Claim) -> Self {
        let to = claim.to.clone();
        Self {
            endpoint: claim.endpoint.clone(),
            boot: claim.boot,
            sequence: claim.sequence,
            from: claim.from.clone(),
            model: to.model,
            version: to.version,
            adapters: to.adapters,
            role: to.role,
            from_live: claim.from_live,
            to_live: claim.to_live,
            read_to: claim.read_to,
            changing_max: claim.bounds.changing_max,
            replicas_min: claim.bounds.replicas_min,
            fetching_max: claim.bounds.fetching_max,
        }
    }
}

impl From<WireClaim> for Claim {
    fn from(wire: WireClaim) -> Self {
        Self {
            endpoint: wire.endpoint,
            boot: wire.boot,
            sequence: wire.sequence,
            from: wire.from,
            to: Assignment {
                model: wire.model,
                version: wire.version,
                adapters: wire.adapters,
                role: wire.role,
            },
            from_live: wire.from_live,
            to_live: wire.to_live,
            read_to: wire.read_to,
            bounds: Bounds {
                changing_max: wire.changing_max,
                replicas_min: wire.replicas_min,
                fetching_max: wire.fetching_max,
            },
        }
    }
}

impl From<&Record> for Wire {
    fn from(record: &Record) -> Self {
        match record.clone() {
            Record::Claim(claim) => Self::Claim(WireClaim::from(&claim)),
            Record::Renewed {
                endpoint,
                number,
                sequence,
            } => Self::Renewed {
                endpoint,
                number,
                sequence,
            },
            Record::Finished { endpoint, number } => Self::Finished { endpoint, number },
            Record::Dropped { endpoint, number } => Self::Dropped { endpoint, number },
        }
    }
}

impl From<Wire> for Record {
    fn from(wire: Wire) -> Self {
        match wire {
            Wire::Claim(claim) => Self::Claim(claim.into()),
            Wire::Renewed {
                endpoint,
                number,
                sequence,
            } => Self::Renewed {
                endpoint,
                number,
                sequence,
            },
            Wire::Finished { endpoint, number } => Self::Finished { endpoint, number },
            Wire::Dropped { endpoint, number } => Self::Dropped { endpoint, number },
        }
    }
}

pub(crate) fn encode(record: &Record) -> Result<Bytes, RecordError> {
    Ok(serde_json::to_vec(&Wire::from(record))?.into())
}

pub(crate) fn decode(body: &[u8]) -> Result<Record, RecordError> {
    Ok(serde_json::from_slice::<Wire>(body)?.into())
}
