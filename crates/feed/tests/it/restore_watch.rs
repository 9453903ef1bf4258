//! From when on reads of a store are complete.

use lentil_core::{Span, StoreEra, Time};
use lentil_feed::{RESTORE_TIME, RestoreWatch};

const ERA: StoreEra = StoreEra::new(5);

const fn ms(ms: u64) -> Time {
    Time::from_us(ms * 1_000)
}

/// A watch that had its first answer at 100 ms.
fn watch() -> RestoreWatch {
    let mut watch = RestoreWatch::default();
    watch.record_answer(ms(100), ERA);
    watch
}

/// A process that had just started took the first page of an older copy for complete.
#[test]
fn unknown_restore() {
    assert_eq!(RestoreWatch::default().restored_at(ERA), Time::NEVER);
    assert_eq!(watch().restored_at(ERA), ms(100) + RESTORE_TIME);
}

/// A start on a store in order waited.
#[test]
fn recorded_restore() {
    let mut watch = watch();
    watch.record_restored(ms(106), ERA);
    assert!(watch.is_recorded());
    assert_eq!(watch.restored_at(ERA), ms(106));
}

/// The record of an earlier restore, which the older copy holds, counted for a later one.
#[test]
fn record_of_earlier_era() {
    let mut watch = watch();
    watch.record_restored(ms(106), StoreEra::new(4));
    assert!(!watch.is_recorded());
    watch.record_restored(ms(106), ERA);
    assert!(watch.record_answer(ms(300), StoreEra::new(6)));
    assert!(!watch.is_recorded());
    assert_eq!(watch.restored_at(StoreEra::new(6)), ms(300) + RESTORE_TIME);
    assert_eq!(watch.restored_at(ERA), Time::NEVER);
}

/// The store was away again before its writers had written what was lost.
#[test]
fn failure_in_restore() {
    let mut watch = watch();
    watch.record_failure(ms(450), ms(500));
    assert_eq!(watch.restored_at(ERA), Time::NEVER);
    watch.record_answer(ms(900), ERA);
    let restored_at = ms(900) + RESTORE_TIME;
    assert_eq!(watch.restored_at(ERA), restored_at);
    let later = restored_at + Span::from_ms(1);
    watch.record_failure(later, later);
    assert_eq!(watch.restored_at(ERA), restored_at);
}

/// A request that was sent before the first answer failed after it.
#[test]
fn late_failure() {
    let mut watch = watch();
    watch.record_failure(ms(50), ms(500));
    assert_eq!(watch.restored_at(ERA), Time::NEVER);
}

/// The restore was never over behind a relay, which goes on stating a failure of before.
#[test]
fn earlier_failure() {
    let mut watch = watch();
    watch.record_failure(ms(50), ms(50));
    assert_eq!(watch.restored_at(ERA), ms(100) + RESTORE_TIME);
}

/// A store that states no era, or has never been restored, needs no record.
#[test]
fn store_without_eras() {
    let mut watch = RestoreWatch::default();
    assert!(!watch.record_answer(ms(100), StoreEra::default()));
    assert!(watch.is_recorded());
    assert_eq!(watch.restored_at(StoreEra::default()), Time::ZERO);
}
