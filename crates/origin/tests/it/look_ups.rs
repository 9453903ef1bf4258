//! The version at which a stream that is taken up began.

use lentil_core::Time;
use lentil_origin::{Lookup, Origins};

use crate::fixtures::{
    key, list, list_until, ms, needs_record, read_default, read_records, record, service, version,
};

fn look_up(origins: &Origins, now: Time, attempt: &str) -> Lookup {
    origins.look_up(now, &service(), &key(attempt), now)
}

fn look_up_unnamed(origins: &Origins, now: Time) -> Lookup {
    origins.look_up_unnamed(now, &service(), now)
}

fn began(at: &str) -> Lookup {
    Lookup::Began(Some(version(at)))
}

/// A gateway that has just started in an overlap, and has read the default.
fn started() -> Origins {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1 v2");
    read_default(&mut origins, ms(100), Some("v1"));
    origins
}

/// Guards against a guess before the log has been read.
#[test]
fn nothing_read() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1");
    let unread = Lookup::Unread {
        default: true,
        records: true,
    };
    assert_eq!(look_up(&origins, ms(10), "a1"), unread);
    assert_eq!(look_up_unnamed(&origins, ms(10)), unread);
}

/// Guards against a stream that is not recorded and is refused.
#[test]
fn not_recorded() {
    let mut origins = started();
    read_records(&mut origins, ms(100), vec![record("a1", "v2")]);
    assert_eq!(look_up(&origins, ms(100), "a2"), began("v1"));
    assert_eq!(look_up(&origins, ms(100), "a1"), began("v2"));
}

/// Guards against a look-up that misses a record which was appended after the last read.
#[test]
fn later_record() {
    let mut origins = started();
    read_records(&mut origins, ms(100), vec![]);
    read_default(&mut origins, ms(300), Some("v1"));
    let unread = Lookup::Unread {
        default: false,
        records: true,
    };
    assert_eq!(look_up(&origins, ms(300), "a1"), unread);
    assert!(!origins.has_read_records(ms(300)));
    origins.record_read(ms(320), vec![record("a1", "v2")], None);
    assert_eq!(look_up(&origins, ms(320), "a1"), began("v2"));
    assert!(!origins.has_read_records(ms(300)));
}

/// Guards against an unrecorded stream that began after a change which this gateway has not read.
#[test]
fn changed_default() {
    let mut origins = started();
    list_until(&mut origins, ms(1_000), ms(22_000), "v2");
    read_default(&mut origins, ms(22_000), Some("v1"));
    read_records(&mut origins, ms(24_000), vec![]);
    let unread = Lookup::Unread {
        default: true,
        records: false,
    };
    assert_eq!(look_up(&origins, ms(24_000), "a1"), unread);
    read_default(&mut origins, ms(24_000), Some("v2"));
    assert_eq!(look_up(&origins, ms(24_000), "a1"), began("v2"));
}

/// Guards against a guess by a gateway whose list does not hold a version that has just appeared.
#[test]
fn late_list() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1");
    read_default(&mut origins, ms(10), Some("v1"));
    list_until(&mut origins, ms(1_000), ms(60_000), "v1");
    let unread = look_up(&origins, ms(60_500), "a1");
    assert!(matches!(unread, Lookup::Unread { records: true, .. }));
    read_default(&mut origins, ms(60_510), Some("v1"));
    read_records(&mut origins, ms(60_510), vec![record("a1", "v2")]);
    assert_eq!(look_up(&origins, ms(60_510), "a1"), began("v2"));
    assert_eq!(look_up(&origins, ms(60_510), "a2"), began("v1"));
}

/// Guards against refusals while only the default serves and the records can't be read, and against
/// guesses otherwise: another gateway may list a version that has appeared since the list was
/// confirmed.
#[test]
fn without_log() {
    let mut origins = Origins::default();
    let look_up = |origins: &Origins, now, arrived_at| {
        origins.look_up_without_log(now, &service(), arrived_at)
    };
    list(&mut origins, ms(0), "v1");
    origins.confirm_list(ms(0));
    read_default(&mut origins, ms(10), Some("v1"));
    assert_eq!(look_up(&origins, ms(10), ms(0)), None);
    list_until(&mut origins, ms(1_000), ms(60_000), "v1");
    read_default(&mut origins, ms(5_000), Some("v1"));
    assert_eq!(look_up(&origins, ms(60_000), ms(59_900)), None);
    origins.confirm_list(ms(59_900));
    let known = look_up(&origins, ms(60_000), ms(59_900));
    assert_eq!(known, Some(Some(version("v1"))));
    assert_eq!(look_up(&origins, ms(60_000), ms(59_901)), None);
    assert_eq!(look_up(&origins, ms(66_000), ms(59_900)), None);
    list(&mut origins, ms(61_000), "v1 v2");
    origins.confirm_list(ms(61_000));
    read_default(&mut origins, ms(61_000), Some("v1"));
    assert_eq!(look_up(&origins, ms(61_000), ms(61_000)), None);
}

/// Guards against refusals of old callers while only the default has served, and against guesses
/// otherwise.
#[test]
fn unnamed() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1");
    read_default(&mut origins, ms(10), Some("v1"));
    list_until(&mut origins, ms(1_000), ms(60_000), "v1");
    read_default(&mut origins, ms(60_000), Some("v1"));
    read_records(&mut origins, ms(60_000), vec![]);
    assert_eq!(look_up_unnamed(&origins, ms(60_000)), began("v1"));
    list(&mut origins, ms(61_000), "v1 v2");
    read_default(&mut origins, ms(61_000), Some("v1"));
    read_records(&mut origins, ms(61_000), vec![record("a1", "v2")]);
    assert_eq!(look_up_unnamed(&origins, ms(61_000)), Lookup::Unknown);
    list_until(&mut origins, ms(62_000), ms(90_000), "v1");
    read_default(&mut origins, ms(90_000), Some("v1"));
    read_records(&mut origins, ms(90_000), vec![]);
    assert_eq!(look_up_unnamed(&origins, ms(90_000)), began("v1"));
}

/// Guards against a lease of the default that never ends while other versions are known.
#[test]
fn default_lease() {
    let mut origins = started();
    list_until(&mut origins, ms(1_000), ms(10_000), "v1 v2");
    read_default(&mut origins, ms(10_000), Some("v1"));
    assert!(!needs_record(&origins, ms(12_900), "v1"));
    assert!(origins.wants_defaults(ms(11_000)));
    assert!(needs_record(&origins, ms(13_100), "v1"));
}

/// Guards against a look-up after a restore of the store, before other gateways have appended their
/// records again.
#[test]
fn restored_records() {
    let mut origins = started();
    read_records(&mut origins, ms(100), vec![]);
    origins.forget_reads(ms(100));
    read_default(&mut origins, ms(1_000), Some("v1"));
    read_records(&mut origins, ms(1_000), vec![]);
    let unread = Lookup::Unread {
        default: false,
        records: true,
    };
    assert_eq!(look_up(&origins, ms(1_000), "a1"), unread);
    read_default(&mut origins, ms(2_100), Some("v1"));
    read_records(&mut origins, ms(2_100), vec![record("a1", "v2")]);
    assert_eq!(look_up(&origins, ms(2_100), "a1"), began("v2"));
    assert_eq!(look_up(&origins, ms(2_100), "a2"), began("v1"));
}
