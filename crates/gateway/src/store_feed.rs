//! What the platform's store tells, apart from how it spells it.

use std::collections::BTreeSet;

use lentil_catalog::Catalog;
use lentil_core::{EndpointId, ZoneId};
use lentil_fleet::EndpointRecord;
use thiserror::Error;

use crate::LocalFuture;

/// The store gave no answer that can be used.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum StoreError {
    /// It can't be reached, or did not answer in time.
    #[error("the store does not answer: {0}")]
    Unreachable(String),
    /// It refused.
    #[error("the store refused with status {status}")]
    Refused {
        /// The status.
        status: u16,
    },
    /// Its answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Malformed(String),
}

/// What operators ordered, as far as it changed.
#[derive(Debug, Default)]
pub struct OperatorChanges {
    /// A version that was read.
    pub catalog: Option<Catalog>,
    /// All availability zones that are out, if any of them changed.
    pub zones_out: Option<BTreeSet<ZoneId>>,
}

/// Entries of endpoints, as far as they changed.
#[derive(Debug, Default)]
pub struct EndpointChanges {
    /// Entries that are there.
    pub listed: Vec<EndpointRecord>,
    /// Entries that are gone.
    pub unlisted: Vec<EndpointId>,
    /// Whether `listed` holds all entries there are.
    pub is_snapshot: bool,
}

/// Changes of one kind.
#[derive(Debug)]
pub enum StoreChanges {
    /// What operators ordered.
    Operator(OperatorChanges),
    /// Entries of endpoints.
    Endpoints(EndpointChanges),
}

/// Follows one part of the store.
pub trait StoreFeed {
    /// Everything that changed since the last answer; the store may hold its
    /// answer back for a while if nothing did. The more `entries` ask, the less
    /// often each does.
    fn next_changes(&mut self, gateways: u32) -> LocalFuture<'_, Result<StoreChanges, StoreError>>;
}
