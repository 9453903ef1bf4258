//! The time in which an endpoint wants no requests from this entry, and the return of its
//! load afterwards.

use lentil_core::{RetryAfter, Span, Time};

use crate::named_limit::fraction;

/// Time between the first requests of two entries after they were told to wait for the same
/// time.
const RETURN_SPACING: Span = Span::from_ms(50);
/// Answers after which an endpoint gets its whole part of the load again. Until then, the
/// number of its requests in flight is limited to one more than the answers.
const RETURN_ANSWERS: u32 = 8;
/// Streams that may continue at an endpoint that wants no requests. They were placed there
/// before it said so, and would be lost otherwise.
const CONTINUATIONS_MAX: u32 = 1;

/// An endpoint's request for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestNotice {
    /// How long the endpoint wants no requests.
    pub retry_after: RetryAfter,
    /// A random number, so that entries that wait for the same time don't return together.
    pub phase_seed: u64,
}

/// The state of an endpoint that asked for rest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Rest {
    /// When this entry may send the next request.
    pub(crate) until: Time,
    /// Answers to requests that were sent after this time.
    answers: u32,
    /// Streams that have continued there since.
    continuations: u32,
}

impl Rest {
    /// Applies a notice to the state known so far; `entries` entries send to the endpoint.
    pub(crate) fn apply(known: &mut Option<Self>, now: Time, notice: RestNotice, entries: u32) {
        let spread = RETURN_SPACING.times(entries.into());
        let until = now + notice.retry_after.span() + fraction(spread, notice.phase_seed);
        let before = known.filter(|rest| !rest.until.has_passed(now));
        *known = Some(Self {
            until: before.map_or(until, |rest| rest.until.max(until)),
            answers: 0,
            continuations: before.map_or(0, |rest| rest.continuations),
        });
    }

    /// Whether another request may be sent beside `in_flight` requests that were sent after
    /// the rest.
    pub(crate) fn allows(&self, now: Time, in_flight: usize) -> bool {
        let allowed = usize::try_from(self.answers).map_or(usize::MAX, |answers| answers + 1);
        self.until.has_passed(now) && in_flight < allowed
    }

    /// Whether a stream that was placed at the endpoint before may continue there.
    pub(crate) fn allow_continuation(&mut self, now: Time) -> bool {
        if self.until.has_passed(now) {
            return true;
        }
        let allowed = self.continuations < CONTINUATIONS_MAX;
        self.continuations += 1;
        allowed
    }

    /// Records an answer that asks for no rest.
    pub(crate) fn record_answer(known: &mut Option<Self>, sent_at: Time) {
        let Some(rest) = known else {
            return;
        };
        if rest.until.has_passed(sent_at) {
            rest.answers += 1;
        }
        if rest.answers >= RETURN_ANSWERS {
            *known = None;
        }
    }
}
