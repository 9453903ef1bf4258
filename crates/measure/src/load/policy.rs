//! The policies that the measurement compares.

use lentil_admit::{LearnedLengths, LengthEstimator, LengthKey};
use lentil_core::TokenCount;

/// A policy for admission and routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Policy {
    /// Each entry uses the endpoints in turn.
    RoundRobin,
    /// The endpoint with the fewest requests, by loads that lag behind.
    LeastRequests,
    /// The less loaded of two randomly chosen endpoints.
    PowerOfTwo,
    /// The product's decisions with optimistic sending.
    Ours,
    /// The product's decisions with credits.
    Credits,
    /// The product's decisions with output lengths known in advance.
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

    /// Common load-balancing policies that the product is compared with.
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

    /// Whether the policy runs the product's decision crates.
    pub(crate) const fn uses_decision_crates(self) -> bool {
        matches!(self, Self::Ours | Self::Credits | Self::Oracle)
    }

    /// Returns the estimator from which admission takes output lengths.
    pub(crate) fn length_estimator(self, known: &[u32]) -> Box<dyn LengthEstimator> {
        match self {
            Self::Oracle => Box::new(KnownLengths(known.to_vec())),
            _ => Box::new(LearnedLengths::new()),
        }
    }
}

/// Estimator that knows the true output lengths, by request number.
#[derive(Debug)]
struct KnownLengths(Vec<u32>);

impl LengthEstimator for KnownLengths {
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
