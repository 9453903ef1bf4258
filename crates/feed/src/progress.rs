//! How far one reader has read a topic.

use lentil_core::{Offset, Time};
use thiserror::Error;

use crate::{Position, RecordPage, RestoreWatch};

/// A page does not continue what was read before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the page ends at offset {page}, the reader is at offset {reader}")]
pub struct OlderPage {
    /// The end of the page.
    pub page: Position,
    /// The reader's position.
    pub reader: Position,
}

/// How a page relates to those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Continuity {
    /// It continues them, or is the first one of a store whose restore is over.
    Continued,
    /// It is the first one, with the newest record of each key. The store may have come back from an
    /// older copy just before.
    Unconfirmed,
    /// The store has come back from an older copy since, of which the page holds the newest record
    /// of each key.
    Restored,
}

/// How far a reader has read a topic, and what it may conclude from that.
///
/// Until the restore of the store's era is over, which a [`RestoreWatch`] tells, records that its
/// writers had written last may be missing. Until then the end of the log does not confirm that
/// nothing else was written. Afterwards the newest record of each key is read once more.
#[derive(Debug, Clone, Default)]
pub struct ReadProgress {
    next: Option<Position>,
    /// Whether no page of this era was read yet that is known to be complete.
    is_restoring: bool,
    /// Where the first page of this era ended; records before it may be those of the older copy.
    copy_end: Offset,
}

impl ReadProgress {
    /// The position to read from next; `None` for the newest record of each key.
    #[must_use]
    pub fn next(&self, now: Time, watch: &RestoreWatch) -> Option<Position> {
        self.next.filter(|_| !self.reads_again(now, watch))
    }

    /// Whether the newest records are due to be read once more.
    fn reads_again(&self, now: Time, watch: &RestoreWatch) -> bool {
        let era = self.next.unwrap_or_default().era;
        self.is_restoring && watch.restored_at(era).has_passed(now)
    }

    /// Whether records that the store has lost may still be missing.
    #[must_use]
    pub const fn is_restoring(&self) -> bool {
        self.is_restoring
    }

    /// Whether a record may be one of the older copy that the store has come back from.
    #[must_use]
    pub fn may_be_copied(&self, offset: Offset) -> bool {
        offset < self.copy_end
    }

    /// Takes over a page that was asked for at `asked_at`, after the watch has recorded its era.
    ///
    /// # Errors
    /// The page is of an earlier era, or older than what was read, as that of a relay that is
    /// behind. Nothing of it may be used.
    pub fn record(
        &mut self,
        asked_at: Time,
        page: &RecordPage,
        watch: &RestoreWatch,
    ) -> Result<Continuity, OlderPage> {
        let restored_at = watch.restored_at(page.next.era);
        let is_complete = page.confirmed_at >= Some(restored_at);
        let Some(reader) = self.next else {
            self.next = Some(page.next);
            if is_complete {
                return Ok(Continuity::Continued);
            }
            self.begin_restore(page);
            return Ok(Continuity::Unconfirmed);
        };
        let read_again = self.reads_again(asked_at, watch);
        if page.next.era < reader.era || read_again && page.next < reader {
            let page = page.next;
            return Err(OlderPage { page, reader });
        }
        self.next = Some(page.next);
        if page.next.era > reader.era {
            self.begin_restore(page);
            return Ok(Continuity::Restored);
        }
        if read_again && is_complete {
            self.is_restoring = false;
        }
        Ok(Continuity::Continued)
    }

    const fn begin_restore(&mut self, page: &RecordPage) {
        self.copy_end = page.next.offset;
        self.is_restoring = true;
    }

    /// When the log confirmed that nothing newer was written, according to a page that was recorded;
    /// `None` while records that the store has lost may be missing.
    #[must_use]
    pub fn confirmed_at(&self, page: &RecordPage) -> Option<Time> {
        page.confirmed_at.filter(|_| !self.is_restoring())
    }
}
