//! Endpoint records that disappear, with and without a failure of the store.

use std::collections::BTreeSet;

use lentil_core::Time;
use lentil_fleet::{EndpointRecord, EngineStage, Fleet, FleetChange, Placement};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::fixtures::{RECORD_RETURN_MS, chosen, fleet, id, ms, record, report, request};

fn accepts_request(fleet: &mut Fleet, now: Time) -> bool {
    chosen(&fleet.place(now, &request(10, 10), &[])).is_some()
}

#[test]
fn removed_endpoint_gets_no_requests() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    assert!(matches!(
        fleet.remove_endpoint(ms(10), &id(1)),
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
    fleet.record_store_failure(ms(100));
    let changes = fleet.retain_only(ms(400), &BTreeSet::new());
    let unlisted = |number| FleetChange::Unlisted {
        endpoint: id(number),
        until: ms(100 + RECORD_RETURN_MS),
    };
    assert_eq!(changes, [unlisted(1), unlisted(2)]);
    assert!(accepts_request(&mut fleet, ms(500)));
    fleet.upsert_endpoint(ms(1_000), record(1));
    assert!(fleet.tick(ms(99 + RECORD_RETURN_MS)).is_empty());
    let changes = fleet.tick(ms(100 + RECORD_RETURN_MS));
    assert!(matches!(&changes[..], [FleetChange::Leaving(leaving)] if leaving.endpoint == id(2)));
    assert!(accepts_request(&mut fleet, ms(3_000)));
    assert!(!fleet.is_available(ms(3_000), &id(2)));
}

/// An endpoint that has renewed its record shortly before can't have been removed for
/// silence, whatever failed meanwhile: it leaves.
#[test]
fn renewed_record_did_not_expire() {
    for (written_after_ms, leaves) in [(None, false), (Some(1_000), false), (Some(1_001), true)] {
        let mut fleet = fleet();
        let renewed = EndpointRecord {
            written_after: written_after_ms.map(ms),
            ..record(1)
        };
        fleet.upsert_endpoint(ms(0), record(1));
        fleet.upsert_endpoint(ms(2_000), renewed);
        // A record that is read again, as in a complete list, does not make it older.
        fleet.upsert_endpoint(ms(2_500), record(1));
        fleet.record_store_failure(ms(3_500));
        let change = fleet.remove_endpoint(ms(4_000), &id(1));
        let left = matches!(change, Some(FleetChange::Leaving(_)));
        assert_eq!(left, leaves, "{written_after_ms:?}");
        assert_eq!(fleet.is_available(ms(4_001), &id(1)), !leaves);
    }
}

/// The time in which records may return counts from the failure of the store, not from
/// when the removal is noticed, and begins anew with the next failure.
#[test]
fn return_counts_from_failure() {
    let mut fleet = fleet();
    fleet.upsert_endpoint(ms(0), record(1));
    fleet.upsert_endpoint(ms(0), record(2));
    let (first_ms, second_ms) = (4_000, 6_650);
    fleet.record_store_failure(ms(first_ms));
    fleet.remove_endpoint(ms(6_600), &id(1));
    assert!(fleet.is_available(ms(first_ms + RECORD_RETURN_MS - 1), &id(1)));
    assert!(!fleet.is_available(ms(first_ms + RECORD_RETURN_MS), &id(1)));
    fleet.record_store_failure(ms(second_ms));
    // An older failure is reported late.
    fleet.record_store_failure(ms(4_500));
    let returned_ms = second_ms + RECORD_RETURN_MS;
    assert!(fleet.is_available(ms(returned_ms - 1), &id(1)));
    assert!(!fleet.is_available(ms(returned_ms), &id(1)));
    let change = fleet.remove_endpoint(ms(returned_ms), &id(2));
    assert!(matches!(change, Some(FleetChange::Leaving(_))));
}

/// An endpoint that renews its record every 1.2 s, seen by a gateway that reads the list
/// every `pause_ms`, and asks every `retry_ms` while the store fails.
struct ListedEndpoint {
    fleet: Fleet,
    outage: std::ops::Range<u64>,
    pause_ms: u64,
    retry_ms: u64,
    phase_ms: u64,
    now_ms: u64,
    confirmed_ms: u64,
    listed: bool,
}

impl ListedEndpoint {
    fn new(outage: std::ops::Range<u64>, pause_ms: u64, retry_ms: u64, phase_ms: u64) -> Self {
        let mut fleet = fleet();
        fleet.upsert_endpoint(ms(0), record(1));
        Self {
            fleet,
            outage,
            pause_ms,
            retry_ms,
            phase_ms,
            now_ms: 0,
            confirmed_ms: 0,
            listed: true,
        }
    }

    /// Reads the list once. The record is missing at the times in `missing`.
    fn read(&mut self, missing: &std::ops::Range<u64>) {
        let now = ms(self.now_ms);
        if self.outage.contains(&self.now_ms) {
            self.fleet.record_store_failure(now);
        } else {
            if missing.contains(&self.now_ms) {
                if std::mem::take(&mut self.listed) {
                    self.fleet.remove_endpoint(now, &id(1));
                }
            } else if !self.listed || self.renewed_ms() >= self.confirmed_ms {
                let written_after = Some(ms(self.confirmed_ms));
                let renewed = EndpointRecord {
                    written_after,
                    ..record(1)
                };
                self.fleet.upsert_endpoint(now, renewed);
                self.listed = true;
            }
            self.confirmed_ms = self.now_ms;
        }
        self.fleet.tick(now);
    }

    /// When the endpoint last renewed its record.
    fn renewed_ms(&self) -> u64 {
        let since_first_ms = self.now_ms.saturating_sub(self.phase_ms);
        self.phase_ms + since_first_ms / 1_200 * 1_200
    }

    /// Time of the next read.
    fn next_ms(&self) -> u64 {
        let fails = self.outage.contains(&self.now_ms);
        self.now_ms + if fails { self.retry_ms } else { self.pause_ms }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    /// The store turns a gateway away for a while and serves the endpoints. One that is
    /// removed on purpose gets no request later than two seconds after that, once the
    /// gateway could reach the store for three seconds.
    #[test]
    fn removal_beside_outage_is_final(
        outage_begins_ms in 4_000_u64..9_000,
        outage_ms in 0_u64..9_000,
        removed_ms in 4_000_u64..22_000,
        retry_ms in 60_u64..500,
        pause_ms in 300_u64..760,
        phase_ms in 0_u64..1_200,
    ) {
        let outage = outage_begins_ms..outage_begins_ms + outage_ms;
        let mut endpoint = ListedEndpoint::new(outage.clone(), pause_ms, retry_ms, phase_ms);
        while endpoint.now_ms < removed_ms + 12_000 {
            endpoint.read(&(removed_ms..u64::MAX));
            let next_ms = endpoint.next_ms();
            // Between two reads an endpoint can only become unavailable.
            let due_ms = endpoint.now_ms.max(removed_ms + 2_001);
            for at_ms in [due_ms, due_ms.max(outage.end + 3_000)] {
                let is_in_touch = at_ms < outage.start || at_ms >= outage.end + 3_000;
                let available = endpoint.fleet.is_available(ms(at_ms), &id(1));
                prop_assert!(at_ms >= next_ms || !is_in_touch || !available, "{at_ms} ms");
            }
            endpoint.now_ms = next_ms;
        }
    }

    /// The store fails for all. Records that expired meanwhile return within two seconds of
    /// its end, and their endpoints get requests until then.
    #[test]
    fn expiry_in_outage_is_bridged(
        outage_ms in 3_600_u64..9_000,
        return_ms in 0_u64..2_000,
        retry_ms in 60_u64..500,
        pause_ms in 300_u64..700,
        phase_ms in 0_u64..1_200,
    ) {
        let outage = 5_000..5_000 + outage_ms;
        let missing = outage.end..outage.end + return_ms;
        let mut failed_ms = 0;
        let mut endpoint = ListedEndpoint::new(outage.clone(), pause_ms, retry_ms, phase_ms);
        while endpoint.now_ms < outage.end + 6_000 {
            endpoint.read(&missing);
            if outage.contains(&endpoint.now_ms) {
                failed_ms = endpoint.now_ms;
            }
            let bridged_ms = failed_ms + RECORD_RETURN_MS;
            let is_due = retry_ms <= 200 || endpoint.listed || endpoint.now_ms < bridged_ms;
            let available = endpoint.fleet.is_available(ms(endpoint.now_ms), &id(1));
            prop_assert!(available || !is_due, "{} ms", endpoint.now_ms);
            endpoint.now_ms = endpoint.next_ms();
        }
    }
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

fn announce_leave(fleet: &mut Fleet, now: Time) {
    let mut leaving = report(0, 0, 1);
    leaving.stage = EngineStage::Leaving { at: None };
    fleet.apply_report(now, record(1).address, leaving);
}

/// A record that is written late does not bring back an endpoint that has left; that of its
/// next lifetime does.
#[test]
fn late_record_after_departure() {
    for (started_at_ms, late_ms, returns) in [
        (Some(1), 3_000, false),
        (Some(1), 3_600_000, false),
        (Some(0), 3_000, false),
        (Some(2), 3_000, true),
        (None, 3_000, false),
        (None, 40_000, true),
    ] {
        let mut fleet = fleet();
        fleet.upsert_endpoint(ms(0), record(1));
        announce_leave(&mut fleet, ms(10));
        fleet.remove_endpoint(ms(100), &id(1));
        fleet.tick(ms(2_100));
        let late = EndpointRecord {
            started_at_ms,
            ..record(1)
        };
        fleet.upsert_endpoint(ms(late_ms), late);
        let available = fleet.is_available(ms(late_ms), &id(1));
        assert_eq!(available, returns, "{started_at_ms:?} after {late_ms} ms");
    }
}

/// A record of an earlier lifetime that is written late says nothing about this one.
#[test]
fn record_of_earlier_lifetime() {
    let mut fleet = fleet();
    let started_at = |started_at_ms| EndpointRecord {
        started_at_ms: Some(started_at_ms),
        ..record(1)
    };
    fleet.upsert_endpoint(ms(0), started_at(7));
    announce_leave(&mut fleet, ms(10));
    assert_eq!(fleet.upsert_endpoint(ms(20), started_at(6)), []);
    assert!(!fleet.is_available(ms(20), &id(1)));
    assert_eq!(
        fleet.upsert_endpoint(ms(30), started_at(8)),
        [FleetChange::Restarted(id(1))]
    );
    let draining = EndpointRecord {
        draining: true,
        ..started_at(7)
    };
    assert_eq!(fleet.upsert_endpoint(ms(40), draining), []);
    assert!(fleet.is_available(ms(40), &id(1)));
}

/// The store comes back from an older copy. Guards against endpoints that come back because the copy
/// lists them, and endpoints that leave because it does not.
#[test]
fn records_of_older_copy() {
    let mut fleet = fleet();
    for number in 1..=3 {
        fleet.upsert_endpoint(ms(0), record(number));
    }
    fleet.remove_endpoint(ms(10), &id(1));
    let listed = BTreeSet::from([id(1), id(2), id(4)]);
    for number in [1, 2, 4] {
        let changes = fleet.apply_copied_record(ms(100), record(number));
        assert!(changes.is_empty(), "{changes:?}");
    }
    let until = ms(100 + RECORD_RETURN_MS);
    let unlisted = FleetChange::Unlisted {
        endpoint: id(3),
        until,
    };
    assert_eq!(fleet.await_missing(ms(100), &listed), [unlisted]);
    let available = |fleet: &Fleet, now| {
        let numbers = (1..=4).filter(|number| fleet.is_available(now, &id(*number)));
        numbers.collect::<Vec<_>>()
    };
    assert_eq!(available(&fleet, ms(101)), [2, 3]);
    let renewed = EndpointRecord {
        sequence: record(1).sequence + 1,
        ..record(1)
    };
    fleet.apply_copied_record(ms(200), renewed);
    fleet.upsert_endpoint(ms(200), record(4));
    assert_eq!(available(&fleet, ms(201)), [1, 2, 3, 4]);
    fleet.tick(until);
    assert_eq!(available(&fleet, until), [1, 2, 4]);
}
