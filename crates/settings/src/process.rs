//! Settings in the domain's types, checked.

use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU64};
use std::path::PathBuf;

use lentil_core::{
    Blocks, ByteCount, EndpointId, EntryId, HostId, ModelId, Permille, RegionId, ServiceName, Span,
    ZoneId,
};

use crate::{LogFormat, LogLevel, Secret, TraceExport};

/// The checked settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// The host it runs on.
    pub host: HostId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
    /// What it does.
    pub role: Role,
    /// Where the platform's services answer.
    pub platform: Platform,
    /// Addresses it listens on.
    pub listen: Listen,
    /// Bounds on what a caller may send.
    pub limits: Limits,
    /// Form of a log line.
    pub log_format: LogFormat,
    /// Least severe level written.
    pub log_level: LogLevel,
    /// Traces.
    pub trace: Trace,
    /// Keys and certificates.
    pub security: Security,
    /// Longest time given to running work after a planned stop began.
    pub grace: Span,
}

/// What a process does.
#[derive(Debug, Clone, PartialEq)]
pub enum Role {
    /// Serves callers.
    Entry(Entry),
    /// Stands beside an endpoint.
    Agent(Agent),
}

/// What an entry alone needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its name.
    pub id: EntryId,
    /// Threads that serve callers.
    pub workers: NonZeroU64,
    /// Most agents it keeps a link to, for each model or service.
    pub agents_max: NonZeroU64,
    /// Most requests that wait here.
    pub queue_max: NonZeroU64,
    /// Time to the first token, where the caller states none.
    pub deadline: Span,
}

/// What an agent alone needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// Its endpoint.
    pub endpoint: EndpointId,
    /// Base URL of the endpoint.
    pub endpoint_url: String,
    /// What the endpoint is.
    pub kind: EndpointSpec,
    /// Requests that the warm endpoint runs side by side.
    pub slots: NonZeroU32,
    /// Requests that a cold endpoint bears.
    pub cold_slots: NonZeroU32,
    /// Requests that may wait at the agent.
    pub waiting_max: u32,
    /// How long a finished generation is held.
    pub hold: Span,
}

/// What an endpoint is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointSpec {
    /// A model engine.
    Engine {
        /// Models it serves at start.
        models: Vec<ModelId>,
        /// Its cache.
        blocks: Blocks,
        /// Tokens in a cache block.
        block_tokens: NonZeroU32,
    },
    /// A replica of a plain service.
    Service {
        /// The service.
        service: ServiceName,
        /// Calls that may be repeated, besides GET, HEAD and OPTIONS.
        idempotent: Vec<IdempotentCalls>,
    },
}

/// Calls that may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentCalls {
    /// HTTP method.
    pub method: String,
    /// Start of the path.
    pub path_prefix: String,
}

/// Where the platform's services answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the log service.
    pub log_url: String,
    /// Base URL of the host list.
    pub host_list_url: String,
    /// Base URL of the weight store.
    pub weight_store_url: String,
    /// Longest wait for one answer.
    pub timeout: Span,
    /// Time between two readings of the host list.
    pub poll_interval: Span,
}

/// Addresses a process listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Callers' HTTP (entry).
    pub callers: SocketAddr,
    /// Other processes of the system.
    pub peers: SocketAddr,
    /// Metrics, health and status.
    pub operations: SocketAddr,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest request body.
    pub body_max: ByteCount,
    /// Longest head of a request.
    pub head_max: ByteCount,
    /// Most header fields of a request.
    pub headers_max: u32,
    /// Most callers' connections.
    pub connections_max: NonZeroU64,
    /// Longest idle time of a connection.
    pub idle_timeout: Span,
    /// Longest time to send head and body of a request.
    pub request_timeout: Span,
    /// Longest time a caller may leave sent data unread.
    pub send_timeout: Span,
    /// Tokens buffered for a slow reader.
    pub stream_buffer_tokens: NonZeroU32,
}

/// Traces of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trace {
    /// Where finished spans go.
    pub export: TraceExport,
    /// Share of requests traced.
    pub sample: Permille,
}

/// Keys and certificates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Security {
    /// Key that this system's processes show each other.
    pub peer_key: Option<Secret>,
    /// Key that operators show.
    pub operator_key: Option<Secret>,
    /// Whether callers without a key are served.
    pub anonymous_callers: bool,
    /// Certificate of the listeners.
    pub identity: Option<Identity>,
    /// Authorities that peers are checked against.
    pub authority_file: Option<PathBuf>,
}

/// A certificate with its private key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Identity {
    /// PEM file with the certificate chain.
    pub certificate_file: PathBuf,
    /// PEM file with the private key.
    pub private_key_file: PathBuf,
}

/// A protection that the settings leave out; allowed, and shown at start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exposure {
    /// Listeners speak plain text.
    PlainText,
    /// Any process may speak as one of the system's.
    NoPeerKey,
    /// Anyone who reaches the operations listener may read and order.
    NoOperatorKey,
    /// Callers without a key are served.
    AnonymousCallers,
}

impl Exposure {
    /// The name used in logs and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::PlainText => "plain_text",
            Self::NoPeerKey => "no_peer_key",
            Self::NoOperatorKey => "no_operator_key",
            Self::AnonymousCallers => "anonymous_callers",
        }
    }
}

impl std::fmt::Display for Exposure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Process {
    /// Protections that the settings leave out.
    #[must_use]
    pub fn exposures(&self) -> Vec<Exposure> {
        let is_entry = matches!(self.role, Role::Entry(_));
        let security = &self.security;
        let left_out = [
            (security.identity.is_none(), Exposure::PlainText),
            (security.peer_key.is_none(), Exposure::NoPeerKey),
            (security.operator_key.is_none(), Exposure::NoOperatorKey),
            (
                is_entry && security.anonymous_callers,
                Exposure::AnonymousCallers,
            ),
        ];
        let left_out = left_out.into_iter().filter(|(out, _)| *out);
        left_out.map(|(_, exposure)| exposure).collect()
    }
}
