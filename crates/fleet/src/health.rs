//! How an endpoint answers, as this entry sees it.

use lentil_core::{Span, Time};

/// Weight of the latest answer in the share of failures.
const LATEST_WEIGHT: f64 = 0.15;
/// First pause after an endpoint could not be reached.
const PAUSE_FIRST: Span = Span::from_ms(250);
/// Longest such pause, in doublings of the first.
const PAUSE_DOUBLINGS_MAX: u32 = 4;

/// How long a failure to reach an endpoint is remembered.
const UNREACHED_LASTS: Span = Span::from_ms(2_500);

/// Failures of one endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failing_share: f64,
    unreached: u32,
    unreached_at: Option<Time>,
    paused_until: Time,
}

impl Health {
    /// It answered well.
    pub(crate) fn good(&mut self) {
        self.failing_share *= 1.0 - LATEST_WEIGHT;
        self.unreached = 0;
        self.unreached_at = None;
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
        self.unreached_at = Some(now);
        self.paused_until = now + PAUSE_FIRST.times(1 << doublings);
    }

    /// The share of its latest answers that failed, from 0 to 1.
    pub(crate) const fn failing_share(&self) -> f64 {
        self.failing_share
    }

    /// Whether it could not be reached a short while ago, and not since.
    pub(crate) fn recently_unreached(&self, now: Time) -> bool {
        self.unreached_at
            .is_some_and(|at| !(at + UNREACHED_LASTS).has_passed(now))
    }

    /// Whether it gets nothing for now.
    pub(crate) fn paused(&self, now: Time) -> bool {
        !self.paused_until.has_passed(now)
    }
}
