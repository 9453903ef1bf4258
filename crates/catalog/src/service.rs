//! Services and the shape of their endpoints.

use lentil_core::{ServiceName, Span, TokenCount};

/// What a cold endpoint bears, over all senders.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdLimit {
    /// How long an endpoint stays cold after its start.
    pub duration: Span,
    /// Requests that it bears in a second.
    pub requests_per_s: f64,
}

/// The shape of model engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that run side by side.
    pub slots: u32,
    /// Tokens that the memory of one engine holds.
    pub memory_tokens: TokenCount,
    /// Tokens in one event of a stream.
    pub event_tokens: TokenCount,
    /// Whether a running generation's memory can be copied to another engine.
    pub supports_migration: bool,
    /// How long an engine keeps a copy that nobody has used.
    pub copy_ttl: Span,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// The path that tells an endpoint's health.
    pub health_path: String,
    /// Connections that an endpoint accepts, over all senders.
    pub connections_max: u32,
    /// What a cold endpoint bears; `None` where endpoints are never cold.
    pub cold: Option<ColdLimit>,
    /// The shape of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
