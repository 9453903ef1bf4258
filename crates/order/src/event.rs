//! Events, actions and settings of a [`ClaimHolder`](crate::ClaimHolder).

use lentil_core::{FenceNumber, ModelId, Offset, Span};

use crate::order::{Answer, EndpointStatus, EngineFencing, Order};
use crate::record::{Bounds, Record};
use crate::{Assignment, ClaimRefusal};

/// Settings of a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClaimHolderSettings {
    /// What the engine does with old numbers.
    pub fencing: EngineFencing,
    /// How long a claim or its renewal lasts.
    pub lease: Span,
    /// Time kept free at the lease's end for the order's way to the engine.
    pub send_margin: Span,
    /// Time between two tries of an append or a question.
    pub retry_interval: Span,
}

/// A change that the plan asks of this endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ChangeRequest {
    /// The model that loses a replica.
    pub from: Option<ModelId>,
    /// What the endpoint is to hold.
    pub to: Assignment,
    /// Replicas of `from` that serve and are not about to leave it.
    pub from_live: u32,
    /// Replicas of `to`'s model that serve.
    pub to_live: u32,
    /// Bounds of the preset in force.
    pub bounds: Bounds,
}

/// What happens to a holder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The plan asks for a change.
    ChangeRequested(ChangeRequest),
    /// The next record of the order stream.
    RecordRead {
        /// Its offset.
        offset: Offset,
        /// The record.
        record: Record,
    },
    /// The endpoint answered an order.
    OrderAnswered {
        /// The order's number.
        number: FenceNumber,
        /// The answer.
        answer: Answer,
    },
    /// The order was not sent, since its lease had lapsed.
    NotSent {
        /// The order's number.
        number: FenceNumber,
    },
    /// The order got no answer.
    AnswerLost {
        /// The order's number.
        number: FenceNumber,
    },
    /// The endpoint said what it loaded.
    Status(EndpointStatus),
    /// Time passed.
    Tick,
}

/// What a holder asks its shell to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Append the record to the zone's order stream.
    Append(Record),
    /// Ask the endpoint what it loaded.
    QueryStatus,
    /// Check the order's lease, then send it.
    SendOrder(Order),
    /// The claim was not granted; the plan may ask again later.
    ClaimRefused(ClaimRefusal),
    /// The endpoint loaded what was wanted.
    Loaded(Assignment),
    /// A newer agent has the endpoint; this one must not act any more.
    Superseded,
}

/// Counts of what a holder met.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Claims that were granted.
    pub granted: u64,
    /// Claims that were refused.
    pub refused: u64,
    /// Orders handed to the shell.
    pub orders: u64,
    /// Orders not sent because the lease had lapsed.
    pub lapsed: u64,
    /// Orders without an answer.
    pub answers_lost: u64,
    /// Claims of silent holders that were declared expired.
    pub expired: u64,
    /// Times the endpoint held something that was not ordered.
    pub foreign: u64,
}
