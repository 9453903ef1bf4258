//! The times of a roll-out, derived from its order and limits.

use lentil_core::{Span, Time};

use crate::decision::RolloutLimits;
use crate::order::RolloutOrder;

/// Promotion takes this many steps.
pub(crate) const STEPS: usize = 4;
/// Longest step. Evidence of a step's load reaches all gateways after about a second, so
/// this allows a second of answers to decide on.
const STEP_MAX: Span = Span::from_ms(2_000);
/// Longest time before the order's end that is kept for writing its terminal state: the
/// jitter, two attempts at a slow store, and a reading by the other gateways.
const CLOSING_MAX: Span = Span::from_ms(3_000);

/// When a roll-out may or must take its steps.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Schedule {
    /// Shortest trial.
    pub(crate) trial_min: Span,
    /// The earliest promotion.
    pub(crate) promote_from: Time,
    /// The latest promotion; a roll-out that is still unclear then is rolled back.
    pub(crate) promote_until: Time,
    /// Length of a step of the promotion, and the time for which the old version must be
    /// idle before its endpoints may stop.
    pub(crate) step: Span,
    /// The latest completion; what is not completed then is rolled back.
    pub(crate) close_at: Time,
    /// Age from which on evidence or the record of the status stops any increase.
    pub(crate) stale: Span,
    /// Age from which on no request goes to the target.
    pub(crate) expired: Span,
}

impl Schedule {
    pub(crate) fn new(order: &RolloutOrder, limits: &RolloutLimits) -> Self {
        let duration = order.ends_at.since(order.ordered_at);
        let step = STEP_MAX.min(fraction(duration, 1, 20));
        let close_at = order.ends_at - CLOSING_MAX.min(fraction(duration, 1, 4));
        // The steps, and then the time in which the old version must be seen idle.
        let promotion = step.times(STEPS as u64 + 1);
        let promote_until = (close_at - promotion).max(order.ordered_at);
        let in_time_for_runs = promote_until - limits.run_max;
        let half = order.ordered_at + fraction(duration, 1, 2);
        Self {
            trial_min: fraction(duration, 1, 4),
            promote_from: half.min(in_time_for_runs),
            promote_until,
            step,
            close_at,
            // Of the time to roll back, the rest remains for evidence under way.
            stale: fraction(limits.rollback, 3, 10),
            expired: fraction(limits.rollback, 6, 10),
        }
    }
}

const fn fraction(span: Span, numerator: u64, denominator: u64) -> Span {
    Span::from_us(span.as_us().saturating_mul(numerator) / denominator)
}
