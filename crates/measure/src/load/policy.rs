//! The policies that are compared.

use lentil_admit::{LearnedLengths, LengthEstimator, LengthKey};
use lentil_core::TokenCount;

/// A policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Policy {
    /// Endpoints in turn.
    RoundRobin,
    /// The endpoint with the fewest requests by the lagging figures.
    LeastRequests,
    /// The better of two drawn endpoints.
    PowerOfTwo,
    /// The product's decisions with optimistic sending.
    Ours,
    /// The product's decisions with credits.
    Credits,
    /// The product's decisions with known lengths.
    Oracle,
}

impl Policy {
    /// All policies, in the order of the tables.
    pub(crate) const ALL: [Self; 6] = [
        Self::RoundRobin,
        Self::LeastRequests,
        Self::PowerOfTwo,
        Self::Ours,
        Self::Credits,
        Self::Oracle,
    ];

    /// What a user would otherwise pick.
    pub(crate) const BASELINES: [Self; 3] =
        [Self::RoundRobin, Self::LeastRequests, Self::PowerOfTwo];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastRequests => "least requests",
            Self::PowerOfTwo => "power of two",
            Self::Ours => "ours",
            Self::Credits => "ours, credits",
            Self::Oracle => "oracle",
        }
    }

    /// Whether the decision crates are in use.
    pub(crate) const fn decides(self) -> bool {
        matches!(self, Self::Ours | Self::Credits | Self::Oracle)
    }

    /// Where admission has lengths from.
    pub(crate) fn lengths(self, known: &[u32]) -> Box<dyn LengthEstimator> {
        match self {
            Self::Oracle => Box::new(Known(known.to_vec())),
            _ => Box::new(LearnedLengths::new()),
        }
    }
}

/// The true lengths, by request number.
#[derive(Debug)]
struct Known(Vec<u32>);

impl LengthEstimator for Known {
    fn longer_than(&self, _kind: &LengthKey, attempt: u128, lengths: &[TokenCount]) -> Vec<f64> {
        let length = usize::try_from(attempt)
            .ok()
            .and_then(|request| self.0.get(request))
            .copied()
            .unwrap_or(0);
        lengths
            .iter()
            .map(|at| f64::from(u8::from(length > at.get())))
            .collect()
    }

    fn record(&mut self, _kind: &LengthKey, _length: TokenCount) {}
}
