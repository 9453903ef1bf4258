//! Entries that vanish, with and without a disturbance of the store.

use std::collections::BTreeSet;

use lentil_core::Time;
use lentil_fleet::{EngineStage, Fleet, FleetChange, Placement};

use crate::build::{fleet, id, listing, ms, need, placed, report};

fn takes_work(fleet: &mut Fleet, now: Time) -> bool {
    placed(&fleet.place(now, &need(10, 10), &[])).is_some()
}

#[test]
fn vanished_gets_nothing() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    assert!(matches!(
        fleet.remove_endpoint(ms(10), &id(1), false),
        Some(FleetChange::Leaving(_))
    ));
    assert_eq!(
        fleet.place(ms(11), &need(10, 10), &[]),
        Placement::NoEndpoint
    );
    // It was cut off from the store and is back.
    assert_eq!(
        fleet.upsert_endpoint(ms(900), listing(1)),
        vec![FleetChange::Joined(id(1))]
    );
    assert!(takes_work(&mut fleet, ms(901)));
}

/// All entries lapse while the store is down; those that live are back soon.
#[test]
fn lapsed_comes_back() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    fleet.upsert_endpoint(ms(0), listing(2));
    assert!(
        fleet
            .retain_only(ms(100), &BTreeSet::new(), true)
            .is_empty()
    );
    assert!(takes_work(&mut fleet, ms(200)));
    fleet.upsert_endpoint(ms(1_000), listing(1));
    let changes = fleet.tick(ms(2_500));
    assert!(matches!(&changes[..], [FleetChange::Leaving(leaving)] if leaving.endpoint == id(2)));
    assert!(takes_work(&mut fleet, ms(3_000)));
    assert!(!fleet.is_available(ms(3_000), &id(2)));
}

/// A late entry does not undo an announced leave.
#[test]
fn announced_stays_leaving() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    let mut leaving = report(0, 0, 1);
    leaving.stage = EngineStage::Leaving {
        at: Some(ms(1_500)),
    };
    assert!(
        fleet
            .apply_report(ms(10), listing(1).address, leaving)
            .is_some()
    );
    fleet.upsert_endpoint(ms(20), listing(1));
    assert!(!takes_work(&mut fleet, ms(30)));
    assert_eq!(fleet.terminates_at(&id(1)), Some(ms(1_500)));
}

#[test]
fn zone_out_and_back() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    fleet.set_excluded_zones(BTreeSet::from(["a".parse().unwrap()]));
    assert!(!takes_work(&mut fleet, ms(10)));
    fleet.set_excluded_zones(BTreeSet::new());
    assert!(takes_work(&mut fleet, ms(20)));
}
