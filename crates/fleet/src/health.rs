//! The health of an endpoint as observed by this entry.

use lentil_core::{Span, Time};

/// Weight of the latest result in the moving average of failures.
const LATEST_RESULT_WEIGHT: f64 = 0.15;
/// Backoff after the first failure to reach an endpoint.
const INITIAL_BACKOFF: Span = Span::from_ms(250);
/// Maximum number of times that the backoff is doubled.
const BACKOFF_DOUBLINGS_MAX: u32 = 4;

/// How long an endpoint counts as recently unreachable.
const UNREACHABLE_TTL: Span = Span::from_ms(2_500);

/// Failure statistics of one endpoint.
#[derive(Debug, Clone, Default)]
pub(crate) struct Health {
    failure_rate: f64,
    consecutive_unreachable: u32,
    unreachable_at: Option<Time>,
    backoff_until: Time,
}

impl Health {
    /// Records a successful request.
    pub(crate) fn record_success(&mut self) {
        self.failure_rate *= 1.0 - LATEST_RESULT_WEIGHT;
        self.consecutive_unreachable = 0;
        self.unreachable_at = None;
    }

    /// Records a failed request.
    pub(crate) fn record_failure(&mut self) {
        self.failure_rate += (1.0 - self.failure_rate) * LATEST_RESULT_WEIGHT;
    }

    /// Records that the endpoint could not be reached or did not respond.
    pub(crate) fn record_unreachable(&mut self, now: Time) {
        self.record_failure();
        let doublings = self.consecutive_unreachable.min(BACKOFF_DOUBLINGS_MAX);
        self.consecutive_unreachable = self.consecutive_unreachable.saturating_add(1);
        self.unreachable_at = Some(now);
        self.backoff_until = now + INITIAL_BACKOFF.times(1 << doublings);
    }

    /// Moving average of failed requests, from 0 to 1.
    pub(crate) const fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the endpoint was unreachable recently and has not succeeded since.
    pub(crate) fn recently_unreachable(&self, now: Time) -> bool {
        self.unreachable_at
            .is_some_and(|at| !(at + UNREACHABLE_TTL).has_passed(now))
    }

    /// Whether the endpoint gets no requests because of the backoff.
    pub(crate) fn in_backoff(&self, now: Time) -> bool {
        !self.backoff_until.has_passed(now)
    }
}
