//! What this entry may send to a cold endpoint.

use std::collections::VecDeque;

use lentil_core::{Span, Time};

/// The span in which a cold endpoint's requests are counted.
const WINDOW: Span = Span::from_s(1);

/// Sends to one cold endpoint in the last second.
///
/// The endpoint's bound holds for all entries together, also for those that
/// can't hear of each other, so each takes only its part of it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdWindow {
    sent: VecDeque<Time>,
}

impl ColdWindow {
    /// Whether one more may be sent within `bound` a second.
    pub(crate) fn admits(&mut self, now: Time, bound: usize) -> bool {
        while self
            .sent
            .front()
            .is_some_and(|sent| (*sent + WINDOW).has_passed(now))
        {
            self.sent.pop_front();
        }
        self.sent.len() < bound
    }

    /// One was sent.
    pub(crate) fn sent(&mut self, now: Time) {
        self.sent.push_back(now);
    }
}
