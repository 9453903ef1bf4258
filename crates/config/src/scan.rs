//! Finding a position again after the log dropped records that weren't read.

use lentil_core::{ConfigVersion, Offset};

use crate::record::decode_record;
use crate::{Checkpoint, EntryBody, Page};

/// The search of one reader for a checkpoint that it can read on from.
#[derive(Debug, Clone)]
pub(crate) struct Scan {
    next: Offset,
    best: Option<Checkpoint>,
}

impl Scan {
    /// Starts at the oldest record held.
    pub(crate) const fn new(start: Offset) -> Self {
        Self {
            next: start,
            best: None,
        }
    }

    /// Where to read on.
    pub(crate) const fn next_offset(&self) -> Offset {
        self.next
    }

    /// Looks through a page; gives the best checkpoint once the log's end is reached.
    ///
    /// A checkpoint is of use when all records after its position are held.
    pub(crate) fn on_page(&mut self, page: &Page, known: ConfigVersion) -> Option<Checkpoint> {
        for (offset, bytes) in &page.records {
            if *offset < self.next {
                continue;
            }
            let Ok(EntryBody::Checkpoint(found)) = decode_record(bytes) else {
                continue;
            };
            let newer = self
                .best
                .as_ref()
                .is_none_or(|best| best.version <= found.version);
            if found.through >= page.start && found.version >= known && newer {
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
