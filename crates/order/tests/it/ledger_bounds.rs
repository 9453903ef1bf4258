//! The fold of the order stream keeps its bounds, and all readers agree.

use std::collections::BTreeMap;

use lentil_core::{BootId, EndpointId, FenceNumber, Offset};
use lentil_order::{Assignment, Bounds, Claim, ClaimTable, Record, RecordEffect};
use proptest::prelude::*;

use crate::world::assignment;

const MODELS: [&str; 3] = ["a", "b", "c"];
const ENDPOINTS: usize = 12;

#[derive(Debug, Clone)]
enum Op {
    Claim { endpoint: usize, model: usize },
    Finish(usize),
    Drop(usize),
    Look,
}

fn op() -> impl Strategy<Value = Op> {
    let endpoint = 0..ENDPOINTS;
    prop_oneof![
        4 => (endpoint.clone(), 0..MODELS.len()).prop_map(|(endpoint, model)| Op::Claim { endpoint, model }),
        3 => endpoint.clone().prop_map(Op::Finish),
        1 => endpoint.prop_map(Op::Drop),
        1 => Just(Op::Look),
    ]
}

/// What is so, beside what claimants believe.
struct Truth {
    bounds: Bounds,
    records: Vec<Record>,
    claim_table: ClaimTable,
    loaded: Vec<Assignment>,
    running: BTreeMap<usize, (FenceNumber, Assignment)>,
    /// Counts by model as of an earlier offset, which claimants go by.
    seen: (Offset, BTreeMap<String, u32>),
    sequence: u64,
}

fn name(endpoint: usize) -> EndpointId {
    format!("e{endpoint}").parse().unwrap()
}

impl Truth {
    fn new(bounds: Bounds) -> Self {
        let loaded = (0..ENDPOINTS).map(|index| assignment(MODELS[index % MODELS.len()]));
        let mut truth = Self {
            bounds,
            records: Vec::new(),
            claim_table: ClaimTable::new(),
            loaded: loaded.collect(),
            running: BTreeMap::new(),
            seen: (Offset::default(), BTreeMap::new()),
            sequence: 0,
        };
        truth.look();
        truth
    }

    fn live(&self, model: &str) -> u32 {
        let serves = |index: &usize| !self.running.contains_key(index);
        let held = (0..ENDPOINTS).filter(serves);
        let live = held.filter(|index| self.loaded[*index].model.as_str() == model);
        u32::try_from(live.count()).unwrap()
    }

    fn look(&mut self) {
        let counts = MODELS.map(|model| (model.to_owned(), self.live(model)));
        self.seen = (self.claim_table.next_offset(), counts.into());
    }

    fn append(&mut self, record: &Record) -> RecordEffect {
        self.records.push(record.clone());
        let offset = Offset::new(u64::try_from(self.records.len()).unwrap());
        self.claim_table.apply(offset, record)
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Look => self.look(),
            Op::Claim { endpoint, model } => self.claim(endpoint, MODELS[model]),
            Op::Finish(endpoint) => {
                if let Some((number, held)) = self.running.remove(&endpoint) {
                    self.append(&Record::Finished {
                        endpoint: name(endpoint),
                        number,
                    });
                    self.loaded[endpoint] = held;
                }
            }
            Op::Drop(endpoint) => {
                if let Some((number, _)) = self.running.remove(&endpoint) {
                    self.append(&Record::Dropped {
                        endpoint: name(endpoint),
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
            endpoint: name(endpoint),
            boot: BootId::new(1),
            sequence: self.sequence,
            from_live: self.seen.1[from.as_str()],
            from: Some(from),
            to: assignment(model),
            to_live: 0,
            read_to: self.seen.0,
            bounds: self.bounds,
        };
        let to = claim.to.clone();
        if let RecordEffect::Granted(number) = self.append(&Record::Claim(claim)) {
            self.running.insert(endpoint, (number, to));
        }
    }

    fn fetching(&self) -> u32 {
        let turns = self.running.iter();
        let turns = turns
            .filter(|(index, (number, _))| self.claim_table.may_fetch(&name(**index), *number));
        u32::try_from(turns.count()).unwrap()
    }

    fn leaving(&self, model: &str) -> usize {
        let leaving = self.running.keys();
        leaving
            .filter(|index| self.loaded[**index].model.as_str() == model)
            .count()
    }
}

proptest! {
    #![proptest_config(crate::seeded(400))]

    #[test]
    fn bounds_hold(
        ops in prop::collection::vec(op(), 0..120),
        changing_max in 1..4_u32,
        replicas_min in 0..4_u32,
        fetching_max in 1..4_u32,
    ) {
        let bounds = Bounds { changing_max, replicas_min, fetching_max };
        let mut truth = Truth::new(bounds);
        for op in &ops {
            truth.apply(op);
            for model in MODELS {
                prop_assert!(truth.live(model) >= replicas_min, "{model} fell below its floor");
                prop_assert!(truth.leaving(model) <= usize::try_from(changing_max).unwrap());
            }
            prop_assert!(truth.fetching() <= fetching_max);
            let waits = truth.running.len() > usize::try_from(truth.fetching()).unwrap();
            prop_assert!(!waits || truth.fetching() == fetching_max, "a turn is free while one waits");
        }
    }

    #[test]
    fn readers_agree(ops in prop::collection::vec(op(), 0..120), again in 0..120_usize) {
        let bounds = Bounds { changing_max: 2, replicas_min: 1, fetching_max: 2 };
        let mut truth = Truth::new(bounds);
        ops.iter().for_each(|op| truth.apply(op));
        let mut reader = ClaimTable::new();
        for (index, record) in truth.records.iter().enumerate() {
            reader.apply(Offset::new(u64::try_from(index).unwrap() + 1), record);
            if index == again {
                for (index, record) in truth.records.iter().enumerate().take(again) {
                    reader.apply(Offset::new(u64::try_from(index).unwrap() + 1), record);
                }
            }
        }
        prop_assert!(reader.running_claims().eq(truth.claim_table.running_claims()));
    }
}
