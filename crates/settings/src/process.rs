//! Validated settings in domain types.

use std::net::SocketAddr;
use std::num::{NonZeroU32, NonZeroU64};
use std::path::PathBuf;

use lentil_core::{
    Blocks, ByteCount, EndpointId, EntryId, HostId, ModelId, Permille, RegionId, ServiceName, Span,
    ZoneId,
};

use crate::{LogFormat, LogLevel, Secret, TraceExport};

/// The validated settings of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Process {
    /// The host that the process runs on.
    pub host: HostId,
    /// The availability zone of the process.
    pub zone: ZoneId,
    /// The region of the process.
    pub region: RegionId,
    /// The role of the process.
    pub role: Role,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Addresses that the process listens on.
    pub listen: Listen,
    /// Limits on requests and connections of callers.
    pub limits: Limits,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Lowest severity that is logged.
    pub log_level: LogLevel,
    /// Tracing.
    pub trace: Trace,
    /// Keys and certificates.
    pub security: Security,
    /// Maximum time for running requests to finish after a planned stop begins.
    pub grace: Span,
}

/// The role of a process.
#[derive(Debug, Clone, PartialEq)]
pub enum Role {
    /// Serves callers.
    Entry(Entry),
    /// Manages an endpoint.
    Agent(Agent),
}

/// Settings that only an entry needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The name of the entry.
    pub id: EntryId,
    /// Number of threads that serve callers.
    pub workers: NonZeroU64,
    /// Maximum number of agents to which it keeps a link, over all models and services.
    pub agents_max: NonZeroU64,
    /// Maximum number of requests that wait at the entry.
    pub queue_max: NonZeroU64,
    /// Time allowed until the first token if the caller does not set a deadline.
    pub deadline: Span,
}

/// Settings that only an agent needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Agent {
    /// The endpoint that the agent manages.
    pub endpoint: EndpointId,
    /// Base URL of the endpoint.
    pub endpoint_url: String,
    /// The kind of the endpoint and its settings.
    pub kind: EndpointSpec,
    /// Maximum number of concurrent requests of a warm endpoint.
    pub slots: NonZeroU32,
    /// Maximum number of concurrent requests of a cold endpoint.
    pub cold_slots: NonZeroU32,
    /// Maximum number of requests that wait at the agent.
    pub waiting_max: u32,
    /// How long a generation is kept after it ends, and how long it continues without a reader.
    pub hold: Span,
}

/// The kind of an endpoint and the settings of that kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointSpec {
    /// A model engine.
    Engine {
        /// Models that the engine serves at startup.
        models: Vec<ModelId>,
        /// Number of cache blocks of the engine.
        blocks: Blocks,
        /// Number of tokens in a cache block.
        block_tokens: NonZeroU32,
    },
    /// A replica of a service that runs no models.
    Service {
        /// The name of the service.
        service: ServiceName,
        /// Calls that may be repeated, in addition to GET, HEAD and OPTIONS.
        idempotent: Vec<IdempotentCalls>,
    },
}

/// Calls that may be repeated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdempotentCalls {
    /// HTTP method.
    pub method: String,
    /// Prefix of the request path.
    pub path_prefix: String,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Platform {
    /// Base URL of the log service.
    pub log_url: String,
    /// Base URL of the host list.
    pub host_list_url: String,
    /// Base URL of the weight store.
    pub weight_store_url: String,
    /// Maximum time to wait for a response.
    pub timeout: Span,
    /// Time between two reads of the host list.
    pub poll_interval: Span,
}

/// Addresses that a process listens on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// HTTP requests of callers (entry only).
    pub callers: SocketAddr,
    /// Connections of other processes of the system.
    pub peers: SocketAddr,
    /// Metrics, health and status.
    pub operations: SocketAddr,
}

/// Limits on requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request body.
    pub body_max: ByteCount,
    /// Memory for the bodies of all requests together.
    pub body_memory: ByteCount,
    /// Maximum size of a request head.
    pub head_max: ByteCount,
    /// Maximum number of header fields of a request.
    pub headers_max: u32,
    /// Maximum number of caller connections.
    pub connections_max: NonZeroU64,
    /// Maximum idle time of a connection.
    pub idle_timeout: Span,
    /// Maximum time for a caller to send the head and body of a request.
    pub request_timeout: Span,
    /// Maximum time for which a caller may leave sent data unread.
    pub send_timeout: Span,
    /// Number of tokens buffered for a slow reader.
    pub stream_buffer_tokens: NonZeroU32,
}

/// Tracing of a process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Trace {
    /// Destination of finished spans.
    pub export: TraceExport,
    /// Share of requests traced.
    pub sample: Permille,
}

/// Keys and certificates.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Security {
    /// Key with which the processes of this system authenticate to each other.
    pub peer_key: Option<Secret>,
    /// Key with which operators authenticate.
    pub operator_key: Option<Secret>,
    /// Whether callers without a key are served.
    pub anonymous_callers: bool,
    /// Certificate and private key of the listeners.
    pub identity: Option<Identity>,
    /// PEM file with the certificate authorities used to verify peers.
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

/// A security measure that the settings leave disabled.
///
/// This is allowed, and reported at startup.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Exposure {
    /// Listeners do not use TLS.
    PlainText,
    /// Any process is accepted as a process of the system.
    NoPeerKey,
    /// Anyone who can reach the operations listener may read status and issue commands.
    NoOperatorKey,
    /// Callers without a key are served.
    AnonymousCallers,
}

impl Exposure {
    /// Returns the name used in logs and metrics.
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
    /// Returns the security measures that the settings leave disabled.
    #[must_use]
    pub fn exposures(&self) -> Vec<Exposure> {
        let is_entry = matches!(self.role, Role::Entry(_));
        let security = &self.security;
        let measures = [
            (security.identity.is_none(), Exposure::PlainText),
            (security.peer_key.is_none(), Exposure::NoPeerKey),
            (security.operator_key.is_none(), Exposure::NoOperatorKey),
            (
                is_entry && security.anonymous_callers,
                Exposure::AnonymousCallers,
            ),
        ];
        let measures = measures.into_iter().filter(|(is_disabled, _)| *is_disabled);
        measures.map(|(_, exposure)| exposure).collect()
    }
}
