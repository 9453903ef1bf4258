//! Requests that crash the endpoints which run them.
//!
//! Everything that was on board of a crash becomes suspect by its fingerprint.
//! [`Suspects`] counts strikes and merges what peers say; [`Quarantine`] lets
//! suspects run alone, one at a time, those with fewest strikes first.

mod quarantine;
mod suspect_record;
mod suspects;

pub use quarantine::{Action, Event, Quarantine, QueuedSuspect};
pub use suspect_record::{ParseSuspectRecordError, SuspectRecord};
pub use suspects::{Counters, CrashId, Limits, Suspects, Verdict};
