//! Seeded simulations of calls with one or two kinds of fault.

use lentil_core::Span;
use lentil_faults::{CallReport, CallSimulation, FaultKind, FaultPlan, Guard, Scenario};
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use proptest::test_runner::RngSeed;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;

fn seed() -> u64 {
    std::env::var("LENTIL_SEED")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(20_261_204)
}

fn run(seed: u64, first: usize, second: usize, guard: Guard) -> CallReport {
    let kinds = FaultKind::ALL;
    let pair = [kinds[first % kinds.len()], kinds[second % kinds.len()]];
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
    let plan = FaultPlan::random(&pair, &mut rng, Span::from_s(8));
    CallSimulation::new(seed, Scenario::default(), plan, guard).run()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2000,
        rng_seed: RngSeed::Fixed(seed()),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold(seed in any::<u64>(), first in 0_usize..10, second in 0_usize..10) {
        let report = run(seed, first, second, Guard::On);
        prop_assert!(!report.violated(), "{report:?}");
    }
}

#[test]
fn double_runs_are_detected_without_guard() {
    let mut all = CallReport::default();
    for seed in 0..200 {
        let kinds = usize::try_from(seed).unwrap();
        all.add(run(seed, kinds, kinds / 10, Guard::Off));
    }
    assert!(all.double_runs > 0, "{all:?}");
}

#[test]
fn calls_without_faults_are_all_answered() {
    for seed in 0..50 {
        let scene = Scenario {
            conflicts_one_in: 0,
            ..Scenario::default()
        };
        let report = CallSimulation::new(seed, scene, FaultPlan::default(), Guard::On).run();
        assert!(!report.violated(), "{report:?}");
        assert_eq!(report.answers, report.calls, "{seed}: {report:?}");
    }
}
