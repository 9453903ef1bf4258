//! The configuration of the fleet: its types, its versions and its distribution.
//!
//! Operators append changes to one stream of the platform's log. [`ConfigLedger`]
//! applies the records of that stream, with the same result in every process.
//! [`ConfigSync`] reads the log or synchronises with peers, and [`Publisher`]
//! appends a change and determines its outcome. The types of the records are
//! generated from `schema/configuration.json`.

mod change;
mod exchange;
mod key;
mod ledger;
mod log_reader;
mod model;
mod page;
mod peers;
mod presets;
mod publisher;
mod record;
mod scan;
mod sync;

/// Types generated from `schema/configuration.json`.
#[allow(
    dead_code,
    missing_docs,
    unreachable_pub,
    unused_qualifications,
    clippy::all,
    clippy::use_self,
    clippy::unwrap_used,
    clippy::expect_used,
    clippy::panic
)]
#[rustfmt::skip]
mod generated;

pub use change::ChangeError;
pub use exchange::{Digest, Exchange, ExchangeError, Update};
pub use generated::{
    Change, ChangeRecord, Checkpoint, ConfigurationFile, EntryBody, LogEntry, NamedOrganisation,
    NamedPreset, OldSystem, Organisation, Preset, PresetLimits, PriorityWeights, Quota,
};
pub use key::{KeyHash, ParseKeyHashError};
pub use ledger::{AcceptedChange, ConfigLedger, RecordOutcome, VersionedConfiguration};
pub use log_reader::LogReader;
pub use model::{Configuration, ConfigurationError};
pub use page::Page;
pub use peers::{Peer, is_log_reader};
pub use presets::Presets;
pub use publisher::{AppendResult, PublishAction, PublishEvent, PublishOutcome, Publisher};
pub use record::{RECORD_FORMAT, RecordError, decode_record, encode_record};
pub use sync::{ConfigSync, ConfigSyncLimits, SyncAction, SyncCounters, SyncEvent};
