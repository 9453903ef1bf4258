//! Finds a checkpoint to resume from after the log dropped records that were not read.

use lentil_core::{ConfigVersion, Offset};

use crate::record::decode_record;
use crate::{Checkpoint, EntryBody, Page};

/// Scan of the log for a checkpoint from which a reader can resume.
#[derive(Debug, Clone)]
pub(crate) struct Scan {
    next: Offset,
    best: Option<Checkpoint>,
}

impl Scan {
    /// Starts a scan at the oldest retained record.
    pub(crate) const fn new(start: Offset) -> Self {
        Self {
            next: start,
            best: None,
        }
    }

    /// Returns the offset to read next.
    pub(crate) const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Scans a page, and returns the newest usable checkpoint at the end of the log.
    ///
    /// A checkpoint is usable if the log retains all records after its position.
    pub(crate) fn on_page(&mut self, page: &Page, known: ConfigVersion) -> Option<Checkpoint> {
        for (offset, bytes) in &page.records {
            if *offset < self.next {
                continue;
            }
            let Ok(EntryBody::Checkpoint(found)) = decode_record(bytes) else {
                continue;
            };
            let is_newer = self
                .best
                .as_ref()
                .is_none_or(|best| best.version <= found.version);
            if found.through >= page.start && found.version >= known && is_newer {
                self.best = Some(found);
            }
        }
        self.next = page.next.max(page.start);
        if self.next < page.end {
            return None;
        }
        self.best.take_if(|best| best.through >= page.start)
    }
}
