//! What endpoints are asked, apart from how they spell it.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http::{HeaderMap, StatusCode};
use lentil_catalog::PriorityLevel;
use lentil_core::{EndpointId, OrganisationId, Span, Time};
use lentil_fleet::EngineReport;
use thiserror::Error;

use crate::LocalFuture;
use crate::body::BodyInterrupted;
use crate::pool::Reuse;
use crate::request::{InboundRequest, RequestId};

/// A copy of a generation's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCopy {
    /// The engine that made the copy.
    pub source: SocketAddr,
    /// The name under which it is kept; it can be used once.
    pub handle: String,
}

/// Where a stream goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resume {
    /// The last event that the caller has.
    pub last_event_id: Option<u64>,
    /// The copy that it goes on from.
    pub kv_copy: Option<KvCopy>,
}

/// One sending of a request to one endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// The request.
    pub request: Rc<InboundRequest>,
    /// The endpoint that must run it, and no other.
    pub endpoint: EndpointId,
    /// Where it answers.
    pub address: SocketAddr,
    /// The organisation whose key the caller showed.
    pub organisation: Option<OrganisationId>,
    /// How long the caller will wait, at the moment of sending.
    pub remaining: Span,
    /// How urgent it is; told to engines only.
    pub rank: Option<PriorityLevel>,
    /// Where a stream goes on.
    pub resume: Option<Resume>,
    /// Whether an idle connection may carry it.
    pub reuse: Reuse,
}

/// What an answer shows of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attestation {
    /// The endpoint ran it and answered for it.
    Ran,
    /// The endpoint states that it did not run it.
    NotRun,
    /// Another endpoint has the address, and did not run it.
    OtherEndpoint,
    /// The answer shows nothing.
    Nothing,
}

/// The head of an endpoint's answer, and its body to come.
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// What it shows of the request.
    pub attestation: Attestation,
    /// Running and waiting requests, and slots, if it told them.
    pub load: Option<(u32, u32, u32)>,
    /// How long the endpoint stays cold, if it told.
    pub cold_for: Option<Span>,
    /// Its body; dropping it cancels the request.
    pub body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>,
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reply")
            .field("status", &self.status)
            .field("attestation", &self.attestation)
            .finish_non_exhaustive()
    }
}

/// Why a request got no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// Nothing of it was sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// It may have run.
    #[error("no answer: {0}")]
    Unknown(String),
    /// What came answers another request; this one may have run.
    #[error("a crossed answer: {0}")]
    Mismatched(String),
}

/// An order to copy a running generation's memory.
#[derive(Debug, Clone)]
pub struct CopyRequest {
    /// The engine that runs it.
    pub source: SocketAddr,
    /// Its request.
    pub request: RequestId,
    /// The engine that gets the copy.
    pub target: SocketAddr,
    /// Whether the run stops first, so that the copy is its last.
    pub stop_run: bool,
    /// When the order is given up.
    pub deadline: Time,
}

/// A complete copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedCopy {
    /// Its name.
    pub handle: String,
}

/// Why there is no copy.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CopyError {
    /// The engine runs no such request.
    #[error("the engine runs no such request")]
    RunNotFound,
    /// Another order for this run is being carried out.
    #[error("another order for this run is being carried out")]
    Busy,
    /// There is no room, or the other engine can't be reached; a run that was
    /// stopped is kept under this name.
    #[error("no room for the copy")]
    TargetUnavailable {
        /// Where the stopped run is kept.
        handle: Option<String>,
    },
    /// Nobody knows whether the order was carried out.
    #[error("no answer: {0}")]
    Unknown(String),
}

/// An engine gave no report.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("no report: {0}")]
pub struct InspectError(pub String);

/// Speaks with endpoints.
pub trait EndpointClient {
    /// Sends a request and waits for the head of its answer.
    fn send(&self, call: Call) -> LocalFuture<'static, Result<Reply, SendError>>;
    /// Copies a running generation's memory to another engine.
    fn copy(&self, order: CopyRequest) -> LocalFuture<'static, Result<CompletedCopy, CopyError>>;
    /// Frees a copy that nobody will use.
    fn release(&self, memory: KvCopy) -> LocalFuture<'static, ()>;
    /// Asks an engine about itself; `now` is when the answer counts from.
    fn inspect(
        &self,
        address: SocketAddr,
        now: Time,
    ) -> LocalFuture<'static, Result<EngineReport, InspectError>>;
}
