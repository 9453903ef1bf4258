//! Where a holder stands with its claim.

use lentil_core::{FenceNumber, Span, Time};

use crate::Assignment;
use crate::event::Action;
use crate::record::Record;

#[derive(Debug)]
pub(crate) enum Stage {
    Idle,
    Claiming(Pending),
    Holding(Box<Hold>),
    Superseded,
}

/// An append that has not been read back.
#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) record: Record,
    pub(crate) first_sent: Time,
    pub(crate) retry_at: Time,
}

/// A granted claim.
#[derive(Debug)]
pub(crate) struct Hold {
    pub(crate) number: FenceNumber,
    pub(crate) to: Assignment,
    pub(crate) lease_until: Time,
    pub(crate) renewal: Option<Pending>,
    pub(crate) renewals: u64,
    pub(crate) step: Step,
}

#[derive(Debug)]
pub(crate) enum Step {
    /// For the predecessor's lease and the turn at the weight store.
    Waiting,
    /// Before the first order, and after one whose fate is not known.
    Asking { retry_at: Time },
    /// Until the shell tells the order's fate.
    Ordered,
    /// The endpoint works on the order.
    Loading { ask_at: Time },
    /// Until the last record of the claim is read back.
    Finishing(Pending),
}

impl Hold {
    pub(crate) const fn new(number: FenceNumber, to: Assignment, lease_until: Time) -> Self {
        Self {
            number,
            to,
            lease_until,
            renewal: None,
            renewals: 0,
            step: Step::Waiting,
        }
    }
}

impl Pending {
    /// The append once more, when its answer is overdue.
    pub(crate) fn repeat(&mut self, now: Time, retry: Span) -> Option<Action> {
        if !self.retry_at.has_passed(now) {
            return None;
        }
        self.retry_at = now + retry;
        Some(Action::Append(self.record.clone()))
    }
}
