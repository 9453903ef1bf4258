//! The records of streams that began at another version than the default.

use std::collections::BTreeMap;

use lentil_core::Time;
use lentil_rollout::Version;

use crate::StreamKey;

/// Maximum number of records that are kept. With more, those that expire first are dropped.
pub(crate) const RECORDS_MAX: usize = 65_536;

/// The version at which a stream began; `None` stands for endpoints that state no valid one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// The version.
    pub version: Option<Version>,
}

/// When a record expires; records of one time in the order of their last insert.
type Expiry = (Time, u64);

/// Records by stream, until they expire.
#[derive(Debug, Default)]
pub(crate) struct Records {
    table: BTreeMap<StreamKey, (Option<Version>, Expiry)>,
    by_expiry: BTreeMap<Expiry, StreamKey>,
    /// Number of inserts.
    inserted: u64,
}

impl Records {
    pub(crate) fn get(&self, key: &StreamKey) -> Option<&Option<Version>> {
        self.table.get(key).map(|(version, _)| version)
    }

    /// Inserts a record. The first one of a stream holds, as a stream does not change its version.
    pub(crate) fn insert(&mut self, record: StreamRecord, expires_at: Time) {
        let key = record.key;
        self.inserted += 1;
        let expiry = (expires_at, self.inserted);
        let entry = self.table.entry(key).or_insert((record.version, expiry));
        self.by_expiry.remove(&entry.1);
        entry.1 = entry.1.max(expiry);
        self.by_expiry.insert(entry.1, key);
        while self.table.len() > RECORDS_MAX {
            self.drop_first();
        }
    }

    /// Drops the records that no caller can refer to any more.
    pub(crate) fn expire(&mut self, now: Time) {
        while self
            .by_expiry
            .first_key_value()
            .is_some_and(|((at, _), _)| at.has_passed(now))
        {
            self.drop_first();
        }
    }

    /// Drops the record that expires first.
    fn drop_first(&mut self) {
        if let Some((_, key)) = self.by_expiry.pop_first() {
            self.table.remove(&key);
        }
    }

    /// The versions of all records.
    pub(crate) fn versions(&self) -> impl Iterator<Item = &Option<Version>> {
        self.table.values().map(|(version, _)| version)
    }

    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }
}
