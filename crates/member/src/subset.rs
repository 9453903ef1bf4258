//! The bounded set of agents that one entry keeps links to.

use lentil_core::{EndpointId, EntryId, RegionId, ZoneId};
use xxhash_rust::xxh3::xxh3_64;

/// Part of the set kept for other availability zones of the region.
const REGION_PART: usize = 4;
/// Part of the set kept for other regions.
const FAR_PART: usize = 8;

/// Where a process is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Location {
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// An agent that could be chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its endpoint.
    pub endpoint: &'a EndpointId,
    /// Where it is.
    pub location: &'a Location,
}

fn weight(entry: &EntryId, endpoint: &EndpointId) -> u64 {
    let mut text = String::with_capacity(64);
    text.push_str(entry.as_str());
    text.push('/');
    text.push_str(endpoint.as_str());
    xxh3_64(text.as_bytes())
}

/// Chooses at most `max` agents by rendezvous hash: those of the entry's own
/// zone first, with a part kept for the rest of the region and for other
/// regions. One agent more or less changes one location of the set.
#[must_use]
pub fn choose_subset(
    entry: &EntryId,
    home: &Location,
    candidates: &[Candidate<'_>],
    max: usize,
) -> Vec<EndpointId> {
    let mut tiers: [Vec<(u64, &EndpointId)>; 3] = Default::default();
    let [zone, region, far] = &mut tiers;
    for candidate in candidates {
        let tier = if candidate.location.zone == home.zone {
            &mut *zone
        } else if candidate.location.region == home.region {
            &mut *region
        } else {
            &mut *far
        };
        tier.push((weight(entry, candidate.endpoint), candidate.endpoint));
    }
    for tier in &mut tiers {
        tier.sort_unstable();
    }
    let counts = shares(tiers.each_ref().map(Vec::len), max);
    tiers
        .iter()
        .zip(counts)
        .flat_map(|(tier, count)| tier.iter().take(count))
        .map(|(_, endpoint)| (*endpoint).clone())
        .collect()
}

/// How many of each tier are taken. What one tier can't fill goes to the next
/// nearest that can.
fn shares(held: [usize; 3], max: usize) -> [usize; 3] {
    let [zone, region, far] = held;
    let far_kept = far.min(max / FAR_PART);
    let region_kept = region.min(max / REGION_PART);
    let zone_taken = zone.min(max.saturating_sub(far_kept + region_kept));
    let left = max.saturating_sub(zone_taken + far_kept);
    let region_taken = region.min(left);
    let far_taken = far.min(max.saturating_sub(zone_taken + region_taken));
    [zone_taken, region_taken, far_taken]
}
