//! Warm-up: how many generations an endpoint bears after a start.

use lentil_core::{Span, Time};

/// Idle time after which an endpoint counts as cold.
const IDLE_MAX: Span = Span::from_s(300);
/// Gap between tokens, in multiples of the usual one, that shows a cold endpoint.
const COLD_RATIO: f64 = 4.0;
/// Gap, in multiples of the usual one, up to which finished work raises the limit.
const WARM_RATIO: f64 = 2.0;
/// Gaps looked at before an endpoint is judged cold.
const SAMPLES_MIN: u32 = 16;
/// Weight of a new gap in the recent average.
const RECENT_WEIGHT: f64 = 0.1;
/// Weight of a new gap in the usual one.
const USUAL_WEIGHT: f64 = 0.005;
/// Weight of a gap that shows a cold endpoint; what lasts becomes usual.
const COLD_WEIGHT: f64 = 0.000_5;
/// Generations that a cold endpoint finishes before it gets more than its cold bound.
const PROOF: u32 = 8;
/// Classes of batch sizes, by powers of two.
const CLASSES: usize = 12;

/// The limit on side-by-side work; it rises with finished work only.
#[derive(Debug, Clone)]
pub struct WarmUp {
    cold_limit: u32,
    full_limit: u32,
    limit: u32,
    /// Generations finished at the cold bound.
    proofs: u32,
    idle_at: Time,
    usual_us: [f64; CLASSES],
    recent_ratio: f64,
    samples: u32,
}

impl WarmUp {
    /// An endpoint that has just started.
    #[must_use]
    pub fn new(cold_limit: u32, full_limit: u32) -> Self {
        let cold_limit = cold_limit.clamp(1, full_limit.max(1));
        Self {
            cold_limit,
            full_limit: full_limit.max(1),
            limit: cold_limit,
            proofs: 0,
            idle_at: Time::NEVER,
            usual_us: [0.0; CLASSES],
            recent_ratio: 1.0,
            samples: 0,
        }
    }

    /// Generations the endpoint bears now.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.limit
    }

    /// Whether the endpoint has not proved yet that it bears more than its cold bound.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.limit <= self.cold_limit && self.cold_limit < self.full_limit
    }

    /// The endpoint started again, or was found cold: back to the cold bound.
    pub fn reset(&mut self) {
        self.limit = self.cold_limit;
        self.proofs = 0;
        self.recent_ratio = 1.0;
        self.samples = 0;
    }

    /// Work finished while `running` generations ran, itself included.
    ///
    /// After a few generations at the cold bound the limit rises by one each,
    /// but not when the endpoint was far from it: work
    /// that leaves slots empty proves nothing about more of them.
    pub fn finished(&mut self, now: Time, running: u32) {
        self.touch(now);
        let used = running.saturating_mul(2) > self.limit;
        if self.recent_ratio > WARM_RATIO {
            return;
        }
        self.proofs = self.proofs.saturating_add(1);
        if used && self.proofs >= PROOF {
            self.limit = self.limit.saturating_add(1).min(self.full_limit);
        }
    }

    /// Work was handed to the endpoint; after a long idle time it is cold.
    pub fn about_to_start(&mut self, now: Time) {
        if self.idle_at.has_passed(now) {
            self.reset();
        }
        self.touch(now);
    }

    fn touch(&mut self, now: Time) {
        self.idle_at = now + IDLE_MAX;
    }

    /// A token came `gap` after the one before, with `running` side by side.
    ///
    /// Returns whether the endpoint was found to have turned cold.
    pub fn token_gap(&mut self, now: Time, gap: Span, running: u32) -> bool {
        self.touch(now);
        let gap_us = u32::try_from(gap.as_us()).map_or(f64::MAX, f64::from);
        let class = usize::try_from(running.max(1).ilog2()).unwrap_or(0);
        let Some(usual_us) = self.usual_us.get_mut(class.min(CLASSES - 1)) else {
            return false;
        };
        if *usual_us == 0.0 {
            *usual_us = gap_us;
        }
        let ratio = (gap_us / usual_us.max(1.0)).min(COLD_RATIO * 4.0);
        let weight = match ratio {
            faster if faster < 1.0 => RECENT_WEIGHT,
            usual if usual < COLD_RATIO => USUAL_WEIGHT,
            _ => COLD_WEIGHT,
        };
        *usual_us += weight * (ratio - 1.0) * *usual_us;
        self.recent_ratio += RECENT_WEIGHT * (ratio - self.recent_ratio);
        self.samples = self.samples.saturating_add(1);
        let turned = self.samples >= SAMPLES_MIN
            && self.recent_ratio > COLD_RATIO
            && self.limit > self.cold_limit;
        if turned {
            self.reset();
            self.recent_ratio = COLD_RATIO;
        }
        turned
    }
}
