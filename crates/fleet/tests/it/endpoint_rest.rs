//! Endpoints that ask for rest, and the load that returns to them.

use lentil_core::{RetryAfter, Time};
use lentil_fleet::{
    AttemptResult, EngineStage, Fleet, LimitNotice, PlacedRequest, Placement, RestNotice,
};
use proptest::prelude::*;

use crate::fixtures::{chosen, fleet, id, ms, record, report, request};

const SEED: u64 = 7;
/// Longest time between the choice of an endpoint and the arrival of a request there.
const TRANSIT_MAX_MS: u64 = 450;

fn retry_after(text: &str) -> RetryAfter {
    text.parse().unwrap()
}

fn one_endpoint(entries: u32) -> Fleet {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    fleet.apply_report(ms(0), record(1).address, report(0, 0, entries));
    fleet
}

fn ask_for_rest(fleet: &mut Fleet, now: Time, text: &str, phase_seed: u64) {
    let notice = RestNotice {
        retry_after: retry_after(text),
        phase_seed,
    };
    fleet.record_rest(now, &id(1), notice);
}

fn place(fleet: &mut Fleet, now_ms: u64) -> Option<PlacedRequest> {
    match fleet.place(ms(now_ms), &request(1, 1), &[]) {
        Placement::Placed(placed) => Some(placed),
        Placement::NoCapacity | Placement::NoEndpoint => None,
    }
}

fn accepts(fleet: &mut Fleet, now_ms: u64) -> bool {
    place(fleet, now_ms).is_some_and(|placed| {
        fleet.finish(ms(now_ms), placed.id, AttemptResult::Inconclusive);
        true
    })
}

#[test]
fn nothing_is_sent_during_rest() {
    let mut fleet = one_endpoint(1);
    ask_for_rest(&mut fleet, ms(100), "2.5", SEED);
    for now_ms in 100..2_600 {
        assert!(!accepts(&mut fleet, now_ms), "{now_ms} ms");
    }
    // One entry of one, so the spread of first requests is 50 ms.
    assert!(accepts(&mut fleet, 2_650));
    assert_eq!(fleet.resting_endpoints(ms(2_599)), 1);
    assert_eq!(fleet.resting_endpoints(ms(2_650)), 0);
}

/// A shorter time that is named later does not end a longer one.
#[test]
fn longest_rest_holds() {
    let mut fleet = one_endpoint(1);
    ask_for_rest(&mut fleet, ms(0), "5", SEED);
    ask_for_rest(&mut fleet, ms(10), "0", SEED);
    assert!(!accepts(&mut fleet, 4_999));
    assert!(accepts(&mut fleet, 5_060));
}

/// The number of requests in flight grows with the answers.
#[test]
fn load_returns_with_answers() {
    let mut fleet = one_endpoint(1);
    ask_for_rest(&mut fleet, ms(0), "1", SEED);
    let mut now_ms = 1_100;
    for allowed in 1..=8 {
        let placed: Vec<_> = (0..allowed)
            .map(|_| place(&mut fleet, now_ms).expect("a request within the limit"))
            .collect();
        assert_eq!(place(&mut fleet, now_ms), None, "{allowed} are allowed");
        fleet.record_answer(&id(1), ms(now_ms));
        now_ms += 1;
        for placed in placed {
            fleet.finish(ms(now_ms), placed.id, AttemptResult::Inconclusive);
        }
    }
    for _ in 0..20 {
        assert!(place(&mut fleet, now_ms).is_some());
    }
}

/// Answers to requests from before the rest, which arrive late, don't bring load back.
#[test]
fn late_answer_changes_nothing() {
    let mut fleet = one_endpoint(1);
    ask_for_rest(&mut fleet, ms(100), "1", SEED);
    for _ in 0..20 {
        fleet.record_answer(&id(1), ms(90));
    }
    assert!(!accepts(&mut fleet, 200));
    assert!(place(&mut fleet, 1_200).is_some());
    assert!(place(&mut fleet, 1_200).is_none());
}

/// Of several reasons to send nothing, the strictest holds.
#[test]
fn strictest_reason_holds() {
    let limit = |fleet: &mut Fleet| {
        let notice = LimitNotice {
            sent_at: ms(0),
            rate: Some("0.1".parse().unwrap()),
            phase_seed: SEED,
        };
        fleet.record_limit(ms(0), &id(1), notice);
    };
    let mut fleet = one_endpoint(1);
    ask_for_rest(&mut fleet, ms(0), "1", SEED);
    limit(&mut fleet);
    let limited = fleet
        .limited_capacity(ms(0), &request(1, 1), &[])
        .expect("the endpoint is limited");
    assert!(limited.next_at >= ms(1_000));
    assert!(!accepts(&mut fleet, 900));

    let mut fleet = one_endpoint(1);
    ask_for_rest(&mut fleet, ms(0), "1", SEED);
    let mut leaving = report(0, 0, 1);
    leaving.stage = EngineStage::Leaving { at: None };
    fleet.apply_report(ms(10), record(1).address, leaving);
    assert!(!accepts(&mut fleet, 1_500), "it leaves");

    let mut fleet = one_endpoint(1);
    let placed = place(&mut fleet, 0).unwrap();
    ask_for_rest(&mut fleet, ms(0), "0.1", SEED);
    fleet.finish(ms(900), placed.id, AttemptResult::Unreachable);
    assert!(!accepts(&mut fleet, 1_000), "it is backed off from");
    assert!(accepts(&mut fleet, 1_200));

    let mut fleet = one_endpoint(1);
    fleet.record_cold(ms(0), &id(1), lentil_core::Span::from_s(60));
    ask_for_rest(&mut fleet, ms(0), "0.1", SEED);
    for answer in 0..8 {
        assert!(accepts(&mut fleet, 200 + answer));
        fleet.record_answer(&id(1), ms(200 + answer));
    }
    let sent = (0..100).filter(|_| accepts(&mut fleet, 300)).count();
    assert!(sent < 60, "the limit of a cold endpoint holds: {sent}");
}

/// One stream that was placed there before may continue; more would be too many.
#[test]
fn one_stream_continues() {
    let mut fleet = one_endpoint(1);
    assert!(fleet.allow_continuation(ms(0), &id(1)));
    ask_for_rest(&mut fleet, ms(0), "5", SEED);
    assert!(fleet.allow_continuation(ms(100), &id(1)));
    ask_for_rest(&mut fleet, ms(150), "5", SEED);
    assert!(!fleet.allow_continuation(ms(200), &id(1)));
    assert!(fleet.allow_continuation(ms(5_300), &id(1)));
}

#[test]
fn restarted_endpoint_has_no_rest() {
    let mut fleet = one_endpoint(1);
    ask_for_rest(&mut fleet, ms(0), "600", SEED);
    let mut restarted = record(1);
    restarted.started_at_ms = Some(77);
    fleet.upsert_endpoint(ms(11), restarted);
    assert!(accepts(&mut fleet, 12));
}

#[test]
fn retry_after_values() {
    for text in [
        "",
        "-1",
        "NaN",
        "-inf",
        "soon",
        "1,5",
        "Fri, 31 Dec 2032 23:59:59 GMT",
    ] {
        assert!(text.parse::<RetryAfter>().is_err(), "{text}");
    }
    for (text, expected) in [("0", "0.000 s"), (" 2 ", "2.000 s"), ("0.0001", "0.001 s")] {
        assert_eq!(retry_after(text).to_string(), expected);
    }
    for text in ["1801", "1e300", "inf", "99999999999999999999999"] {
        assert_eq!(retry_after(text), RetryAfter::MAX, "{text}");
    }
    assert_eq!(
        retry_after(&retry_after("5.8").to_string()),
        retry_after("5.8")
    );
}

/// A request on its way to the endpoint.
struct Sent {
    arrives_ms: u64,
    placed: PlacedRequest,
}

/// One entry and an endpoint that asks for rest now and then.
struct Run {
    fleet: Fleet,
    on_its_way: Vec<Sent>,
    /// When the endpoint's refusals reached the entry, and the ends of the times they name.
    rests: Vec<(u64, u64)>,
    arrivals: Vec<u64>,
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    /// From half a second after an answer that asks for rest until the end of the time, at
    /// most two requests arrive, whatever was under way.
    #[test]
    fn rest_is_kept(
        gap_ms in 1_u64..60,
        rest_ms in 0_u64..4_000,
        transit_ms in prop::collection::vec(1_u64..TRANSIT_MAX_MS, 8),
        refuses in prop::collection::vec(prop::bool::weighted(0.1), 16),
        answer_ms in 1_u64..300,
    ) {
        let mut run = Run {
            fleet: one_endpoint(5),
            on_its_way: Vec::new(),
            rests: Vec::new(),
            arrivals: Vec::new(),
        };
        let rest_s = format!("{}.{:03}", rest_ms / 1_000, rest_ms % 1_000);
        let mut step = 0_usize;
        for now_ms in 0..6_000_u64 {
            let (arrived, on_its_way) = run
                .on_its_way
                .into_iter()
                .partition(|sent| sent.arrives_ms + answer_ms <= now_ms);
            run.on_its_way = on_its_way;
            for sent in arrived {
                run.arrivals.push(sent.arrives_ms);
                if refuses[step % refuses.len()] {
                    ask_for_rest(&mut run.fleet, ms(now_ms), &rest_s, now_ms);
                    run.rests.push((now_ms, now_ms + rest_ms));
                } else {
                    run.fleet.record_answer(&id(1), ms(sent.arrives_ms));
                }
                run.fleet.finish(ms(now_ms), sent.placed.id, AttemptResult::Inconclusive);
                step += 1;
            }
            if now_ms % gap_ms == 0 && let Some(placed) = place(&mut run.fleet, now_ms) {
                let arrives_ms = now_ms + transit_ms[step % transit_ms.len()];
                run.on_its_way.push(Sent { arrives_ms, placed });
                step += 1;
            }
        }
        for (told_ms, until_ms) in run.rests {
            let bound = told_ms + 500..until_ms;
            let late = run.arrivals.iter().filter(|at| bound.contains(at)).count();
            prop_assert!(late <= 2, "{late} requests from {told_ms} to {until_ms} ms");
        }
    }
}

/// A hundred entries that wait for the same time don't return together.
#[test]
fn return_is_spread() {
    let entries = 100_u32;
    let mut fleets: Vec<_> = (0..entries).map(|_| one_endpoint(entries)).collect();
    for (number, fleet) in (0_u64..).zip(&mut fleets) {
        ask_for_rest(
            fleet,
            ms(0),
            "1",
            number.wrapping_mul(0x9e37_79b9_7f4a_7c15),
        );
    }
    let mut first_ms = Vec::new();
    for mut fleet in fleets {
        let first = (1_000..20_000).find(|now_ms| accepts(&mut fleet, *now_ms));
        first_ms.push(first.expect("the entry returns"));
    }
    let in_first_second = first_ms.iter().filter(|at| **at < 2_000).count();
    assert!(in_first_second < 40, "{in_first_second} of {entries}");
    assert!(first_ms.iter().all(|at| *at < 7_000));
    for start in 1_000..6_000 {
        let together = first_ms
            .iter()
            .filter(|at| (start..start + 100).contains(*at))
            .count();
        assert!(together <= 10, "{together} entries from {start} ms on");
    }
}

/// Callers of a service whose endpoints all want no requests learn of the earliest end.
#[test]
fn earliest_end_counts() {
    let mut fleet = fleet();
    for number in [1, 2] {
        fleet.upsert_endpoint(ms(0), record(number));
    }
    let notice = |text| RestNotice {
        retry_after: retry_after(text),
        phase_seed: 0,
    };
    fleet.record_rest(ms(0), &id(1), notice("9"));
    assert_eq!(fleet.limited_capacity(ms(0), &request(1, 1), &[]), None);
    assert_eq!(
        chosen(&fleet.place(ms(0), &request(1, 1), &[])),
        Some(id(2))
    );
    fleet.record_rest(ms(0), &id(2), notice("4"));
    let limited = fleet.limited_capacity(ms(0), &request(1, 1), &[]).unwrap();
    assert!(limited.next_at >= ms(4_000) && limited.next_at < ms(5_000));
}
