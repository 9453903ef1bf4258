//! Seeded fault runs over the decision crates, under virtual time.
//!
//! A [`CallSimulation`] holds a fake log, a fake service and agents that run the
//! product's own [`lentil_once::ClaimStateMachine`]; callers repeat their calls while
//! faults of a [`FaultPlan`] happen. [`CallReport`] counts what the service ran and
//! what the callers were told.

mod agent;
mod entry;
mod event;
mod log;
mod plan;
mod poison;
mod report;
mod service;
mod stream;
mod world;

pub use plan::{Fault, FaultKind, FaultPlan, Guard, KillPoint};
pub use poison::{POISON_ENTRIES, PoisonReport, simulate_poison};
pub use report::{CallReport, CallResult};
pub use stream::{StreamReport, StreamSimulation};
pub use world::{CallSimulation, Scenario};
