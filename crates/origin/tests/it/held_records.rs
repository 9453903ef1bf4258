//! Records that an observer holds for gateways.

use lentil_core::Time;
use lentil_origin::HeldRecords;

use crate::fixtures::{TAKE_UP, key, ms, record, version};

const RECORDS_MAX: usize = 65_536;

fn hold(held: &mut HeldRecords, now: Time, attempt: &str, at: &str) {
    held.hold(now, record(attempt, at), now + TAKE_UP).unwrap();
}

/// Guards against a record that is missed between the log's read and its append.
#[test]
fn appended_is_kept() {
    let mut held = HeldRecords::default();
    hold(&mut held, ms(0), "a1", "v2");
    hold(&mut held, ms(0), "a2", "v2");
    assert_eq!(held.next_append(ms(10)).len(), 2);
    hold(&mut held, ms(20), "a3", "v2");
    held.record_appended(2);
    assert_eq!(held.next_append(ms(30)), [record("a3", "v2")]);
    let known = held.get(ms(30), &key("a1")).cloned();
    assert_eq!(known, Some(Some(version("v2"))));
}

/// Guards against a record that is lost with an append that failed.
#[test]
fn append_failed() {
    let mut held = HeldRecords::default();
    hold(&mut held, ms(0), "a1", "v2");
    let first = held.next_append(ms(10));
    assert_eq!(held.next_append(ms(20)), first);
}

/// Guards against a stream whose version changes with a later record.
#[test]
fn first_holds() {
    let mut held = HeldRecords::default();
    hold(&mut held, ms(0), "a1", "v2");
    hold(&mut held, ms(10), "a1", "v1");
    let known = held.get(ms(10), &key("a1")).cloned();
    assert_eq!(known, Some(Some(version("v2"))));
    assert_eq!(held.next_append(ms(10)), [record("a1", "v2")]);
}

/// Guards against memory and appends for streams that can no longer be taken up.
#[test]
fn expiry() {
    let mut held = HeldRecords::default();
    hold(&mut held, ms(0), "a1", "v2");
    hold(&mut held, ms(10_000), "a2", "v2");
    assert_eq!(held.next_append(ms(20_000)), [record("a2", "v2")]);
    assert_eq!(held.get(ms(20_000), &key("a1")), None);
    assert!(held.next_append(ms(30_000)).is_empty() && held.is_empty());
}

/// Guards against a record that is confirmed and then dropped for want of room.
#[test]
fn full() {
    let mut held = HeldRecords::default();
    for index in 0..RECORDS_MAX {
        hold(&mut held, ms(0), &index.to_string(), "v2");
    }
    let refused = held.hold(ms(0), record("late", "v2"), ms(0) + TAKE_UP);
    assert!(refused.is_err());
    hold(&mut held, ms(0), "0", "v2");
    assert!(held.get(ms(0), &key("0")).is_some());
    hold(&mut held, ms(20_000), "late", "v2");
    assert_eq!(held.len(), 1);
}
