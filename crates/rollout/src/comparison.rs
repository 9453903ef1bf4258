//! Counts of bad answers, compared between target and old version.

use lentil_core::ZoneId;

use crate::analysis::Symptom;
use crate::evidence::{Counts, Evidence, LATENCY_BUCKETS, Side, bucket_start};
use crate::poisson;

/// Probability below which a difference condemns the target. An order has about 30
/// independent looks at up to 40 comparisons, so a good version is condemned by chance in
/// about 1 of 100 orders at most.
const BAD_ERROR: f64 = 1e-5;
/// Probability below which a difference stops promotion until more samples explain it.
const SUSPICION_ERROR: f64 = 2e-2;
/// Failures or pauses that the target may have beyond the old version's.
const FAILURE_TOLERANCE: f64 = 0.005;
/// Slow answers that the target may have beyond the old version's. A version that has
/// just started is slower at first.
const SLOW_TOLERANCE: f64 = 0.03;
/// Bad answers of the target, and how many are expected of a version as good as the old.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Comparison {
    pub(crate) bad: u64,
    pub(crate) expected: f64,
    pub(crate) tolerated: f64,
}

impl Comparison {
    pub(crate) fn add(&mut self, other: Self) {
        self.bad += other.bad;
        self.expected += other.expected;
        self.tolerated += other.tolerated;
    }

    pub(crate) fn is_bad(&self) -> bool {
        poisson::at_least(self.bad, self.expected + self.tolerated) < BAD_ERROR
    }

    pub(crate) fn is_suspicious(&self) -> bool {
        poisson::at_least(self.bad, self.expected + self.tolerated) < SUSPICION_ERROR
    }
}

/// What is counted as a bad answer.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Measure {
    Failed,
    Stalled,
    /// Successful, in this latency bucket or a higher one.
    Slow(usize),
}

impl Measure {
    /// Bad answers and all answers.
    pub(crate) fn of(self, counts: &Counts) -> (u64, u64) {
        match self {
            Self::Failed => (counts.failed.min(counts.answered), counts.answered),
            Self::Stalled => (counts.stalled.min(counts.answered), counts.answered),
            Self::Slow(first) => (
                counts.latency.iter().skip(first).sum(),
                counts.latency.iter().sum(),
            ),
        }
    }

    pub(crate) const fn tolerance(self) -> f64 {
        match self {
            Self::Failed | Self::Stalled => FAILURE_TOLERANCE,
            Self::Slow(_) => SLOW_TOLERANCE,
        }
    }

    pub(crate) const fn symptom(self) -> Symptom {
        match self {
            Self::Failed => Symptom::Failures,
            Self::Stalled => Symptom::Pauses,
            Self::Slow(_) => Symptom::Slowness,
        }
    }
}

/// Where a latency bucket starts, in microseconds.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn start_us(bucket: usize) -> f64 {
    bucket_start(bucket).as_us() as f64
}

/// A quantile of the latencies, interpolated within its bucket.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn quantile_us(buckets: &[u64; LATENCY_BUCKETS], quantile: f64) -> Option<f64> {
    let wanted = quantile * buckets.iter().sum::<u64>() as f64;
    let mut below = 0.0;
    for (index, count) in buckets.iter().enumerate() {
        let within = wanted - below;
        below += *count as f64;
        if *count > 0 && below >= wanted {
            let (start, end) = (start_us(index), start_us(index + 1));
            return Some((end - start).mul_add(within / *count as f64, start));
        }
    }
    None
}

/// Bad answers and all answers of the old version, on some routes in some zones.
pub(crate) fn sum_old(
    evidence: &Evidence,
    measure: Measure,
    is_in: impl Fn(&str, &ZoneId) -> bool,
) -> (u64, u64) {
    sum(evidence, Side::Old, measure, is_in)
}

/// Bad answers and all answers of a side, on some routes in some zones.
pub(crate) fn sum(
    evidence: &Evidence,
    side: Side,
    measure: Measure,
    is_in: impl Fn(&str, &ZoneId) -> bool,
) -> (u64, u64) {
    let rows = evidence.rows();
    rows.filter(|(key, _)| key.side == side && is_in(&key.route, &key.zone))
        .map(|(_, counts)| measure.of(counts))
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}
