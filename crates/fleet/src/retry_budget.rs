//! This entry's share of the retry budget.

use lentil_core::{Span, Time};

/// Fraction of the limit that is used, so that requests counted late do not cause
/// it to be exceeded.
const LIMIT_FRACTION: f64 = 0.8;

/// Limit on the retries of all entries together, per service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Additional retries allowed per window.
    pub slack: f64,
    /// Length of the window over which the limit applies.
    pub window: Span,
}

/// Retries that this entry may still send to one service.
///
/// Every request deposits the ratio, and the slack is divided by the number of
/// entries. The balance never exceeds the entry's share of the slack, so all
/// entries together stay within the limit in any window without communicating.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    balance: f64,
    balance_max: f64,
    last_refill: Time,
}

impl RetryBudget {
    /// Creates a full budget for one of `entries` entries.
    #[must_use]
    pub fn new(config: RetryBudgetConfig, entries: u32, now: Time) -> Self {
        let balance_max = Self::entry_share(config, entries);
        Self {
            config,
            balance: balance_max,
            balance_max,
            last_refill: now,
        }
    }

    /// The maximum balance of an entry: half of its share of the slack. The other
    /// half is added over the course of a window.
    fn entry_share(config: RetryBudgetConfig, entries: u32) -> f64 {
        config.slack * LIMIT_FRACTION / (2.0 * f64::from(entries.max(1)))
    }

    /// Updates the number of entries that share the limit.
    pub fn set_entry_count(&mut self, entries: u32) {
        self.balance_max = Self::entry_share(self.config, entries);
        self.balance = self.balance.min(self.balance_max);
    }

    /// Adds the ratio for a request that arrived for the service.
    pub fn deposit(&mut self) {
        let deposit = self.config.ratio * LIMIT_FRACTION;
        self.balance = (self.balance + deposit).min(self.balance_max.max(1.0));
    }

    /// Withdraws one retry; returns `false` if the balance is too low.
    pub fn try_withdraw(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }

    #[allow(clippy::cast_precision_loss)]
    fn refill(&mut self, now: Time) {
        let elapsed_us = now.since(self.last_refill).as_us() as f64;
        let window_us = self.config.window.as_us().max(1) as f64;
        self.last_refill = self.last_refill.max(now);
        let refill = self.balance_max * elapsed_us / window_us;
        self.balance = (self.balance + refill).min(self.balance_max.max(1.0));
    }
}
