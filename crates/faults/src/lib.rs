//! Seeded fault runs over the decision crates, under virtual time.
//!
//! A [`CallWorld`] holds a fake log, a fake service and agents that run the
//! product's own [`lentil_once::ClaimStateMachine`]; callers repeat their calls while
//! faults of a [`Plan`] happen. [`CallReport`] counts what the service ran and
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

pub use plan::{Fault, FaultKind, Guard, Plan, Window};
pub use poison::{POISON_ENTRIES, PoisonReport, poison_scene};
pub use report::{CallReport, Told};
pub use stream::{StreamReport, StreamWorld};
pub use world::{CallWorld, Scene};
