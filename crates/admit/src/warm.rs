//! Warm-up: how many concurrent generations an endpoint gets after a start.

use lentil_core::{Span, Time};

/// Idle time after which an endpoint counts as cold again.
const IDLE_MAX: Span = Span::from_s(300);
/// Ratio of the recent to the baseline token gap above which an endpoint counts as cold.
const COLD_GAP_RATIO: f64 = 4.0;
/// Ratio of the recent to the baseline token gap up to which completions raise the limit.
const WARM_GAP_RATIO: f64 = 2.0;
/// Gaps to observe before an endpoint can be found cold.
const SAMPLES_MIN: u32 = 16;
/// Weight of a new gap in the recent average, and in the baseline if the gap is shorter.
const RECENT_WEIGHT: f64 = 0.1;
/// Weight of a longer gap in the baseline.
const BASELINE_WEIGHT: f64 = 0.005;
/// Weight in the baseline of a gap at or above [`COLD_GAP_RATIO`]. It isn't zero, so that a
/// lasting slowdown becomes the new baseline.
const COLD_BASELINE_WEIGHT: f64 = 0.000_5;
/// Completions needed after a reset to raise the limit; the last of them already raises it.
const COLD_LIMIT_COMPLETIONS: u32 = 8;
/// Number of batch size classes, which are powers of two. Each has its own baseline gap.
const BATCH_SIZE_CLASSES: usize = 12;

/// Limit on concurrent generations, which rises only when generations complete.
#[derive(Debug, Clone)]
pub struct WarmUp {
    cold_limit: u32,
    warm_limit: u32,
    limit: u32,
    /// Generations completed since the last reset while token gaps were normal.
    completions: u32,
    idle_deadline: Time,
    baseline_us: [f64; BATCH_SIZE_CLASSES],
    recent_gap_ratio: f64,
    samples: u32,
}

impl WarmUp {
    /// Creates the limit of an endpoint that has just started.
    #[must_use]
    pub fn new(cold_limit: u32, warm_limit: u32) -> Self {
        let cold_limit = cold_limit.clamp(1, warm_limit.max(1));
        Self {
            cold_limit,
            warm_limit: warm_limit.max(1),
            limit: cold_limit,
            completions: 0,
            idle_deadline: Time::NEVER,
            baseline_us: [0.0; BATCH_SIZE_CLASSES],
            recent_gap_ratio: 1.0,
            samples: 0,
        }
    }

    /// Number of generations that the endpoint may run concurrently now.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the endpoint is still at its cold limit.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.limit <= self.cold_limit && self.cold_limit < self.warm_limit
    }

    /// Resets to the cold limit, after a restart or when the endpoint was found cold.
    pub fn reset(&mut self) {
        self.limit = self.cold_limit;
        self.completions = 0;
        self.recent_gap_ratio = 1.0;
        self.samples = 0;
    }

    /// Records that a generation completed while `running` generations ran, itself included.
    ///
    /// From the eighth completion after a reset on, each one raises the limit by one. It
    /// doesn't if at most half of the limit was in use: a mostly empty batch doesn't show
    /// that the endpoint can run a larger one. It doesn't either while token gaps are long.
    pub fn finished(&mut self, now: Time, running: u32) {
        self.note_activity(now);
        let well_used = running.saturating_mul(2) > self.limit;
        if self.recent_gap_ratio > WARM_GAP_RATIO {
            return;
        }
        self.completions = self.completions.saturating_add(1);
        if well_used && self.completions >= COLD_LIMIT_COMPLETIONS {
            self.limit = self.limit.saturating_add(1).min(self.warm_limit);
        }
    }

    /// Records that the endpoint is about to get work; after a long idle time it is cold.
    pub fn about_to_start(&mut self, now: Time) {
        if self.idle_deadline.has_passed(now) {
            self.reset();
        }
        self.note_activity(now);
    }

    fn note_activity(&mut self, now: Time) {
        self.idle_deadline = now + IDLE_MAX;
    }

    /// Records the gap between two tokens while `running` generations ran.
    ///
    /// Returns whether this gap showed that the endpoint has turned cold.
    pub fn token_gap(&mut self, now: Time, gap: Span, running: u32) -> bool {
        self.note_activity(now);
        let gap_us = u32::try_from(gap.as_us()).map_or(f64::MAX, f64::from);
        let class = usize::try_from(running.max(1).ilog2()).unwrap_or(0);
        let Some(baseline_us) = self.baseline_us.get_mut(class.min(BATCH_SIZE_CLASSES - 1)) else {
            return false;
        };
        if *baseline_us == 0.0 {
            *baseline_us = gap_us;
        }
        let ratio = (gap_us / baseline_us.max(1.0)).min(COLD_GAP_RATIO * 4.0);
        let weight = match ratio {
            fast if fast < 1.0 => RECENT_WEIGHT,
            normal if normal < COLD_GAP_RATIO => BASELINE_WEIGHT,
            _ => COLD_BASELINE_WEIGHT,
        };
        *baseline_us += weight * (ratio - 1.0) * *baseline_us;
        self.recent_gap_ratio += RECENT_WEIGHT * (ratio - self.recent_gap_ratio);
        self.samples = self.samples.saturating_add(1);
        let turned_cold = self.samples >= SAMPLES_MIN
            && self.recent_gap_ratio > COLD_GAP_RATIO
            && self.limit > self.cold_limit;
        if turned_cold {
            self.reset();
            self.recent_gap_ratio = COLD_GAP_RATIO;
        }
        turned_cold
    }
}
