//! Which version of a service's software began a stream.
//!
//! A stream that breaks off may be taken up by its caller at any gateway, also at one that has
//! just started, and goes on only at the version that began it. [`Origins`] decides which streams
//! are recorded in the platform's log and derives the version of a stream from those records.
//!
//! The load pattern is a fleet whose engines are replaced by those of another version while many
//! short streams begin, and whose gateways all lose power at once. Records are needed only for
//! streams that begin at another version than the service's default one, which the log holds too;
//! while one version serves, nothing is written.
//!
//! Callers keep these rules, without which streams may be joined:
//!
//! - The list of endpoints is passed in every second while it is current, and not otherwise.
//! - A change of the default is appended under the condition that the log ends where the default was
//!   read; afterwards the default is read again, whatever the answer.
//! - A stream whose record has been sent goes on at that version only, also before its first event
//!   has reached the caller, as the first record of a stream holds.
//! - A record counts as written when the answer to its own append says so. Appends that were not
//!   answered are repeated.
//! - A record that can't be appended is held by observers, and the first event waits until they
//!   confirm it. Without a record in the log, a stream's holders are asked before the default counts.
//! - A new stream whose record neither the log nor a holder has taken is not passed on. Its attempt
//!   does not run at another version, as the record may still turn up.
//! - After a restore of the store, reads are forgotten and own records appended again.
//!
//! This crate has no clock and no I/O; callers pass in the current time.

mod held_records;
mod holders;
mod origins;
mod records;
mod service;
mod stream_key;

pub use held_records::{HeldRecords, HeldRecordsFull};
pub use holders::{HOLDER_ANSWERS, HOLDERS, HOLDERS_ASKED, HOLDERS_MAX, Holder, rank_holders};
pub use origins::{DefaultChange, Lookup, Origins};
pub use records::StreamRecord;
pub use service::VersionCounts;
pub use stream_key::{ParseStreamKeyError, StreamKey};
