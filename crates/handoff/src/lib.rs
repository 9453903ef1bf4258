//! Moving running generations off an engine that leaves.
//!
//! A generation that can't be repeated is lost with its engine, unless its
//! memory is at another engine in time. [`MigrationPlanner`] orders the work of one
//! entry at one leaving engine: it answers engines that are reclaimed with a
//! notice of a second or two, while copies queue on the engine's link.
//!
//! A copy is made while the generation goes on; the switch stops it, copies
//! only what has been added since and lets the other engine go on, so that the
//! reader's pause stays short. Both belong to one turn on the engine's link,
//! which all entries share: a switch that queued behind another run's copy
//! would leave its reader waiting.

mod migration_planner;

pub use migration_planner::{Action, MigrationPlanner, RunStatus};
