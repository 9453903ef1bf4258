//! The subset of agents that an entry keeps links to is bounded, prefers near
//! agents and changes little when agents come or go.

use std::collections::{BTreeMap, BTreeSet};

use lentil_core::{EndpointId, EntryId};
use lentil_member::{Candidate, Location, choose_subset};
use proptest::prelude::any;
use proptest::{collection, proptest};

use crate::support::{cases, endpoint, location};

const ZONES: [&str; 7] = [
    "ch-a", "ch-b", "ch-c", "kyushu-a", "kyushu-b", "kyushu-c", "nord-a",
];
const MAX: usize = 24;

type Agents = Vec<(EndpointId, Location)>;

fn agents(per_zone: &[usize]) -> Agents {
    let zone = |(zone, count): (&&str, &usize)| {
        let zone = *zone;
        (0..*count)
            .map(move |number| (endpoint(zone, number), location(zone)))
            .collect::<Vec<_>>()
    };
    ZONES.iter().zip(per_zone).flat_map(zone).collect()
}

fn chosen_set(entry: &str, home: &str, agents: &Agents) -> BTreeSet<EndpointId> {
    let entry: EntryId = entry.parse().unwrap();
    let candidates: Vec<Candidate<'_>> = agents
        .iter()
        .map(|(endpoint, location)| Candidate { endpoint, location })
        .collect();
    let chosen = choose_subset(&entry, &location(home), &candidates, MAX);
    let count = chosen.len();
    let set: BTreeSet<EndpointId> = chosen.into_iter().collect();
    assert_eq!(set.len(), count, "an agent is chosen twice");
    assert_eq!(count, agents.len().min(MAX), "the subset is not filled");
    set
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn one_change_replaces_at_most_one(
        per_zone in collection::vec(0..20_usize, ZONES.len()),
        removed in any::<proptest::sample::Index>(),
    ) {
        let all = agents(&per_zone);
        if all.is_empty() {
            return Ok(());
        }
        let mut fewer = all.clone();
        fewer.remove(removed.index(all.len()));
        let before = chosen_set("entry-1", "ch-a", &all);
        let after = chosen_set("entry-1", "ch-a", &fewer);
        assert!(before.difference(&after).count() <= 1);
        assert!(after.difference(&before).count() <= 1);
    }
}

#[test]
fn near_agents_first_with_reserved_shares() {
    let all = agents(&[40; 7]);
    let set = chosen_set("entry-1", "ch-a", &all);
    let count_in = |zone: &str| {
        set.iter()
            .filter(|name| name.as_str().starts_with(zone))
            .count()
    };
    assert_eq!((count_in("ch-a"), count_in("ch"), set.len()), (15, 21, MAX));
}

#[test]
fn every_agent_is_chosen() {
    let all = agents(&[11; 7]);
    let mut entry_counts: BTreeMap<EndpointId, usize> = BTreeMap::new();
    for number in 0..360 {
        let home = ZONES[number % ZONES.len()];
        for name in chosen_set(&format!("entry-{number}"), home, &all) {
            *entry_counts.entry(name).or_default() += 1;
        }
    }
    assert_eq!(entry_counts.len(), all.len(), "an agent has no entry");
}
