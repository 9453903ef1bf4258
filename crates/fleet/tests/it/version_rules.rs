//! Restriction of new requests to versions of a service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lentil_catalog::PriorityLevel;
use lentil_core::EndpointId;
use lentil_fleet::{
    AttemptResult, EndpointRange, EndpointRecord, Fleet, Placement, PlacementRequest, VersionNeed,
    VersionRules, ZonePreference,
};

use crate::fixtures::{fleet, id, ms, record};

/// Endpoints 1 to 3 have version `a`, 4 to 6 version `b`, and 7 states none.
fn versions() -> Fleet {
    let mut fleet = fleet();
    for number in 1..=7 {
        let version = match number {
            1..=3 => Some("a".parse().unwrap()),
            4..=6 => Some("b".parse().unwrap()),
            _ => None,
        };
        let record = EndpointRecord {
            version,
            service: "desk".parse().unwrap(),
            ..record(number)
        };
        fleet.upsert_endpoint(ms(0), record);
    }
    fleet
}

/// The endpoints that requests are placed at, by the requests' random numbers.
fn available(fleet: &mut Fleet) -> Vec<EndpointId> {
    let mut placed = BTreeSet::new();
    for jitter_seed in 0..500 {
        let request = PlacementRequest {
            service: "desk".parse().unwrap(),
            generation: None,
            zone_preference: ZonePreference::Local,
            jitter_seed,
            wanted_by: None,
            priority: PriorityLevel::default(),
            gap_target: None,
            version: VersionNeed::Any,
        };
        if let Placement::Placed(place) = fleet.place(ms(1), &request, &[]) {
            fleet.finish(ms(1), place.id, AttemptResult::Inconclusive);
            placed.insert(place.endpoint);
        }
    }
    placed.into_iter().collect()
}

/// Guards against requests at a version that is withheld, and against rules that outlast the
/// roll-out.
#[test]
fn other_versions_withheld() {
    let mut fleet = versions();
    let service = "desk".parse().unwrap();
    let rules = VersionRules {
        endpoints: BTreeMap::from([("a".parse().unwrap(), EndpointRange::ALL)]),
        includes_unversioned: true,
    };
    fleet.set_version_rules(&service, Some(Arc::new(rules)));
    assert_eq!(available(&mut fleet), [id(1), id(2), id(3), id(7)]);
    fleet.set_version_rules(&service, Some(Arc::default()));
    assert_eq!(available(&mut fleet), []);
    fleet.set_version_rules(&service, None);
    assert_eq!(available(&mut fleet).len(), 7);
}

/// Guards against a trial that spreads over more endpoints than its share loads, and against
/// entries that choose different ones.
#[test]
fn range_of_endpoints() {
    let service = "desk".parse().unwrap();
    for (first, count, expected) in [
        (0, 1, vec![id(4)]),
        (1, 2, vec![id(5), id(6)]),
        (2, 2, vec![id(4), id(6)]),
        (7, 1, vec![id(5)]),
        (0, 9, vec![id(4), id(5), id(6)]),
        (0, 0, vec![]),
    ] {
        let mut fleet = versions();
        let range = EndpointRange { first, count };
        let rules = VersionRules {
            endpoints: BTreeMap::from([("b".parse().unwrap(), range)]),
            includes_unversioned: false,
        };
        fleet.set_version_rules(&service, Some(Arc::new(rules)));
        assert_eq!(available(&mut fleet), expected, "{range:?}");
    }
}
