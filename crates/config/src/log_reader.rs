//! Reads the configuration stream once, from the oldest retained record.

use lentil_core::Offset;

use crate::scan::Scan;
use crate::{ConfigLedger, Page};

/// Applies pages of the log in order.
///
/// If the log has already dropped its first records, the reader starts from a
/// checkpoint.
#[derive(Debug, Default)]
pub struct LogReader {
    ledger: ConfigLedger,
    scan: Option<Scan>,
    /// Whether a checkpoint with a newer version was installed, which skips the
    /// records before it.
    skipped: bool,
}

impl LogReader {
    /// Returns the offset to read next.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.scan
            .as_ref()
            .map_or_else(|| self.ledger.next_offset(), Scan::next_offset)
    }

    /// Returns the state read so far.
    #[must_use]
    pub const fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// Consumes the reader and returns the state read so far.
    #[must_use]
    pub fn into_ledger(self) -> ConfigLedger {
        self.ledger
    }

    pub(crate) const fn has_skipped(&self) -> bool {
        self.skipped
    }

    /// Applies a page. Returns whether the end of the log is reached.
    pub fn on_page(&mut self, page: &Page) -> bool {
        self.apply_page(page, |_| ())
    }

    /// Like [`Self::on_page`], but also calls `on_accepted` after each accepted change.
    pub(crate) fn apply_page(
        &mut self,
        page: &Page,
        mut on_accepted: impl FnMut(&ConfigLedger),
    ) -> bool {
        if page.start > self.ledger.next_offset() {
            self.scan_page(page);
            return false;
        }
        self.scan = None;
        for (offset, bytes) in &page.records {
            let before = self.ledger.version();
            self.ledger.apply_record(*offset, bytes);
            if self.ledger.version() > before {
                on_accepted(&self.ledger);
            }
        }
        page.next >= page.end
    }

    fn scan_page(&mut self, page: &Page) {
        let scan = self.scan.get_or_insert_with(|| Scan::new(page.start));
        if let Some(found) = scan.on_page(page, self.ledger.version()) {
            self.scan = None;
            // If the checkpoint is invalid, the next page starts a new scan.
            self.skipped |= self.ledger.install_checkpoint(found).unwrap_or(false);
        }
    }
}
