//! Output lengths learned per organisation, model and priority.

use std::collections::HashMap;

use lentil_core::{ModelId, OrganisationId, Priority, TokenCount};

use crate::length_histogram::LengthHistogram;

/// Most histograms kept per organisation; the least recently updated one is evicted.
const ORGANISATION_HISTOGRAMS_MAX: usize = 1_024;
/// Most histograms kept per model and priority.
const MODEL_HISTOGRAMS_MAX: usize = 64;
/// Weight, in samples, of the model's histogram in an organisation's estimate.
const MODEL_WEIGHT_SAMPLES: f64 = 8.0;
/// Weight, in samples, of the prior in a model's estimate.
const PRIOR_WEIGHT_SAMPLES: f64 = 4.0;
/// Median output length of the prior.
const PRIOR_MEDIAN_TOKENS: f64 = 128.0;

/// Key of the learned length distributions.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LengthKey {
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Model that generates the output.
    pub model: ModelId,
    /// Priority class of the request.
    pub priority: Priority,
}

/// Estimates how likely an output is to be longer than a given length.
///
/// [`LearnedLengths`] is the implementation in use. A benchmark may supply another one,
/// for example one that knows the true lengths.
pub trait LengthEstimator: Send {
    /// For each of `lengths`, a weight proportional to the share of outputs longer than it.
    ///
    /// The ratio of two weights is the probability that an output that has reached the
    /// shorter length also reaches the longer one.
    fn longer_than(&self, key: &LengthKey, attempt: u128, lengths: &[TokenCount]) -> Vec<f64>;

    /// Records the length of a completed output.
    fn record(&mut self, key: &LengthKey, length: TokenCount);
}

#[derive(Debug, Default)]
struct OrganisationHistogram {
    histogram: LengthHistogram,
    last_recorded: u64,
}

/// A bounded set of length histograms.
///
/// An organisation's own histogram is smoothed with the one of its model and priority,
/// which in turn is smoothed with a fixed prior.
#[derive(Debug, Default)]
pub struct LearnedLengths {
    by_organisation: HashMap<LengthKey, OrganisationHistogram>,
    by_model: HashMap<(ModelId, Priority), LengthHistogram>,
    /// Lengths recorded so far; serves as a logical clock for the eviction.
    recorded: u64,
}

impl LearnedLengths {
    /// Creates an estimator without any recorded lengths.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Number of histograms kept per organisation.
    #[must_use]
    pub fn histogram_count(&self) -> usize {
        self.by_organisation.len()
    }

    fn evict_oldest(&mut self) {
        if self.by_organisation.len() < ORGANISATION_HISTOGRAMS_MAX {
            return;
        }
        let oldest = self
            .by_organisation
            .iter()
            .min_by_key(|(_, entry)| entry.last_recorded)
            .map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            self.by_organisation.remove(&key);
        }
    }
}

/// Probability that an output is longer than `length` when nothing was recorded.
fn prior_longer_than(length: TokenCount) -> f64 {
    PRIOR_MEDIAN_TOKENS / (PRIOR_MEDIAN_TOKENS + f64::from(length.get()))
}

impl LengthEstimator for LearnedLengths {
    fn longer_than(&self, key: &LengthKey, _attempt: u128, lengths: &[TokenCount]) -> Vec<f64> {
        let by_model = self.by_model.get(&(key.model.clone(), key.priority));
        let by_organisation = self.by_organisation.get(key).map(|entry| &entry.histogram);
        let estimate = |histogram: Option<&LengthHistogram>, length, fallback: f64, weight: f64| {
            let samples = histogram.map_or(0.0, |s| f64::from(s.samples()));
            let longer = histogram.map_or(0.0, |s| s.longer_than(length));
            (longer + weight * fallback) / (samples + weight)
        };
        lengths
            .iter()
            .map(|length| {
                let fallback = estimate(
                    by_model,
                    *length,
                    prior_longer_than(*length),
                    PRIOR_WEIGHT_SAMPLES,
                );
                estimate(by_organisation, *length, fallback, MODEL_WEIGHT_SAMPLES)
            })
            .collect()
    }

    fn record(&mut self, key: &LengthKey, length: TokenCount) {
        self.recorded += 1;
        let model_key = (key.model.clone(), key.priority);
        if self.by_model.contains_key(&model_key) || self.by_model.len() < MODEL_HISTOGRAMS_MAX {
            self.by_model.entry(model_key).or_default().add(length);
        }
        if !self.by_organisation.contains_key(key) {
            self.evict_oldest();
        }
        let entry = self.by_organisation.entry(key.clone()).or_default();
        entry.histogram.add(length);
        entry.last_recorded = self.recorded;
    }
}
