//! Orders to load models or change role, with fence numbers that reject outdated ones.

use serde_json::Value;

/// Maximum number of accepted orders that are recorded.
const ACCEPTED_MAX: usize = 10_000;

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderResult {
    /// The order was accepted.
    Accepted,
    /// An order with a higher fence number was accepted before.
    Stale {
        /// Highest accepted fence number.
        newest: u64,
    },
}

/// State of the orders accepted so far.
#[derive(Debug)]
pub(crate) struct Orders {
    checks_fence: bool,
    newest: u64,
    accepted: Vec<(u64, Value)>,
}

impl Orders {
    pub(crate) const fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            newest: 0,
            accepted: Vec::new(),
        }
    }

    pub(crate) const fn set_checks_fence(&mut self, checks: bool) {
        self.checks_fence = checks;
    }

    pub(crate) fn accepted(&self) -> &[(u64, Value)] {
        &self.accepted
    }

    pub(crate) fn apply(&mut self, fence: u64, order: Value) -> OrderResult {
        if self.checks_fence && fence < self.newest {
            return OrderResult::Stale {
                newest: self.newest,
            };
        }
        self.newest = self.newest.max(fence);
        if self.accepted.len() < ACCEPTED_MAX {
            self.accepted.push((fence, order));
        }
        OrderResult::Accepted
    }
}
