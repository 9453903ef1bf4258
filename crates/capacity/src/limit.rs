//! A concurrency limit that adapts to the observed latency.

use lentil_core::Span;

/// Ratio of the recent to the unloaded latency above which the limit decreases.
const SLOW_RATIO: f64 = 2.0;
/// Factor applied to the limit when it decreases.
const DECREASE_FACTOR: f64 = 0.9;
/// Weight of a new sample in the moving average of the recent latency.
const RECENT_WEIGHT: f64 = 0.2;
/// Answers at normal latency after a reset before the limit may rise.
const MIN_LIMIT_ANSWERS: u32 = 16;
/// Relative increase of the unloaded latency per answer, so that it follows upward drift.
const BASELINE_DRIFT: f64 = 0.001;

/// Limit on concurrent calls, with additive increase and multiplicative decrease (AIMD).
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    min: f64,
    max: f64,
    limit: f64,
    baseline_us: Option<f64>,
    recent_us: f64,
    /// Answers at normal latency since the last reset, up to [`MIN_LIMIT_ANSWERS`].
    answers_since_reset: u32,
}

impl ConcurrencyLimit {
    /// Creates a limit between `min` and `max` that starts at its minimum.
    #[must_use]
    pub fn new(min: u32, max: u32) -> Self {
        let min = f64::from(min.max(1));
        Self {
            min,
            max: f64::from(max).max(min),
            limit: min,
            baseline_us: None,
            recent_us: 0.0,
            answers_since_reset: 0,
        }
    }

    /// Creates a limit between `min` and `max` that starts at its maximum, for a sender that sees
    /// too few answers to raise it.
    #[must_use]
    pub fn open(min: u32, max: u32) -> Self {
        let limit = Self::new(min, max);
        Self {
            limit: limit.max,
            ..limit
        }
    }

    /// Whether one more call may start while `running` calls are in progress.
    #[must_use]
    pub fn admits(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit
    }

    /// Number of calls that may start while `running` calls are in progress.
    #[must_use]
    pub fn available(&self, running: u32) -> u32 {
        let mut free = 0;
        while self.admits(running.saturating_add(free)) {
            free += 1;
        }
        free
    }

    /// Whether the limit has reached its maximum.
    #[must_use]
    pub fn is_at_max(&self) -> bool {
        self.limit >= self.max
    }

    /// Resets the limit to its minimum and keeps the learned latencies.
    pub fn reset(&mut self) {
        self.limit = self.min;
        self.answers_since_reset = 0;
    }

    /// Records an answer after `latency`, with `running` calls in progress including it.
    pub fn answered(&mut self, latency: Span, running: u32) {
        let us = u32::try_from(latency.as_us()).map_or(f64::MAX, f64::from);
        let baseline =
            self.baseline_us.map_or(us, |baseline| baseline.min(us)) * (1.0 + BASELINE_DRIFT);
        if self.baseline_us.is_none() {
            self.recent_us = us;
        }
        self.baseline_us = Some(baseline);
        self.recent_us += RECENT_WEIGHT * (us - self.recent_us);
        if self.recent_us > baseline * SLOW_RATIO {
            self.limit = (self.limit * DECREASE_FACTOR).max(self.min);
            self.recent_us = baseline * SLOW_RATIO;
        } else if self.answers_since_reset < MIN_LIMIT_ANSWERS {
            self.answers_since_reset += 1;
        } else if f64::from(running) * 2.0 > self.limit {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.max);
        }
    }

    /// Records a call that the replica rejected for lack of capacity, which decreases the limit
    /// by two steps.
    pub fn overloaded(&mut self) {
        self.limit = (self.limit * DECREASE_FACTOR * DECREASE_FACTOR).max(self.min);
    }
}
