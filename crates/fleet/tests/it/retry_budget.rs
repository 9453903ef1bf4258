//! The limit on retries of all entries together, without coordination.

use lentil_core::{Span, Time};
use lentil_fleet::{RetryBudget, RetryBudgetConfig};
use proptest::prelude::*;

const CONFIG: RetryBudgetConfig = RetryBudgetConfig {
    ratio: 0.2,
    slack: 52.0,
    window: Span::from_s(10),
};

#[derive(Debug, Clone)]
struct Step {
    entry: usize,
    gap_ms: u64,
    retries: u8,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = (0_usize..8, 0_u64..120, 0_u8..4).prop_map(|(entry, gap_ms, retries)| Step {
        entry,
        gap_ms,
        retries,
    });
    prop::collection::vec(step, 1..900)
}

/// The largest number of retries beyond the limit in any window; 0 or less if the
/// limit holds.
#[allow(clippy::cast_precision_loss)]
fn excess(requests: &[u64], retries: &[u64]) -> f64 {
    let window_ms = CONFIG.window.as_ms();
    let within = |times: &[u64], from: u64| {
        times
            .iter()
            .filter(|at| (from..from + window_ms).contains(at))
            .count() as f64
    };
    retries
        .iter()
        .map(|from| {
            let allowed = CONFIG.ratio * within(requests, *from) + CONFIG.slack;
            within(retries, *from) - allowed
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
    fn limit_holds(entries in 1_u32..9, steps in steps()) {
        let mut budgets: Vec<_> = (0..entries)
            .map(|_| RetryBudget::new(CONFIG, entries, Time::ZERO))
            .collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        let mut now_ms = 0;
        for step in steps {
            now_ms += step.gap_ms;
            let now = Time::ZERO + Span::from_ms(now_ms);
            let entry = step.entry % budgets.len();
            budgets[entry].deposit();
            requests.push(now_ms);
            for _ in 0..step.retries {
                if budgets[entry].try_withdraw(now) {
                    retries.push(now_ms);
                }
            }
        }
        prop_assert!(excess(&requests, &retries) <= 0.0);
    }
}

/// Unlimited retries exceed the limit, so the test above can fail.
#[test]
fn unlimited_retries_exceed_limit() {
    let requests: Vec<u64> = (0..100).collect();
    let retries: Vec<u64> = (0..100).collect();
    assert!(excess(&requests, &retries) > 0.0);
}

/// An entry with few requests can retry them.
#[test]
fn few_requests_can_be_retried() {
    let mut budget = RetryBudget::new(CONFIG, 4, Time::ZERO);
    budget.deposit();
    assert!(budget.try_withdraw(Time::ZERO));
}
