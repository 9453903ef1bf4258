//! How an endpoint answers, as this entry sees it.

use lentil_core::{Span, Time};

/// Weight of the latest answer in the share of failures.
const LATEST_WEIGHT: f64 = 0.15;
/// First pause after an endpoint could not be reached.
const PAUSE_FIRST: Span = Span::from_ms(250);
/// Longest such pause, in doublings of the first.
const PAUSE_DOUBLINGS_MAX: u32 = 4;

/// Failures of one endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failing_share: f64,
    unreached: u32,
    paused_until: Time,
}

impl Health {
    /// It answered well.
    pub(crate) fn good(&mut self) {
        self.failing_share *= 1.0 - LATEST_WEIGHT;
        self.unreached = 0;
    }

    /// It failed a request.
    pub(crate) fn failed(&mut self) {
        self.failing_share += (1.0 - self.failing_share) * LATEST_WEIGHT;
    }

    /// It could not be reached, or was silent.
    pub(crate) fn unreached(&mut self, now: Time) {
        self.failed();
        let doublings = self.unreached.min(PAUSE_DOUBLINGS_MAX);
        self.unreached = self.unreached.saturating_add(1);
        self.paused_until = now + PAUSE_FIRST.times(1 << doublings);
    }

    /// The share of its latest answers that failed, from 0 to 1.
    pub(crate) const fn failing_share(&self) -> f64 {
        self.failing_share
    }

    /// Whether it gets nothing for now.
    pub(crate) fn paused(&self, now: Time) -> bool {
        !self.paused_until.has_passed(now)
    }
}
