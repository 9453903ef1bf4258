//! The interface to the log in which the status of roll-outs is recorded.

use lentil_core::{Offset, ServiceName};
use lentil_rollout::RecordedStatus;

use crate::LocalFuture;
use crate::store_feed::StoreError;

/// The newest status of a service's roll-outs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadStatus {
    /// The status; `None` if there is none or it can't be understood.
    pub status: Option<RecordedStatus>,
    /// The end of the log, at the latest, when it held this status.
    pub end: Offset,
}

/// What came of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The status was appended.
    Written,
    /// Nothing was appended, as the log has grown.
    Conflict,
}

/// The log with the status of roll-outs, which all gateways read and write.
pub trait StatusLog {
    /// Reads the newest status of a service's roll-outs.
    fn read<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> LocalFuture<'a, Result<ReadStatus, StoreError>>;

    /// Appends a status if the log still ends at `expected_end`. After an error it is
    /// unknown whether the status was appended.
    fn write_if<'a>(
        &'a self,
        service: &'a ServiceName,
        status: &'a RecordedStatus,
        expected_end: Offset,
    ) -> LocalFuture<'a, Result<WriteOutcome, StoreError>>;
}
