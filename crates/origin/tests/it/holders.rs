//! Which observers hold the record of a stream.

use lentil_origin::{HOLDERS, HOLDERS_ASKED, HOLDERS_MAX, Holder, rank_holders};
use lentil_rollout::Version;

use crate::fixtures::{key, version};

/// The observers beside endpoints of these versions, named by their index.
fn candidates(versions: &str) -> Vec<Holder<usize>> {
    let versions = versions.split_whitespace().enumerate();
    versions
        .map(|(address, name)| Holder {
            endpoint: format!("i-{address}").parse().unwrap(),
            version: Some(version(name)),
            address,
        })
        .collect()
}

fn rank(attempt: &str, default: Option<&str>, candidates: Vec<Holder<usize>>) -> Vec<usize> {
    let default: Option<Option<Version>> = default.map(|name| Some(version(name)));
    let ranked = rank_holders(&key(attempt), default.as_ref(), candidates);
    ranked.into_iter().map(|holder| holder.address).collect()
}

/// Guards against gateways that ask other observers than those which hold a record.
#[test]
fn same_order() {
    let listed = candidates("v1 v2 v1 v2 v1 v2 v1 v2");
    let mut other = listed.clone();
    other.reverse();
    assert_eq!(
        rank("a1", Some("v1"), listed),
        rank("a1", Some("v1"), other)
    );
}

/// Guards against records that are lost with the version that began their streams while the default
/// still serves, or with the default before it returns.
#[test]
fn both_versions() {
    for attempt in 0..100 {
        let listed = candidates("v2 v2 v2 v2 v1 v1 v1 v1 v3 v3 v3 v3");
        let ranked = rank(&attempt.to_string(), Some("v1"), listed);
        assert_eq!(ranked.len(), HOLDERS_MAX);
        let is_default = |at: &&usize| (4..8).contains(*at);
        let at_default = ranked[..HOLDERS].iter().filter(is_default).count();
        assert_eq!(at_default, HOLDERS / 2);
    }
}

/// Guards against holders that are not asked any more as endpoints have joined at another version.
#[test]
fn joined_since() {
    for attempt in 0..100 {
        let attempt = attempt.to_string();
        let held = rank(&attempt, Some("v1"), candidates("v1 v1 v1 v2 v2 v2"));
        let later = candidates("v1 v1 v1 v2 v2 v2 v3 v3 v3 v3 v3 v3 v3 v3 v3");
        let asked = rank(&attempt, Some("v1"), later);
        let asked = &asked[..HOLDERS_ASKED];
        assert!(held[..HOLDERS].iter().any(|holder| asked.contains(holder)));
    }
}

/// Guards against one observer that holds the records of all streams.
#[test]
fn spread() {
    let mut held = [0; 12];
    for attempt in 0..400 {
        let listed = candidates("v1 v1 v1 v1 v1 v1 v1 v1 v1 v1 v1 v1");
        for holder in &rank(&attempt.to_string(), Some("v1"), listed)[..HOLDERS] {
            held[*holder] += 1;
        }
    }
    // A twelfth of 1,600, and half of it to either side.
    assert!(
        held.iter().all(|count| (67..200).contains(count)),
        "{held:?}"
    );
}
