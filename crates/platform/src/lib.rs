//! Clients of the platform's services: the log, the host list and the weight store.
//!
//! Each service is a trait ([`LogService`], [`HostList`], [`WeightStore`]) with an
//! HTTP client in one module, so that another protocol can be added without
//! changing the callers' logic. A client can only be used on the thread that
//! created it, and its futures are not `Send`.

mod client;
mod error;
mod hosts;
mod log;
mod weights;
mod wire;

pub use client::{ClientOptions, HttpClient, WithEtag, failed_before_sending};
pub use error::{ReadError, RequestError, WriteError};
pub use hosts::{HostList, HttpHostList};
pub use log::{HttpLog, LogPage, LogRecord, LogService, StreamName};
pub use weights::{HttpWeightStore, WeightStore};
pub use wire::{
    AppendReply, AppendRequest, HostKind, HostRecord, HostRole, HostState, HostsReply, ReadReply,
    WireAppendRecord, WireReadRecord,
};

/// A future that is not `Send`.
pub type LocalFuture<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;
