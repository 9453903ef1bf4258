//! A relay's copy of one topic.

use std::collections::{BTreeMap, HashMap, VecDeque};

use bytes::Bytes;
use lentil_core::{Offset, Time};
use thiserror::Error;

use crate::{KeyedRecord, LogTopic, Position, RecordPage};

/// Number of recent records that are kept to answer readers that are not far behind.
/// Readers that are further behind get the newest record of each key.
const RECENT_MAX: usize = 1_024;

/// The cache can't answer, or can't take a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CacheError {
    /// Nothing was read yet.
    #[error("the topic was not read yet")]
    NotLoaded,
    /// The reader has read further than the cache.
    #[error("the reader is at offset {reader}, the copy ends at {copy}")]
    Behind {
        /// The position that the reader asked for.
        reader: Position,
        /// The end of the copy.
        copy: Position,
    },
    /// A page ends before the copy does.
    #[error("the page ends at offset {page}, the copy at {copy}")]
    Older {
        /// The end of the page.
        page: Position,
        /// The end of the copy.
        copy: Position,
    },
    /// A page continues a copy of an earlier era.
    #[error("the page ends at offset {page} and does not replace the copy, which ends at {copy}")]
    OtherEra {
        /// The end of the page.
        page: Position,
        /// The end of the copy.
        copy: Position,
    },
}

/// The newest record of each key of one topic, and the last records in order.
#[derive(Debug, Default)]
pub struct TopicCache {
    newest: BTreeMap<String, KeyedRecord>,
    recent: VecDeque<KeyedRecord>,
    /// The offset from which on `recent` is complete, in the era of `next`.
    recent_from: Offset,
    next: Option<Position>,
    confirmed_at: Time,
    log_failed_at: Option<Time>,
    has_history: bool,
}

impl TopicCache {
    /// Creates an empty copy of a topic.
    #[must_use]
    pub fn new(topic: LogTopic) -> Self {
        Self {
            has_history: topic.needs_history(),
            ..Self::default()
        }
    }

    /// The position to read from next; `None` before the first page.
    #[must_use]
    pub const fn next(&self) -> Option<Position> {
        self.next
    }

    /// When the log last confirmed the copy.
    #[must_use]
    pub const fn confirmed_at(&self) -> Time {
        self.confirmed_at
    }

    /// Adds a page that was read from the log. The first one of a later era replaces the copy.
    ///
    /// # Errors
    /// The page is older than the copy, or of a later era and without the newest record of each
    /// key. It was dropped.
    pub fn apply(&mut self, page: RecordPage) -> Result<(), CacheError> {
        if let Some(copy) = self.next {
            let is_snapshot = page.is_snapshot;
            let page = page.next;
            if page < copy {
                return Err(CacheError::Older { page, copy });
            }
            if page.era != copy.era && !is_snapshot {
                return Err(CacheError::OtherEra { page, copy });
            }
        }
        if page.is_snapshot {
            self.newest.clear();
            self.recent.clear();
            self.recent_from = page.next.offset;
        }
        for record in page.records {
            self.add(record, !page.is_snapshot);
        }
        self.next = Some(page.next);
        if let Some(confirmed_at) = page.confirmed_at {
            self.confirmed_at = self.confirmed_at.max(confirmed_at);
        }
        Ok(())
    }

    /// Records that the log did not answer a request that was sent at this time.
    pub fn record_log_failure(&mut self, asked_at: Time) {
        self.log_failed_at = Some(asked_at);
    }

    fn add(&mut self, record: KeyedRecord, is_recent: bool) {
        // Values are slices of whole responses, which would otherwise stay in memory.
        let value = record.value.as_deref().map(Bytes::copy_from_slice);
        let record = KeyedRecord { value, ..record };
        if is_recent {
            self.recent.push_back(record.clone());
            if self.recent.len() > RECENT_MAX
                && let Some(dropped) = self.recent.pop_front()
            {
                self.recent_from = dropped.offset.next();
            }
        }
        let is_newest = self
            .newest
            .get(&record.key)
            .is_none_or(|known| known.offset <= record.offset);
        if !is_newest {
            return;
        }
        if record.value.is_some() {
            self.newest.insert(record.key.clone(), record);
        } else {
            self.newest.remove(&record.key);
        }
    }

    /// Returns the records from a position on, without those that a newer one replaces
    /// unless readers need them, or the newest record of each key if there is no position, it is
    /// too far behind, or of an earlier era.
    ///
    /// # Errors
    /// The copy is empty or behind the reader.
    pub fn read(&self, from: Option<Position>) -> Result<RecordPage, CacheError> {
        let next = self.next.ok_or(CacheError::NotLoaded)?;
        let page = |records, is_snapshot| RecordPage {
            records,
            next,
            is_snapshot,
            confirmed_at: Some(self.confirmed_at),
            log_failed_at: self.log_failed_at,
        };
        match from {
            Some(from) if from > next => Err(CacheError::Behind {
                reader: from,
                copy: next,
            }),
            Some(from) if from.era == next.era && from.offset >= self.recent_from => {
                Ok(page(self.recent_since(from.offset), false))
            }
            Some(_) | None => Ok(page(self.newest.values().cloned().collect(), true)),
        }
    }

    fn recent_since(&self, from: Offset) -> Vec<KeyedRecord> {
        let since = || self.recent.iter().filter(|record| record.offset >= from);
        if self.has_history {
            return since().cloned().collect();
        }
        let newest: HashMap<&str, Offset> = since()
            .map(|record| (record.key.as_str(), record.offset))
            .collect();
        since()
            .filter(|record| newest.get(record.key.as_str()) == Some(&record.offset))
            .cloned()
            .collect()
    }
}
