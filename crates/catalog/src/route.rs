//! Routes, which map requests to services.

use std::fmt;
use std::str::FromStr;

use lentil_core::{ServiceName, Span};
use thiserror::Error;

/// The largest priority level, which is the least urgent.
const PRIORITY_LEVEL_MAX: u8 = 9;

/// Priority level of a request; level 0 is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PriorityLevel(u8);

/// Error for a string that is not a priority level.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("invalid priority level: expected a whole number")]
pub struct ParsePriorityLevelError;

impl PriorityLevel {
    /// Creates a priority level; numbers above the largest level are clamped to it.
    #[must_use]
    pub fn new(number: u64) -> Self {
        Self(
            u8::try_from(number)
                .unwrap_or(PRIORITY_LEVEL_MAX)
                .min(PRIORITY_LEVEL_MAX),
        )
    }

    /// The level as a number.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for PriorityLevel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for PriorityLevel {
    type Err = ParsePriorityLevelError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse()
            .map(Self::new)
            .map_err(|_| ParsePriorityLevelError)
    }
}

/// Whether a route's requests may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may be executed any number of times.
    Idempotent,
    /// A request is executed at most once.
    NonIdempotent,
    /// The answer is a stream of events with increasing numbers. A request is
    /// executed at most once, unless the route's streams are resumable.
    Streaming,
}

/// A service of a route with its share of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// A route for requests to one host name and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// Host name that callers use, in lower case.
    pub host: String,
    /// Prefix of matching paths; it starts and ends with a slash.
    pub path_prefix: String,
    /// Whether requests may be executed more than once.
    pub kind: RouteKind,
    /// Maximum duration of a request.
    pub timeout: Span,
    /// Target latency for an answer or for a stream's first event.
    pub target_latency: Span,
    /// Longest pause between two events of a stream that is still on time, if stated.
    pub gap_target: Option<Span>,
    /// Maximum number of endpoints that one request may be sent to.
    pub endpoints_max: u32,
    /// Default priority level of the route's requests.
    pub priority: PriorityLevel,
    /// Whether requests need no API key.
    pub public: bool,
    /// Whether an interrupted stream may be resumed at another endpoint.
    pub resumable: bool,
    /// The services that share the route's requests.
    pub weighted_services: Vec<WeightedService>,
}

impl Route {
    /// Whether a request that may already have been executed may be sent again.
    #[must_use]
    pub const fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// Chooses a service by weight for a random number; equal numbers give the same
    /// service. Returns `None` if all weights are zero.
    #[must_use]
    pub fn choose_service(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|weighted| u64::from(weighted.weight))
            .sum();
        let mut remainder = random.checked_rem(total)?;
        for weighted in &self.weighted_services {
            let weight = u64::from(weighted.weight);
            if remainder < weight {
                return Some(&weighted.service);
            }
            remainder -= weight;
        }
        None
    }
}
