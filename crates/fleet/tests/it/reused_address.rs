//! Entries whose address another endpoint has taken.

use lentil_fleet::{FleetChange, Placement};

use crate::build::{fleet, id, listing, ms, need, placed};

/// After a loss of power the list holds the entries of engines that are no
/// more beside those of engines that started at the same addresses.
#[test]
fn later_start_wins() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    let mut successor = listing(2);
    successor.address = listing(1).address;
    let changes = fleet.upsert_endpoint(ms(10), successor.clone());
    assert!(matches!(&changes[0], FleetChange::Leaving(leaving) if leaving.endpoint == id(1)));
    assert_eq!(changes[1], FleetChange::Joined(id(2)));
    // A late entry of the one before changes nothing.
    assert!(fleet.upsert_endpoint(ms(20), listing(1)).is_empty());
    let placement = fleet.place(ms(20), &need(3_000, 900), &[]);
    assert_eq!(placed(&placement), Some(id(2)));
}

#[test]
fn misdirected_gets_nothing() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    assert!(fleet.mark_gone(ms(5), &id(1)).is_some());
    assert!(fleet.mark_gone(ms(6), &id(1)).is_none());
    // Its next entry, written before, does not bring it back.
    fleet.upsert_endpoint(ms(10), listing(1));
    assert_eq!(
        fleet.place(ms(11), &need(10, 10), &[]),
        Placement::NoEndpoint
    );
}

#[test]
fn same_name_born_again() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), listing(1));
    fleet.mark_gone(ms(5), &id(1));
    let mut again = listing(1);
    again.started_at_ms = Some(99);
    assert_eq!(
        fleet.upsert_endpoint(ms(10), again),
        vec![FleetChange::Restarted(id(1))]
    );
    let placement = fleet.place(ms(11), &need(10, 10), &[]);
    assert_eq!(placed(&placement), Some(id(1)));
}
