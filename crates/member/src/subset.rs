//! The bounded subset of agents that one entry keeps links to.

use lentil_core::{EndpointId, EntryId, RegionId, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// Divisor of the share reserved for other availability zones of the region.
const REGION_SHARE_DIVISOR: usize = 4;
/// Divisor of the share reserved for other regions.
const REMOTE_SHARE_DIVISOR: usize = 8;

/// Availability zone and region of a process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// An agent that may be chosen for the subset.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The agent's endpoint.
    pub endpoint: &'a EndpointId,
    /// The location of its host.
    pub location: &'a Location,
}

fn rendezvous_hash(entry: &EntryId, endpoint: &EndpointId) -> u64 {
    let mut text = String::with_capacity(64);
    text.push_str(entry.as_str());
    text.push('/');
    text.push_str(endpoint.as_str());
    xxh3_64(text.as_bytes())
}

/// Chooses at most `max` agents by rendezvous hashing.
///
/// Agents of the entry's own availability zone come first; a share is reserved
/// for the rest of the region and another one for other regions. Adding or
/// removing one agent replaces at most one member of the subset.
#[must_use]
pub fn choose_subset(
    entry: &EntryId,
    local: &Location,
    candidates: &[Candidate<'_>],
    max: usize,
) -> Vec<EndpointId> {
    let mut tiers: [Vec<(u64, &EndpointId)>; 3] = Default::default();
    let [zone, region, remote] = &mut tiers;
    for candidate in candidates {
        let tier = if candidate.location.zone == local.zone {
            &mut *zone
        } else if candidate.location.region == local.region {
            &mut *region
        } else {
            &mut *remote
        };
        tier.push((
            rendezvous_hash(entry, candidate.endpoint),
            candidate.endpoint,
        ));
    }
    for tier in &mut tiers {
        tier.sort_unstable();
    }
    let counts = tier_counts(tiers.each_ref().map(Vec::len), max);
    tiers
        .iter()
        .zip(counts)
        .flat_map(|(tier, count)| tier.iter().take(count))
        .map(|(_, endpoint)| (*endpoint).clone())
        .collect()
}

/// How many agents of each tier are chosen. Capacity that one tier can't fill
/// goes to the nearest tier that can.
fn tier_counts(available: [usize; 3], max: usize) -> [usize; 3] {
    let [zone, region, remote] = available;
    let remote_reserved = remote.min(max / REMOTE_SHARE_DIVISOR);
    let region_reserved = region.min(max / REGION_SHARE_DIVISOR);
    let zone_count = zone.min(max.saturating_sub(remote_reserved + region_reserved));
    let left = max.saturating_sub(zone_count + remote_reserved);
    let region_count = region.min(left);
    let remote_count = remote.min(max.saturating_sub(zone_count + region_count));
    [zone_count, region_count, remote_count]
}
