//! The number of entries that share the limits of the whole system.

use lentil_core::{Span, Time};

/// Length of the windows in which the largest number is kept. A partition or the loss
/// of an observer must not let each entry take a larger share of a limit at once.
const WINDOW: Span = Span::from_ms(10_000);

/// The largest number of entries reported in this window and the one before.
///
/// Observers report how many entries follow them. Most engines are followed by some
/// entries only, and a few by all, so the largest number is the one that counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct EntryCounter {
    current: u32,
    previous: u32,
    window_ends_at: Time,
}

impl EntryCounter {
    /// Records a reported number of entries.
    pub fn record(&mut self, now: Time, entries: u32) {
        self.advance(now);
        self.current = self.current.max(entries);
    }

    /// The number of entries; `None` if none was reported lately.
    #[must_use]
    pub fn get(&self, now: Time) -> Option<u32> {
        let mut counter = *self;
        counter.advance(now);
        Some(counter.current.max(counter.previous)).filter(|entries| *entries > 0)
    }

    fn advance(&mut self, now: Time) {
        if !self.window_ends_at.has_passed(now) {
            return;
        }
        let skipped = (self.window_ends_at + WINDOW).has_passed(now);
        self.previous = if skipped { 0 } else { self.current };
        self.current = 0;
        self.window_ends_at = now + WINDOW;
    }
}
