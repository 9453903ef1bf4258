//! Limits how often a long host list may be read in full.

#[cfg(test)]
mod tests;

use lentil_core::{Span, Time};

/// Long-term rate limit of full reads, in bytes per second.
const BYTES_PER_SECOND: u64 = 2_000;
/// Number of full reads that may follow each other at the polling interval.
const BURST_READS: u64 = 20;
/// Size of one process in the list, in bytes.
const RECORD_BYTES: u64 = 300;

/// Token bucket for full reads; credit accumulates over time up to one burst.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReadBudget {
    /// When all credit spent so far is replenished.
    replenished_at: Time,
}

impl ReadBudget {
    /// Creates a budget with the credit of a full burst at `now`.
    pub(crate) const fn new(now: Time) -> Self {
        Self {
            replenished_at: now,
        }
    }

    /// Records a full read of `count` processes at `now`.
    pub(crate) fn record_full_read(&mut self, now: Time, count: u64) {
        self.replenished_at = self.replenished_at.max(now) + replenish_time(count);
    }

    /// The earliest time of the next read of `count` processes, at least `interval`
    /// from now.
    pub(crate) fn next_read_at(&self, now: Time, interval: Span, count: u64) -> Time {
        let burst = replenish_time(count).times(BURST_READS.saturating_sub(1));
        (now + interval).max(self.replenished_at - burst)
    }
}

/// The time in which the credit for one full read accumulates.
fn replenish_time(count: u64) -> Span {
    let bytes = count.saturating_mul(RECORD_BYTES);
    Span::from_us(bytes.saturating_mul(1_000_000) / BYTES_PER_SECOND)
}
