//! Which observers hold the record of a stream.

use lentil_origin::{HOLDERS, HOLDERS_MAX, Holder, rank_holders};
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

/// Guards against records that are lost with the version that began their streams, while the default
/// still serves.
#[test]
fn default_first() {
    for attempt in 0..100 {
        let listed = candidates("v2 v2 v2 v2 v1 v1 v1 v1 v2 v2 v2 v2");
        let ranked = rank(&attempt.to_string(), Some("v1"), listed);
        assert!(ranked[..HOLDERS].iter().all(|at| (4..8).contains(at)));
        assert_eq!(ranked.len(), HOLDERS_MAX);
    }
}

/// Guards against a holder that changes when an endpoint joins that ranks behind it.
#[test]
fn stable() {
    for attempt in 0..100 {
        let attempt = attempt.to_string();
        let before = rank(&attempt, None, candidates("v1 v1 v1 v1 v1 v1"));
        let after = rank(&attempt, None, candidates("v1 v1 v1 v1 v1 v1 v2"));
        let kept: Vec<_> = after.iter().copied().filter(|at| *at != 6).collect();
        assert_eq!(before[..kept.len()], kept);
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
    assert!(
        held.iter().all(|count| (50..150).contains(count)),
        "{held:?}"
    );
}
