//! Records of a topic in which the newest record of each key is valid.

use bytes::Bytes;
use lentil_core::{Offset, Time};

use crate::Position;

/// A topic that gateways read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum LogTopic {
    /// The configuration and the availability zones that are out of service.
    Operators,
    /// The endpoints' entries.
    Endpoints,
    /// The default version of each service's software.
    DefaultVersions,
}

impl LogTopic {
    /// Whether readers need every record of a key in order. An endpoint's notice that it
    /// leaves holds although its entry is removed afterwards.
    #[must_use]
    pub const fn needs_history(self) -> bool {
        matches!(self, Self::Endpoints)
    }
}

/// A record of a topic with keyed records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The offset in the topic.
    pub offset: Offset,
    /// The key.
    pub key: String,
    /// The value; `None` deletes the key.
    pub value: Option<Bytes>,
}

/// Records of a topic and the position that follows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordPage {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// The position to read from next. `records` are of its era.
    pub next: Position,
    /// Whether `records` holds the newest record of every key rather than the
    /// records from an offset on.
    pub is_snapshot: bool,
    /// When the log was asked, at the latest, if the page reaches the end of the log: what
    /// was appended before this time is in the page or was in an earlier one. `None` if
    /// more records follow, so that nothing is known about newer ones.
    pub confirmed_at: Option<Time>,
    /// When a relay asked the log, the last time that it failed to answer; `None` if it
    /// never did.
    pub log_failed_at: Option<Time>,
}
