//! What two processes tell each other about the configuration.

use lentil_core::{ConfigVersion, Offset, ProcessId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{AcceptedChange, Checkpoint};

/// How far a process knows the configuration.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The version in force there.
    pub version: ConfigVersion,
    /// The first offset of the log that isn't folded in there.
    pub next: Offset,
}

/// What a process that is behind needs.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// Accepted changes in order.
    Changes(Vec<AcceptedChange>),
    /// The whole configuration.
    Checkpoint(Box<Checkpoint>),
}

/// One message of an exchange; request and reply have the same form.
#[derive(Debug, Clone, PartialEq)]
pub struct Exchange {
    /// Who sends it.
    pub sender: ProcessId,
    /// How far the sender is.
    pub digest: Digest,
    /// What the receiver may lack.
    pub update: Option<Update>,
    /// Whether this follows upon a reply that showed its sender to be behind.
    pub follow_up: bool,
}

/// An update that can't be read or written.
#[derive(Debug, Error)]
#[error("the configuration update of a peer: {0}")]
pub struct ExchangeError(#[from] serde_json::Error);

impl Update {
    /// The form on the wire.
    ///
    /// # Errors
    /// The update has no JSON form.
    pub fn to_bytes(&self) -> Result<Vec<u8>, ExchangeError> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Reads the form on the wire; no bytes are no update.
    ///
    /// # Errors
    /// The bytes are no update.
    pub fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, ExchangeError> {
        if bytes.is_empty() {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(bytes)?))
    }
}
