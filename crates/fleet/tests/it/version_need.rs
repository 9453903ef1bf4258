//! Choice of endpoints for streams that a version has begun.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lentil_core::{EndpointId, ServiceName, TokenCount};
use lentil_fleet::{
    AttemptResult, EndpointRange, EndpointRecord, Fleet, GenerationSize, LoadNotice, PacePercent,
    PlacedRequest, Placement, PlacementRequest, VersionNeed, VersionRules, ZonePreference,
};
use lentil_rollout::Version;

use crate::fixtures::{chosen, fleet, id, ms, record, report, request};

fn version(name: &str) -> Option<Version> {
    (!name.is_empty()).then(|| name.parse().unwrap())
}

fn only(name: &str) -> VersionNeed {
    VersionNeed::Only(version(name))
}

fn service() -> ServiceName {
    "writers".parse().unwrap()
}

/// Endpoints 1 to 3 have version `a`, 4 to 6 version `b`, and 7 states none.
fn versions() -> Fleet {
    let mut fleet = fleet();
    for (number, name) in (1..).zip(["a", "a", "a", "b", "b", "b", ""]) {
        let version = version(name);
        fleet.upsert_endpoint(
            ms(0),
            EndpointRecord {
                version,
                ..record(number)
            },
        );
    }
    fleet
}

fn need(version: VersionNeed) -> PlacementRequest {
    PlacementRequest {
        version,
        ..request(300, 100)
    }
}

/// The endpoints that requests are placed at, by the requests' random numbers.
fn placed_at(fleet: &mut Fleet, version: &VersionNeed) -> Vec<EndpointId> {
    let mut endpoints = BTreeSet::new();
    for jitter_seed in 0..500 {
        let request = PlacementRequest {
            jitter_seed,
            ..need(version.clone())
        };
        if let Placement::Placed(place) = fleet.place(ms(1), &request, &[]) {
            fleet.finish(ms(1), place.id, AttemptResult::Inconclusive);
            endpoints.insert(place.endpoint);
        }
    }
    endpoints.into_iter().collect()
}

fn place(fleet: &mut Fleet, version: VersionNeed) -> PlacedRequest {
    match fleet.place(ms(1), &need(version), &[]) {
        Placement::Placed(place) => place,
        other => panic!("{other:?}"),
    }
}

/// Guards against a stream that goes on at another version than its own, or not at all since
/// new requests go elsewhere.
#[test]
fn needed_version_only() {
    let mut fleet = versions();
    let rules = VersionRules {
        endpoints: BTreeMap::from([("a".parse().unwrap(), EndpointRange { first: 1, count: 1 })]),
        includes_unversioned: false,
    };
    for rules in [None, Some(Arc::new(rules)), Some(Arc::default())] {
        fleet.set_version_rules(&service(), rules);
        assert_eq!(placed_at(&mut fleet, &only("a")), [id(1), id(2), id(3)]);
        assert_eq!(placed_at(&mut fleet, &only("b")), [id(4), id(5), id(6)]);
        assert_eq!(placed_at(&mut fleet, &only("")), [id(7)]);
        assert_eq!(placed_at(&mut fleet, &only("c")), []);
    }
}

/// Guards against requests at a version that was rolled back, and against one that stays
/// excluded once another order names it.
#[test]
fn rolled_back_version() {
    let mut fleet = versions();
    fleet.set_rolled_back(&service(), BTreeSet::from(["b".parse().unwrap()]));
    assert_eq!(placed_at(&mut fleet, &only("b")), []);
    assert!(!fleet.serves_version(ms(1), &service(), &only("b")));
    assert_eq!(placed_at(&mut fleet, &only("a")).len(), 3);
    fleet.set_rolled_back(&service(), BTreeSet::new());
    assert_eq!(placed_at(&mut fleet, &only("b")).len(), 3);
}

/// Guards against a wait for a version that has no endpoint, and against a stream that is told
/// so although one serves that it was sent to before, or that has no room.
#[test]
fn version_gone() {
    let mut fleet = versions();
    let tried = [id(4), id(5), id(6)];
    assert_eq!(
        fleet.place(ms(1), &need(only("b")), &tried),
        Placement::NoEndpoint
    );
    assert!(fleet.serves_version(ms(1), &service(), &only("b")));
    let large = PlacementRequest {
        version: only("b"),
        ..request(33_000, 500)
    };
    for _ in 0..3 {
        assert!(matches!(
            fleet.place(ms(1), &large, &[]),
            Placement::Placed(_)
        ));
    }
    assert_eq!(fleet.place(ms(1), &large, &[]), Placement::NoCapacity);
    assert!(fleet.serves_version(ms(1), &service(), &only("b")));
    for endpoint in &tried {
        fleet.record_leaving(ms(1), endpoint);
    }
    assert_eq!(
        fleet.place(ms(1), &need(only("b")), &[]),
        Placement::NoEndpoint
    );
    assert!(!fleet.serves_version(ms(1), &service(), &only("b")));
    assert!(fleet.serves_version(ms(1), &service(), &VersionNeed::Any));
    assert_eq!(placed_at(&mut fleet, &VersionNeed::Any).len(), 4);
}

/// Guards against a run whose version follows its endpoint's record, and against an endpoint
/// that is used after it has changed since its choice.
#[test]
fn version_at_placement() {
    let mut fleet = versions();
    let (kept, restarted) = (place(&mut fleet, only("")), place(&mut fleet, only("")));
    assert_eq!((&kept.endpoint, &kept.version), (&id(7), &None));
    assert!(fleet.is_unchanged(&kept));
    let renamed = EndpointRecord {
        version: version("b"),
        ..record(7)
    };
    fleet.upsert_endpoint(ms(2), renamed.clone());
    assert!(fleet.is_in_flight(kept.id));
    assert!(!fleet.is_unchanged(&kept));
    assert_eq!(place(&mut fleet, only("b")).version, version("b"));
    let reborn = EndpointRecord {
        version: None,
        started_at_ms: Some(99),
        ..renamed
    };
    fleet.upsert_endpoint(ms(3), reborn);
    assert!(!fleet.is_unchanged(&restarted));
}

/// Guards against a run that continues from a copy at an engine whose version has changed since
/// the copy was made, or was rolled back.
#[test]
fn copy_at_changed_version() {
    let mut fleet = versions();
    let size = GenerationSize {
        prompt_tokens: TokenCount::new(300),
        expected_output_tokens: TokenCount::new(100),
    };
    let copies = [1, 2, 4].map(|number| fleet.begin_copy(id(number), TokenCount::new(400)));
    fleet.upsert_endpoint(
        ms(1),
        EndpointRecord {
            version: version("b"),
            ..record(2)
        },
    );
    let place = |fleet: &mut Fleet, copy, name| {
        let place = fleet.place_at_copy(ms(2), copy, &service(), only(name), size);
        place.map(|place| (place.endpoint, place.version))
    };
    assert_eq!(
        place(&mut fleet, copies[0], "a"),
        Some((id(1), version("a")))
    );
    assert_eq!(place(&mut fleet, copies[1], "a"), None);
    assert_eq!(
        place(&mut fleet, copies[2], "b"),
        Some((id(4), version("b")))
    );
    fleet.set_rolled_back(&service(), BTreeSet::from(["b".parse().unwrap()]));
    assert_eq!(place(&mut fleet, copies[2], "b"), None);
}

/// Guards against copies at engines that can't continue the run, and against copies that are
/// freed there for a request that can't go there.
#[test]
fn copies_by_version() {
    let mut fleet = versions();
    for number in 1..=7 {
        fleet.apply_report(ms(0), record(number).address, report(20_000, 1, 1));
    }
    let hosts = fleet.copy_hosts(ms(1), &service(), only("b"), &[id(4)]);
    let hosts: Vec<_> = hosts.into_iter().map(|host| host.endpoint).collect();
    assert_eq!(hosts, [id(5), id(6)]);
    fleet.begin_copy(id(5), TokenCount::new(9_000));
    let large = |name| PlacementRequest {
        version: only(name),
        ..request(4_000, 500)
    };
    assert_eq!(fleet.filled_by_copies(ms(1), &large("b"), &[]), Some(id(5)));
    assert_eq!(fleet.filled_by_copies(ms(1), &large("a"), &[]), None);
}

/// Guards against room that is kept where the displaced generations can't go, and against new
/// generations that take the room of their version.
#[test]
fn displaced_by_version() {
    let mut fleet = fleet();
    for (number, name, used) in [(1, "a", 20_000), (2, "b", 1_000)] {
        let version = version(name);
        fleet.upsert_endpoint(
            ms(0),
            EndpointRecord {
                version,
                ..record(number)
            },
        );
        fleet.apply_report(ms(0), record(number).address, report(used, 1, 1));
    }
    let load = LoadNotice {
        running: 1,
        waiting: 0,
        slots: 8,
        pace: Some(PacePercent::new(100)),
    };
    assert!(fleet.record_load(ms(0), &id(1), load));
    let displace = |fleet: &mut Fleet, name| {
        let tokens = BTreeMap::from([(version(name), TokenCount::new(4_000))]);
        fleet.set_displaced(BTreeMap::from([(service(), tokens)]));
    };
    let new = request(3_000, 400);
    displace(&mut fleet, "a");
    assert_eq!(chosen(&fleet.place(ms(10), &new, &[])), Some(id(2)));
    displace(&mut fleet, "b");
    assert_eq!(chosen(&fleet.place(ms(10), &new, &[])), Some(id(1)));
    let moved = PlacementRequest {
        zone_preference: ZonePreference::CopySource("a".parse().unwrap()),
        ..need(only("b"))
    };
    assert_eq!(chosen(&fleet.place(ms(10), &moved, &[])), Some(id(2)));
}
