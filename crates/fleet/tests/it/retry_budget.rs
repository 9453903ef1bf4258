//! Repeats of all entries together, without coordination.

use lentil_core::{Span, Time};
use lentil_fleet::{RetryBudget, RetryBudgetConfig};
use proptest::prelude::*;

const BOUNDS: RetryBudgetConfig = RetryBudgetConfig {
    ratio: 0.2,
    slack: 52.0,
    window: Span::from_s(10),
};

#[derive(Debug, Clone)]
struct Step {
    entry: usize,
    gap_ms: u64,
    repeats: u8,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0_usize..8, 0_u64..120, 0_u8..4).prop_map(|(entry, gap_ms, repeats)| Step {
        entry,
        gap_ms,
        repeats,
    });
    prop::collection::vec(step, 1..900)
}

/// Most repeats beyond the bound in any window; at most 0 keeps it.
#[allow(clippy::cast_precision_loss)]
fn excess(requests: &[u64], repeats: &[u64]) -> f64 {
    let window_ms = BOUNDS.window.as_ms();
    let within = |times: &[u64], from: u64| {
        times
            .iter()
            .filter(|at| (from..from + window_ms).contains(at))
            .count() as f64
    };
    repeats
        .iter()
        .map(|from| {
            let allowed = BOUNDS.ratio * within(requests, *from) + BOUNDS.slack;
            within(repeats, *from) - allowed
        })
        .fold(f64::MIN, f64::max)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    #[test]
    fn bound_holds(entries in 1_u32..9, steps in steps()) {
        let mut budgets: Vec<_> = (0..entries)
            .map(|_| RetryBudget::new(BOUNDS, entries, Time::ZERO))
            .collect();
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for step in steps {
            now_ms += step.gap_ms;
            let now = Time::ZERO + Span::from_ms(now_ms);
            let entry = step.entry % budgets.len();
            budgets[entry].deposit();
            requests.push(now_ms);
            for _ in 0..step.repeats {
                if budgets[entry].try_withdraw(now) {
                    repeats.push(now_ms);
                }
            }
        }
        prop_assert!(excess(&requests, &repeats) <= 0.0);
    }
}

/// The guard bites: what is tried without it breaks the bound.
#[test]
fn unbounded_breaks() {
    let requests: Vec<u64> = (0..100).collect();
    let repeats: Vec<u64> = (0..100).collect();
    assert!(excess(&requests, &repeats) > 0.0);
}

/// A quiet entry can repeat its few requests.
#[test]
fn few_requests_repeat() {
    let mut budget = RetryBudget::new(BOUNDS, 4, Time::ZERO);
    budget.deposit();
    assert!(budget.try_withdraw(Time::ZERO));
}
