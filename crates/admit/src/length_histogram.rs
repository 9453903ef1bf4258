//! A bounded sketch of output lengths.

use lentil_core::TokenCount;

/// Buckets in an octave.
const STEPS: u32 = 4;
/// Octaves covered; longer outputs share the last bucket.
const OCTAVES: u32 = 17;
/// Number of buckets.
const BUCKETS: usize = 68;
/// Samples at which all counts are halved, so that drift is followed.
const SAMPLES_MAX: u32 = 512;

/// A histogram of output lengths with four buckets an octave.
///
/// Old samples fade: at 512 samples every count is halved.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LengthHistogram {
    counts: [u16; BUCKETS],
    /// `above[b]` counts the samples in buckets after `b`.
    above: [u32; BUCKETS],
    total: u32,
}

impl Default for LengthHistogram {
    fn default() -> Self {
        Self {
            counts: [0; BUCKETS],
            above: [0; BUCKETS],
            total: 0,
        }
    }
}

/// The bucket of a length and the length's share of the bucket's width.
fn place(length: TokenCount) -> (usize, f64) {
    let value = length.get().max(1);
    let octave = value.ilog2();
    let base = 1_u32 << octave.min(30);
    let step = (u64::from(value - base) * u64::from(STEPS)) / u64::from(base);
    let step = u32::try_from(step).unwrap_or(0).min(STEPS - 1);
    if octave >= OCTAVES {
        return (BUCKETS - 1, 1.0);
    }
    let width = f64::from(base) / f64::from(STEPS);
    let start = f64::from(base) + width * f64::from(step);
    let share = ((f64::from(value) - start) / width).clamp(0.0, 1.0);
    let index = usize::try_from(octave * STEPS + step).unwrap_or(BUCKETS - 1);
    (index.min(BUCKETS - 1), share)
}

impl LengthHistogram {
    /// Learns one finished output.
    pub fn add(&mut self, length: TokenCount) {
        if self.total >= SAMPLES_MAX {
            self.halve();
        }
        let (bucket, _) = place(length);
        if let Some(count) = self.counts.get_mut(bucket) {
            *count += 1;
        }
        for above in self.above.iter_mut().take(bucket) {
            *above += 1;
        }
        self.total += 1;
    }

    fn halve(&mut self) {
        let mut sum = 0;
        for (count, above) in self.counts.iter_mut().zip(self.above.iter_mut()).rev() {
            *count /= 2;
            *above = sum;
            sum += u32::from(*count);
        }
        self.total = sum;
    }

    /// Samples that count.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.total
    }

    /// Samples, interpolated, that are longer than `length`.
    #[must_use]
    pub fn longer_than(&self, length: TokenCount) -> f64 {
        if length == TokenCount::ZERO {
            return f64::from(self.total);
        }
        let (bucket, share) = place(length);
        let count = self.counts.get(bucket).copied().unwrap_or(0);
        let above = self.above.get(bucket).copied().unwrap_or(0);
        f64::from(above) + f64::from(count) * (1.0 - share)
    }
}
