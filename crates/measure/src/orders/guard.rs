//! Guards that a run has, and what its runs add up to.

use lentil_core::Span;
use lentil_order::{ClaimHolderSettings, EngineFencing};
use serde::Serialize;

pub(crate) const LEASE: Span = Span::from_s(10);
pub(crate) const MARGIN: Span = Span::from_s(1);
const RETRY: Span = Span::from_s(1);

/// Which of the guards are on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Guard {
    /// All, with an engine that refuses old numbers.
    Refusing,
    /// All, with an engine that ignores numbers.
    Ignoring,
    /// The lease is not checked before the order.
    NoCheck,
    /// The successor doesn't wait its predecessor's lease out.
    NoWait,
    /// All, but an order may be on its way for longer than the margin.
    LateOrder,
}

impl Guard {
    pub(crate) const ALL: [Self; 5] = [
        Self::Refusing,
        Self::Ignoring,
        Self::NoCheck,
        Self::NoWait,
        Self::LateOrder,
    ];

    pub(crate) const fn as_str(self) -> &'static str {
        match self {
            Self::Refusing | Self::Ignoring => "whole",
            Self::NoCheck => "no lease check",
            Self::NoWait => "no wait",
            Self::LateOrder => "late past margin",
        }
    }

    pub(crate) const fn is_whole(self) -> bool {
        matches!(self, Self::Refusing | Self::Ignoring)
    }

    pub(crate) const fn engine(self) -> &'static str {
        match self {
            Self::Refusing => "refusing",
            _ => "ignoring",
        }
    }

    pub(crate) const fn settings(self) -> ClaimHolderSettings {
        let fencing = match self {
            Self::Refusing | Self::NoWait => EngineFencing::Enforced,
            Self::Ignoring | Self::NoCheck | Self::LateOrder => EngineFencing::Ignored,
        };
        ClaimHolderSettings {
            fencing,
            lease: LEASE,
            send_margin: MARGIN,
            retry_interval: RETRY,
        }
    }
}

/// Sums over runs.
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
