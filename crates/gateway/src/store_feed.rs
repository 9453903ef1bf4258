//! The interface to the platform's store, independent of the wire format.

use std::collections::BTreeSet;
use std::time::Duration;

use lentil_catalog::Catalog;
use lentil_core::{EndpointId, StoreEra, Time, ZoneId};
use lentil_feed::{LogTopic, OlderPage, Position, RecordPage};
use lentil_fleet::EndpointRecord;
use lentil_rollout::RolloutOrder;
use thiserror::Error;

use crate::LocalFuture;

/// The store returned no usable response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// The store can't be reached, or did not respond in time.
    #[error("the store does not respond: {0}")]
    Unreachable(String),
    /// The store refused the request.
    #[error("the store refused with status {status}")]
    Refused {
        /// The status code.
        status: u16,
    },
    /// The response can't be decoded.
    #[error("the store's response cannot be decoded: {0}")]
    Malformed(String),
    /// The response is of an earlier era than one before it.
    #[error("a response of era {stated} after one of era {known}")]
    EarlierEra {
        /// The latest era that is known.
        known: StoreEra,
        /// The era of the response.
        stated: StoreEra,
    },
    /// The response is older than one before it.
    #[error("the copy is too old: {0}")]
    OlderPage(OlderPage),
    /// A relay has no current copy.
    #[error("the relay has no current copy: {0}")]
    RelayFailed(String),
}

/// The next changes could not be read.
#[derive(Debug, Error)]
#[error("{source}")]
pub struct FeedError {
    /// When the store was asked. It had not recovered before.
    pub asked_at: Time,
    /// The cause.
    pub source: StoreError,
}

/// Changes made by operators.
#[derive(Debug, Default)]
pub struct OperatorChanges {
    /// The configuration, if one was read.
    pub catalog: Option<ReadCatalog>,
    /// All availability zones that are out of service, if the set changed.
    pub zones_out: Option<BTreeSet<ZoneId>>,
    /// New orders to change the version of a service.
    pub rollouts: Vec<ReadOrder>,
    /// Whether the store has come back from an older copy and changes that it has lost may be
    /// missing.
    pub is_restoring: bool,
}

/// An order to change the version of a service, as read from the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Whether it was written after this process had read the orders before it.
    pub is_new: bool,
}

/// A configuration as read from the store.
#[derive(Debug)]
pub enum ReadCatalog {
    /// It can be put in force.
    Usable(Box<Catalog>),
    /// It can't be understood or is inconsistent.
    Unusable,
}

/// A change of one endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// It was added or updated.
    Listed(EndpointRecord),
    /// It is in the older copy that the store has come back from. It may have changed since.
    Copied(EndpointRecord),
    /// It was removed.
    Unlisted(EndpointId),
}

/// Changed endpoint entries.
#[derive(Debug, Default)]
pub struct EndpointChanges {
    /// The changes in their order. An entry may change several times.
    pub changes: Vec<EndpointChange>,
    /// Whether the changes hold all existing entries.
    pub is_snapshot: bool,
    /// Whether the store has just come back from an older copy: entries that are missing may be
    /// written again.
    pub is_restored: bool,
}

/// Changes from one feed of the store, and how old they are.
#[derive(Debug)]
pub struct ConfirmedChanges {
    /// The changes.
    pub changes: StoreChanges,
    /// When the store was asked, at the latest; `None` if it has newer changes than these.
    pub confirmed_at: Option<Time>,
    /// When the store was asked by the process that read it, the last time that it failed
    /// to answer; `None` if it never did.
    pub store_failed_at: Option<Time>,
    /// The era of the store.
    pub era: StoreEra,
}

/// Changes from one feed of the store.
#[derive(Debug)]
pub enum StoreChanges {
    /// Changes made by operators.
    Operator(OperatorChanges),
    /// Changed endpoint entries.
    Endpoints(EndpointChanges),
}

/// A feed of changes to one part of the store.
pub trait StoreFeed {
    /// Returns everything that changed since the last call. If nothing has, the
    /// store may delay its response for a while. The more `gateways` poll the
    /// store, the less often each one does.
    fn next_changes(
        &mut self,
        gateways: u32,
    ) -> LocalFuture<'_, Result<ConfirmedChanges, FeedError>>;
}

/// Reads topics of the platform's log.
pub trait RecordLog {
    /// Returns the records from a position on, or the newest record of each key if there is no
    /// position, the log no longer has those records or it has come back from an older copy. If
    /// there are none yet, the log may wait up to `wait` for new ones.
    fn read(
        &self,
        topic: LogTopic,
        from: Option<Position>,
        wait: Duration,
    ) -> LocalFuture<'_, Result<RecordPage, StoreError>>;

    /// Returns whether readers share what they read, so that more readers cost the log
    /// nothing.
    fn is_shared(&self) -> bool {
        false
    }
}
