//! The client interface to endpoints, independent of the wire format.

use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use http::{HeaderMap, StatusCode};
use lentil_catalog::PriorityLevel;
use lentil_core::{EndpointId, OrganisationId, RequestRate, RetryAfter, Span, Time};
use lentil_fleet::{EngineReport, LoadNotice};
use lentil_handoff::BodyFraming;
use thiserror::Error;

use crate::LocalFuture;
use crate::body::BodyInterrupted;
use crate::pool::Reuse;
use crate::request::{InboundRequest, RequestId};

/// A copy of a run's KV cache.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvCopy {
    /// The engine that created the copy.
    pub source: SocketAddr,
    /// The handle of the copy, which can be used once.
    pub handle: String,
}

/// The point from which a stream resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resume {
    /// The last event that the caller received.
    pub last_event_id: Option<u64>,
    /// The KV cache copy to resume from.
    pub kv_copy: Option<KvCopy>,
}

/// One attempt to run a request at one endpoint.
#[derive(Debug, Clone)]
pub struct Call {
    /// The caller's request.
    pub request: Rc<InboundRequest>,
    /// The only endpoint that may run the request.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// The organisation of the caller's key.
    pub organisation: Option<OrganisationId>,
    /// The time left until the caller's deadline.
    pub remaining: Span,
    /// The request's priority, sent to engines only.
    pub rank: Option<PriorityLevel>,
    /// Where to resume a stream.
    pub resume: Option<Resume>,
    /// The engine that is to receive copies of the run's KV cache while it runs.
    pub backup: Option<SocketAddr>,
    /// Whether an idle connection may be used.
    pub reuse: Reuse,
}

/// What a response proves about the execution of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Attestation {
    /// The endpoint ran the request and signed the response.
    Ran,
    /// The endpoint stated that it did not run the request.
    NotRun,
    /// Another endpoint has taken over the address and did not run the request.
    OtherEndpoint,
    /// The response proves nothing.
    Nothing,
}

/// An endpoint's response, with a streamed body.
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The headers to forward to the caller.
    pub headers: HeaderMap,
    /// What the response proves about the request.
    pub attestation: Attestation,
    /// The endpoint's load, if stated.
    pub load: Option<LoadNotice>,
    /// How long the endpoint stays cold, if stated.
    pub cold_for: Option<Span>,
    /// The rate of requests that the endpoint accepts from all callers together, if it
    /// names one.
    pub rate_limit: Option<RequestRate>,
    /// Whether the endpoint says that it is leaving.
    pub is_leaving: bool,
    /// How long the endpoint wants no requests from this gateway, if it turned the request
    /// away and says so.
    pub retry_after: Option<RetryAfter>,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// The body. Dropping it cancels the request.
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

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SendError {
    /// Nothing was sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// The request may have run.
    #[error("no response: {0}")]
    Unknown(String),
    /// The response belongs to another request; this one may have run.
    #[error("response to another request: {0}")]
    Mismatched(String),
}

/// A request to copy a run's KV cache to another engine.
#[derive(Debug, Clone)]
pub struct CopyRequest {
    /// The engine that has the run.
    pub source: SocketAddr,
    /// The request that started the run.
    pub request: RequestId,
    /// The engine that receives the copy.
    pub target: SocketAddr,
    /// Whether to stop the run before copying, so that the copy is final.
    pub stop_run: bool,
    /// When to give up.
    pub deadline: Time,
}

/// A completed copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedCopy {
    /// The handle of the copy.
    pub handle: String,
}

/// Why a copy failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CopyError {
    /// The engine has no run of this request.
    #[error("the engine has no run of this request")]
    RunNotFound,
    /// Another copy of this run is in progress.
    #[error("another copy of this run is in progress")]
    Busy,
    /// The target has no capacity or can't be reached. The source retains the KV
    /// cache of a stopped run under the handle.
    #[error("the target has no capacity or cannot be reached")]
    TargetUnavailable {
        /// The handle of the stopped run's KV cache.
        handle: Option<String>,
    },
    /// The order was not sent.
    #[error("nothing was sent: {0}")]
    NotSent(String),
    /// It is unknown whether the copy was made.
    #[error("no response: {0}")]
    Unknown(String),
}

/// Why an engine returned no report.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum InspectError {
    /// It did not answer.
    #[error("no report: {0}")]
    Unanswered(String),
    /// Its answer is no report.
    #[error("no report: {0}")]
    NoReport(String),
}

/// A client for endpoints.
pub trait EndpointClient {
    /// Sends a request and waits for the head of the response.
    fn send(&self, call: Call) -> LocalFuture<'static, Result<Reply, SendError>>;
    /// Copies a run's KV cache to another engine.
    fn copy(&self, order: CopyRequest) -> LocalFuture<'static, Result<CompletedCopy, CopyError>>;
    /// Releases an unused copy.
    fn release(&self, memory: KvCopy) -> LocalFuture<'static, ()>;
    /// Requests a report from an engine. Times in the report are relative to `now`.
    fn inspect(
        &self,
        address: SocketAddr,
        now: Time,
    ) -> LocalFuture<'static, Result<EngineReport, InspectError>>;
}
