//! Services and the capacity of their endpoints.

use lentil_core::{ServiceName, Span, TokenCount};

/// The request rate that a cold endpoint can handle, over all senders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// How long an endpoint stays cold after it starts.
    pub duration: Span,
    /// Maximum requests per second to a cold endpoint.
    pub requests_per_s: f64,
}

/// Capacity and features of a service's model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of one engine's key-value cache, in tokens.
    pub memory_tokens: TokenCount,
    /// Tokens per stream event.
    pub event_tokens: TokenCount,
    /// Whether the key-value cache of a running generation can be copied to another
    /// engine.
    pub supports_migration: bool,
    /// How long an engine keeps an unused copy.
    pub copy_ttl: Span,
}

/// A service that requests are forwarded to.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Path of the endpoints' health check.
    pub health_path: String,
    /// Maximum connections to one endpoint, over all senders.
    pub connections_max: u32,
    /// Rate limit of cold endpoints; `None` if endpoints need no warm-up.
    pub cold: Option<ColdLimit>,
    /// Specification of the engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
