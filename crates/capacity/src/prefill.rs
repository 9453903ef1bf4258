//! The time to the first event of a prompt that is queued at an engine.

use lentil_core::{Span, TokenCount};

/// Tokens of a prompt that an engine processes in one decoding step.
const CHUNK_TOKENS: f64 = 112.0;
/// Time of a step with a chunk relative to the time per token that was measured without and
/// with prompts being prefilled: 18.5 ms beside a full batch, which decodes at 9.9 ms.
const DEFAULT_STEP_RATIOS: [f64; 2] = [1.9, 1.2];
/// Smallest and largest learned ratio. Beyond these, a first event was late for another
/// reason, such as a full memory.
const STEP_RATIO_MIN: f64 = 0.8;
const STEP_RATIO_MAX: f64 = 4.0;
/// Weight of the latest first event. Prompts ahead are known by their number only, so that
/// single observations differ by a factor of two.
const LATEST_WEIGHT: f64 = 0.05;

/// What an engine has to do until a prompt's first event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillWork {
    /// Prompt tokens to be prefilled, including the prompt's own.
    pub tokens: TokenCount,
    /// Tokens of the first event.
    pub event_tokens: TokenCount,
    /// The engine's time per output token.
    pub token_interval: Span,
    /// Whether prompts were being prefilled while that time was measured, so that it includes
    /// a part of the time of chunks.
    pub prefilling: bool,
}

/// The time of an engine's steps during prefill, as learned from first events of a service.
///
/// It is kept relative to the time per output token, which differs between engines and
/// which their observers measure.
#[derive(Debug, Clone)]
pub struct PrefillModel {
    step_ratios: [f64; 2],
}

impl Default for PrefillModel {
    fn default() -> Self {
        Self {
            step_ratios: DEFAULT_STEP_RATIOS,
        }
    }
}

impl PrefillModel {
    /// Estimates the time to the first event.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn first_event(&self, work: &PrefillWork) -> Span {
        let interval_us = to_f64(work.token_interval);
        let prefill_us = chunks(work.tokens) * interval_us * self.ratio(work.prefilling);
        let decode_us = f64::from(work.event_tokens.get()) * interval_us;
        Span::from_us((prefill_us + decode_us) as u64)
    }

    /// Records that a first event came after this time.
    pub fn record_first_event(&mut self, work: &PrefillWork, took: Span) {
        let interval_us = to_f64(work.token_interval);
        let decode_us = f64::from(work.event_tokens.get()) * interval_us;
        let steps_us = chunks(work.tokens) * interval_us;
        if steps_us <= 0.0 {
            return;
        }
        let ratio = (to_f64(took) - decode_us) / steps_us;
        let ratio = ratio.clamp(STEP_RATIO_MIN, STEP_RATIO_MAX);
        let [without, with] = &mut self.step_ratios;
        let known = if work.prefilling { with } else { without };
        *known += LATEST_WEIGHT * (ratio - *known);
    }

    const fn ratio(&self, prefilling: bool) -> f64 {
        let [without, with] = self.step_ratios;
        if prefilling { with } else { without }
    }
}

fn chunks(tokens: TokenCount) -> f64 {
    (f64::from(tokens.get()) / CHUNK_TOKENS).ceil()
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(span: Span) -> f64 {
    span.as_us() as f64
}
