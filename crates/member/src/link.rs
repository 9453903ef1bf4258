//! Health of the link to one agent: failures, stalls and slow round trips.

use lentil_core::{Span, Time};

use crate::eligibility::LinkStatus;

/// Backoff after the first failure.
const BACKOFF_MIN: Span = Span::from_ms(500);
/// Longest backoff after repeated failures.
const BACKOFF_MAX: Span = Span::from_s(16);
/// A link that stayed up for this long starts again with the shortest backoff.
const STABLE_AFTER: Span = Span::from_s(30);
/// Consecutive samples needed to mark a link as slow, or as fast again.
const HYSTERESIS_SAMPLES: u32 = 3;

/// What one entry knows about its link to one agent.
#[derive(Debug, Clone, Default)]
pub(crate) struct LinkHealth {
    failures: u32,
    retry_at: Option<Time>,
    stable_at: Option<Time>,
    slow: bool,
    /// Consecutive samples that contradict `slow`.
    contrary_samples: u32,
}

impl LinkHealth {
    /// Records that the link failed or stalled. `jitter` differs by entry, so
    /// that entries don't reconnect at the same moment.
    pub(crate) fn record_failure(&mut self, now: Time, jitter: u64) {
        let was_stable = self.stable_at.is_some_and(|at| at.has_passed(now));
        self.failures = if was_stable {
            1
        } else {
            self.failures.saturating_add(1)
        };
        self.stable_at = None;
        let doublings = self.failures.saturating_sub(1).min(16);
        let backoff = BACKOFF_MIN.times(1 << doublings).min(BACKOFF_MAX);
        let jitter_us = jitter.checked_rem(backoff.as_us()).unwrap_or(0) / 2;
        self.retry_at = Some(now + backoff + Span::from_us(jitter_us));
    }

    /// Records that a message arrived from the agent.
    pub(crate) fn record_message(&mut self, now: Time) {
        self.retry_at = None;
        if self.stable_at.is_none() {
            self.stable_at = Some(now + STABLE_AFTER);
        }
    }

    /// Records a measured round trip.
    pub(crate) fn record_round_trip(&mut self, round_trip: Span, slow_above: Span) {
        let slow = round_trip > slow_above;
        if slow == self.slow {
            self.contrary_samples = 0;
            return;
        }
        self.contrary_samples += 1;
        if self.contrary_samples >= HYSTERESIS_SAMPLES {
            self.slow = slow;
            self.contrary_samples = 0;
        }
    }

    pub(crate) const fn is_slow(&self) -> bool {
        self.slow
    }

    pub(crate) fn status(&self, now: Time) -> LinkStatus {
        match self.retry_at {
            None => LinkStatus::Up,
            Some(at) if at.has_passed(now) => LinkStatus::RetryDue,
            Some(_) => LinkStatus::BackingOff,
        }
    }
}
