//! The limit that an endpoint in need names for the requests of all entries together.

use lentil_core::{RequestRate, Time};
use lentil_fleet::{AttemptResult, Fleet, LimitNotice, Placement};
use proptest::prelude::*;

use crate::fixtures::{fleet, id, ms, record, report, request};

/// Time over which the requests are counted.
const WINDOW_MS: u64 = 4_000;
const SEED: u64 = 7;
const REPORT_INTERVAL_MS: u64 = 1_000;

fn rate(text: &str) -> RequestRate {
    text.parse().unwrap()
}

fn limited_fleet(entries: u32) -> Fleet {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    fleet.apply_report(ms(0), record(1).address, report(0, 0, entries));
    fleet
}

fn name_limit(fleet: &mut Fleet, now: Time, phase_seed: u64, named: Option<RequestRate>) {
    let notice = LimitNotice {
        sent_at: now,
        rate: named,
        phase_seed,
    };
    fleet.record_limit(now, &id(1), notice);
}

/// Reports how many entries there are, as observers do all the time.
fn report_entries(fleets: &mut [Fleet], now: Time) {
    let entries = u32::try_from(fleets.len()).unwrap();
    for fleet in fleets {
        fleet.apply_report(now, record(1).address, report(0, 0, entries));
    }
}

/// Sends a request; its answer names the limit.
fn send(fleet: &mut Fleet, now: Time, seed: u64, named: RequestRate) -> bool {
    let mut need = request(1, 1);
    need.jitter_seed = seed;
    let Placement::Placed(placed) = fleet.place(now, &need, &[]) else {
        return false;
    };
    fleet.finish(now, placed.id, AttemptResult::Succeeded);
    name_limit(fleet, now, seed, Some(named));
    true
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    /// Entries that do not communicate stay within one and a half times the limit, and
    /// five, from when they know of it.
    #[test]
    fn limit_holds(
        entries in 1_u32..130,
        limit in prop::sample::select(vec!["0", "0.4", "1", "2.6", "5.8", "17.5", "60"]),
        gap_ms in 1_u64..12,
        seed in any::<u64>(),
    ) {
        let named = rate(limit);
        let mut fleets: Vec<_> = (0..entries).map(|_| limited_fleet(entries)).collect();
        let mut sent = Vec::new();
        let mut told = vec![false; fleets.len()];
        for step in 0..20_000 / gap_ms {
            let now_ms = 1 + step * gap_ms;
            if step % (REPORT_INTERVAL_MS / gap_ms) == 0 {
                report_entries(&mut fleets, ms(now_ms));
            }
            let draw = seed.wrapping_add(step).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let entry = usize::try_from((draw >> 33) % u64::from(entries)).unwrap();
            if !send(&mut fleets[entry], ms(now_ms), draw, named) {
                continue;
            }
            if std::mem::replace(&mut told[entry], true) {
                sent.push(now_ms);
            }
        }
        let window_s = 4.0;
        let most = named.per_s() * window_s * 1.5 + 5.0;
        for start in &sent {
            let within = sent.iter().filter(|at| (*start..start + WINDOW_MS).contains(at)).count();
            prop_assert!(f64::from(u32::try_from(within).unwrap()) <= most, "{within} of {most}");
        }
    }

    /// What the endpoint accepts is used if all entries have requests for it.
    #[test]
    fn limit_is_used(
        entries in 1_u32..40,
        limit in prop::sample::select(vec!["2.6", "5.8", "17.5"]),
        seed in any::<u64>(),
    ) {
        let named = rate(limit);
        let mut fleets: Vec<_> = (0..entries).map(|_| limited_fleet(entries)).collect();
        let mut sent = 0_u32;
        for now_ms in 1..40_000 {
            if now_ms % REPORT_INTERVAL_MS == 0 {
                report_entries(&mut fleets, ms(now_ms));
            }
            let draw = seed.wrapping_add(now_ms).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let entry = usize::try_from((draw >> 33) % u64::from(entries)).unwrap();
            if send(&mut fleets[entry], ms(now_ms), draw, named) && now_ms > 20_000 {
                sent += 1;
            }
        }
        let most = named.per_s() * 20.0;
        prop_assert!(f64::from(sent) >= most * 0.6, "{sent} of {most}");
    }
}

#[test]
fn withdrawn_limit() {
    let mut fleet = limited_fleet(4);
    name_limit(&mut fleet, ms(10), SEED, Some(rate("0.1")));
    let placed = |fleet: &mut Fleet, now_ms| {
        let placement = fleet.place(ms(now_ms), &request(1, 1), &[]);
        matches!(placement, Placement::Placed(_))
    };
    assert!(!placed(&mut fleet, 11));
    // An answer to a request that was sent before the limit was named says nothing.
    let late = LimitNotice {
        sent_at: ms(9),
        rate: None,
        phase_seed: SEED,
    };
    fleet.record_limit(ms(12), &id(1), late);
    assert!(!placed(&mut fleet, 13));
    name_limit(&mut fleet, ms(14), SEED, None);
    assert!(placed(&mut fleet, 15));
    assert!(placed(&mut fleet, 15));
}

/// An endpoint that raises its limit gets requests sooner.
#[test]
fn raised_limit() {
    let mut fleet = limited_fleet(1);
    name_limit(&mut fleet, ms(10), SEED, Some(rate("0.1")));
    name_limit(&mut fleet, ms(20), SEED, Some(rate("50")));
    let placement = fleet.place(ms(60), &request(1, 1), &[]);
    assert!(matches!(placement, Placement::Placed(_)));
}

/// A restarted endpoint has no limit until it names one.
#[test]
fn restarted_endpoint() {
    let mut fleet = limited_fleet(1);
    name_limit(&mut fleet, ms(10), SEED, Some(rate("0.1")));
    let mut restarted = record(1);
    restarted.started_at_ms = Some(77);
    fleet.upsert_endpoint(ms(11), restarted);
    let placement = fleet.place(ms(12), &request(1, 1), &[]);
    assert!(matches!(placement, Placement::Placed(_)));
}

#[test]
fn malformed_rates() {
    for text in ["", "-1", "NaN", "inf", "1e999", "5,8", "five"] {
        assert!(text.parse::<RequestRate>().is_err(), "{text}");
    }
    assert_eq!(rate(&rate("5.8").to_string()), rate("5.8"));
}
