//! Result of one read of the log.

use lentil_core::Offset;

/// Consecutive records of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The oldest offset that the log still retains.
    pub start: Offset,
    /// The offset at which the read began; at least `start`.
    pub from: Offset,
    /// The offset after the last record in this page.
    pub next: Offset,
    /// The offset that the next appended record will get.
    pub end: Offset,
    /// Records with their offsets, in order.
    pub records: Vec<(Offset, Vec<u8>)>,
}
