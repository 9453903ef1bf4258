//! Routes: which requests go to which service, and how.

use std::fmt;
use std::str::FromStr;

use lentil_core::{ServiceName, Span};
use thiserror::Error;

/// The last priority.
const PRIORITY_LEVEL_MAX: u8 = 9;

/// How urgent a request is; 0 is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct PriorityLevel(u8);

/// A text that is no priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a rank is a whole number")]
pub struct ParsePriorityLevelError;

impl PriorityLevel {
    /// The priority of this number; what lies beyond the last priority is the last.
    #[must_use]
    pub fn new(number: u64) -> Self {
        Self(
            u8::try_from(number)
                .unwrap_or(PRIORITY_LEVEL_MAX)
                .min(PRIORITY_LEVEL_MAX),
        )
    }

    /// The number.
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

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run any number of times.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The answer is a series of events with rising numbers; it runs at most
    /// once, unless the route's streams may be resumed.
    Streaming,
}

/// One service of a route and its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its part, relative to the others of the route.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host name that callers address, in lower case.
    pub host: String,
    /// The beginning of its paths; it begins and ends with a slash.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may take.
    pub timeout: Span,
    /// Time within which an answer, or a stream's first event, is on time.
    pub target_latency: Span,
    /// Most endpoints that one request may be sent to.
    pub endpoints_max: u32,
    /// How urgent its requests are.
    pub priority: PriorityLevel,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// The services that serve it.
    pub weighted_services: Vec<WeightedService>,
}

impl Route {
    /// Whether a request that may have run may be sent once more.
    #[must_use]
    pub const fn is_retryable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service of a request with this draw; equal draws get the same one.
    #[must_use]
    pub fn choose_service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .weighted_services
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = draw.checked_rem(total)?;
        for share in &self.weighted_services {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}
