//! This entry's part of the budget of repeats.

use lentil_core::{Span, Time};

/// Part of the bound that is used, so that requests counted late don't break it.
const USED_PART: f64 = 0.8;

/// The bound that all entries together keep for each service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats beyond that in one window.
    pub slack: f64,
    /// The window.
    pub window: Span,
}

/// Repeats that this entry may still cause at one service.
///
/// Requests earn their ratio here, and the slack is divided by the number of
/// entries, so the sum over all entries stays within the bound in any window
/// although they don't talk to each other: what is saved up never exceeds the
/// entry's part of the slack.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bounds: RetryBudgetConfig,
    saved: f64,
    saved_max: f64,
    refilled: Time,
}

impl RetryBudget {
    /// A full budget of one entry among `entries`.
    #[must_use]
    pub fn new(bounds: RetryBudgetConfig, entries: u32, now: Time) -> Self {
        let saved_max = Self::part(bounds, entries);
        Self {
            bounds,
            saved: saved_max,
            saved_max,
            refilled: now,
        }
    }

    /// Half of an entry's part of the slack is saved up, and half flows in over
    /// a window.
    fn part(bounds: RetryBudgetConfig, entries: u32) -> f64 {
        bounds.slack * USED_PART / (2.0 * f64::from(entries.max(1)))
    }

    /// The number of entries changed.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.saved_max = Self::part(self.bounds, entries);
        self.saved = self.saved.min(self.saved_max);
    }

    /// A request for the service arrived.
    pub fn deposit(&mut self) {
        let earned = self.bounds.ratio * USED_PART;
        self.saved = (self.saved + earned).min(self.saved_max.max(1.0));
    }

    /// Takes one repeat, if there is one.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    #[allow(clippy::cast_precision_loss)]
    fn refill(&mut self, now: Time) {
        let passed_us = now.since(self.refilled).as_us() as f64;
        let window_us = self.bounds.window.as_us().max(1) as f64;
        self.refilled = self.refilled.max(now);
        let flowed = self.saved_max * passed_us / window_us;
        self.saved = (self.saved + flowed).min(self.saved_max.max(1.0));
    }
}
