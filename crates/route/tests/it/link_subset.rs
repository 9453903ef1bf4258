//! The number of links per entry is bounded, whatever the size of the fleet.

use std::collections::BTreeSet;

use lentil_core::{EndpointId, EntryId, ZoneId};
use lentil_route::endpoint_subset;
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::{endpoint, seeded_config, zone};

fn pool(size: usize) -> Vec<(EndpointId, ZoneId)> {
    (0..size).map(|i| (endpoint(i), zone(i))).collect()
}

fn select(entry: usize, pool: &[(EndpointId, ZoneId)], max: usize) -> BTreeSet<EndpointId> {
    let entry: EntryId = format!("entry-{entry}").parse().unwrap();
    let pairs = pool.iter().map(|(id, endpoint_zone)| (id, endpoint_zone));
    endpoint_subset(&entry, &zone(0), pairs, max)
        .into_iter()
        .collect()
}

proptest! {
    #![proptest_config(seeded_config(64))]

    /// The subset has as many endpoints as allowed or available, and at least about a third of
    /// them in other availability zones.
    #[test]
    fn link_count_is_bounded(entry in 0_usize..400, size in 1_usize..600, max in 3_usize..64) {
        let pool = pool(size);
        let selected = select(entry, &pool, max);
        prop_assert!(selected.len() == size.min(max));
        if size > 3 {
            let other_zones = pool.iter().filter(|(id, z)| *z != zone(0) && selected.contains(id));
            prop_assert!(other_zones.count() * 3 + 3 >= selected.len().min(size));
        }
    }

    /// The removal of one endpoint moves at most one link.
    #[test]
    fn removal_moves_one_link(entry in 0_usize..400, size in 10_usize..300, removed in 0_usize..300) {
        let mut pool = pool(size);
        let before = select(entry, &pool, 48);
        pool.remove(removed % size);
        let after = select(entry, &pool, 48);
        prop_assert!(before.difference(&after).count() <= 1);
    }
}

/// With 360 entries and 600 replicas, at most 90 entries link to the same replica.
#[test]
fn links_are_spread_evenly() {
    let pool = pool(600);
    let mut links = std::collections::BTreeMap::new();
    for entry in 0..360 {
        for id in select(entry, &pool, 48) {
            *links.entry(id).or_insert(0_u32) += 1;
        }
    }
    let most = links.values().max().copied().unwrap();
    assert!(most <= 90, "{most} entries linked to one replica");
}
