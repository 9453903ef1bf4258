//! Placement requests and results, and the weights used in scoring endpoints.

use std::net::SocketAddr;

use lentil_catalog::PriorityLevel;
use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount, ZoneId};
use lentil_rollout::Version;

use crate::PlacementId;

/// Fraction of an engine's memory that forecasts may fill.
pub(crate) const MEMORY_FILL_MAX: f64 = 0.94;
/// Fraction of the expected output that memory is reserved for. Outputs end at
/// different times, so they never all reach their full length together.
pub(crate) const OUTPUT_RESERVE: f64 = 0.6;
/// Pending prefill tokens that add as much to the score as a full memory.
pub(crate) const PREFILL_FULL_TOKENS: f64 = 9_000.0;
/// Weight of the failure rate in the score, relative to a full memory.
pub(crate) const FAILURE_WEIGHT: f64 = 2.0;
/// Score added for another availability zone, relative to a full memory.
pub(crate) const REMOTE_ZONE_PENALTY: f64 = 0.04;
/// Maximum random part of a score, so that entries with the same reports do not all
/// choose the same endpoint.
pub(crate) const JITTER_MAX: f64 = 0.05;

/// Size of a generation in an engine's memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationSize {
    /// Prompt tokens, including output generated before the request was resumed.
    pub prompt_tokens: TokenCount,
    /// Expected number of further output tokens.
    pub expected_output_tokens: TokenCount,
}

/// Which availability zone to prefer, and how strongly.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZonePreference {
    /// Prefer the entry's own, because traffic between availability zones costs
    /// money.
    Local,
    /// Use this one, where the source of a copy is, as long as an engine there has
    /// capacity. A copy to another availability zone takes twice as long, and the
    /// time on the source's link determines how many generations are saved.
    CopySource(ZoneId),
}

/// Which versions of a service's software a request may be placed at.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum VersionNeed {
    /// Those that get new requests by the service's [`VersionRules`](crate::VersionRules).
    #[default]
    Any,
    /// Only the version that began the request's stream, or endpoints that state no valid
    /// version if it is `None`. Two versions may write different events for the same request,
    /// so that the stream can't go on at another one. All available endpoints of the version
    /// are used, whatever the rules say, unless a roll-out has rolled the version back.
    Only(Option<Version>),
}

/// A request to place at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The service to which the request is forwarded.
    pub service: ServiceName,
    /// Size of the generation; `None` for plain services.
    pub generation: Option<GenerationSize>,
    /// Which availability zone to prefer.
    pub zone_preference: ZonePreference,
    /// Random number that seeds the score's jitter.
    pub jitter_seed: u64,
    /// When the answer or the first event is wanted; `None` if the request has produced events
    /// already.
    pub wanted_by: Option<Time>,
    /// The request's priority.
    pub priority: PriorityLevel,
    /// Longest pause between two events of a stream, if its route states one.
    pub gap_target: Option<Span>,
    /// Which versions of the service's software it may be placed at.
    pub version: VersionNeed,
}

/// A request that was placed at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacedRequest {
    /// The chosen endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's address.
    pub address: SocketAddr,
    /// Identifies the request in later calls to [`Fleet`](crate::Fleet).
    pub id: PlacementId,
    /// The version that the endpoint stated when the request was placed; `None` if it stated no
    /// valid one.
    pub version: Option<Version>,
}

impl PlacedRequest {
    /// The version for the log; `unstated` if the endpoint stated no valid one.
    #[must_use]
    pub fn version_text(&self) -> &str {
        self.version.as_ref().map_or("unstated", Version::as_str)
    }
}

/// The result of placing a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Placement {
    /// The request was placed and is to be sent to its endpoint.
    Placed(PlacedRequest),
    /// Endpoints are available, but none has capacity now.
    NoCapacity,
    /// No endpoint of the service is available, or none of the version that the request needs.
    NoEndpoint,
}
