//! Detection of requests that crash the endpoints which run them.
//!
//! When an endpoint crashes, every request running there becomes a suspect,
//! identified by its fingerprint. [`Suspects`] counts strikes and merges the
//! records of peers. [`PartSuspects`] does the same for parts of prompts that several
//! requests have in common. [`Quarantine`] runs suspects in isolation, one at a time and
//! those with the fewest strikes first.

mod part_crash;
mod part_suspects;
mod quarantine;
mod suspect_record;
mod suspects;

pub use part_crash::{Evidence, ParsePartCrashError, PartCrash};
pub use part_suspects::{CrashingParts, PartLimits, PartSuspects};
pub use quarantine::{Action, Event, Quarantine, QueuedSuspect};
pub use suspect_record::{ParseSuspectRecordError, SuspectRecord};
pub use suspects::{Counters, CrashId, Limits, Suspects, Verdict};
