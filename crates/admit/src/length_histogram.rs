//! A histogram of output lengths of fixed size.

use lentil_core::TokenCount;

/// Buckets per octave, that is per doubling of the length.
const BUCKETS_PER_OCTAVE: u32 = 4;
/// Octaves covered; longer outputs fall into the last bucket.
const OCTAVES: u32 = 17;
/// Number of buckets.
const BUCKET_COUNT: usize = 68;
/// Sample count at which all counts are halved, so that the histogram follows drift.
const SAMPLES_MAX: u32 = 512;

/// A histogram of output lengths with four buckets per octave.
///
/// Old samples lose weight: at 512 samples every count is halved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LengthHistogram {
    counts: [u16; BUCKET_COUNT],
    /// `samples_above[b]` counts the samples in buckets after `b`.
    samples_above: [u32; BUCKET_COUNT],
    total: u32,
}

impl Default for LengthHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
            samples_above: [0; BUCKET_COUNT],
            total: 0,
        }
    }
}

/// Returns the bucket of a length, and the length's position in it from 0 to 1.
fn bucket_of(length: TokenCount) -> (usize, f64) {
    let value = length.get().max(1);
    let octave = value.ilog2();
    let octave_start = 1_u32 << octave.min(30);
    let step =
        (u64::from(value - octave_start) * u64::from(BUCKETS_PER_OCTAVE)) / u64::from(octave_start);
    let step = u32::try_from(step).unwrap_or(0).min(BUCKETS_PER_OCTAVE - 1);
    if octave >= OCTAVES {
        return (BUCKET_COUNT - 1, 1.0);
    }
    let bucket_width = f64::from(octave_start) / f64::from(BUCKETS_PER_OCTAVE);
    let bucket_start = f64::from(octave_start) + bucket_width * f64::from(step);
    let fraction = ((f64::from(value) - bucket_start) / bucket_width).clamp(0.0, 1.0);
    let index = usize::try_from(octave * BUCKETS_PER_OCTAVE + step).unwrap_or(BUCKET_COUNT - 1);
    (index.min(BUCKET_COUNT - 1), fraction)
}

impl LengthHistogram {
    /// Records the length of a completed output.
    pub fn add(&mut self, length: TokenCount) {
        if self.total >= SAMPLES_MAX {
            self.halve_counts();
        }
        let (bucket, _) = bucket_of(length);
        if let Some(count) = self.counts.get_mut(bucket) {
            *count += 1;
        }
        for samples_above in self.samples_above.iter_mut().take(bucket) {
            *samples_above += 1;
        }
        self.total += 1;
    }

    fn halve_counts(&mut self) {
        let mut sum = 0;
        for (count, samples_above) in self
            .counts
            .iter_mut()
            .zip(self.samples_above.iter_mut())
            .rev()
        {
            *count /= 2;
            *samples_above = sum;
            sum += u32::from(*count);
        }
        self.total = sum;
    }

    /// Number of samples, after halving.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.total
    }

    /// Number of samples longer than `length`, interpolated within its bucket.
    #[must_use]
    pub fn longer_than(&self, length: TokenCount) -> f64 {
        if length == TokenCount::ZERO {
            return f64::from(self.total);
        }
        let (bucket, fraction) = bucket_of(length);
        let count = self.counts.get(bucket).copied().unwrap_or(0);
        let samples_above = self.samples_above.get(bucket).copied().unwrap_or(0);
        f64::from(samples_above) + f64::from(count) * (1.0 - fraction)
    }
}
