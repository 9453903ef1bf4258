//! Requests that were sent and have not ended.

use lentil_core::{EndpointId, Span, Time};

use crate::event::Request;

/// Share of answers, in thousandths, that come before the hedge.
const HEDGE_QUANTILE: u64 = 950;
/// First guess of that quantile.
const HEDGE_START: Span = Span::from_ms(200);
/// Step of the estimate, as a part of it.
const STEP_PART: u64 = 5_000;

/// One attempt of a request.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) sent: Time,
    /// The agent said that it took or refused it.
    pub(crate) accepted: bool,
    pub(crate) answering: Option<Time>,
}

/// A request with its attempts under way.
#[derive(Debug)]
pub(crate) struct Flight {
    pub(crate) request: Request,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) hedged: bool,
}

impl Flight {
    pub(crate) fn attempt(&mut self, endpoint: &EndpointId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|a| a.endpoint == *endpoint)
    }

    pub(crate) fn take(&mut self, endpoint: &EndpointId) -> Option<Attempt> {
        let place = self.attempts.iter().position(|a| a.endpoint == *endpoint)?;
        Some(self.attempts.swap_remove(place))
    }

    /// Whether a second attempt is due: one attempt, unanswered for too long.
    pub(crate) fn wants_hedge(&self, now: Time, delay: Span) -> bool {
        let [attempt] = self.attempts.as_slice() else {
            return false;
        };
        self.request.hedgeable
            && !self.hedged
            && attempt.answering.is_none()
            && (attempt.sent + delay).has_passed(now)
    }
}

/// Follows the quantile of answer times after which a hedge is sent.
#[derive(Debug)]
pub(crate) struct HedgeDelay {
    delay_us: u64,
}

impl Default for HedgeDelay {
    fn default() -> Self {
        Self {
            delay_us: HEDGE_START.as_us(),
        }
    }
}

impl HedgeDelay {
    pub(crate) const fn delay(&self) -> Span {
        Span::from_us(self.delay_us)
    }

    pub(crate) fn answered(&mut self, took: Span) {
        let step = (self.delay_us / STEP_PART).max(1);
        if took.as_us() > self.delay_us {
            self.delay_us += step * HEDGE_QUANTILE;
        } else {
            self.delay_us = self
                .delay_us
                .saturating_sub(step * (1_000 - HEDGE_QUANTILE));
        }
    }
}
