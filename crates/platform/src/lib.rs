//! What the platform gives: a log service, a list of hosts and a weight store.
//!
//! Each is a trait ([`LogService`], [`HostList`], [`WeightStore`]) with a client
//! that speaks the published HTTP form in one module, so that another form can
//! be fitted without touching a decision. The clients belong to the thread that
//! made them; their futures are not `Send`.

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

/// A future that stays on the thread that began it.
pub type LocalFuture<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;
