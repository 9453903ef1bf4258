//! How far one reader has read a topic.

use lentil_core::{Offset, Span, Time};
use thiserror::Error;

use crate::{Position, RecordPage};

/// Time after the store has come back from an older copy within which its writers have written
/// again what it lost, and these records were read.
pub const RESTORE_TIME: Span = Span::from_ms(2_000);

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
    /// It continues them, or is the first one.
    Continued,
    /// The store has come back from an older copy since, of which the page holds the newest record
    /// of each key.
    Restored,
}

/// How far a reader has read a topic, and what it may conclude from that.
///
/// After the store has come back from an older copy, what its writers had written last is missing
/// for up to [`RESTORE_TIME`]. Until then the end of the log does not confirm that nothing else was
/// written. Afterwards the newest record of each key is read once more.
#[derive(Debug, Clone, Default)]
pub struct ReadProgress {
    next: Option<Position>,
    /// When the store's writers have written again what it lost, until the next read after that.
    restored_until: Option<Time>,
    /// Where the first page of this era ended; records before it may be those of the older copy.
    copy_end: Offset,
}

impl ReadProgress {
    /// The position to read from next; `None` for the newest record of each key.
    #[must_use]
    pub fn next(&self, now: Time) -> Option<Position> {
        self.next.filter(|_| !self.reads_again(now))
    }

    /// Whether the newest records are due to be read once more.
    fn reads_again(&self, now: Time) -> bool {
        self.restored_until.is_some_and(|at| at.has_passed(now))
    }

    /// Whether records that the store has lost may still be missing.
    #[must_use]
    pub const fn is_restoring(&self) -> bool {
        self.restored_until.is_some()
    }

    /// Whether a record may be one of the older copy that the store has come back from.
    #[must_use]
    pub fn may_be_copied(&self, offset: Offset) -> bool {
        offset < self.copy_end
    }

    /// Takes over a page that was asked for at `asked_at` and received at `now`.
    ///
    /// # Errors
    /// The page is of an earlier era, or older than what was read, as that of a relay that is
    /// behind. Nothing of it may be used.
    pub fn record(
        &mut self,
        asked_at: Time,
        now: Time,
        page: &RecordPage,
    ) -> Result<Continuity, OlderPage> {
        let read_again = self.reads_again(asked_at);
        let Some(reader) = self.next else {
            self.next = Some(page.next);
            return Ok(Continuity::Continued);
        };
        if page.next.era < reader.era || read_again && page.next < reader {
            let page = page.next;
            return Err(OlderPage { page, reader });
        }
        self.next = Some(page.next);
        if page.next.era > reader.era {
            self.copy_end = page.next.offset;
            self.restored_until = Some(now + RESTORE_TIME);
            return Ok(Continuity::Restored);
        }
        if read_again && page.confirmed_at >= self.restored_until {
            self.restored_until = None;
        }
        Ok(Continuity::Continued)
    }

    /// When the log confirmed that nothing newer was written, according to a page that was recorded;
    /// `None` while records that the store has lost may be missing.
    #[must_use]
    pub fn confirmed_at(&self, page: &RecordPage) -> Option<Time> {
        page.confirmed_at.filter(|_| !self.is_restoring())
    }
}
