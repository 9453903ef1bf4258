//! Decodes and encodes records of the configuration stream.

use serde::Deserialize;
use thiserror::Error;

use crate::{EntryBody, LogEntry};

/// The schema version that this code writes, and the newest one that it reads.
pub const RECORD_FORMAT: u32 = 1;

/// Reason why a record cannot be decoded or encoded.
#[derive(Debug, Error)]
pub enum RecordError {
    /// The record has a newer schema version; only a newer process can interpret it.
    #[error("record format {0} is newer than the newest supported format {RECORD_FORMAT}")]
    NewerFormat(u32),
    /// The bytes are not a record of this stream; every reader skips them.
    #[error("not a configuration record: {0}")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct Envelope {
    format: u32,
}

/// Decodes a record.
///
/// # Errors
/// The record has a newer format, or the bytes are not a record of this stream.
pub fn decode_record(bytes: &[u8]) -> Result<EntryBody, RecordError> {
    let envelope: Envelope = serde_json::from_slice(bytes)?;
    if envelope.format > RECORD_FORMAT {
        return Err(RecordError::NewerFormat(envelope.format));
    }
    let entry: LogEntry = serde_json::from_slice(bytes)?;
    Ok(entry.body)
}

/// Encodes a record.
///
/// # Errors
/// The record cannot be represented as JSON.
pub fn encode_record(body: EntryBody) -> Result<Vec<u8>, RecordError> {
    let entry = LogEntry {
        format: RECORD_FORMAT,
        body,
    };
    Ok(serde_json::to_vec(&entry)?)
}
