//! The rate limit on requests that all entries together send to a cold endpoint.

use lentil_core::{Span, Time};
use lentil_fleet::{AttemptResult, Fleet, Placement};
use proptest::prelude::*;

use crate::fixtures::{fleet, ms, record, report, request};

/// Requests per second that a cold endpoint can handle: 35 x 1.5 + 5.
const LIMIT: usize = 57;

fn cold_fleet(entries: u32) -> Fleet {
    let mut fleet = fleet();
    let mut cold = record(1);
    cold.cold_remaining = Span::from_s(30);
    fleet.upsert_endpoint(ms(0), cold);
    fleet.apply_report(ms(0), record(1).address, report(0, 0, entries));
    fleet
}

fn send(fleet: &mut Fleet, now: Time) -> bool {
    match fleet.place(now, &request(1, 1), &[]) {
        Placement::Placed(placed) => {
            fleet.finish(now, placed.id, AttemptResult::Succeeded);
            true
        }
        Placement::NoCapacity | Placement::NoEndpoint => false,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    /// Entries that do not communicate stay within the limit in every second.
    #[test]
    fn limit_holds(
        entries in 1_u32..12,
        gaps_ms in prop::collection::vec(0_u64..20, 1..600),
    ) {
        let mut fleets: Vec<_> = (0..entries).map(|_| cold_fleet(entries)).collect();
        let mut sent = Vec::new();
        let mut now_ms = 1;
        for (step, gap_ms) in gaps_ms.into_iter().enumerate() {
            now_ms += gap_ms;
            let entry = step % fleets.len();
            if now_ms < 1_400 && send(&mut fleets[entry], ms(now_ms)) {
                sent.push(now_ms);
            }
        }
        for start in &sent {
            let within = sent.iter().filter(|at| (*start..start + 1_000).contains(at));
            prop_assert!(within.count() <= LIMIT);
        }
    }
}

/// The limit does not apply to a warm endpoint, so the test above can fail.
#[test]
fn warm_endpoint_is_not_limited() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    let sent = (0..200).filter(|step| send(&mut fleet, ms(*step))).count();
    assert_eq!(sent, 200);
}
