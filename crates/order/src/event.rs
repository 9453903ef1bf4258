//! Events, actions and settings of a [`ClaimHolder`](crate::ClaimHolder).

use lentil_core::{FenceNumber, ModelId, Offset, Span};

use crate::order::{Answer, EndpointStatus, EngineFencing, Order};
use crate::record::{Bounds, Record};
use crate::{Assignment, ClaimRefusal};

/// Settings of a claim holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimHolderSettings {
    /// Whether the engine enforces fence numbers.
    pub fencing: EngineFencing,
    /// Duration of the lease of a claim or renewal.
    pub lease: Span,
    /// Time reserved at the end of the lease for an order in transit to the engine.
    pub send_margin: Span,
    /// Time between two attempts of an append or a status query.
    pub retry_interval: Span,
}

/// A change that the plan requests for this endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The model that loses a replica.
    pub from: Option<ModelId>,
    /// The assignment that the endpoint is to load.
    pub to: Assignment,
    /// Replicas of `from` that serve and are not leaving it.
    pub from_live: u32,
    /// Replicas of `to`'s model that serve.
    pub to_live: u32,
    /// Limits from the preset in force.
    pub bounds: Bounds,
}

/// An input of a claim holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The plan requests a change.
    ChangeRequested(ChangeRequest),
    /// The next record of the order stream was read.
    RecordRead {
        /// Its offset.
        offset: Offset,
        /// The record.
        record: Record,
    },
    /// The endpoint answered an order.
    OrderAnswered {
        /// The order's fence number.
        number: FenceNumber,
        /// The answer.
        answer: Answer,
    },
    /// The order was not sent because its lease had lapsed.
    NotSent {
        /// The order's fence number.
        number: FenceNumber,
    },
    /// The order was sent, but no answer arrived.
    AnswerLost {
        /// The order's fence number.
        number: FenceNumber,
    },
    /// The endpoint reported its status.
    Status(EndpointStatus),
    /// Time has passed.
    Tick,
}

/// An action that a claim holder requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append the record to the order stream of the availability zone.
    Append(Record),
    /// Query the status of the endpoint.
    QueryStatus,
    /// Check the order's lease, then send it.
    SendOrder(Order),
    /// The claim was refused; the plan may request the change again later.
    ClaimRefused(ClaimRefusal),
    /// The endpoint has loaded the requested assignment.
    Loaded(Assignment),
    /// A newer agent claimed the endpoint; this one must stop acting.
    Superseded,
}

/// Event counts of a claim holder.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Claims that were granted.
    pub granted: u64,
    /// Claims that were refused.
    pub refused: u64,
    /// Orders handed to the caller for sending.
    pub orders: u64,
    /// Orders not sent because the lease had lapsed.
    pub lapsed: u64,
    /// Orders whose answer was lost.
    pub answers_lost: u64,
    /// Claims declared expired because their holders did not renew them.
    pub expired: u64,
    /// How often the endpoint held an assignment that this holder had not ordered.
    pub foreign: u64,
}
