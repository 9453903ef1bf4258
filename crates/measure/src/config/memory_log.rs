//! In-memory model of the platform's log for runs on the virtual clock.

use lentil_config::Page;
use lentil_core::Offset;

/// Maximum number of records in a page.
const PAGE_MAX: usize = 256;

/// Availability of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogState {
    /// Reads take a few milliseconds.
    Up,
    /// Reads take 0.5 to 1.9 seconds.
    Slow,
    /// Reads fail and appends are dropped.
    Down,
}

/// One stream of the log.
#[derive(Debug, Clone)]
pub(crate) struct MemoryLog {
    /// Current availability.
    pub(crate) state: LogState,
    start: usize,
    records: Vec<Vec<u8>>,
}

impl MemoryLog {
    /// Creates an empty log that is up.
    pub(crate) const fn new() -> Self {
        Self {
            state: LogState::Up,
            start: 0,
            records: Vec::new(),
        }
    }

    /// Appends a record unless the log is down.
    pub(crate) fn append(&mut self, bytes: Vec<u8>) {
        if self.state != LogState::Down {
            self.records.push(bytes);
        }
    }

    /// Truncates the log to its `count` newest records, but keeps every record from `read` on.
    pub(crate) fn retain_newest(&mut self, count: usize, read: Offset) {
        let start = self.records.len().saturating_sub(count);
        let read = usize::try_from(read.get()).unwrap_or(usize::MAX);
        self.start = self.start.max(start.min(read));
    }

    /// Reads a page, unless the log is down.
    pub(crate) fn read(&self, from: Offset) -> Option<Page> {
        if self.state == LogState::Down {
            return None;
        }
        let from = usize::try_from(from.get()).unwrap_or(usize::MAX);
        let from = from.max(self.start).min(self.records.len());
        let records: Vec<(Offset, Vec<u8>)> = self
            .records
            .iter()
            .enumerate()
            .skip(from)
            .take(PAGE_MAX)
            .map(|(at, bytes)| (offset(at), bytes.clone()))
            .collect();
        Some(Page {
            start: offset(self.start),
            from: offset(from),
            next: offset(from + records.len()),
            end: offset(self.records.len()),
            records,
        })
    }
}

fn offset(at: usize) -> Offset {
    Offset::new(u64::try_from(at).unwrap_or(u64::MAX))
}
