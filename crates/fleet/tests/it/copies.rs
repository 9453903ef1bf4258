//! Room for copies of running generations, and for those that must leave their engine.

use std::collections::BTreeMap;

use lentil_core::TokenCount;
use lentil_fleet::{
    Fleet, GenerationSize, LoadNotice, PacePercent, Placement, VersionNeed, ZonePreference,
};
use lentil_rollout::Version;

use crate::fixtures::{chosen, fleet, id, ms, record, report, request};

/// A fleet that schedules adaptively, with engines that use this much memory.
fn adaptive_fleet(used: &[u32]) -> Fleet {
    let mut fleet = fleet();
    for (number, used) in (1..).zip(used) {
        fleet.upsert_endpoint(ms(0), record(number));
        let address = record(number).address;
        fleet.apply_report(ms(0), address, report(*used, 1, 1));
    }
    let load = LoadNotice {
        running: 1,
        waiting: 0,
        slots: 8,
        pace: Some(PacePercent::new(100)),
    };
    assert!(fleet.record_load(ms(0), &id(1), load));
    fleet
}

/// Tokens at endpoints that state no version.
fn of_version(tokens: u32) -> BTreeMap<Option<Version>, TokenCount> {
    BTreeMap::from([(None, TokenCount::new(tokens))])
}

fn forecast(fleet: &Fleet, number: u32) -> u32 {
    let hosts = fleet.copy_hosts(ms(10), &"writers".parse().unwrap(), VersionNeed::Any, &[]);
    let mut hosts = hosts.into_iter();
    let host = hosts.find(|host| host.endpoint == id(number)).unwrap();
    host.memory_forecast.get()
}

/// Guards against an engine that is filled with runs and copies beyond its memory.
#[test]
fn copy_takes_memory() {
    let mut fleet = adaptive_fleet(&[20_000]);
    let before = forecast(&fleet, 1);
    let copy = fleet.begin_copy(id(1), TokenCount::new(9_000));
    assert_eq!(forecast(&fleet, 1), before + 9_000);
    let new = request(4_000, 500);
    assert_eq!(fleet.place(ms(10), &new, &[]), Placement::NoCapacity);
    assert_eq!(fleet.filled_by_copies(ms(10), &new, &[]), Some(id(1)));
    let too_large = request(14_000, 500);
    assert_eq!(fleet.filled_by_copies(ms(10), &too_large, &[]), None);
    fleet.end_copy(copy);
    assert_eq!(forecast(&fleet, 1), before);
    assert_eq!(chosen(&fleet.place(ms(10), &new, &[])), Some(id(1)));
}

/// Guards against a run that continues where its copy was lost or no request may go.
#[test]
fn placed_only_at_kept_copy() {
    let size = GenerationSize {
        prompt_tokens: TokenCount::new(3_000),
        expected_output_tokens: TokenCount::new(400),
    };
    let service = "writers".parse().unwrap();
    let mut fleet = adaptive_fleet(&[0, 0, 0]);
    let copies = [1, 2, 3].map(|number| fleet.begin_copy(id(number), TokenCount::new(3_400)));
    fleet.record_leaving(ms(10), &id(2));
    let mut restarted = record(3);
    restarted.started_at_ms = Some(99);
    fleet.upsert_endpoint(ms(10), restarted);
    let placed =
        copies.map(|copy| fleet.place_at_copy(ms(20), copy, &service, VersionNeed::Any, size));
    assert_eq!(
        placed.map(|place| place.map(|place| place.endpoint)),
        [Some(id(1)), None, None]
    );
}

/// Guards against new generations that take the room of those that must move. The engines
/// with most room are kept, as many as are needed, for moves only.
#[test]
fn displaced_come_first() {
    let mut fleet = adaptive_fleet(&[1_000, 20_000]);
    let displace = |fleet: &mut Fleet, tokens| {
        let service = "writers".parse().unwrap();
        fleet.set_displaced(BTreeMap::from([(service, of_version(tokens))]));
    };
    let new = request(3_000, 400);
    let mut moved = new.clone();
    moved.zone_preference = ZonePreference::CopySource("a".parse().unwrap());
    displace(&mut fleet, 8_000);
    assert_eq!(chosen(&fleet.place(ms(10), &new, &[])), Some(id(2)));
    assert_eq!(chosen(&fleet.place(ms(10), &moved, &[])), Some(id(1)));
    displace(&mut fleet, 60_000);
    assert_eq!(fleet.place(ms(10), &new, &[]), Placement::NoCapacity);
    assert_eq!(chosen(&fleet.place(ms(10), &moved, &[])), Some(id(1)));
    fleet.set_displaced(BTreeMap::new());
    assert_eq!(chosen(&fleet.place(ms(10), &new, &[])), Some(id(1)));
}

/// Guards against a change of services that are not scheduled adaptively.
#[test]
fn displaced_need_adaptive_service() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    let service = "writers".parse().unwrap();
    fleet.set_displaced(BTreeMap::from([(service, of_version(60_000))]));
    let placement = fleet.place(ms(10), &request(3_000, 400), &[]);
    assert_eq!(chosen(&placement), Some(id(1)));
}
