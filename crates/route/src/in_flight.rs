//! Requests in flight, and the delay before one is hedged.

use lentil_core::{EndpointId, Span, Time};

use crate::event::Request;

/// Quantile of the answer times, in thousandths, after which a hedge is sent.
const HEDGE_QUANTILE: u64 = 950;
/// Initial estimate of that quantile.
const HEDGE_DELAY_START: Span = Span::from_ms(200);
/// Divisor of the estimate that gives its step size.
const STEP_DIVISOR: u64 = 5_000;

/// An attempt in progress.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent_at: Time,
    /// Whether the agent has accepted the attempt.
    pub(crate) accepted: bool,
    pub(crate) response_started: Option<Time>,
}

/// A request with its attempts in progress.
#[derive(Debug)]
pub(crate) struct InFlight {
    pub(crate) request: Request,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) hedged: bool,
}

impl InFlight {
    pub(crate) fn attempt(&mut self, endpoint: &EndpointId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|a| a.endpoint == *endpoint)
    }

    pub(crate) fn remove_attempt(&mut self, endpoint: &EndpointId) -> Option<Attempt> {
        let index = self.attempts.iter().position(|a| a.endpoint == *endpoint)?;
        Some(self.attempts.swap_remove(index))
    }

    /// Whether a hedge is due: the only attempt has had no response for `delay`.
    pub(crate) fn hedge_due(&self, now: Time, delay: Span) -> bool {
        let [attempt] = self.attempts.as_slice() else {
            return false;
        };
        self.request.hedgeable
            && !self.hedged
            && attempt.response_started.is_none()
            && (attempt.sent_at + delay).has_passed(now)
    }
}

/// Running estimate of the quantile of answer times after which a hedge is sent.
#[derive(Debug)]
pub(crate) struct HedgeDelay {
    delay_us: u64,
}

impl Default for HedgeDelay {
    fn default() -> Self {
        Self {
            delay_us: HEDGE_DELAY_START.as_us(),
        }
    }
}

impl HedgeDelay {
    pub(crate) const fn delay(&self) -> Span {
        Span::from_us(self.delay_us)
    }

    pub(crate) fn answered(&mut self, latency: Span) {
        let step = (self.delay_us / STEP_DIVISOR).max(1);
        if latency.as_us() > self.delay_us {
            self.delay_us += step * HEDGE_QUANTILE;
        } else {
            self.delay_us = self
                .delay_us
                .saturating_sub(step * (1_000 - HEDGE_QUANTILE));
        }
    }
}
