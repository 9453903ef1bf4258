//! Who may be given new work, and which agents an entry keeps links to.
//!
//! [`MemberTable`] holds one state table, fed by the platform's lagging host list,
//! by direct evidence, by operators' orders and by leaving notices. Its
//! [`Eligibility`] is asked for right before work is handed over. [`GracefulShutdown`]
//! is the planned stop of a process.

mod eligibility;
mod graceful_shutdown;
mod link;
mod members;
mod subset;

pub use eligibility::{Eligibility, IneligibleReason};
pub use graceful_shutdown::{GracefulShutdown, ShutdownLimits, ShutdownStage};
pub use members::{
    Counters, Event, Group, ListedEndpoint, MemberLimits, MemberTable, OutOfService, ReportedState,
};
pub use subset::{Candidate, Location, choose_subset};
