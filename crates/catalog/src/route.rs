//! Routes: which requests go to which service, and how.

use std::fmt;
use std::str::FromStr;

use lentil_core::{ServiceName, Span};
use thiserror::Error;

/// The last rank.
const RANK_LAST: u8 = 9;

/// How urgent a request is; 0 is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Rank(u8);

/// A text that is no rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a rank is a whole number")]
pub struct RankError;

impl Rank {
    /// The rank of this number; what lies beyond the last rank is the last.
    #[must_use]
    pub fn new(number: u64) -> Self {
        Self(u8::try_from(number).unwrap_or(RANK_LAST).min(RANK_LAST))
    }

    /// The number.
    #[must_use]
    pub const fn get(self) -> u8 {
        self.0
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl FromStr for Rank {
    type Err = RankError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self::new).map_err(|_| RankError)
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
pub struct Share {
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
    pub rank: Rank,
    /// Whether requests need no key.
    pub public: bool,
    /// Whether a broken stream may be resumed at another endpoint.
    pub resumable: bool,
    /// The services that serve it.
    pub shares: Vec<Share>,
}

impl Route {
    /// Whether a request that may have run may be sent once more.
    #[must_use]
    pub const fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.resumable,
        }
    }

    /// The service of a request with this draw; equal draws get the same one.
    #[must_use]
    pub fn service(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .shares
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let mut point = draw.checked_rem(total)?;
        for share in &self.shares {
            let weight = u64::from(share.weight);
            if point < weight {
                return Some(&share.service);
            }
            point -= weight;
        }
        None
    }
}
