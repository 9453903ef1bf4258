//! Orders, their guard, and what endpoints answer.

use lentil_core::{FenceNumber, Time};
use thiserror::Error;

use crate::Assignment;

/// What an engine does with an old fence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFencing {
    /// It refuses an order whose number is smaller than one it has seen.
    Enforced,
    /// It ignores the number.
    Ignored,
}

/// An order that may be sent only after a look at the clock.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    number: FenceNumber,
    to: Assignment,
    send_until: Time,
}

/// An order whose lease was found valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckedOrder {
    /// The fence number.
    pub number: FenceNumber,
    /// What the endpoint is to hold.
    pub to: Assignment,
}

/// The lease ended before the order was sent.
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

    /// What the endpoint is to hold.
    #[must_use]
    pub const fn to(&self) -> &Assignment {
        &self.to
    }

    /// Releases the order for sending; to be called immediately before it.
    ///
    /// # Errors
    /// The lease has lapsed: the order must not be sent.
    pub fn check(self, now: Time) -> Result<CheckedOrder, LeaseLapsed> {
        if self.send_until.has_passed(now) {
            return Err(LeaseLapsed {
                number: self.number,
            });
        }
        Ok(self.without_check())
    }

    /// Releases the order without a look at the clock, to show what the check prevents.
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
    /// It began the change.
    Started,
    /// Another change is running.
    Busy,
    /// It has seen a larger number.
    OldNumber,
    /// It can't hold that.
    Failed,
}

/// What an endpoint says about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointStatus {
    /// What it loaded ready to serve.
    pub loaded: Option<Assignment>,
    /// Whether a change is running.
    pub changing: bool,
}
