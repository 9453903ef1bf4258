//! The interface to the log in which the versions that began streams are recorded.

use std::collections::BTreeMap;

use lentil_core::{Offset, ServiceName, Time};
use lentil_feed::Position;
use lentil_origin::{DefaultChange, StreamRecord};
use lentil_rollout::Version;

use crate::LocalFuture;
use crate::status_log::WriteOutcome;
use crate::store_feed::StoreError;

/// The default versions of all services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadDefaults {
    /// The default version of each service that has one; `None` stands for endpoints that state no
    /// valid version.
    pub defaults: BTreeMap<ServiceName, Option<Version>>,
    /// The end of the log, at the latest, when it held these.
    pub end: Position,
    /// When the log was asked.
    pub asked_at: Time,
}

/// A part of the records of streams.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadRecords {
    /// The records.
    pub records: Vec<StreamRecord>,
    /// The position to read from next.
    pub next: Position,
    /// Whether the records reach the end of the log.
    pub is_complete: bool,
}

/// Reads copies of the default versions, on the thread that reads the store for the gateway.
pub trait DefaultsReader {
    /// Reads the default versions of all services.
    fn read(&self) -> LocalFuture<'_, Result<ReadDefaults, StoreError>>;
}

/// The log of default versions and of streams, which all gateways read and write.
pub trait OriginLog {
    /// Reads the default versions of all services.
    fn read_defaults(&self) -> LocalFuture<'_, Result<ReadDefaults, StoreError>>;

    /// Appends a default version if the log of these still ends at `expected_end`. After an error it
    /// is unknown whether it was appended.
    fn write_default_if<'a>(
        &'a self,
        change: &'a DefaultChange,
        expected_end: Offset,
    ) -> LocalFuture<'a, Result<WriteOutcome, StoreError>>;

    /// Appends records of streams. After an error it is unknown whether they were appended, and
    /// they may be appended again.
    fn append_records<'a>(
        &'a self,
        records: &'a [StreamRecord],
    ) -> LocalFuture<'a, Result<(), StoreError>>;

    /// Reads the records of streams from a position on, without waiting. Without a position, if the
    /// record there has expired or the store has come back from an older copy, it reads from the
    /// first record.
    fn read_records(
        &self,
        from: Option<Position>,
    ) -> LocalFuture<'_, Result<ReadRecords, StoreError>>;
}
