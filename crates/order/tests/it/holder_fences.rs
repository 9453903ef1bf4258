//! No engine executes an order after one with a larger number.

use lentil_core::{Span, Time};
use lentil_order::EngineFencing;
use lentil_scenario::Subject;
use proptest::prelude::*;

use crate::world::{Step, World};

/// Agents that follow each other, and one.
const BOOTS: u64 = 6;

fn step() -> impl Strategy<Value = Step> {
    let boot = 1..BOOTS;
    prop_oneof![
        3 => (boot.clone(), "[ab]").prop_map(|(boot, model)| Step::Want { boot, model }),
        6 => boot.clone().prop_map(Step::Append),
        1 => boot.clone().prop_map(Step::Lose),
        8 => boot.clone().prop_map(Step::Read),
        6 => boot.clone().prop_map(Step::Send),
        1 => boot.clone().prop_map(Step::SendUnanswered),
        6 => boot.clone().prop_map(Step::Ask),
        6 => boot.prop_map(Step::Tick),
        4 => Just(Step::Load),
        1 => "[ab]".prop_map(Step::Foreign),
    ]
}

/// What an agent does in one go, up to some point.
fn burst() -> impl Strategy<Value = Vec<Step>> {
    let whole = 11_usize;
    let length = prop_oneof![Just(whole), 1..whole];
    (1..BOOTS, "[ab]", length).prop_map(|(boot, model, length)| {
        let steps = [
            Step::Want { boot, model },
            Step::Tick(boot),
            Step::Append(boot),
            Step::Append(boot),
            Step::Append(boot),
            Step::Read(boot),
            Step::Tick(boot),
            Step::Ask(boot),
            Step::Send(boot),
            Step::Load,
            Step::Tick(boot),
        ];
        steps.into_iter().take(length).collect()
    })
}

/// A successor claims and orders while its predecessor loaded an order back.
fn duel() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let wait_ms = || prop_oneof![0..300_u64, 0..15_000_u64];
    let waits = prop::collection::vec(wait_ms(), 4);
    (1..BOOTS - 1, waits).prop_map(|(old, waits)| {
        let new = old + 1;
        let claim = |boot, model: &str| {
            let model = model.to_owned();
            [
                Step::Want { boot, model },
                Step::Append(boot),
                Step::Read(boot),
            ]
        };
        let order = |boot| {
            [
                Step::Tick(boot),
                Step::Append(boot),
                Step::Read(boot),
                Step::Ask(boot),
            ]
        };
        let parts = [
            [claim(old, "a").as_slice(), &order(old)].concat(),
            claim(new, "b").to_vec(),
            [
                order(new).as_slice(),
                &order(new),
                &[Step::Send(new), Step::Load],
            ]
            .concat(),
            vec![Step::Send(old), Step::Load],
        ];
        let timed = parts.into_iter().zip(waits).flat_map(|(part, wait_ms)| {
            let waits = std::iter::once(wait_ms).chain(std::iter::repeat(10));
            waits.zip(part).collect::<Vec<_>>()
        });
        timed.collect()
    })
}

/// Steps with the time before each.
fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let wait_ms = || prop_oneof![6 => 0..300_u64, 1 => 0..15_000_u64];
    let some = prop_oneof![1 => step().prop_map(|step| vec![step]), 2 => burst()];
    let timed = some.prop_flat_map(move |steps| {
        let waits = prop::collection::vec(wait_ms(), steps.len());
        waits.prop_map(move |waits| waits.into_iter().zip(steps.clone()).collect::<Vec<_>>())
    });
    let timed = prop_oneof![2 => timed, 1 => duel()];
    prop::collection::vec(timed, 0..40).prop_map(|parts| parts.concat())
}

fn executed(fencing: EngineFencing, steps: &[(u64, Step)]) -> Vec<u64> {
    let mut world = World::new(fencing);
    let mut now = Time::ZERO;
    for boot in 1..BOOTS {
        world.apply(now, Step::Start(boot));
    }
    for (wait_ms, step) in steps {
        now = now + Span::from_ms(*wait_ms);
        world.apply(now, step.clone());
    }
    world.executed.iter().map(|number| number.get()).collect()
}

proptest! {
    #![proptest_config(crate::seeded(400))]

    #[test]
    fn orders_keep_their_order(
        steps in steps(),
        ignores in any::<bool>(),
    ) {
        let fencing = if ignores { EngineFencing::Ignored } else { EngineFencing::Enforced };
        let numbers = executed(fencing, &steps);
        prop_assert!(numbers.is_sorted(), "{numbers:?}");
    }
}

#[test]
fn steps_reach_orders() {
    use proptest::strategy::ValueTree as _;
    let mut runner = proptest::test_runner::TestRunner::new(crate::seeded(1));
    let orders: usize = (0..100)
        .map(|_| steps().new_tree(&mut runner).unwrap().current())
        .map(|steps| executed(EngineFencing::Ignored, &steps).len())
        .sum();
    assert!(orders > 100, "only {orders} orders in 100 runs");
}
