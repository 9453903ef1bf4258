//! A gateway's knowledge of one service, and its inputs.

use std::collections::BTreeMap;

use lentil_core::{Fingerprint, ServiceName, Span, Time};
use lentil_origin::{Origins, StreamKey, StreamRecord, VersionCounts};
use lentil_rollout::Version;

/// The take-up time of the tests.
pub(crate) const TAKE_UP: Span = Span::from_s(20);

pub(crate) fn ms(ms: u64) -> Time {
    Time::ZERO + Span::from_ms(ms)
}

pub(crate) fn service() -> ServiceName {
    "reports".parse().unwrap()
}

pub(crate) fn version(name: &str) -> Version {
    name.parse().unwrap()
}

pub(crate) fn key(attempt: &str) -> StreamKey {
    StreamKey::of(
        Fingerprint::of("POST", "council /report/a", b"hello"),
        attempt,
    )
}

pub(crate) fn record(attempt: &str, at: &str) -> StreamRecord {
    StreamRecord {
        key: key(attempt),
        version: Some(version(at)),
    }
}

/// Takes over a list of endpoints, as in `"v1 v1 v2"`.
pub(crate) fn list(origins: &mut Origins, now: Time, versions: &str) {
    list_with(origins, now, versions, TAKE_UP);
}

/// The same, with a take-up time of its own.
pub(crate) fn list_with(origins: &mut Origins, now: Time, versions: &str, take_up_time: Span) {
    let mut counts = VersionCounts::new();
    for name in versions.split_whitespace() {
        *counts.entry(Some(version(name))).or_default() += 1;
    }
    origins.observe(now, &service(), counts, take_up_time);
}

/// Takes over the default version that the log held at `asked_at`.
pub(crate) fn read_default(origins: &mut Origins, asked_at: Time, default: Option<&str>) {
    let default = default.map(|name| (service(), Some(version(name))));
    origins.record_defaults(asked_at, &default.into_iter().collect::<BTreeMap<_, _>>());
}

pub(crate) fn read_records(origins: &mut Origins, now: Time, records: Vec<StreamRecord>) {
    origins.record_read(now, records, Some(now));
}

/// The list once a second over a span, as a gateway reads it.
pub(crate) fn list_until(origins: &mut Origins, from: Time, to: Time, versions: &str) {
    let mut now = from;
    while now < to {
        list(origins, now, versions);
        now = now + Span::from_s(1);
    }
    list(origins, to, versions);
}

pub(crate) fn needs_record(origins: &Origins, now: Time, at: &str) -> bool {
    origins.needs_record(now, &service(), Some(&version(at)))
}

/// The new default that is due.
pub(crate) fn due(origins: &Origins, now: Time) -> Option<String> {
    let change = origins.due_change(now)?;
    assert_eq!(change.service, service());
    change.version.map(|version| version.to_string())
}
