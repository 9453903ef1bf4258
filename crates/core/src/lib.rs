//! Identifiers, units, points in time and outcomes that every crate shares.
//!
//! The decision crates are built on these types alone: they hold no clock, no
//! random source and no I/O. [`Time`] is handed to them by their caller, and
//! everything that ends is stored as a [`Time`] at which it ends.

mod id;
mod load;
mod outcome;
mod priority;
mod time;
mod unit;

pub use id::{
    AdapterId, AttemptId, BootId, ConfigVersion, EndpointId, EntryId, FenceNumber, Fingerprint,
    GenerationId, HostId, ModelId, Offset, OrganisationId, ParseIdError, PresetName, ProcessId,
    RecordId, RegionId, RequestKey, ServiceName, TokenIndex, VersionId, ZoneId,
};
pub use load::{EndpointLoad, EndpointState};
pub use outcome::{NotRunProof, Outcome, Refusal, RefusalReason};
pub use priority::{ParsePriorityError, Priority};
pub use time::{Span, Time};
pub use unit::{Blocks, ByteCount, ParseUnitError, Permille, TokenCount, TokensPerSecond, Weight};
