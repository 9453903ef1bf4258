//! Reading the platform's log through a few processes that share what they read.
//!
//! A fleet of hundreds of gateways would overload the log if each of them polled
//! it. Instead a process near the gateways, the relay, keeps a [`TopicCache`] of
//! each topic and answers for the log. [`SourceChooser`] decides whether a gateway
//! asks a relay or the log itself, and [`ConfirmationOffset`] carries the age of
//! the relay's copy without comparing clocks of different hosts.
//!
//! The load pattern is a large fleet whose relays are reclaimed every few
//! seconds while the log is slow, away, or turns some hosts away: no host depends
//! on one relay, and passing a copy on never makes it look more recent.
//!
//! The store may come back from an older copy. A [`Position`] then no longer counts, and readers
//! get the newest record of each key. A [`RestoreWatch`] tells when the store holds again what it
//! had lost, also to processes that have just started.
//!
//! This crate has no clock and no I/O; callers pass in the current time.

mod confirmation;
mod position;
mod progress;
mod record;
mod restore_watch;
mod source;
mod timing;
mod topic_cache;

pub use confirmation::{ConfirmationError, ConfirmationOffset};
pub use position::Position;
pub use progress::{Continuity, OlderPage, ReadProgress};
pub use record::{KeyedRecord, LogTopic, RecordPage};
pub use restore_watch::{RESTORE_TIME, RestoreWatch};
pub use source::{ReadSource, SourceChooser};
pub use timing::{
    ENDPOINTS_AGE_MAX, ENDPOINTS_RECENT, ENDPOINTS_RELAY_WAIT, OPERATORS_AGE_MAX,
    OPERATORS_RELAY_WAIT, RECORD_DELAY_MAX, RELAY_ENDPOINTS_PAUSE, RELAY_LOG_WAIT,
    RELAY_RESPONSE_TIMEOUT, RELAY_RESTORED_WAIT, RelayTiming, SHARED_READ_PAUSE,
    SHARED_READ_PAUSE_MIN, SLOW_LOG, SLOW_LOG_GRACE, next_shared_read,
};
pub use topic_cache::{CacheError, TopicCache};
