//! Decides which endpoints may receive new work, and which agents an entry
//! keeps links to.
//!
//! [`MemberTable`] holds one state table. Its inputs are the platform's host
//! list, which lags behind reality, the agents' own reports, the state of the
//! links, and what operators took out of service. The caller checks an
//! endpoint's [`Eligibility`] right before it hands work over.
//! [`GracefulShutdown`] tracks the planned stop of a process.

mod eligibility;
mod graceful_shutdown;
mod link;
mod member_table;
mod subset;

pub use eligibility::{Eligibility, IneligibleReason};
pub use graceful_shutdown::{GracefulShutdown, ShutdownLimits, ShutdownStage};
pub use member_table::{
    Counters, Event, Group, ListedEndpoint, MemberLimits, MemberTable, OutOfService, ReportedState,
};
pub use subset::{Candidate, Location, choose_subset};
