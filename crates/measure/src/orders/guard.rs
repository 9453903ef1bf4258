//! Sets of guards against conflicting orders, and the counters of runs.

use lentil_core::Span;
use lentil_order::{ClaimHolderSettings, EngineFencing};
use serde::Serialize;

pub(crate) const LEASE: Span = Span::from_s(10);
pub(crate) const SEND_MARGIN: Span = Span::from_s(1);
const RETRY_INTERVAL: Span = Span::from_s(1);

/// Guards that are on in a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum GuardSet {
    /// All guards, and an engine that refuses orders with old fence numbers.
    EngineRefusesOld,
    /// All guards, and an engine that ignores fence numbers.
    EngineIgnoresNumbers,
    /// The lease is not checked before an order is sent.
    NoLeaseCheck,
    /// The successor does not wait until its predecessor's lease has expired.
    NoLeaseWait,
    /// All guards, but the delivery of an order may take longer than the send margin.
    LateOrders,
}

impl GuardSet {
    pub(crate) const ALL: [Self; 5] = [
        Self::EngineRefusesOld,
        Self::EngineIgnoresNumbers,
        Self::NoLeaseCheck,
        Self::NoLeaseWait,
        Self::LateOrders,
    ];

    /// Returns the name of the guard set in the report.
    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::EngineRefusesOld | Self::EngineIgnoresNumbers => "whole",
            Self::NoLeaseCheck => "no lease check",
            Self::NoLeaseWait => "no wait",
            Self::LateOrders => "late past margin",
        }
    }

    /// Returns whether all guards are on, so that no conflict may occur.
    pub(crate) const fn has_all_guards(self) -> bool {
        matches!(self, Self::EngineRefusesOld | Self::EngineIgnoresNumbers)
    }

    /// Returns the name in the report of the engine's handling of old fence numbers.
    pub(crate) const fn engine(self) -> &'static str {
        match self {
            Self::EngineRefusesOld => "refusing",
            _ => "ignoring",
        }
    }

    pub(crate) const fn settings(self) -> ClaimHolderSettings {
        let fencing = match self {
            Self::EngineRefusesOld | Self::NoLeaseWait => EngineFencing::Enforced,
            Self::EngineIgnoresNumbers | Self::NoLeaseCheck | Self::LateOrders => {
                EngineFencing::Ignored
            }
        };
        ClaimHolderSettings {
            fencing,
            lease: LEASE,
            send_margin: SEND_MARGIN,
            retry_interval: RETRY_INTERVAL,
        }
    }
}

/// Counters summed over runs.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Tally {
    pub(crate) runs: u64,
    pub(crate) orders: u64,
    pub(crate) conflicts: u64,
    pub(crate) pauses: u64,
    pub(crate) lapsed: u64,
    pub(crate) refused: u64,
    pub(crate) answers_lost: u64,
    pub(crate) takeovers: u64,
}

impl Tally {
    pub(crate) const fn plus(self, other: Self) -> Self {
        Self {
            runs: self.runs + other.runs,
            orders: self.orders + other.orders,
            conflicts: self.conflicts + other.conflicts,
            pauses: self.pauses + other.pauses,
            lapsed: self.lapsed + other.lapsed,
            refused: self.refused + other.refused,
            answers_lost: self.answers_lost + other.answers_lost,
            takeovers: self.takeovers + other.takeovers,
        }
    }
}
