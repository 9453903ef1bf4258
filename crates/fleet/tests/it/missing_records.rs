//! Endpoint records that disappear, with and without a failure of the store.

use std::collections::BTreeSet;

use lentil_core::Time;
use lentil_fleet::{EngineStage, Fleet, FleetChange, Placement};

use crate::fixtures::{chosen, fleet, id, ms, record, report, request};

fn accepts_request(fleet: &mut Fleet, now: Time) -> bool {
    chosen(&fleet.place(now, &request(10, 10), &[])).is_some()
}

#[test]
fn removed_endpoint_gets_no_requests() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    assert!(matches!(
        fleet.remove_endpoint(ms(10), &id(1), false),
        Some(FleetChange::Leaving(_))
    ));
    assert_eq!(
        fleet.place(ms(11), &request(10, 10), &[]),
        Placement::NoEndpoint
    );
    // It was cut off from the store and its record returns.
    assert_eq!(
        fleet.upsert_endpoint(ms(900), record(1)),
        vec![FleetChange::Joined(id(1))]
    );
    assert!(accepts_request(&mut fleet, ms(901)));
}

/// All records expire while the store is down; those of live endpoints return soon
/// after it is back.
#[test]
fn expired_record_returns() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    fleet.upsert_endpoint(ms(0), record(2));
    assert!(
        fleet
            .retain_only(ms(100), &BTreeSet::new(), true)
            .is_empty()
    );
    assert!(accepts_request(&mut fleet, ms(200)));
    fleet.upsert_endpoint(ms(1_000), record(1));
    let changes = fleet.tick(ms(2_500));
    assert!(matches!(&changes[..], [FleetChange::Leaving(leaving)] if leaving.endpoint == id(2)));
    assert!(accepts_request(&mut fleet, ms(3_000)));
    assert!(!fleet.is_available(ms(3_000), &id(2)));
}

/// An outdated record does not revert an announced leave.
#[test]
fn announced_leave_is_final() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    let mut leaving = report(0, 0, 1);
    leaving.stage = EngineStage::Leaving {
        at: Some(ms(1_500)),
    };
    assert!(
        fleet
            .apply_report(ms(10), record(1).address, leaving)
            .is_some()
    );
    fleet.upsert_endpoint(ms(20), record(1));
    assert!(!accepts_request(&mut fleet, ms(30)));
    assert_eq!(fleet.terminates_at(&id(1)), Some(ms(1_500)));
}

#[test]
fn zone_is_excluded_and_restored() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    fleet.set_excluded_zones(BTreeSet::from(["a".parse().unwrap()]));
    assert!(!accepts_request(&mut fleet, ms(10)));
    fleet.set_excluded_zones(BTreeSet::new());
    assert!(accepts_request(&mut fleet, ms(20)));
}
