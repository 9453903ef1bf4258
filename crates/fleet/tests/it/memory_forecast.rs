//! Placing by the forecast of memory; the load is that of crowded engines on
//! which several entries place with the same late reports.

use lentil_core::{EndpointId, TokenCount};
use lentil_fleet::{AttemptResult, Placement, ZonePreference};

use crate::build::{fleet, id, listing, ms, need, placed, report};

#[test]
fn emptiest_first() {
    let mut fleet = fleet();
    for number in [1, 2, 3] {
        fleet.upsert_endpoint(ms(0), listing(number));
    }
    for (number, used) in [(1, 20_000), (2, 5_000), (3, 15_000)] {
        fleet.apply_report(ms(10), listing(number).address, report(used, 2, 1));
    }
    let placement = fleet.place(ms(20), &need(3_000, 900), &[]);
    assert_eq!(placed(&placement), Some(id(2)));
}

/// Placements since the last report count, or all would go to one engine.
#[test]
fn no_herd_between_reports() {
    let mut fleet = fleet();
    for number in 1..=4 {
        fleet.upsert_endpoint(ms(0), listing(number));
        fleet.apply_report(ms(10), listing(number).address, report(0, 0, 1));
    }
    let mut counts = std::collections::BTreeMap::<EndpointId, usize>::new();
    for step in 0..12 {
        let placement = fleet.place(ms(20 + step), &need(3_000, 900), &[]);
        *counts.entry(placed(&placement).unwrap()).or_default() += 1;
    }
    assert!(counts.values().all(|count| *count == 3), "{counts:?}");
}

/// Entries that place one request each on the same figures, for engines whose
/// loads differ. Returns the most that one engine got.
fn herd(entries: u32, told: u32) -> usize {
    const ENGINES: u32 = 40;
    let mut counts = std::collections::BTreeMap::<EndpointId, usize>::new();
    for entry in 0..entries {
        let mut fleet = fleet();
        for number in 1..=ENGINES {
            fleet.upsert_endpoint(ms(0), listing(number));
            let used = 400 * number;
            fleet.apply_report(ms(10), listing(number).address, report(used, 2, told));
        }
        let mut need = need(3_000, 900);
        need.jitter_seed = u64::from(entry).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let placement = fleet.place(ms(20), &need, &[]);
        *counts.entry(placed(&placement).unwrap()).or_default() += 1;
    }
    counts.into_values().max().unwrap()
}

/// The load of a large site between two reports: 26 entries, one request each.
#[test]
fn many_entries_spread() {
    assert!(herd(26, 26) <= 7, "{}", herd(26, 26));
    // The guard bites: entries that each take themselves for the only one.
    assert!(herd(26, 1) > 15, "{}", herd(26, 1));
}

/// The load of a large site while one report is on its way: an engine that has
/// just joined is empty, and 27 entries place 51 requests in 0.9 s. Returns how
/// many of them it gets.
fn sent_to_new_engine(round: u64) -> usize {
    const ENGINES: u32 = 49;
    const ENTRIES: u32 = 27;
    const REQUESTS: u64 = 51;
    let mut entries: Vec<_> = (0..ENTRIES)
        .map(|_| {
            let mut fleet = fleet();
            for number in 1..=ENGINES {
                let used = if number == ENGINES { 0 } else { 14_000 };
                fleet.upsert_endpoint(ms(0), listing(number));
                fleet.apply_report(ms(10), listing(number).address, report(used, 4, ENTRIES));
            }
            fleet
        })
        .collect();
    (0..REQUESTS)
        .filter(|number| {
            let mut need = need(3_000, 900);
            need.jitter_seed = (round * REQUESTS + number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let entry = usize::try_from(number % u64::from(ENTRIES)).unwrap();
            let placement = entries[entry].place(ms(20 + number * 17), &need, &[]);
            placed(&placement) == Some(id(ENGINES))
        })
        .count()
}

/// Six prompts of 3,000 tokens are read in 1.3 s, which leaves them within the
/// target of 1.5 s.
#[test]
fn new_engine_not_flooded() {
    const ROUNDS: u64 = 20;
    const MOST: usize = 6;
    let sent: Vec<_> = (0..ROUNDS).map(sent_to_new_engine).collect();
    let flooded = sent.iter().filter(|sent| **sent > MOST).count();
    assert!(flooded <= 1, "{sent:?}");
}

#[test]
fn full_holds_back() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    fleet.apply_report(ms(10), listing(1).address, report(30_000, 8, 4));
    assert_eq!(
        fleet.place(ms(20), &need(3_000, 900), &[]),
        Placement::NoCapacity
    );
}

/// An engine with nothing on it takes any request, also one beyond forecasts.
#[test]
fn empty_takes_any() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    let placement = fleet.place(ms(20), &need(33_000, 9_000), &[]);
    assert_eq!(placed(&placement), Some(id(1)));
}

#[test]
fn ended_gives_back() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    let mut flights = Vec::new();
    while let Placement::Placed(place) = fleet.place(ms(1), &need(6_000, 1_000), &[]) {
        flights.push(place.id);
    }
    assert!(flights.len() >= 4);
    fleet.record_progress(flights[0], TokenCount::new(40));
    fleet.finish(ms(2), flights[0], AttemptResult::Succeeded);
    assert!(placed(&fleet.place(ms(3), &need(6_000, 1_000), &[])).is_some());
}

/// Copies stay in their source's zone while there is room: the time on the
/// leaving engine's link decides how many runs are saved. The load is that of
/// many entries, each of which sees a small sample.
#[test]
fn copies_stay_near() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    fleet.apply_report(ms(5), listing(1).address, report(20_000, 1, 26));
    for number in 2..=30 {
        let mut far = listing(number);
        far.zone = "b".parse().unwrap();
        fleet.upsert_endpoint(ms(0), far);
        fleet.apply_report(ms(5), listing(number).address, report(0, 0, 26));
    }
    let mut need = need(3_000, 500);
    need.zone_preference = ZonePreference::CopySource("a".parse().unwrap());
    assert_eq!(placed(&fleet.place(ms(10), &need, &[])), Some(id(1)));
    // Without room there, another zone is better than none.
    fleet.apply_report(ms(15), listing(1).address, report(33_000, 1, 26));
    let elsewhere = placed(&fleet.place(ms(20), &need, &[]));
    assert!(elsewhere.is_some_and(|chosen| chosen != id(1)));
}

/// An endpoint that can't be reached pauses and is tried again later.
#[test]
fn unreached_pauses() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    let Placement::Placed(place) = fleet.place(ms(1), &need(10, 10), &[]) else {
        panic!("an open endpoint takes work");
    };
    fleet.finish(ms(2), place.id, AttemptResult::Unreachable);
    assert_eq!(
        fleet.place(ms(3), &need(10, 10), &[]),
        Placement::NoCapacity
    );
    assert!(placed(&fleet.place(ms(300), &need(10, 10), &[])).is_some());
}

/// A zone in which two endpoints could not be reached is left for the entry's
/// own, before each of its other endpoints has been tried in vain.
#[test]
fn cut_zone_is_doubted() {
    let mut fleet = fleet();
    for number in 1..=4 {
        let mut listing = listing(number);
        if number > 1 {
            listing.zone = "b".parse().unwrap();
        }
        fleet.upsert_endpoint(ms(0), listing);
    }
    fleet.apply_report(ms(1), listing(1).address, report(12_000, 3, 4));
    for number in 2..=4 {
        fleet.apply_report(ms(1), listing(number).address, report(0, 0, 4));
    }
    for _ in 0..2 {
        let Placement::Placed(place) = fleet.place(ms(2), &need(3_000, 100), &[]) else {
            panic!("there is room");
        };
        assert_ne!(place.endpoint, id(1));
        fleet.finish(ms(3), place.id, AttemptResult::Unreachable);
    }
    let placement = fleet.place(ms(4), &need(3_000, 100), &[]);
    assert_eq!(placed(&placement), Some(id(1)));
}
