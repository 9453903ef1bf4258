//! What a roll-out is decided from, and the decision.

use lentil_core::{Permille, Span};

use crate::analysis::Verdict;
use crate::evidence::Evidence;
use crate::order::{RecordedStatus, Stage};

/// Limits of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutLimits {
    /// Share of a service's requests that a bad version may get.
    pub exposure_share: f64,
    /// Additional requests that a bad version may get.
    pub exposure_slack: u32,
    /// Time after the 50th bad answer after which no request goes to a bad version.
    pub rollback: Span,
    /// The longest time that a request of the service runs, usually its longest deadline.
    pub run_max: Span,
}

/// What a gateway knows when it decides.
#[derive(Debug)]
pub struct Observation<'a> {
    /// This gateway's counters since it saw the order.
    pub own: &'a Evidence,
    /// The counters of all gateways together, as reported by observers.
    pub fleet: &'a Evidence,
    /// Age of `fleet`; `None` before the first report.
    pub fleet_age: Option<Span>,
    /// The newest status record of the service, also if it is of another order.
    pub status: Option<RecordedStatus>,
    /// Time since the status was last read from the store; `None` before the first time.
    pub status_age: Option<Span>,
    /// Whether requests run at old endpoints, as far as this gateway knows from its own
    /// requests and from the endpoints' reports.
    pub old_busy: bool,
    /// Endpoints of the target that may get requests.
    pub target_endpoints: u32,
    /// Old endpoints that exist, also those that rest or leave: only without any is the
    /// target the service's only version.
    pub old_endpoints: u32,
}

/// What a gateway does until its next decision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Decision {
    /// Share of the service's requests that goes to the target.
    pub target_share: Permille,
    /// The first of the target's endpoints that get requests, in the order of their names
    /// and modulo their number; see [`crate::Rollout::target_endpoint_limit`]. It changes
    /// during the trial, so that the verdict does not depend on one endpoint's zone.
    pub first_endpoint: u32,
    /// Whether each request to the target needs [`crate::ExposureBudget::try_send`].
    pub is_budgeted: bool,
    /// Whether new requests may go to old endpoints.
    pub may_place_at_old: bool,
    /// The status to write after [`crate::write_jitter`], if it is still needed then.
    pub write: Option<RecordedStatus>,
    /// The stage as this gateway sees it.
    pub stage: Stage,
    /// The canary analysis behind the decision, for the log.
    pub verdict: Verdict,
}
