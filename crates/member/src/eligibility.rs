//! The decision table that maps what is known about an endpoint to the work
//! that it may receive.

use std::fmt;

use lentil_core::Time;

/// Why an endpoint receives no new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum IneligibleReason {
    /// This process was paused and has not yet confirmed its configuration.
    Paused,
    /// Operators took the endpoint out of service.
    EndpointOut,
    /// Operators took its availability zone out of service.
    ZoneOut,
    /// The endpoint is about to stop, according to its agent or the host list.
    Leaving,
    /// The endpoint is not in the host list and its agent sends no reports.
    Gone,
    /// The link from this entry to the endpoint's agent failed or stalled.
    Unreachable,
    /// Its agent reports that the endpoint is down.
    Down,
    /// It is back in service, but this entry's jitter has not elapsed yet.
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

/// Which work an endpoint may receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Eligibility {
    /// As much work as the endpoint reports that it accepts.
    Open,
    /// Like `Open`, but with lower preference because its link is slow.
    Slow,
    /// Only as much work as a cold endpoint can handle.
    Cold,
    /// No work yet; a link may be opened to find out whether it answers.
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

    /// Whether an entry keeps a link to the endpoint's agent.
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

/// Everything that decides the eligibility of one endpoint at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Facts {
    pub(crate) paused: bool,
    pub(crate) endpoint_out: bool,
    pub(crate) zone_out: bool,
    pub(crate) leaving: bool,
    pub(crate) listed: bool,
    /// Whether the lease of the agent's last report is still valid.
    pub(crate) report_valid: bool,
    pub(crate) reported_down: bool,
    pub(crate) cold: bool,
    pub(crate) slow: bool,
    pub(crate) link: LinkStatus,
    pub(crate) opens_at: Time,
}

/// The state of a link at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkStatus {
    /// No failure since the last message.
    Up,
    /// It failed, and the backoff has elapsed.
    RetryDue,
    /// It failed, and the backoff has not elapsed yet.
    BackingOff,
}

/// Evaluates the decision table. The first arm that matches decides.
pub(crate) fn eligibility(now: Time, facts: &Facts) -> Eligibility {
    let ineligible = Eligibility::Ineligible;
    match facts {
        Facts { paused: true, .. } => ineligible(IneligibleReason::Paused),
        Facts {
            endpoint_out: true, ..
        } => ineligible(IneligibleReason::EndpointOut),
        Facts { zone_out: true, .. } => ineligible(IneligibleReason::ZoneOut),
        Facts { leaving: true, .. } => ineligible(IneligibleReason::Leaving),
        Facts {
            listed: false,
            report_valid: false,
            ..
        } => ineligible(IneligibleReason::Gone),
        Facts {
            link: LinkStatus::BackingOff,
            ..
        } => ineligible(IneligibleReason::Unreachable),
        Facts {
            link: LinkStatus::RetryDue,
            ..
        } => Eligibility::Probe,
        Facts {
            reported_down: true,
            report_valid: true,
            ..
        } => ineligible(IneligibleReason::Down),
        Facts { opens_at, .. } if !opens_at.has_passed(now) => {
            ineligible(IneligibleReason::Returning)
        }
        Facts {
            report_valid: false,
            ..
        } => Eligibility::Probe,
        Facts { cold: true, .. } => Eligibility::Cold,
        Facts { slow: true, .. } => Eligibility::Slow,
        Facts { .. } => Eligibility::Open,
    }
}
