//! The state table: what is known of an endpoint, and what it may be given.

use std::fmt;

use lentil_core::Time;

/// Why an endpoint gets no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IneligibleReason {
    /// This process was stopped for a while, and doesn't know yet what changed.
    Paused,
    /// Operators took the endpoint out of service.
    EndpointOut,
    /// Operators took its availability zone out of service.
    ZoneOut,
    /// It is about to stop, by its own word or the host list's.
    Leaving,
    /// Neither the host list nor the endpoint itself says that it is there.
    Gone,
    /// Its link failed or stalled.
    Unreachable,
    /// Its agent says that it is down.
    Down,
    /// It came back a moment ago; this entry's turn comes later.
    Returning,
}

impl fmt::Display for IneligibleReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Paused => "paused",
            Self::EndpointOut => "endpoint_out",
            Self::ZoneOut => "zone_out",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
            Self::Unreachable => "unreachable",
            Self::Down => "down",
            Self::Returning => "returning",
        })
    }
}

/// What an endpoint may be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Eligibility {
    /// What it says that it takes.
    Open,
    /// As open, but others are better: its link is slow.
    Slow,
    /// What a cold endpoint bears.
    Cold,
    /// A link may be opened to find out; no work before it has answered.
    Probe,
    /// No new work.
    Ineligible(IneligibleReason),
}

impl Eligibility {
    /// Whether new work may be handed over.
    #[must_use]
    pub const fn accepts_work(self) -> bool {
        matches!(self, Self::Open | Self::Slow | Self::Cold)
    }

    /// Whether an entry keeps a link to it.
    #[must_use]
    pub const fn keeps_link(self) -> bool {
        match self {
            Self::Open | Self::Slow | Self::Cold | Self::Probe => true,
            Self::Ineligible(reason) => matches!(
                reason,
                IneligibleReason::Paused
                    | IneligibleReason::Unreachable
                    | IneligibleReason::Down
                    | IneligibleReason::Returning
            ),
        }
    }
}

impl fmt::Display for Eligibility {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Open => f.write_str("open"),
            Self::Slow => f.write_str("slow"),
            Self::Cold => f.write_str("cold"),
            Self::Probe => f.write_str("probe"),
            Self::Ineligible(reason) => reason.fmt(f),
        }
    }
}

/// All that counts for one endpoint at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Facts {
    pub(crate) paused: bool,
    pub(crate) endpoint_out: bool,
    pub(crate) zone_out: bool,
    pub(crate) leaving: bool,
    pub(crate) listed: bool,
    pub(crate) heard: bool,
    pub(crate) reported_down: bool,
    pub(crate) cold: bool,
    pub(crate) slow: bool,
    pub(crate) link: LinkFact,
    pub(crate) opens_at: Time,
}

/// The state of a link at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkFact {
    /// Nothing speaks against it.
    Fine,
    /// It failed; a new try is due.
    RetryDue,
    /// It failed; the next try is later.
    Waiting,
}

/// The table. The first line that applies decides.
pub(crate) fn eligibility(now: Time, facts: &Facts) -> Eligibility {
    let closed = Eligibility::Ineligible;
    match facts {
        Facts { paused: true, .. } => closed(IneligibleReason::Paused),
        Facts {
            endpoint_out: true, ..
        } => closed(IneligibleReason::EndpointOut),
        Facts { zone_out: true, .. } => closed(IneligibleReason::ZoneOut),
        Facts { leaving: true, .. } => closed(IneligibleReason::Leaving),
        Facts {
            listed: false,
            heard: false,
            ..
        } => closed(IneligibleReason::Gone),
        Facts {
            link: LinkFact::Waiting,
            ..
        } => closed(IneligibleReason::Unreachable),
        Facts {
            link: LinkFact::RetryDue,
            ..
        } => Eligibility::Probe,
        Facts {
            reported_down: true,
            heard: true,
            ..
        } => closed(IneligibleReason::Down),
        Facts { opens_at, .. } if !opens_at.has_passed(now) => closed(IneligibleReason::Returning),
        Facts { heard: false, .. } => Eligibility::Probe,
        Facts { cold: true, .. } => Eligibility::Cold,
        Facts { slow: true, .. } => Eligibility::Slow,
        Facts { .. } => Eligibility::Open,
    }
}
