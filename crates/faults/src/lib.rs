//! Seeded fault-injection simulations of the call, stream and poison-request logic, in virtual
//! time.
//!
//! A [`CallSimulation`] runs agents with the production
//! [`lentil_once::ClaimStateMachine`] against a fake log and a fake service. Callers retry their
//! calls while the faults of a [`FaultPlan`] are injected. [`CallReport`] counts the executions
//! at the service and the results that the callers got.

mod agent;
mod entry;
mod event;
mod log;
mod plan;
mod poison;
mod report;
mod service;
mod simulation;
mod stream;

pub use plan::{Fault, FaultKind, FaultPlan, Guard, KillPoint};
pub use poison::{POISON_ENTRIES, PoisonReport, simulate_poison};
pub use report::{CallReport, CallResult};
pub use simulation::{CallSimulation, Scenario};
pub use stream::{StreamReport, StreamSimulation};
