//! The choice of the engines whose observers an entry follows.

use std::collections::{BTreeMap, BTreeSet};

use lentil_core::{EndpointId, EntryId, ParseIdError, RegionId, ZoneId};
use lentil_member::{Candidate, Location, choose_subset};

/// Number of engines up to which an entry follows and uses all of them.
const WHOLE_FLEET_MAX: usize = 48;
/// Number of engines per availability zone whose observers read the log for the
/// entries of that zone, in the order in which entries try them.
const RELAYS_PER_ZONE: usize = 2;
/// Largest number of engines that all entries follow.
const COMMON_ENGINES_MAX: usize = 8;
/// The name under which the engines that all entries follow are chosen.
const COMMON_NAME: &str = "all-entries";

/// The engines that an entry follows, and for what.
///
/// With hundreds of entries and engines, following all engines costs each process more
/// than its requests do. An entry follows a bounded number, most of them in its own
/// availability zone, and places generations only there. Besides, all entries follow
/// the same few engines, one in each zone, whose observers therefore can count the
/// entries and pass on to all of them what each must know.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FollowedEngines {
    /// Engines to place generations at.
    pub placement: BTreeSet<EndpointId>,
    /// Engines that all entries follow.
    pub common: Vec<EndpointId>,
    /// Engines whose observers read the log for this entry, the preferred one first.
    pub relays: Vec<EndpointId>,
}

impl FollowedEngines {
    /// Chooses the engines for placement by the entry `name` in `zone`: all of them in a
    /// small fleet, otherwise at most `max`.
    ///
    /// # Errors
    /// The entry's name is no valid id.
    pub fn choose<'a>(
        name: &str,
        zone: &ZoneId,
        engines: impl IntoIterator<Item = (&'a EndpointId, &'a ZoneId)>,
        max: usize,
    ) -> Result<Self, ParseIdError> {
        let entry: EntryId = name.parse()?;
        let common_entry: EntryId = COMMON_NAME.parse()?;
        let region: RegionId = COMMON_NAME.parse()?;
        let location = |zone: &ZoneId| Location {
            zone: zone.clone(),
            region: region.clone(),
        };
        let engines: Vec<_> = engines
            .into_iter()
            .map(|(engine, zone)| (engine, location(zone)))
            .collect();
        let candidates: Vec<_> = engines
            .iter()
            .map(|(endpoint, location)| Candidate { endpoint, location })
            .collect();
        let mut by_zone: BTreeMap<&ZoneId, Vec<Candidate<'_>>> = BTreeMap::new();
        for candidate in &candidates {
            let zone = by_zone.entry(&candidate.location.zone).or_default();
            zone.push(candidate.clone());
        }
        let first_of = |zone: &ZoneId, count| {
            let candidates = by_zone.get(zone).map_or(&[][..], Vec::as_slice);
            choose_subset(&common_entry, &location(zone), candidates, count)
        };
        let common: Vec<_> = by_zone.keys().flat_map(|zone| first_of(zone, 1)).collect();
        let mut relays = first_of(zone, RELAYS_PER_ZONE);
        if relays.is_empty() {
            relays.extend(common.iter().take(RELAYS_PER_ZONE).cloned());
        }
        let max = if candidates.len() <= WHOLE_FLEET_MAX {
            candidates.len()
        } else {
            max
        };
        let placement = choose_subset(&entry, &location(zone), &candidates, max);
        Ok(Self {
            placement: placement.into_iter().collect(),
            common: common.into_iter().take(COMMON_ENGINES_MAX).collect(),
            relays,
        })
    }
}
