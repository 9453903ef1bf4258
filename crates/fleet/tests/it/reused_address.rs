//! Records whose address is used by another endpoint.

use std::collections::BTreeSet;
use std::sync::Arc;

use lentil_fleet::{EndpointRecord, FleetChange, Placement};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixtures::{
    MEMORY_TOKENS, catalog, chosen, fleet, id, ms, record, report, request, unconfigured_fleet,
};

fn contested(endpoint: u32, claimed_by: u32) -> FleetChange {
    FleetChange::Contested {
        endpoint: id(endpoint),
        claimed_by: id(claimed_by),
    }
}

/// A record of endpoint 2 at the address of endpoint 1.
fn claim(service: &str, started_at_ms: u64, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        service: service.parse().unwrap(),
        address: record(1).address,
        started_at_ms: Some(started_at_ms),
        sequence,
        ..record(2)
    }
}

fn renewed(number: u32, sequence: u64) -> EndpointRecord {
    EndpointRecord {
        sequence,
        ..record(number)
    }
}

/// After a power failure the list contains records of terminated engines as well as
/// those of engines that started at the same addresses.
#[test]
fn later_start_owns_address() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    let mut successor = record(2);
    successor.address = record(1).address;
    let changes = fleet.upsert_endpoint(ms(10), successor.clone());
    assert_eq!(changes[0], contested(1, 2));
    assert_eq!(changes[1], FleetChange::Joined(id(2)));
    // An outdated record of the terminated engine has no effect.
    assert!(fleet.upsert_endpoint(ms(20), record(1)).is_empty());
    assert!(fleet.tick(ms(20)).is_empty());
    assert!(!fleet.is_available(ms(20), &id(1)));
    let placement = fleet.place(ms(20), &request(3_000, 900), &[]);
    assert_eq!(chosen(&placement), Some(id(2)));
}

#[test]
fn endpoint_at_wrong_address_gets_no_requests() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    assert!(fleet.mark_gone(ms(5), &id(1)).is_some());
    assert!(fleet.mark_gone(ms(6), &id(1)).is_none());
    // A record that was written earlier does not make it available again.
    fleet.upsert_endpoint(ms(10), record(1));
    assert_eq!(
        fleet.place(ms(11), &request(10, 10), &[]),
        Placement::NoEndpoint
    );
}

#[test]
fn restart_with_same_name_is_detected() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    fleet.mark_gone(ms(5), &id(1));
    let mut restarted = record(1);
    restarted.started_at_ms = Some(99);
    assert_eq!(
        fleet.upsert_endpoint(ms(10), restarted),
        vec![FleetChange::Restarted(id(1))]
    );
    let placement = fleet.place(ms(11), &request(10, 10), &[]);
    assert_eq!(chosen(&placement), Some(id(1)));
}

/// Guards against an endpoint that is out of service for good because another writer left a
/// record at its address, with a service that nobody names, whatever else it says.
#[test]
fn unnamed_service_claims_nothing() {
    for (started_at_ms, sequence) in [(1, 1), (1, 9), (0, 1), (u64::MAX, u64::MAX)] {
        let odd = claim("metrics", started_at_ms, sequence);
        let mut fleet = fleet();
        fleet.upsert_endpoint(ms(0), odd.clone());
        assert_eq!(
            fleet.upsert_endpoint(ms(0), record(1)),
            [FleetChange::Joined(id(1))]
        );
        fleet.upsert_endpoint(ms(1), odd.clone());
        // Under the endpoint's own key it is read before the next renewal.
        fleet.upsert_endpoint(
            ms(2),
            EndpointRecord {
                endpoint: id(1),
                ..odd
            },
        );
        assert!(fleet.tick(ms(3)).is_empty());
        let placement = fleet.place(ms(3), &request(10, 10), &[]);
        assert_eq!(chosen(&placement), Some(id(1)));
    }
}

/// The same for records that are read before the first configuration.
#[test]
fn claims_before_configuration() {
    let mut fleet = unconfigured_fleet(false);
    fleet.upsert_endpoint(ms(0), record(1));
    fleet.upsert_endpoint(ms(0), claim("metrics", 9, 9));
    fleet.upsert_endpoint(ms(0), renewed(3, 1));
    fleet.set_catalog(ms(10), Arc::new(catalog(64, MEMORY_TOKENS, None)));
    fleet.tick(ms(20));
    assert!(fleet.is_available(ms(20), &id(1)) && fleet.is_available(ms(20), &id(3)));
    assert!(!fleet.is_available(ms(20), &id(2)));
}

/// A record counts from when a later configuration names its service, unless it was removed
/// before.
#[test]
fn service_is_named_later() {
    let at = |number: u32| EndpointRecord {
        service: "archive".parse().unwrap(),
        ..record(number)
    };
    let mut fleet = fleet();
    for number in 1..=3 {
        assert!(fleet.upsert_endpoint(ms(0), at(number)).is_empty());
    }
    assert!(fleet.remove_endpoint(ms(1), &id(2)).is_none());
    let listed = BTreeSet::from([id(1)]);
    assert!(fleet.retain_only(ms(2), &listed).is_empty());
    assert!(!fleet.is_available(ms(3), &id(1)));
    let named = Arc::new(catalog(64, MEMORY_TOKENS, Some("archive")));
    assert_eq!(
        fleet.set_catalog(ms(4), named),
        [FleetChange::Joined(id(1))]
    );
    assert!(fleet.is_available(ms(5), &id(1)));
    assert!(!fleet.is_available(ms(5), &id(2)) && !fleet.is_available(ms(5), &id(3)));
}

/// Another record with a later start suspends an endpoint and doesn't end it: the endpoint
/// that goes on renewing its own record lives.
#[test]
fn renewal_outlives_claim() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    let changes = fleet.upsert_endpoint(ms(10), claim("writers", 9, 9));
    assert_eq!(changes, [contested(1, 2), FleetChange::Joined(id(2))]);
    // A complete list contains the record of before.
    assert!(fleet.upsert_endpoint(ms(20), record(1)).is_empty());
    assert!(!fleet.is_available(ms(20), &id(1)));
    let changes = fleet.upsert_endpoint(ms(1_200), renewed(1, 2));
    assert_eq!(changes, [FleetChange::Joined(id(1))]);
    fleet.upsert_endpoint(ms(1_300), claim("writers", 9, 10));
    assert!(fleet.is_available(ms(1_300), &id(1)));
    // The endpoint answers for the other one, which ends that one alone.
    fleet.mark_gone(ms(1_400), &id(2));
    assert!(fleet.is_available(ms(1_500), &id(1)));
    assert!(!fleet.is_available(ms(1_500), &id(2)));
}

/// The same at an entry that reads the other record first.
#[test]
fn claim_is_read_first() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), claim("writers", 9, 9));
    let changes = fleet.upsert_endpoint(ms(1), record(1));
    assert_eq!(changes, [contested(1, 2)]);
    let changes = fleet.upsert_endpoint(ms(1_200), renewed(1, 2));
    assert_eq!(changes, [FleetChange::Joined(id(1))]);
    assert!(fleet.is_available(ms(1_201), &id(1)));
}

/// A suspended endpoint is available again once nobody else claims its address, and as soon
/// as its engine reports.
#[test]
fn claim_ends() {
    let claimed = || {
        let mut fleet = fleet();
        fleet.upsert_endpoint(ms(0), record(1));
        fleet.upsert_endpoint(ms(10), claim("writers", 9, 9));
        assert!(fleet.tick(ms(20)).is_empty());
        fleet
    };
    let mut fleet = claimed();
    fleet.mark_gone(ms(30), &id(2));
    assert_eq!(fleet.tick(ms(40)), [FleetChange::Joined(id(1))]);
    fleet = claimed();
    fleet.remove_endpoint(ms(30), &id(2));
    assert_eq!(fleet.tick(ms(40)), [FleetChange::Joined(id(1))]);
    fleet = claimed();
    let mut of_first = report(0, 0, 1);
    of_first.started_at_ms = record(1).started_at_ms;
    let change = fleet.apply_report(ms(30), record(1).address, of_first);
    assert_eq!(change, Some(FleetChange::Joined(id(1))));
    assert!(fleet.is_available(ms(40), &id(1)));
    assert!(!fleet.is_available(ms(40), &id(2)));
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), cases: 2_000, ..ProptestConfig::default() })]

    /// Whatever other records name its address, an endpoint that renews its own is available
    /// after each renewal.
    #[test]
    fn renewing_endpoint_is_available(
        claims in proptest::collection::vec((0..3_usize, 0..4_u64, 0..9_u64, 2..5_u32), 1..20)
    ) {
        let mut fleet = fleet();
        let mut now_ms = 0;
        for (sequence, (service, started_at_ms, other_sequence, number)) in (2..).zip(claims) {
            let service = ["writers", "desk", "metrics"][service];
            let other = EndpointRecord { endpoint: id(number), ..claim(service, started_at_ms, other_sequence) };
            now_ms += 1;
            fleet.upsert_endpoint(ms(now_ms), other);
            fleet.tick(ms(now_ms));
            fleet.upsert_endpoint(ms(now_ms), renewed(1, sequence));
            // The first record may meet a claim; the second shows that the endpoint lives.
            let is_first = sequence == 2;
            prop_assert!(is_first || fleet.is_available(ms(now_ms), &id(1)));
        }
    }
}
