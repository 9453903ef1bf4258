//! Services and the capacity of their endpoints.

use lentil_core::{ByteCount, ServiceName, Span, TokenCount};

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
    /// Whether an engine can send copies of a running generation's key-value cache to another
    /// engine all the time, so that the generation survives a crash.
    pub supports_backups: bool,
    /// Size of one token in the key-value cache; zero if it is not stated.
    pub token_bytes: ByteCount,
    /// Rate of an engine's network link in megabits per second; zero if it is not stated.
    pub link_mbps: u64,
}

impl EngineSpec {
    /// The time in which this many tokens are transferred over an idle link of an engine;
    /// `None` if their size or the rate of the link is unknown.
    #[must_use]
    pub fn transfer_time(&self, tokens: TokenCount) -> Option<Span> {
        let bytes = u64::from(tokens.get()).saturating_mul(self.token_bytes.get());
        // A megabit per second is a bit per microsecond.
        let us = bytes.saturating_mul(8).checked_div(self.link_mbps)?;
        (self.token_bytes > ByteCount::ZERO).then_some(Span::from_us(us))
    }
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
