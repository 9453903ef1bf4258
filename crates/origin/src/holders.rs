//! Observers that hold the records of streams that can't be appended to the log.
//!
//! The load pattern is a store that turns some gateways away, or all of them, while streams begin
//! at another version than the default and come back to other gateways. Every gateway finds the
//! same holders of a stream by its key, as all read the same list of endpoints.

use lentil_core::EndpointId;
use lentil_rollout::Version;

use crate::StreamKey;

/// Number of observers that hold a record.
pub const HOLDERS: usize = 4;
/// Number of observers that are asked for a record, more than hold one, as endpoints that have joined
/// since may rank before those.
pub const HOLDERS_ASKED: usize = 8;
/// Number of observers that are reached at most, if the first ones do not answer.
pub const HOLDERS_MAX: usize = 12;
/// Number of answers that suffice.
pub const HOLDER_ANSWERS: usize = 2;

/// An endpoint whose observer may hold records.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Holder<T> {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The version of its software; `None` if it states no valid one.
    pub version: Option<Version>,
    /// How the caller reaches its observer.
    pub address: T,
}

/// Returns the holders of a stream in the order in which they are asked, [`HOLDERS_MAX`] at most.
///
/// Those at the default version and those at others take turns, each in the order of a rendezvous
/// hash. A stream without a record goes on only at the default, so that some of the former are left
/// whenever it could be joined; endpoints that join at one version change nothing for the other.
#[must_use]
pub fn rank_holders<T>(
    key: &StreamKey,
    default: Option<&Option<Version>>,
    candidates: impl IntoIterator<Item = Holder<T>>,
) -> Vec<Holder<T>> {
    let (mut at_default, mut others): (Vec<_>, Vec<_>) = candidates
        .into_iter()
        .partition(|holder| Some(&holder.version) == default);
    for holders in [&mut at_default, &mut others] {
        holders.sort_by_cached_key(|holder| rank(key, &holder.endpoint));
    }
    let (mut at_default, mut others) = (at_default.into_iter(), others.into_iter());
    let turns = std::iter::from_fn(|| {
        let turn = [at_default.next(), others.next()];
        turn.iter().any(Option::is_some).then_some(turn)
    });
    turns.flatten().flatten().take(HOLDERS_MAX).collect()
}

fn rank(key: &StreamKey, endpoint: &EndpointId) -> [u8; blake3::OUT_LEN] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&key.to_bytes());
    hasher.update(endpoint.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
