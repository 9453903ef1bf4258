//! Rate limiting of this entry's requests to a cold endpoint.

use std::collections::VecDeque;

use lentil_core::{Span, Time};

/// Length of the sliding window.
const WINDOW: Span = Span::from_s(1);

/// A sliding window over the requests sent to one cold endpoint.
///
/// The endpoint's limit applies to all entries together, and entries may be unable
/// to communicate, so each of them uses only its share.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdWindow {
    sent_at: VecDeque<Time>,
}

impl ColdWindow {
    /// Whether another request stays within `limit` requests per second.
    pub(crate) fn allows(&mut self, now: Time, limit: usize) -> bool {
        while self
            .sent_at
            .front()
            .is_some_and(|sent_at| (*sent_at + WINDOW).has_passed(now))
        {
            self.sent_at.pop_front();
        }
        self.sent_at.len() < limit
    }

    /// Records a request sent at `now`.
    pub(crate) fn record(&mut self, now: Time) {
        self.sent_at.push_back(now);
    }
}
