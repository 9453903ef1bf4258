//! Reading and writing records of the configuration stream.

use serde::Deserialize;
use thiserror::Error;

use crate::{EntryBody, LogEntry};

/// The generation of the schema that this code writes and judges.
pub const RECORD_FORMAT: u32 = 1;

/// Why a record can't be read.
#[derive(Debug, Error)]
pub enum RecordError {
    /// A later generation of the schema: a newer process has to judge it.
    #[error("the record has format {0}, this process knows up to {RECORD_FORMAT}")]
    NewerFormat(u32),
    /// No record of this stream; every reader skips it.
    #[error("not a record of the configuration: {0}")]
    Malformed(#[from] serde_json::Error),
}

#[derive(Deserialize)]
struct Envelope {
    format: u32,
}

/// Reads a record.
///
/// # Errors
/// It is of a newer format, or none of this stream's.
pub fn decode_record(bytes: &[u8]) -> Result<EntryBody, RecordError> {
    let envelope: Envelope = serde_json::from_slice(bytes)?;
    if envelope.format > RECORD_FORMAT {
        return Err(RecordError::NewerFormat(envelope.format));
    }
    let entry: LogEntry = serde_json::from_slice(bytes)?;
    Ok(entry.body)
}

/// Writes a record.
///
/// # Errors
/// The record has no JSON form.
pub fn encode_record(body: EntryBody) -> Result<Vec<u8>, RecordError> {
    let entry = LogEntry {
        format: RECORD_FORMAT,
        body,
    };
    Ok(serde_json::to_vec(&entry)?)
}
