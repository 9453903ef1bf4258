//! The link to one agent: failures, stalls and slowness.

use lentil_core::{Span, Time};

use crate::eligibility::LinkFact;

/// First wait after a failure.
const BACKOFF_MIN: Span = Span::from_ms(500);
/// Longest wait after repeated failures.
const BACKOFF_MAX: Span = Span::from_s(16);
/// A link that stays up so long starts again with the first wait.
const SETTLED_AFTER: Span = Span::from_s(30);
/// Samples in a row that make a link slow, or fast again.
const SAMPLES: u32 = 3;

/// What one entry knows of its link to one agent.
#[derive(Debug, Clone, Default)]
pub(crate) struct Link {
    failures: u32,
    retry_at: Option<Time>,
    settled_at: Option<Time>,
    slow: bool,
    against: u32,
}

impl Link {
    /// The link failed or stalled; `jitter` sets entries apart.
    pub(crate) fn fail(&mut self, now: Time, jitter: u64) {
        let settled = self.settled_at.is_some_and(|at| at.has_passed(now));
        self.failures = if settled {
            1
        } else {
            self.failures.saturating_add(1)
        };
        self.settled_at = None;
        let doublings = self.failures.saturating_sub(1).min(16);
        let wait = BACKOFF_MIN.times(1 << doublings).min(BACKOFF_MAX);
        let extra_us = jitter.checked_rem(wait.as_us()).unwrap_or(0) / 2;
        self.retry_at = Some(now + wait + Span::from_us(extra_us));
    }

    /// The other side was heard.
    pub(crate) fn work(&mut self, now: Time) {
        self.retry_at = None;
        if self.settled_at.is_none() {
            self.settled_at = Some(now + SETTLED_AFTER);
        }
    }

    /// A round trip was measured.
    pub(crate) fn sample(&mut self, round_trip: Span, slow_above: Span) {
        let slow = round_trip > slow_above;
        if slow == self.slow {
            self.against = 0;
            return;
        }
        self.against += 1;
        if self.against >= SAMPLES {
            self.slow = slow;
            self.against = 0;
        }
    }

    pub(crate) const fn is_slow(&self) -> bool {
        self.slow
    }

    pub(crate) fn fact(&self, now: Time) -> LinkFact {
        match self.retry_at {
            None => LinkFact::Fine,
            Some(at) if at.has_passed(now) => LinkFact::RetryDue,
            Some(_) => LinkFact::Waiting,
        }
    }
}
