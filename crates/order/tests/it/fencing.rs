//! An engine never executes an order after one with a larger fence number.

use lentil_core::{Span, Time};
use lentil_order::EngineFencing;
use lentil_scenario::Subject;
use proptest::prelude::*;

use crate::simulation::{Simulation, Step};

/// Exclusive upper bound of the boots of the successive agents.
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

/// A prefix of the steps that one agent takes from a request to a loaded model.
fn agent_run() -> impl Strategy<Value = Vec<Step>> {
    let full_length = 11_usize;
    let length = prop_oneof![Just(full_length), 1..full_length];
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

/// A takeover: a successor claims and orders while its predecessor still delays an
/// order.
fn takeover() -> impl Strategy<Value = Vec<(u64, Step)>> {
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
        let advance = |boot| {
            [
                Step::Tick(boot),
                Step::Append(boot),
                Step::Read(boot),
                Step::Ask(boot),
            ]
        };
        let parts = [
            [claim(old, "a").as_slice(), &advance(old)].concat(),
            claim(new, "b").to_vec(),
            [
                advance(new).as_slice(),
                &advance(new),
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

/// Steps, each with the time that passes before it.
fn steps() -> impl Strategy<Value = Vec<(u64, Step)>> {
    let wait_ms = || prop_oneof![6 => 0..300_u64, 1 => 0..15_000_u64];
    let sequence = prop_oneof![1 => step().prop_map(|step| vec![step]), 2 => agent_run()];
    let timed = sequence.prop_flat_map(move |steps| {
        let waits = prop::collection::vec(wait_ms(), steps.len());
        waits.prop_map(move |waits| waits.into_iter().zip(steps.clone()).collect::<Vec<_>>())
    });
    let timed = prop_oneof![2 => timed, 1 => takeover()];
    prop::collection::vec(timed, 0..40).prop_map(|parts| parts.concat())
}

fn executed_numbers(fencing: EngineFencing, steps: &[(u64, Step)]) -> Vec<u64> {
    let mut simulation = Simulation::new(fencing);
    let mut now = Time::ZERO;
    for boot in 1..BOOTS {
        simulation.apply(now, Step::Start(boot));
    }
    for (wait_ms, step) in steps {
        now = now + Span::from_ms(*wait_ms);
        simulation.apply(now, step.clone());
    }
    simulation
        .executed
        .iter()
        .map(|number| number.get())
        .collect()
}

proptest! {
    #![proptest_config(crate::seeded_config(400))]

    #[test]
    fn executed_fence_numbers_ascend(
        steps in steps(),
        ignores in any::<bool>(),
    ) {
        let fencing = if ignores { EngineFencing::Ignored } else { EngineFencing::Enforced };
        let numbers = executed_numbers(fencing, &steps);
        prop_assert!(numbers.is_sorted(), "{numbers:?}");
    }
}

#[test]
fn generated_steps_execute_orders() {
    use proptest::strategy::ValueTree as _;
    let mut runner = proptest::test_runner::TestRunner::new(crate::seeded_config(1));
    let orders: usize = (0..100)
        .map(|_| steps().new_tree(&mut runner).unwrap().current())
        .map(|steps| executed_numbers(EngineFencing::Ignored, &steps).len())
        .sum();
    assert!(orders > 100, "only {orders} orders in 100 runs");
}
