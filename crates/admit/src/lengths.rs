//! Learned output lengths by organisation, model and priority.

use std::collections::HashMap;

use lentil_core::{ModelId, OrganisationId, Priority, TokenCount};

use crate::length_histogram::LengthHistogram;

/// Sketches kept by organisation; the one least recently learned gives way.
const SKETCHES_MAX: usize = 1_024;
/// Sketches kept by model and priority.
const KINDS_MAX: usize = 64;
/// Weight, in samples, of the wider sketch inside a narrower one.
const WIDER_SAMPLES: f64 = 8.0;
/// Weight, in samples, of the prior inside the widest sketch.
const PRIOR_SAMPLES: f64 = 4.0;
/// Median of the prior.
const PRIOR_TOKENS: f64 = 128.0;

/// What lengths are learned by.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct LengthKey {
    /// For whom.
    pub organisation: OrganisationId,
    /// By which model.
    pub model: ModelId,
    /// How urgent.
    pub priority: Priority,
}

/// Says how likely an output is longer than a length.
///
/// The learned lengths are one source; a measurement may bring another that
/// knows the lengths.
pub trait LengthEstimator: Send {
    /// A measure of the outputs longer than each of `lengths`; the ratio of two
    /// is the chance to go on from one length to the other.
    fn longer_than(&self, kind: &LengthKey, attempt: u128, lengths: &[TokenCount]) -> Vec<f64>;

    /// Learns one finished output.
    fn record(&mut self, kind: &LengthKey, length: TokenCount);
}

#[derive(Debug, Default)]
struct Entry {
    sketch: LengthHistogram,
    learned: u64,
}

/// Bounded sketches, narrow ones backed by wider ones.
#[derive(Debug, Default)]
pub struct LearnedLengths {
    narrow: HashMap<LengthKey, Entry>,
    wide: HashMap<(ModelId, Priority), LengthHistogram>,
    clock: u64,
}

impl LearnedLengths {
    /// Nothing learned yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sketches held by organisation.
    #[must_use]
    pub fn histogram_count(&self) -> usize {
        self.narrow.len()
    }

    fn make_room(&mut self) {
        if self.narrow.len() < SKETCHES_MAX {
            return;
        }
        let oldest = self
            .narrow
            .iter()
            .min_by_key(|(_, entry)| entry.learned)
            .map(|(kind, _)| kind.clone());
        if let Some(kind) = oldest {
            self.narrow.remove(&kind);
        }
    }
}

/// Chance that an output of unknown kind is longer than `length`.
fn prior(length: TokenCount) -> f64 {
    PRIOR_TOKENS / (PRIOR_TOKENS + f64::from(length.get()))
}

impl LengthEstimator for LearnedLengths {
    fn longer_than(&self, kind: &LengthKey, _attempt: u128, lengths: &[TokenCount]) -> Vec<f64> {
        let wide = self.wide.get(&(kind.model.clone(), kind.priority));
        let narrow = self.narrow.get(kind).map(|entry| &entry.sketch);
        let share = |sketch: Option<&LengthHistogram>, length, wider: f64, weight: f64| {
            let samples = sketch.map_or(0.0, |s| f64::from(s.samples()));
            let longer = sketch.map_or(0.0, |s| s.longer_than(length));
            (longer + weight * wider) / (samples + weight)
        };
        lengths
            .iter()
            .map(|length| {
                let wider = share(wide, *length, prior(*length), PRIOR_SAMPLES);
                share(narrow, *length, wider, WIDER_SAMPLES)
            })
            .collect()
    }

    fn record(&mut self, kind: &LengthKey, length: TokenCount) {
        self.clock += 1;
        let wide_key = (kind.model.clone(), kind.priority);
        if self.wide.contains_key(&wide_key) || self.wide.len() < KINDS_MAX {
            self.wide.entry(wide_key).or_default().add(length);
        }
        if !self.narrow.contains_key(kind) {
            self.make_room();
        }
        let entry = self.narrow.entry(kind.clone()).or_default();
        entry.sketch.add(length);
        entry.learned = self.clock;
    }
}
