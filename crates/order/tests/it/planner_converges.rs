//! The plan converges to a state without changes and keeps its limits on the way.

use std::collections::BTreeMap;

use lentil_core::{ModelId, Permille, Span, Time, TokensPerSecond};
use lentil_order::{Assignment, EndpointView, ModelPlan, Planner, PresetPlan, ZoneView};
use proptest::prelude::*;

use crate::simulation::assignment;

const STABILIZATION_WINDOW: Span = Span::from_s(60);
const RATE: u64 = 1_000;

fn preset(models: usize, replicas_min: u32, changing_max: u32) -> PresetPlan {
    let plan = |index| {
        let mut assignment = assignment(&format!("m{index}"));
        assignment.version = "v2".parse().unwrap();
        let model: ModelId = assignment.model.clone();
        let replica_rate = TokensPerSecond::new(RATE);
        (
            model,
            ModelPlan {
                assignment,
                replicas_min,
                replica_rate,
            },
        )
    };
    PresetPlan {
        models: (0..models).map(plan).collect(),
        scale_up_above: Permille::new(800),
        scale_down_below: Permille::new(500),
        stabilization_window: STABILIZATION_WINDOW,
        changing_max,
        fetching_max: 4,
    }
}

fn view(held: &[Option<usize>], demand: &[u64]) -> ZoneView {
    let endpoint = |(index, held): (usize, &Option<usize>)| EndpointView {
        endpoint: format!("e{index:03}").parse().unwrap(),
        loaded: held.map(|model| assignment(&format!("m{model}"))),
        changing_to: None,
    };
    let demand = demand.iter().enumerate().map(|(index, rate)| {
        (
            format!("m{index}").parse().unwrap(),
            TokensPerSecond::new(*rate),
        )
    });
    ZoneView {
        endpoints: held.iter().enumerate().map(endpoint).collect(),
        demand: demand.collect(),
    }
}

fn live(view: &ZoneView) -> BTreeMap<ModelId, u32> {
    view.demand
        .keys()
        .map(|model| (model.clone(), view.live(model)))
        .collect()
}

proptest! {
    #![proptest_config(crate::seeded_config(200))]

    #[test]
    fn plan_converges(
        held in prop::collection::vec(prop::option::of(0..5_usize), 1..40),
        demand in prop::collection::vec(0..8_000_u64, 4),
        replicas_min in 0..3_u32,
        changing_max in 1..4_u32,
    ) {
        let preset = preset(4, replicas_min, changing_max);
        let mut view = view(&held, &demand);
        let mut planner = Planner::new();
        let mut idle_rounds = 0;
        for round in 0..200_u64 {
            let before = live(&view);
            let changes = planner.plan(Time::ZERO + STABILIZATION_WINDOW.times(round), &preset, &view);
            idle_rounds = if changes.is_empty() { idle_rounds + 1 } else { 0 };
            for model in preset.models.keys() {
                let leaving = changes.iter().filter(|change| change.from.as_ref() == Some(model));
                prop_assert!(leaving.count() <= usize::try_from(changing_max).unwrap());
            }
            let mut changed: Vec<_> = changes.iter().map(|change| change.endpoint.clone()).collect();
            changed.sort();
            changed.dedup();
            prop_assert_eq!(changed.len(), changes.len(), "an endpoint is planned to change twice");
            for change in changes {
                let index = view.endpoints.iter().position(|e| e.endpoint == change.endpoint);
                view.endpoints[index.unwrap()].loaded = Some(change.to);
            }
            for (model, count) in live(&view) {
                prop_assert!(count >= before[&model].min(replicas_min), "{model} fell below its minimum number of replicas");
            }
        }
        prop_assert!(idle_rounds > 2, "still changing after 200 rounds");
    }

    #[test]
    fn short_peaks_cause_no_change(peak in 0..100_000_u64) {
        let preset = preset(2, 1, 2);
        let mut view = view(&[Some(0), Some(0), Some(1), Some(1)], &[900, 900]);
        for endpoint in &mut view.endpoints {
            let model = endpoint.loaded.as_ref().map(|held: &Assignment| held.model.clone()).unwrap();
            endpoint.loaded = Some(preset.models[&model].assignment.clone());
        }
        let mut planner = Planner::new();
        prop_assert!(planner.plan(Time::ZERO, &preset, &view).is_empty());
        view.demand.insert("m0".parse().unwrap(), TokensPerSecond::new(peak));
        let before_window_ends = Time::ZERO + Span::from_s(59);
        prop_assert!(planner.plan(Time::from_us(1), &preset, &view).is_empty());
        prop_assert!(planner.plan(before_window_ends, &preset, &view).is_empty());
    }
}

#[test]
fn demand_moves_a_replica() {
    let preset = preset(2, 1, 2);
    let mut view = view(&[Some(0), Some(0), Some(1), Some(1)], &[2_000, 100]);
    for endpoint in &mut view.endpoints {
        let model = endpoint
            .loaded
            .as_ref()
            .map(|held| held.model.clone())
            .unwrap();
        endpoint.loaded = Some(preset.models[&model].assignment.clone());
    }
    let mut planner = Planner::new();
    planner.plan(Time::ZERO, &preset, &view);
    let changes = planner.plan(Time::ZERO + STABILIZATION_WINDOW, &preset, &view);
    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].from.as_ref().unwrap().as_str(), "m1");
    assert_eq!(changes[0].to.model.as_str(), "m0");
}
