//! A concurrency limit that follows the observed latency.

use lentil_core::Span;

/// Latency, in multiples of the unloaded one, above which the limit falls.
const SLOW_RATIO: f64 = 2.0;
/// Share of the limit kept when it falls.
const FALL: f64 = 0.9;
/// Weight of a new latency in the recent average.
const RECENT_WEIGHT: f64 = 0.2;
/// Answers of a cold replica before it gets more than its lower bound.
const PROOF: u32 = 16;
/// Rise of the unloaded latency with each answer, so that drift is followed.
const FLOOR_DRIFT: f64 = 0.001;

/// Calls that may run side by side, by additive rise and multiplicative fall.
#[derive(Debug, Clone)]
pub struct ConcurrencyLimit {
    low: f64,
    high: f64,
    limit: f64,
    floor_us: Option<f64>,
    recent_us: f64,
    /// Answers at the lower bound.
    proofs: u32,
}

impl ConcurrencyLimit {
    /// A limit that starts at its lower bound.
    #[must_use]
    pub fn new(low: u32, high: u32) -> Self {
        let low = f64::from(low.max(1));
        Self {
            low,
            high: f64::from(high).max(low),
            limit: low,
            floor_us: None,
            recent_us: 0.0,
            proofs: 0,
        }
    }

    /// Whether one more call may start beside `running` ones.
    #[must_use]
    pub fn admits(&self, running: u32) -> bool {
        f64::from(running) + 1.0 <= self.limit
    }

    /// Calls that may start beside `running` ones.
    #[must_use]
    pub fn available(&self, running: u32) -> u32 {
        let mut free = 0;
        while self.admits(running.saturating_add(free)) {
            free += 1;
        }
        free
    }

    /// Whether the limit is at its upper bound.
    #[must_use]
    pub fn is_at_max(&self) -> bool {
        self.limit >= self.high
    }

    /// Back to the lower bound; what was learned of latencies is kept.
    pub fn reset(&mut self) {
        self.limit = self.low;
        self.proofs = 0;
    }

    /// A call was answered after `latency` with `running` side by side.
    pub fn answered(&mut self, latency: Span, running: u32) {
        let us = u32::try_from(latency.as_us()).map_or(f64::MAX, f64::from);
        let floor = self.floor_us.map_or(us, |floor| floor.min(us)) * (1.0 + FLOOR_DRIFT);
        if self.floor_us.is_none() {
            self.recent_us = us;
        }
        self.floor_us = Some(floor);
        self.recent_us += RECENT_WEIGHT * (us - self.recent_us);
        if self.recent_us > floor * SLOW_RATIO {
            self.limit = (self.limit * FALL).max(self.low);
            self.recent_us = floor * SLOW_RATIO;
        } else if self.proofs < PROOF {
            self.proofs += 1;
        } else if f64::from(running) * 2.0 > self.limit {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.high);
        }
    }

    /// A call failed for want of capacity.
    pub fn overloaded(&mut self) {
        self.limit = (self.limit * FALL * FALL).max(self.low);
    }
}
