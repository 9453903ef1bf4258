//! The endpoints that an entry keeps links to.

use lentil_core::{EndpointId, EntryId, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One link in this many goes to other availability zones.
const OTHER_ZONES_PART: usize = 3;

/// At most `max` endpoints of a pool, for one entry, by rendezvous hash.
///
/// The entry's own zone comes first, but a third of the links goes elsewhere,
/// so that the loss of a zone leaves somewhere to go. A change of the pool moves
/// as few links as it must.
#[must_use]
pub fn endpoint_subset<'a>(
    entry: &EntryId,
    zone: &ZoneId,
    pool: impl IntoIterator<Item = (&'a EndpointId, &'a ZoneId)>,
    max: usize,
) -> Vec<EndpointId> {
    let seed = xxh3_64_with_seed(entry.as_str().as_bytes(), 0);
    let rank = |id: &EndpointId| xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let (mut near, mut far): (Vec<_>, Vec<_>) =
        pool.into_iter().partition(|(_, place)| *place == zone);
    near.sort_by_key(|(id, _)| rank(id));
    far.sort_by_key(|(id, _)| rank(id));
    let far_min = far.len().min(max.div_ceil(OTHER_ZONES_PART));
    let near_count = near.len().min(max - far_min);
    near.truncate(near_count);
    far.truncate(max - near_count);
    near.into_iter()
        .chain(far)
        .map(|(id, _)| id.clone())
        .collect()
}
