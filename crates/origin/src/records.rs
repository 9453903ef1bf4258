//! The records of streams that began at another version than the default.

use std::collections::{BTreeMap, VecDeque};

use lentil_core::Time;
use lentil_rollout::Version;

use crate::StreamKey;

/// Maximum number of records that are kept. With more, those that expire first are dropped.
const RECORDS_MAX: usize = 65_536;

/// The version at which a stream began; `None` stands for endpoints that state no valid one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// The version.
    pub version: Option<Version>,
}

/// Records by stream, until they expire.
#[derive(Debug, Default)]
pub(crate) struct Records {
    table: BTreeMap<StreamKey, (Option<Version>, Time)>,
    /// Keys in the order in which they were inserted, with their expiry.
    order: VecDeque<(StreamKey, Time)>,
}

impl Records {
    pub(crate) fn get(&self, key: &StreamKey) -> Option<&Option<Version>> {
        self.table.get(key).map(|(version, _)| version)
    }

    /// Inserts a record. The first one of a stream holds, as a stream does not change its version.
    pub(crate) fn insert(&mut self, now: Time, record: StreamRecord, expires_at: Time) {
        self.expire(now);
        let entry = self
            .table
            .entry(record.key)
            .or_insert_with(|| (record.version, expires_at));
        entry.1 = entry.1.max(expires_at);
        self.order.push_back((record.key, expires_at));
        while self.order.len() > RECORDS_MAX {
            self.drop_oldest();
        }
    }

    /// Drops the records that no caller can refer to any more.
    fn expire(&mut self, now: Time) {
        while self.order.front().is_some_and(|(_, at)| at.has_passed(now)) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((key, expires_at)) = self.order.pop_front() else {
            return;
        };
        // A record that was renewed has a later expiry.
        if self
            .table
            .get(&key)
            .is_some_and(|(_, at)| *at <= expires_at)
        {
            self.table.remove(&key);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }
}
