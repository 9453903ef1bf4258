//! The state of a claim holder's claim.

use lentil_core::{FenceNumber, Span, Time};

use crate::Assignment;
use crate::event::Action;
use crate::record::Record;

#[derive(Debug)]
pub(crate) enum ClaimState {
    Idle,
    Claiming(PendingAppend),
    Granted(Box<GrantedClaim>),
    Superseded,
}

/// An appended record that has not been read back from the stream.
#[derive(Debug)]
pub(crate) struct PendingAppend {
    pub(crate) record: Record,
    pub(crate) first_sent_at: Time,
    pub(crate) retry_at: Time,
}

/// A granted claim.
#[derive(Debug)]
pub(crate) struct GrantedClaim {
    pub(crate) number: FenceNumber,
    pub(crate) to: Assignment,
    pub(crate) lease_until: Time,
    pub(crate) renewal: Option<PendingAppend>,
    pub(crate) renewal_count: u64,
    pub(crate) order_step: OrderStep,
}

#[derive(Debug)]
pub(crate) enum OrderStep {
    /// Waits for the predecessor's lease to end and for a fetch slot at the weight
    /// store.
    Waiting,
    /// Queries the endpoint before the first order, and after an order whose
    /// outcome is unknown.
    Querying { retry_at: Time },
    /// Waits for the caller to report the outcome of the order.
    AwaitingAnswer,
    /// The endpoint is loading the ordered assignment.
    Loading { query_at: Time },
    /// Waits until the last record of the claim is read back.
    Finishing(PendingAppend),
}

impl GrantedClaim {
    pub(crate) const fn new(number: FenceNumber, to: Assignment, lease_until: Time) -> Self {
        Self {
            number,
            to,
            lease_until,
            renewal: None,
            renewal_count: 0,
            order_step: OrderStep::Waiting,
        }
    }
}

impl PendingAppend {
    /// Returns the append again when it was not read back within the retry
    /// interval.
    pub(crate) fn retry_if_due(&mut self, now: Time, interval: Span) -> Option<Action> {
        if !self.retry_at.has_passed(now) {
            return None;
        }
        self.retry_at = now + interval;
        Some(Action::Append(self.record.clone()))
    }
}
