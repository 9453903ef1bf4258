//! Records whose address is used by another endpoint.

use lentil_fleet::{FleetChange, Placement};

use crate::fixtures::{chosen, fleet, id, ms, record, request};

/// After a power failure the list contains records of terminated engines as well as
/// those of engines that started at the same addresses.
#[test]
fn later_start_owns_address() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    let mut successor = record(2);
    successor.address = record(1).address;
    let changes = fleet.upsert_endpoint(ms(10), successor.clone());
    assert!(matches!(&changes[0], FleetChange::Leaving(leaving) if leaving.endpoint == id(1)));
    assert_eq!(changes[1], FleetChange::Joined(id(2)));
    // An outdated record of the terminated engine has no effect.
    assert!(fleet.upsert_endpoint(ms(20), record(1)).is_empty());
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
