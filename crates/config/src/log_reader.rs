//! Reading the configuration stream once, from wherever the log begins.

use lentil_core::Offset;

use crate::scan::Scan;
use crate::{ConfigLedger, Page};

/// Folds pages of the log, and finds a checkpoint where the log has dropped its
/// beginning.
#[derive(Debug, Default)]
pub struct LogReader {
    ledger: ConfigLedger,
    scan: Option<Scan>,
    /// Whether a checkpoint with a newer version was taken over.
    skipped: bool,
}

impl LogReader {
    /// Where to read on.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.scan
            .as_ref()
            .map_or_else(|| self.ledger.next_offset(), Scan::next_offset)
    }

    /// What was read.
    #[must_use]
    pub const fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// What was read, for good.
    #[must_use]
    pub fn into_ledger(self) -> ConfigLedger {
        self.ledger
    }

    pub(crate) const fn has_skipped(&self) -> bool {
        self.skipped
    }

    /// Takes a page; true when the end of the log is reached.
    pub fn on_page(&mut self, page: &Page) -> bool {
        self.fold(page, |_| ())
    }

    /// As [`Self::on_page`], and shows the ledger after each accepted change.
    pub(crate) fn fold(&mut self, page: &Page, mut accepted: impl FnMut(&ConfigLedger)) -> bool {
        if page.start > self.ledger.next_offset() {
            self.search(page);
            return false;
        }
        self.scan = None;
        for (offset, bytes) in &page.records {
            let before = self.ledger.version();
            self.ledger.apply_record(*offset, bytes);
            if self.ledger.version() > before {
                accepted(&self.ledger);
            }
        }
        page.next >= page.end
    }

    fn search(&mut self, page: &Page) {
        let scan = self.scan.get_or_insert_with(|| Scan::new(page.start));
        if let Some(found) = scan.on_page(page, self.ledger.version()) {
            self.scan = None;
            // An unusable checkpoint leaves the search to go on.
            self.skipped |= self.ledger.install_checkpoint(found).unwrap_or(false);
        }
    }
}
