//! Orders to an endpoint, the lease check before they are sent, and the answers.

use lentil_core::{FenceNumber, Time};
use thiserror::Error;

use crate::Assignment;

/// Whether an engine enforces fence numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFencing {
    /// It refuses an order whose number is smaller than one that it has seen.
    Enforced,
    /// It ignores the number.
    Ignored,
}

/// An order whose lease must be checked before it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    number: FenceNumber,
    to: Assignment,
    send_until: Time,
}

/// An order that passed the lease check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedOrder {
    /// The fence number.
    pub number: FenceNumber,
    /// The assignment that the endpoint is to load.
    pub to: Assignment,
}

/// The lease lapsed before the order was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the lease of order {number} has lapsed")]
pub struct LeaseLapsed {
    /// The order's number.
    pub number: FenceNumber,
}

impl Order {
    pub(crate) const fn new(number: FenceNumber, to: Assignment, send_until: Time) -> Self {
        Self {
            number,
            to,
            send_until,
        }
    }

    /// The fence number.
    #[must_use]
    pub const fn number(&self) -> FenceNumber {
        self.number
    }

    /// The assignment that the endpoint is to load.
    #[must_use]
    pub const fn to(&self) -> &Assignment {
        &self.to
    }

    /// Checks the lease. Must be called immediately before sending, as any delay
    /// in between lets the lease lapse unnoticed.
    ///
    /// # Errors
    /// The lease has lapsed, and the order must not be sent.
    pub fn check(self, now: Time) -> Result<CheckedOrder, LeaseLapsed> {
        if self.send_until.has_passed(now) {
            return Err(LeaseLapsed {
                number: self.number,
            });
        }
        Ok(self.without_check())
    }

    /// Skips the lease check. Only for measurements that show what the check
    /// prevents.
    #[must_use]
    pub fn without_check(self) -> CheckedOrder {
        CheckedOrder {
            number: self.number,
            to: self.to,
        }
    }
}

/// An endpoint's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// It started the change.
    Started,
    /// It is already running another change.
    Busy,
    /// It refused the order because it has seen a larger fence number.
    OldNumber,
    /// It can't hold the ordered assignment.
    Failed,
}

/// The state that an endpoint reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatus {
    /// The assignment that is loaded and ready to serve.
    pub loaded: Option<Assignment>,
    /// Whether a change is running.
    pub changing: bool,
}
