//! The default version of a service, and when it changes.

use lentil_core::Span;
use lentil_origin::Origins;

use crate::fixtures::{due, list, list_until, list_with, ms, needs_record, read_default};

/// Guards against a first default that is written before the log has been read.
#[test]
fn first_default() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1 v2 v2");
    assert!(origins.wants_defaults(ms(0)));
    assert_eq!(due(&origins, ms(0)), None);
    read_default(&mut origins, ms(10), None);
    assert_eq!(due(&origins, ms(20)).as_deref(), Some("v2"));
    assert!(needs_record(&origins, ms(20), "v2"));
    read_default(&mut origins, ms(30), Some("v2"));
    assert_eq!(due(&origins, ms(40)), None);
}

/// Guards against a loser of the race for the first default that keeps its own choice.
#[test]
fn race_lost() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1");
    read_default(&mut origins, ms(10), None);
    assert_eq!(due(&origins, ms(20)).as_deref(), Some("v1"));
    read_default(&mut origins, ms(30), Some("v2"));
    assert_eq!(due(&origins, ms(40)), None);
    assert!(needs_record(&origins, ms(40), "v1"));
}

/// Guards against writes while one version serves.
#[test]
fn one_version() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1 v1");
    read_default(&mut origins, ms(10), Some("v1"));
    list_until(&mut origins, ms(1_000), ms(100_000), "v1 v1");
    assert!(!needs_record(&origins, ms(100_000), "v1"));
    assert_eq!(due(&origins, ms(100_000)), None);
}

/// Guards against a change while callers may return with unrecorded streams of the old default.
#[test]
fn change_after_take_up() {
    let mut origins = Origins::default();
    list_until(&mut origins, ms(0), ms(30_000), "v1 v2");
    read_default(&mut origins, ms(30_000), Some("v1"));
    list_until(&mut origins, ms(31_000), ms(49_000), "v2");
    assert!(needs_record(&origins, ms(49_000), "v2"));
    assert_eq!(due(&origins, ms(49_000)), None);
    list_until(&mut origins, ms(50_000), ms(52_000), "v2");
    assert_eq!(due(&origins, ms(52_000)).as_deref(), Some("v2"));
}

/// Guards against a change by a gateway that has not seen the take-up time pass itself.
#[test]
fn change_after_start() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v2");
    read_default(&mut origins, ms(10), Some("v1"));
    list_until(&mut origins, ms(1_000), ms(19_000), "v2");
    assert_eq!(due(&origins, ms(19_000)), None);
    list_until(&mut origins, ms(20_000), ms(21_000), "v2");
    assert_eq!(due(&origins, ms(21_000)).as_deref(), Some("v2"));
}

/// Guards against a change while the default is listed, if the list has not been read for long.
#[test]
fn listed_default() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1 v2 v2");
    read_default(&mut origins, ms(10), Some("v1"));
    assert_eq!(due(&origins, ms(60_000)), None);
}

/// Guards against a take-up time that counts from the last list that held the version, rather
/// than from the first one without it.
#[test]
fn leaving_time() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1 v2");
    read_default(&mut origins, ms(10), Some("v1"));
    list_until(&mut origins, ms(1_000), ms(4_000), "v1 v2");
    list_until(&mut origins, ms(8_000), ms(26_000), "v2");
    assert_eq!(due(&origins, ms(26_000)), None);
}

/// Guards against a change while a gateway with an older list may still begin unrecorded streams,
/// on routes whose timeout is shorter than the lag of lists.
#[test]
fn short_timeout() {
    let mut origins = Origins::default();
    let take_up_time = Span::from_s(2);
    list_with(&mut origins, ms(0), "v1 v2", take_up_time);
    read_default(&mut origins, ms(10), Some("v1"));
    let mut due_at = |at_ms| {
        list_with(&mut origins, ms(at_ms), "v2", take_up_time);
        due(&origins, ms(at_ms))
    };
    for at_ms in (1_000..11_000).step_by(1_000) {
        assert_eq!(due_at(at_ms), None, "{at_ms}");
    }
    assert_eq!(due_at(11_000).as_deref(), Some("v2"));
}

/// Guards against a change while the default is listed, on a service without resumable routes.
#[test]
fn no_timeout() {
    let mut origins = Origins::default();
    list_with(&mut origins, ms(0), "v1 v2 v2", Span::ZERO);
    read_default(&mut origins, ms(10), Some("v1"));
    assert_eq!(due(&origins, ms(20)), None);
}

/// Guards against a change while streams that began under a longer timeout may be taken up.
#[test]
fn shorter_timeout() {
    let mut origins = Origins::default();
    for at_s in 0..60 {
        list_with(&mut origins, ms(at_s * 1_000), "v1 v2", Span::from_s(40));
    }
    read_default(&mut origins, ms(59_000), Some("v1"));
    list_until(&mut origins, ms(60_000), ms(98_000), "v2");
    assert_eq!(due(&origins, ms(98_900)), None);
    list_until(&mut origins, ms(99_000), ms(101_000), "v2");
    assert_eq!(due(&origins, ms(101_000)).as_deref(), Some("v2"));
}

/// Guards against a copy of the default from before a time in which the list was not read.
#[test]
fn default_after_gap() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1");
    read_default(&mut origins, ms(10), Some("v1"));
    list(&mut origins, ms(60_000), "v1");
    assert!(origins.wants_defaults(ms(60_000)));
    assert!(needs_record(&origins, ms(60_000), "v1"));
    read_default(&mut origins, ms(60_010), Some("v1"));
    assert!(!needs_record(&origins, ms(60_020), "v1"));
}

/// Guards against a change by a gateway whose list was not read for a while: the default may have
/// come back meanwhile.
#[test]
fn stale_list() {
    let mut origins = Origins::default();
    list_until(&mut origins, ms(0), ms(10_000), "v2");
    read_default(&mut origins, ms(60_000), Some("v1"));
    assert_eq!(due(&origins, ms(60_000)), None);
    list_until(&mut origins, ms(60_000), ms(79_000), "v2");
    assert_eq!(due(&origins, ms(79_000)), None);
}

/// Guards against unrecorded streams at a default that comes back while another gateway, which has
/// not seen it yet, changes the default.
#[test]
fn comeback_race() {
    let mut origins = Origins::default();
    list_until(&mut origins, ms(0), ms(5_000), "v1 v2");
    read_default(&mut origins, ms(5_000), Some("v1"));
    list_until(&mut origins, ms(6_000), ms(25_000), "v2");
    list(&mut origins, ms(25_500), "v1 v2");
    read_default(&mut origins, ms(25_600), Some("v1"));
    assert!(needs_record(&origins, ms(25_700), "v1"));
    // The other gateway's append has had time to arrive, and has not.
    list_until(&mut origins, ms(26_000), ms(32_000), "v1 v2");
    read_default(&mut origins, ms(32_000), Some("v1"));
    assert!(!needs_record(&origins, ms(32_100), "v1"));
}

/// Guards against a gateway that never learns that the default changed just after it started.
#[test]
fn read_again() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1");
    read_default(&mut origins, ms(10), Some("v1"));
    list_until(&mut origins, ms(1_000), ms(10_000), "v1");
    assert!(origins.wants_defaults(ms(10_000)));
    read_default(&mut origins, ms(10_010), Some("v1"));
    list_until(&mut origins, ms(11_000), ms(60_000), "v1");
    assert!(!origins.wants_defaults(ms(60_000)));
}

/// Guards against unrecorded streams at a default that comes back and is soon the only version
/// listed, while another gateway's change of the default is on its way.
#[test]
fn comeback_alone() {
    let mut origins = Origins::default();
    list_until(&mut origins, ms(0), ms(5_000), "v1 v2");
    read_default(&mut origins, ms(5_000), Some("v1"));
    list_until(&mut origins, ms(6_000), ms(25_000), "v2");
    list(&mut origins, ms(25_500), "v1 v2");
    list(&mut origins, ms(26_000), "v1");
    read_default(&mut origins, ms(26_100), Some("v1"));
    assert!(needs_record(&origins, ms(26_200), "v1"));
    list_until(&mut origins, ms(27_000), ms(32_000), "v1");
    read_default(&mut origins, ms(32_000), Some("v1"));
    assert!(!needs_record(&origins, ms(32_100), "v1"));
}

/// Guards against another first default after a restore of the store that lost it, while streams of
/// the lost one may be taken up.
#[test]
fn restored_store() {
    let mut origins = Origins::default();
    list(&mut origins, ms(0), "v1 v1");
    read_default(&mut origins, ms(10), Some("v1"));
    list_until(&mut origins, ms(1_000), ms(6_000), "v1 v2 v2");
    read_default(&mut origins, ms(6_000), Some("v1"));
    origins.forget_reads(ms(6_000));
    read_default(&mut origins, ms(5_900), Some("v1"));
    assert!(needs_record(&origins, ms(6_000), "v1") && origins.wants_defaults(ms(6_000)));
    assert_eq!(due(&origins, ms(6_000)), None);
    read_default(&mut origins, ms(6_010), None);
    assert_eq!(due(&origins, ms(6_020)).as_deref(), Some("v1"));
    list_until(&mut origins, ms(7_000), ms(30_000), "v2 v2");
    read_default(&mut origins, ms(30_000), None);
    assert_eq!(due(&origins, ms(30_000)).as_deref(), Some("v2"));
}
