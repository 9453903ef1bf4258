//! Links per entry stay bounded, whatever the size of the fleet.

use std::collections::BTreeSet;

use lentil_core::{EndpointId, EntryId, ZoneId};
use lentil_route::endpoint_subset;
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::{config, endpoint, zone};

fn pool(size: usize) -> Vec<(EndpointId, ZoneId)> {
    (0..size).map(|i| (endpoint(i), zone(i))).collect()
}

fn pick(entry: usize, pool: &[(EndpointId, ZoneId)], max: usize) -> BTreeSet<EndpointId> {
    let entry: EntryId = format!("entry-{entry}").parse().unwrap();
    let pairs = pool.iter().map(|(id, place)| (id, place));
    endpoint_subset(&entry, &zone(0), pairs, max)
        .into_iter()
        .collect()
}

proptest! {
    #![proptest_config(config(64))]

    /// The subset is bounded, full when it can be, and reaches other zones.
    #[test]
    fn bounded_links(entry in 0_usize..400, size in 1_usize..600, max in 3_usize..64) {
        let pool = pool(size);
        let picked = pick(entry, &pool, max);
        prop_assert!(picked.len() == size.min(max));
        if size > 3 {
            let elsewhere = pool.iter().filter(|(id, z)| *z != zone(0) && picked.contains(id));
            prop_assert!(elsewhere.count() * 3 + 3 >= picked.len().min(size));
        }
    }

    /// Losing one endpoint moves at most one link.
    #[test]
    fn small_moves(entry in 0_usize..400, size in 10_usize..300, gone in 0_usize..300) {
        let mut pool = pool(size);
        let before = pick(entry, &pool, 48);
        pool.remove(gone % size);
        let after = pick(entry, &pool, 48);
        prop_assert!(before.difference(&after).count() <= 1);
    }
}

/// 360 entries spread over 600 replicas without a crowd at one of them.
#[test]
fn even_spread() {
    let pool = pool(600);
    let mut links = std::collections::BTreeMap::new();
    for entry in 0..360 {
        for id in pick(entry, &pool, 48) {
            *links.entry(id).or_insert(0_u32) += 1;
        }
    }
    let most = links.values().max().copied().unwrap();
    assert!(most <= 90, "{most} entries at one replica");
}
