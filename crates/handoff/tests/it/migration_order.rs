//! The order of moves at an engine that leaves at short notice.

use std::collections::BTreeMap;

use lentil_core::{Span, Time, TokenCount};
use lentil_handoff::{Action, MigrationPlanner, RunStatus};
use proptest::prelude::*;

fn ms(ms: u64) -> Time {
    Time::ZERO + Span::from_ms(ms)
}

fn run(run: u32, growth: u32, begun: bool) -> RunStatus<u32> {
    RunStatus {
        run,
        remaining_tokens: TokenCount::new(growth),
        started: begun,
    }
}

#[test]
fn most_to_come_first() {
    let mut planner = MigrationPlanner::new(ms(1_800));
    let runs = [run(1, 100, true), run(2, 900, true), run(3, 2_000, false)];
    assert_eq!(planner.next_action(ms(100), &runs), Action::LiveMigrate(2));
    planner.record_migrated(2);
    assert_eq!(planner.next_action(ms(350), &runs), Action::LiveMigrate(1));
    planner.record_migrated(1);
    // The third has not begun: there is nothing to move yet.
    assert!(matches!(
        planner.next_action(ms(600), &runs),
        Action::Wait(_)
    ));
    let begun = [run(3, 2_000, true)];
    assert_eq!(planner.next_action(ms(700), &begun), Action::LiveMigrate(3));
}

#[test]
fn little_time_switches() {
    let mut planner = MigrationPlanner::new(ms(1_800));
    let runs = [run(1, 100, true)];
    assert_eq!(
        planner.next_action(ms(1_600), &runs),
        Action::StopAndCopy(1)
    );
    planner.set_terminates_at(ms(4_000));
    assert_eq!(
        planner.next_action(ms(1_600), &runs),
        Action::LiveMigrate(1)
    );
}

/// A run that no engine took lets others go first and is tried again.
#[test]
fn failed_waits_its_turn() {
    let mut planner = MigrationPlanner::new(ms(1_800));
    let runs = [run(1, 900, true), run(2, 100, true)];
    planner.record_failure(ms(100), 1);
    assert_eq!(planner.next_action(ms(101), &runs), Action::LiveMigrate(2));
    planner.record_migrated(2);
    assert!(matches!(
        planner.next_action(ms(102), &runs),
        Action::Wait(_)
    ));
    assert_eq!(planner.next_action(ms(200), &runs), Action::LiveMigrate(1));
}

/// A load of reports at an engine with this notice: one after the other, each
/// taking its time on the link. Returns how many were moved in time.
fn replay(notice_ms: u64, growths: &[u32], move_ms: u64) -> usize {
    let mut planner = MigrationPlanner::new(ms(notice_ms));
    let mut here: BTreeMap<u32, u32> = (0..).zip(growths.iter().copied()).collect();
    let (mut now_ms, mut moved) = (60, 0);
    while now_ms < notice_ms && !here.is_empty() {
        let views: Vec<_> = here
            .iter()
            .map(|(number, growth)| run(*number, *growth, true))
            .collect();
        match planner.next_action(ms(now_ms), &views) {
            Action::LiveMigrate(number) | Action::StopAndCopy(number) => {
                now_ms += move_ms;
                if now_ms <= notice_ms {
                    planner.record_migrated(number);
                    here.remove(&number);
                    moved += 1;
                }
            }
            Action::Wait(until) => now_ms = until.as_us() / 1_000,
        }
    }
    moved
}

/// The notice of the users' engines suffices for as many reports as run there.
#[test]
fn notice_suffices() {
    assert_eq!(replay(1_540, &[900, 400, 800, 100, 650], 250), 5);
    assert_eq!(
        replay(2_100, &[900, 400, 800, 100, 650, 300, 200, 700], 250),
        8
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    /// No time on the link is left unused while a run waits to be moved.
    #[test]
    fn link_is_used(
        notice_ms in 500_u64..2_500,
        growths in prop::collection::vec(0_u32..2_000, 1..12),
        move_ms in 50_u64..500,
    ) {
        let fit = usize::try_from((notice_ms - 60) / move_ms).unwrap();
        prop_assert_eq!(replay(notice_ms, &growths, move_ms), fit.min(growths.len()));
    }
}
