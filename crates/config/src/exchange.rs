//! Messages by which two processes synchronise their configuration.

use lentil_core::{ConfigVersion, Offset, ProcessId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{AcceptedChange, Checkpoint};

/// Version and log position that a process has reached.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The version in force in that process.
    pub version: ConfigVersion,
    /// The first log offset that the process has not applied yet.
    pub next: Offset,
}

/// Data that brings a process with an older version up to date.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Update {
    /// Accepted changes, in version order.
    Changes(Vec<AcceptedChange>),
    /// The complete configuration.
    Checkpoint(Box<Checkpoint>),
}

/// One message of an exchange; request and reply have the same form.
#[derive(Debug, Clone, PartialEq)]
pub struct Exchange {
    /// The process that sends the message.
    pub sender: ProcessId,
    /// The version and log position of the sender.
    pub digest: Digest,
    /// Data that the receiver may not have yet.
    pub update: Option<Update>,
    /// Whether this message answers a reply that showed its sender to be behind.
    ///
    /// The reply to a follow-up is not followed up again.
    pub follow_up: bool,
}

/// An update that cannot be serialised or deserialised.
#[derive(Debug, Error)]
#[error("invalid configuration update: {0}")]
pub struct ExchangeError(#[from] serde_json::Error);

impl Update {
    /// Serialises the update for the wire.
    ///
    /// # Errors
    /// The update cannot be represented as JSON.
    pub fn to_bytes(&self) -> Result<Vec<u8>, ExchangeError> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Deserialises an update from the wire; empty input means that there is no update.
    ///
    /// # Errors
    /// The bytes are not a valid update.
    pub fn from_bytes(bytes: &[u8]) -> Result<Option<Self>, ExchangeError> {
        if bytes.is_empty() {
            return Ok(None);
        }
        Ok(Some(serde_json::from_slice(bytes)?))
    }
}
