//! Observers that hold the records of streams that can't be appended to the log.
//!
//! The load pattern is a store that turns some gateways away, or all of them, while streams begin
//! at another version than the default and come back to other gateways. Every gateway finds the
//! same holders of a stream by its key, as all read the same list of endpoints.

use lentil_core::EndpointId;
use lentil_rollout::Version;

use crate::StreamKey;

/// Number of holders that are asked at the same time.
pub const HOLDERS: usize = 3;
/// Number of holders that are asked at most, if the first ones do not answer.
pub const HOLDERS_MAX: usize = 2 * HOLDERS;
/// Number of answers that suffice, so that those asked for a record meet one that has taken it.
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
/// Those at the default version come first: a stream without a record goes on only there, so that
/// some of them are left whenever it could be joined. The rest of the order is a rendezvous hash.
#[must_use]
pub fn rank_holders<T>(
    key: &StreamKey,
    default: Option<&Option<Version>>,
    candidates: impl IntoIterator<Item = Holder<T>>,
) -> Vec<Holder<T>> {
    let ranked = candidates.into_iter().map(|holder| {
        let is_default = Some(&holder.version) == default;
        let mut hasher = blake3::Hasher::new();
        hasher.update(&key.to_bytes());
        hasher.update(holder.endpoint.as_str().as_bytes());
        let rank = (!is_default, *hasher.finalize().as_bytes());
        (rank, holder)
    });
    let mut ranked: Vec<_> = ranked.collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.truncate(HOLDERS_MAX);
    ranked.into_iter().map(|(_, holder)| holder).collect()
}
