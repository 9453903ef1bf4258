//! Seeded simulations of streams with one or two kinds of fault.

use lentil_core::Span;
use lentil_faults::{FaultKind, FaultPlan, Guard, StreamReport, StreamSimulation};
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

fn run(seed: u64, kinds: &[FaultKind], guard: Guard) -> StreamReport {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
    let plan = FaultPlan::random(kinds, &mut rng, Span::from_s(5));
    StreamSimulation::new(seed, plan, guard).run()
}

fn pair(first: usize, second: usize) -> [FaultKind; 2] {
    let kinds = FaultKind::ALL;
    [kinds[first % kinds.len()], kinds[second % kinds.len()]]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(seed()),
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold(seed in any::<u64>(), first in 0_usize..10, second in 0_usize..10) {
        let report = run(seed, &pair(first, second), Guard::On);
        prop_assert!(!report.violated(), "{report:?}");
        prop_assert!(report.unfinished == 0, "{report:?}");
    }
}

#[test]
fn streams_without_faults_are_complete() {
    for seed in 0..20 {
        let report = run(seed, &[], Guard::On);
        assert!(!report.violated(), "{report:?}");
        assert_eq!(report.whole + report.left, report.streams, "{report:?}");
    }
}

#[test]
fn wrong_tokens_are_detected_without_guard() {
    let mut all = StreamReport::default();
    for seed in 0..30 {
        all.add(&run(seed, &[FaultKind::Duplicate], Guard::Off));
    }
    assert!(all.wrong_tokens > 0, "{all:?}");
}

#[test]
fn streams_resume_after_agent_restart() {
    let mut all = StreamReport::default();
    for seed in 0..40 {
        all.add(&run(seed, &[FaultKind::AgentKill], Guard::On));
    }
    assert!(!all.violated(), "{all:?}");
    assert!(all.resumes > 0 && all.whole > 0, "{all:?}");
}
