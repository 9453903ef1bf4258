//! The claim table keeps the limits on concurrent changes, and all readers agree.

use std::collections::BTreeMap;

use lentil_core::{BootId, EndpointId, FenceNumber, Offset};
use lentil_order::{Assignment, Bounds, Claim, ClaimTable, Record, RecordEffect};
use proptest::prelude::*;

use crate::simulation::assignment;

const MODELS: [&str; 3] = ["a", "b", "c"];
const ENDPOINTS: usize = 12;

#[derive(Debug, Clone)]
enum Op {
    Claim { endpoint: usize, model: usize },
    Finish(usize),
    Drop(usize),
    Observe,
}

fn op() -> impl Strategy<Value = Op> {
    let endpoint = 0..ENDPOINTS;
    prop_oneof![
        4 => (endpoint.clone(), 0..MODELS.len()).prop_map(|(endpoint, model)| Op::Claim { endpoint, model }),
        3 => endpoint.clone().prop_map(Op::Finish),
        1 => endpoint.prop_map(Op::Drop),
        1 => Just(Op::Observe),
    ]
}

/// The actual state of an availability zone, next to the outdated counts that
/// claimants use.
struct ReferenceZone {
    bounds: Bounds,
    records: Vec<Record>,
    claim_table: ClaimTable,
    loaded: Vec<Assignment>,
    running: BTreeMap<usize, (FenceNumber, Assignment)>,
    /// Replicas by model as of an earlier offset, on which claims are based.
    observed: (Offset, BTreeMap<String, u32>),
    sequence: u64,
}

fn endpoint_id(endpoint: usize) -> EndpointId {
    format!("e{endpoint}").parse().unwrap()
}

impl ReferenceZone {
    fn new(bounds: Bounds) -> Self {
        let loaded = (0..ENDPOINTS).map(|index| assignment(MODELS[index % MODELS.len()]));
        let mut zone = Self {
            bounds,
            records: Vec::new(),
            claim_table: ClaimTable::new(),
            loaded: loaded.collect(),
            running: BTreeMap::new(),
            observed: (Offset::default(), BTreeMap::new()),
            sequence: 0,
        };
        zone.observe();
        zone
    }

    fn live(&self, model: &str) -> u32 {
        let serves = |index: &usize| !self.running.contains_key(index);
        let held = (0..ENDPOINTS).filter(serves);
        let live = held.filter(|index| self.loaded[*index].model.as_str() == model);
        u32::try_from(live.count()).unwrap()
    }

    fn observe(&mut self) {
        let counts = MODELS.map(|model| (model.to_owned(), self.live(model)));
        self.observed = (self.claim_table.next_offset(), counts.into());
    }

    fn append(&mut self, record: &Record) -> RecordEffect {
        self.records.push(record.clone());
        let offset = Offset::new(u64::try_from(self.records.len()).unwrap());
        self.claim_table.apply(offset, record)
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Observe => self.observe(),
            Op::Claim { endpoint, model } => self.claim(endpoint, MODELS[model]),
            Op::Finish(endpoint) => {
                if let Some((number, held)) = self.running.remove(&endpoint) {
                    self.append(&Record::Finished {
                        endpoint: endpoint_id(endpoint),
                        number,
                    });
                    self.loaded[endpoint] = held;
                }
            }
            Op::Drop(endpoint) => {
                if let Some((number, _)) = self.running.remove(&endpoint) {
                    self.append(&Record::Dropped {
                        endpoint: endpoint_id(endpoint),
                        number,
                    });
                }
            }
        }
    }

    fn claim(&mut self, endpoint: usize, model: &str) {
        let from = self.loaded[endpoint].model.clone();
        if self.running.contains_key(&endpoint) || from.as_str() == model {
            return;
        }
        self.sequence += 1;
        let claim = Claim {
            endpoint: endpoint_id(endpoint),
            boot: BootId::new(1),
            sequence: self.sequence,
            from_live: self.observed.1[from.as_str()],
            from: Some(from),
            to: assignment(model),
            to_live: 0,
            read_to: self.observed.0,
            bounds: self.bounds,
        };
        let to = claim.to.clone();
        if let RecordEffect::Granted(number) = self.append(&Record::Claim(claim)) {
            self.running.insert(endpoint, (number, to));
        }
    }

    fn fetching(&self) -> u32 {
        let claims = self.running.iter();
        let claims = claims.filter(|(index, (number, _))| {
            self.claim_table.may_fetch(&endpoint_id(**index), *number)
        });
        u32::try_from(claims.count()).unwrap()
    }

    fn leaving(&self, model: &str) -> usize {
        let leaving = self.running.keys();
        leaving
            .filter(|index| self.loaded[**index].model.as_str() == model)
            .count()
    }
}

proptest! {
    #![proptest_config(crate::seeded_config(400))]

    #[test]
    fn limits_are_kept(
        ops in prop::collection::vec(op(), 0..120),
        changing_max in 1..4_u32,
        replicas_min in 0..4_u32,
        fetching_max in 1..4_u32,
    ) {
        let bounds = Bounds { changing_max, replicas_min, fetching_max };
        let mut zone = ReferenceZone::new(bounds);
        for op in &ops {
            zone.apply(op);
            for model in MODELS {
                prop_assert!(zone.live(model) >= replicas_min, "{model} fell below its minimum number of replicas");
                prop_assert!(zone.leaving(model) <= usize::try_from(changing_max).unwrap());
            }
            prop_assert!(zone.fetching() <= fetching_max);
            let has_waiting = zone.running.len() > usize::try_from(zone.fetching()).unwrap();
            prop_assert!(!has_waiting || zone.fetching() == fetching_max, "a fetch slot is free while a claim waits");
        }
    }

    #[test]
    fn readers_agree(ops in prop::collection::vec(op(), 0..120), replay_at in 0..120_usize) {
        let bounds = Bounds { changing_max: 2, replicas_min: 1, fetching_max: 2 };
        let mut zone = ReferenceZone::new(bounds);
        ops.iter().for_each(|op| zone.apply(op));
        let mut reader = ClaimTable::new();
        for (index, record) in zone.records.iter().enumerate() {
            reader.apply(Offset::new(u64::try_from(index).unwrap() + 1), record);
            if index == replay_at {
                for (index, record) in zone.records.iter().enumerate().take(replay_at) {
                    reader.apply(Offset::new(u64::try_from(index).unwrap() + 1), record);
                }
            }
        }
        prop_assert!(reader.running_claims().eq(zone.claim_table.running_claims()));
    }
}
