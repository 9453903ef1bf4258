//! How long records are kept.

use lentil_origin::{Lookup, Origins};

use crate::fixtures::{
    TAKE_UP, key, list, ms, read_default, read_records, record, service, version,
};

const RECORDS_MAX: usize = 65_536;

fn started() -> Origins {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1 v2");
    read_default(&mut origins, ms(0), Some("v1"));
    origins
}

/// Guards against memory that holds records whose streams can no longer be taken up.
#[test]
fn expiry() {
    let mut origins = started();
    read_records(&mut origins, ms(0), vec![record("a1", "v2")]);
    read_records(&mut origins, ms(10_000), vec![record("a2", "v2")]);
    assert_eq!(origins.record_count(), 2);
    read_records(&mut origins, ms(20_000), vec![]);
    assert_eq!(origins.record_count(), 1);
    list(&mut origins, ms(31_000), "v1 v2");
    assert_eq!(origins.record_count(), 0);
}

/// Guards against a stream that is forgotten while it is taken up again and again.
#[test]
fn renewal() {
    let mut origins = started();
    read_records(&mut origins, ms(0), vec![record("a1", "v2")]);
    origins.insert(ms(15_000), record("a1", "v2"));
    origins.insert(ms(21_000), record("a2", "v2"));
    read_records(&mut origins, ms(30_000), vec![]);
    let known = Lookup::Began(Some(version("v2")));
    assert_eq!(
        origins.look_up(ms(30_000), &service(), &key("a1"), ms(30_000)),
        known
    );
    origins.insert(ms(15_000) + TAKE_UP, record("a3", "v2"));
    assert_eq!(origins.record_count(), 2);
}

/// Guards against a stream whose version changes with a later record.
#[test]
fn first_record_holds() {
    let mut origins = started();
    origins.insert(ms(0), record("a1", "v2"));
    read_records(&mut origins, ms(10), vec![record("a1", "v1")]);
    let known = Lookup::Began(Some(version("v2")));
    assert_eq!(
        origins.look_up(ms(10), &service(), &key("a1"), ms(10)),
        known
    );
}

/// Guards against memory without bound, and against a bound that drops the newest records.
#[test]
fn bound() {
    let mut origins = started();
    let last = RECORDS_MAX + 10;
    for index in 0..=last {
        origins.insert(ms(0), record(&index.to_string(), "v2"));
    }
    assert_eq!(origins.record_count(), RECORDS_MAX);
    let known = |index: usize| {
        origins.look_up(ms(0), &service(), &key(&index.to_string()), ms(0))
            == Lookup::Began(Some(version("v2")))
    };
    assert!(!known(0) && known(last));
}

/// Guards against renewals that displace the records of other streams.
#[test]
fn renewals_bounded() {
    let mut origins = started();
    origins.insert(ms(0), record("a1", "v2"));
    for _ in 0..2 * RECORDS_MAX {
        origins.insert(ms(1), record("a2", "v2"));
    }
    assert_eq!(origins.record_count(), 2);
}
