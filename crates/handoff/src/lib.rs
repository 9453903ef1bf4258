//! Survival of running generations whose engine leaves or crashes.
//!
//! A generation that cannot be retried is lost with its engine unless its
//! key-value cache reaches another engine in time. [`MigrationPlanner`] decides
//! the order in which one entry migrates its generations from one leaving engine.
//! It is designed for engines that are reclaimed with one or two seconds' notice,
//! while copies compete for the engine's network link.
//!
//! A live migration first copies the cache while the generation continues. The
//! switchover then stops the generation, copies only what was added since and
//! resumes at the other engine, which keeps the interruption for the caller short.
//! Copy and switchover happen in one turn on the engine's link, which all entries
//! share: a switchover queued behind another generation's copy would stall its
//! caller.
//!
//! An engine that crashes gives no notice. [`BackupPlanner`] chooses the generations whose
//! caches are copied to another engine in advance, and that engine.
//!
//! Engines stop generations that move, also while they are about to terminate themselves. A
//! [`EndedBody`] tells a stream that was stopped from one that is complete.

mod backup_planner;
mod ended_body;
mod migration_planner;

pub use backup_planner::{BackupCandidate, BackupPlanner, BackupRequest};
pub use ended_body::{BodyFraming, Doubt, EndedBody, OrderOutcome, StopOrder};
pub use migration_planner::{Action, MigrationPlanner, RunStatus};
