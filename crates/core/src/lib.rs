//! Types shared by every crate: identifiers, units, timestamps and outcomes.
//!
//! The decision crates depend on these types only and use no clock, random
//! source or I/O. The caller passes in the current [`Time`], and anything that
//! expires is stored with the [`Time`] of its expiry.

mod id;
mod load;
mod outcome;
mod priority;
mod status;
mod time;
mod unit;

pub use id::{
    AdapterId, AttemptId, BootId, ConfigVersion, EndpointId, EntryId, FenceNumber, Fingerprint,
    GenerationId, HostId, ModelId, Offset, OrganisationId, ParseIdError, ParsePromptPartIdError,
    PresetName, ProcessId, PromptPartId, RecordId, RegionId, RequestKey, ServiceName, StoreEra,
    TokenIndex, VersionId, ZoneId, check_name,
};
pub use load::{EndpointLoad, EndpointState};
pub use outcome::{NotRunProof, Outcome, Refusal, RefusalReason};
pub use priority::{ParsePriorityError, Priority};
pub use status::is_final_status;
pub use time::{Span, Time};
pub use unit::{
    Blocks, ByteCount, ParseRequestRateError, ParseRetryAfterError, ParseUnitError, Permille,
    RequestRate, RetryAfter, TokenCount, TokensPerSecond, Weight,
};
