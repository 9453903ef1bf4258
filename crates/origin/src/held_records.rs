//! The records that an observer holds for gateways.

use std::collections::VecDeque;

use lentil_core::Time;
use lentil_rollout::Version;
use thiserror::Error;

use crate::StreamKey;
use crate::records::{RECORDS_MAX, Records, StreamRecord};

/// Maximum number of records in one append.
const APPEND_MAX: usize = 1_024;

/// The observer keeps too many records to take another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("{RECORDS_MAX} records are held already")]
pub struct HeldRecordsFull;

/// Records that gateways could not append to the log. Each is kept for as long as its stream may be
/// taken up, also after it was appended, as a gateway may have read the log before.
#[derive(Debug, Default)]
pub struct HeldRecords {
    records: Records,
    unwritten: VecDeque<StreamRecord>,
}

impl HeldRecords {
    /// Holds a record until a time.
    ///
    /// # Errors
    /// There is no room for it.
    pub fn hold(
        &mut self,
        now: Time,
        record: StreamRecord,
        expires_at: Time,
    ) -> Result<(), HeldRecordsFull> {
        self.records.expire(now);
        let is_known = self.records.get(&record.key).is_some();
        if !is_known && self.records.len() >= RECORDS_MAX {
            return Err(HeldRecordsFull);
        }
        if !is_known {
            self.unwritten.push_back(record.clone());
        }
        self.records.insert(record, expires_at);
        Ok(())
    }

    /// The version of a stream, if its record is held.
    pub fn get(&mut self, now: Time, key: &StreamKey) -> Option<&Option<Version>> {
        self.records.expire(now);
        self.records.get(key)
    }

    /// The records to append next, without those whose streams can no longer be taken up.
    #[must_use]
    pub fn next_append(&mut self, now: Time) -> Vec<StreamRecord> {
        self.records.expire(now);
        let records = &self.records;
        self.unwritten
            .retain(|record| records.get(&record.key).is_some());
        self.unwritten.iter().take(APPEND_MAX).cloned().collect()
    }

    /// Notes that the first `count` records of the last [`Self::next_append`] are in the log.
    pub fn record_appended(&mut self, count: usize) {
        let count = count.min(self.unwritten.len());
        self.unwritten.drain(..count);
    }

    /// Number of records that are held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
