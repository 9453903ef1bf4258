//! Choosing an endpoint for one request.

use std::net::SocketAddr;

use lentil_core::{EndpointId, ServiceName, TokenCount, ZoneId};

use crate::PlacementId;

/// Part of an engine's memory that forecasts may fill.
pub(crate) const MEMORY_FILL: f64 = 0.94;
/// Part of the forecast growth that is held free: outputs end at different
/// times, so they never all reach their full length together.
pub(crate) const GROWTH_PART: f64 = 0.6;
/// Tokens of unread prompt that weigh as much as a full memory.
pub(crate) const UNREAD_FULL_TOKENS: f64 = 9_000.0;
/// What a share of failures weighs against a full memory.
pub(crate) const FAILING_WEIGHT: f64 = 2.0;
/// What another availability zone weighs against a full memory.
pub(crate) const FAR_WEIGHT: f64 = 0.04;
/// Largest random part of a score; it keeps entries with the same figures
/// from choosing alike.
pub(crate) const JITTER: f64 = 0.05;

/// What a generation needs of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSize {
    /// Tokens of the prompt, and those made before.
    pub prompt_tokens: TokenCount,
    /// Tokens that the output is expected to have.
    pub expected_output_tokens: TokenCount,
}

/// Which availability zone to prefer, and how much.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZonePreference {
    /// The entry's own: bytes between zones cost.
    Local,
    /// That of a copy's source, as long as an engine there has room: a copy to
    /// another zone takes twice as long, and the time on its source's link
    /// decides how many runs are saved.
    CopySource(ZoneId),
}

/// What a request needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The service.
    pub service: ServiceName,
    /// What it needs of an engine; `None` at plain services.
    pub generation: Option<GenerationSize>,
    /// Which availability zone to prefer.
    pub zone_preference: ZonePreference,
    /// A random number, for the jitter.
    pub jitter_seed: u64,
}

/// A place at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedRequest {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it answers.
    pub address: SocketAddr,
    /// The flight that was begun.
    pub id: PlacementId,
}

/// What to do with a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// Send it there.
    Placed(PlacedRequest),
    /// Endpoints live, but none has room now.
    NoCapacity,
    /// No endpoint of the service may get work.
    NoEndpoint,
}
