//! Access to the claim stream in the platform's log.

use std::rc::Rc;

use lentil_core::{Fingerprint, Offset, RecordId};
use lentil_once::{AppendResult, Batch};
use lentil_platform::{LogRecord, LogService, StreamName, WriteError};

use super::ClaimCommand;
use super::codec;

/// Maximum number of records in one read.
const READ_MAX: u32 = 1000;

/// The claim stream of one service.
pub(super) struct ClaimStream {
    log: Box<dyn LogService>,
    name: StreamName,
}

impl ClaimStream {
    pub(super) fn new(log: Box<dyn LogService>, service: &str) -> Rc<Self> {
        let name = StreamName::new(&format!("claims-{service}"));
        Rc::new(Self { log, name })
    }

    /// Appends a batch. A retry of the same batch carries the same record
    /// identifier.
    pub(super) async fn append(&self, batch: &Batch) -> ClaimCommand {
        let position = format!("{}:{}", batch.executor.boot, batch.sequence);
        let endpoint = batch.executor.endpoint.as_str();
        let record = LogRecord {
            id: RecordId::new(Fingerprint::of("claims", endpoint, position.as_bytes()).get()),
            body: codec::encode(batch),
        };
        let result = match self.log.append(&self.name, &[record]).await {
            Ok(offset) => AppendResult::Stored(offset),
            Err(WriteError::NotApplied(_)) => AppendResult::Refused,
            Err(WriteError::Unknown(_)) => AppendResult::NoAnswer,
        };
        ClaimCommand::Appended {
            sequence: batch.sequence,
            result,
        }
    }

    /// Reads one page, starting at `from`.
    pub(super) async fn read(&self, from: Offset) -> ClaimCommand {
        let Ok(page) = self.log.read(&self.name, from, READ_MAX).await else {
            return ClaimCommand::ReadFailed;
        };
        let batches = page
            .records
            .iter()
            .filter_map(|(offset, record)| match codec::decode(&record.body) {
                Ok(batch) => Some((*offset, batch)),
                Err(error) => {
                    log::error!(offset:% = offset; "skipping a claim batch that can't be decoded: {error}");
                    None
                }
            })
            .collect();
        ClaimCommand::Read {
            from,
            batches,
            next: page.next,
            first: page.oldest,
        }
    }
}
