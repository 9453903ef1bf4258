//! Which share of the requests goes to the target.

use lentil_core::{Permille, Span};

use crate::exposure::LIMIT_FRACTION;
use crate::schedule::STEPS;

/// All of a service's requests.
pub(crate) const ALL: Permille = Permille::new(1_000);
/// The target's share in each step of the promotion, in permille.
const STEP_SHARES: [u32; STEPS] = [100, 250, 500, 1_000];
/// Fewest and most in the first step, which is the load of one old endpoint.
const FIRST_STEP_SHARES: (u32, u32) = (100, 250);
/// Largest share during the trial, in permille.
const TRIAL_SHARE_MAX: u32 = 250;
/// Cycle of the trial in a small service. Gateways see an order up to half a second
/// apart, so the load of a shorter cycle would be spread out.
const TRIAL_CYCLE: Span = Span::from_s(5);

/// The target's share at a time of the trial, and the first endpoint that gets it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Canary {
    pub(crate) share: Permille,
    pub(crate) first_endpoint: u32,
}

impl Canary {
    /// As many endpoints as the exposure budget sustains get the load of an old one. In a
    /// small service that is less than one endpoint, which then gets its load for a part of
    /// each cycle. The first cycle is whole, which the slack of the budget allows.
    pub(crate) fn new(sustained: Permille, old_endpoints: u32, elapsed: Span) -> Self {
        let old = old_endpoints.max(1);
        let endpoints = (sustained.get() * old / 1_000).max(1);
        let share = (endpoints * 1_000 / old).clamp(1, TRIAL_SHARE_MAX);
        let (elapsed_us, cycle_us) = (elapsed.as_us(), TRIAL_CYCLE.as_us());
        let on_us = cycle_us * u64::from(sustained.get()) / u64::from(share);
        let is_on = elapsed_us < cycle_us || elapsed_us % cycle_us < on_us;
        // The first cycle is spread over two endpoints, as the first one's zone may fail.
        let is_first_half = elapsed_us < cycle_us / 2;
        let cycle = u32::try_from(elapsed_us / cycle_us).unwrap_or(0);
        Self {
            share: Permille::new(if is_on { share } else { 0 }),
            first_endpoint: if is_first_half { 0 } else { cycle + 1 },
        }
    }
}

/// The share of a step of the promotion. The first is the load of one old endpoint, which
/// one of the target's then gets; none is more than the target's endpoints can serve.
pub(crate) fn step_share(step: usize, target_endpoints: u32, old_endpoints: u32) -> Permille {
    let old = old_endpoints.max(1);
    let share = match step {
        0 => (1_000 / old).clamp(FIRST_STEP_SHARES.0, FIRST_STEP_SHARES.1),
        _ => STEP_SHARES.get(step).copied().unwrap_or(1_000),
    };
    if u64::from(target_endpoints) * 2 >= u64::from(old) {
        return Permille::new(share);
    }
    let most = u64::from(target_endpoints) * 1_000 / u64::from(old);
    Permille::new(share.min(u32::try_from(most).unwrap_or(1_000)))
}

/// The share that the exposure budget sustains, at least one permille.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
pub(crate) fn sustained_share(exposure_share: f64) -> Permille {
    let permille = 1_000.0 * LIMIT_FRACTION * exposure_share;
    Permille::new(permille.clamp(1.0, 500.0) as u32)
}
