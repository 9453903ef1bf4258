//! Selection of the endpoints that an entry keeps links to.

use lentil_core::{EndpointId, EntryId, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// One link in this many goes to other availability zones.
const OTHER_ZONES_DIVISOR: usize = 3;

/// Selects at most `max` endpoints of a pool for one entry, by rendezvous hashing.
///
/// Endpoints in the entry's own availability zone are preferred, but a third of the links
/// goes to other availability zones, so that the entry can still reach endpoints when its own
/// one is lost. A change of the pool moves as few links as possible.
#[must_use]
pub fn endpoint_subset<'a>(
    entry: &EntryId,
    zone: &ZoneId,
    pool: impl IntoIterator<Item = (&'a EndpointId, &'a ZoneId)>,
    max: usize,
) -> Vec<EndpointId> {
    let seed = xxh3_64_with_seed(entry.as_str().as_bytes(), 0);
    let rank = |id: &EndpointId| xxh3_64_with_seed(id.as_str().as_bytes(), seed);
    let (mut same_zone, mut other_zones): (Vec<_>, Vec<_>) = pool
        .into_iter()
        .partition(|(_, endpoint_zone)| *endpoint_zone == zone);
    same_zone.sort_by_key(|(id, _)| rank(id));
    other_zones.sort_by_key(|(id, _)| rank(id));
    let other_zones_min = other_zones.len().min(max.div_ceil(OTHER_ZONES_DIVISOR));
    let same_zone_count = same_zone.len().min(max - other_zones_min);
    same_zone.truncate(same_zone_count);
    other_zones.truncate(max - same_zone_count);
    same_zone
        .into_iter()
        .chain(other_zones)
        .map(|(id, _)| id.clone())
        .collect()
}
