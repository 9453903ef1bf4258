//! Invariants of admission under random sequences of events.

use std::collections::{BTreeMap, BTreeSet};

use lentil_admit::{Action, Event};
use lentil_core::{AttemptId, Blocks, Priority, Span, TokenCount};
use proptest::prelude::{prop_assert, proptest};
use proptest::test_runner::TestCaseError;

use crate::fixtures::{CONFIG, admission, at_ms, attempt, generation, seeded_config};

/// Reference model: the state that a caller of admission can derive from the actions.
#[derive(Default)]
struct Model {
    running: BTreeMap<AttemptId, u32>,
    /// Preempted generations, which may be resumed even at a leaving endpoint.
    preempted: BTreeSet<AttemptId>,
    waiting: BTreeSet<AttemptId>,
    suspects: BTreeSet<AttemptId>,
    up: bool,
    withdrawn: bool,
    finished_since_cold: u32,
}

impl Model {
    fn apply(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Start { attempt, generated } => {
                    prop_assert!(self.up, "started while the endpoint is down");
                    let resumed = self.preempted.remove(&attempt);
                    prop_assert!(
                        resumed || !self.withdrawn,
                        "new generation started at a leaving endpoint"
                    );
                    prop_assert!(
                        resumed || self.waiting.remove(&attempt),
                        "started without waiting"
                    );
                    self.running.insert(attempt, generated.get());
                    let limit = CONFIG.cold_slots + self.finished_since_cold.saturating_sub(7);
                    let concurrency = u32::try_from(self.running.len()).unwrap();
                    prop_assert!(
                        concurrency <= limit.min(CONFIG.slots),
                        "above the concurrency limit"
                    );
                    let no_suspects = self.running.keys().all(|a| !self.suspects.contains(a));
                    prop_assert!(
                        no_suspects || concurrency == 1,
                        "a suspect does not run alone"
                    );
                }
                Action::Preempt { attempt } => {
                    prop_assert!(self.running.remove(&attempt).is_some());
                    self.preempted.insert(attempt);
                }
                Action::Refuse { attempt, .. } => {
                    prop_assert!(
                        self.waiting.remove(&attempt),
                        "refused an attempt that was not waiting"
                    );
                }
            }
        }
        let queue_limit = usize::try_from(CONFIG.waiting_max).unwrap();
        prop_assert!(
            self.waiting.len() <= queue_limit,
            "{} requests waiting",
            self.waiting.len()
        );
        Ok(())
    }

    fn reset_endpoint(&mut self) {
        self.running.clear();
        self.preempted.clear();
        self.finished_since_cold = 0;
    }

    fn event(&mut self, number: u64, kind: u8, choice: usize) -> Event {
        let running: Vec<AttemptId> = self.running.keys().copied().collect();
        let picked_attempt = running.get(choice % running.len().max(1)).copied();
        match (kind, picked_attempt) {
            (0..=5, _) => {
                let mut spec = generation(number, Priority::ALL[choice % 3]);
                spec.suspect = choice.is_multiple_of(13);
                spec.deadline = at_ms(number * 40 + 3_000);
                if spec.suspect {
                    self.suspects.insert(spec.attempt);
                }
                self.waiting.insert(spec.attempt);
                Event::Arrived(spec)
            }
            (6..=9, Some(attempt)) => {
                let tokens = self.running.entry(attempt).or_default();
                *tokens += u32::try_from(choice % 200).unwrap();
                Event::Progress {
                    attempt,
                    generated: TokenCount::new(*tokens),
                }
            }
            (10 | 11, Some(attempt)) => {
                self.running.remove(&attempt);
                self.finished_since_cold += 1;
                Event::Finished { attempt }
            }
            (12, Some(attempt)) => {
                self.running.remove(&attempt);
                Event::Dropped { attempt }
            }
            (13, _) if choice.is_multiple_of(5) => {
                self.up = false;
                self.reset_endpoint();
                Event::EndpointDown
            }
            (14, _) => {
                self.up = true;
                self.reset_endpoint();
                Event::EndpointStarted { foreign: 0 }
            }
            (15, _) => {
                self.withdrawn = choice.is_multiple_of(2);
                Event::Withdrawn(self.withdrawn)
            }
            (16, _) => Event::EngineLoad {
                running: 3,
                blocks_used: Blocks::new(u32::try_from(choice % 400).unwrap()),
            },
            _ => Event::Tick,
        }
    }
}

proptest! {
    #![proptest_config(seeded_config(256))]

    /// Concurrency stays within the warm-up limit, a leaving endpoint gets nothing new, the wait
    /// queue is bounded, suspects run alone and each attempt starts once.
    #[test]
    fn invariants_hold(steps in proptest::collection::vec((0_u8..18, 0_usize..1_000, 0_u64..200), 1..300)) {
        let mut admission = admission();
        let mut model = Model { up: true, ..Model::default() };
        let mut now = at_ms(0);
        model.apply(admission.on(now, Event::EndpointStarted { foreign: 0 }))?;
        for (number, (kind, choice, wait_ms)) in (0..).zip(steps) {
            now = now + Span::from_ms(wait_ms);
            let event = model.event(number, kind, choice);
            let actions = admission.on(now, event);
            model.apply(actions)?;
            let load = admission.load(now);
            prop_assert!(load.free_slots == 0 || load.state.accepts_requests());
        }
    }

}

proptest! {
    #![proptest_config(seeded_config(24))]

    /// When outputs get longer than forecast, generations are preempted before the engine runs
    /// out of memory, unless only one is left, and all of them complete in the end.
    #[test]
    fn memory_is_never_exceeded(lengths in proptest::collection::vec(1_u32..1_500, 20..120)) {
        let mut admission = admission();
        let mut now = at_ms(0);
        admission.on(now, Event::EndpointStarted { foreign: 0 });
        let mut queued: Vec<(AttemptId, u32)> = Vec::new();
        let mut running: BTreeMap<AttemptId, u32> = BTreeMap::new();
        let mut arrivals = (0_u64..).zip(lengths);
        let output_lengths: &mut BTreeMap<AttemptId, u32> = &mut BTreeMap::new();
        for step in 0..40_000 {
            if step > 500 && running.is_empty() && queued.is_empty() {
                break;
            }
            now = now + Span::from_ms(20);
            let mut actions = admission.on(now, Event::Tick);
            if queued.len() < 4 && let Some((number, length)) = arrivals.next() {
                output_lengths.insert(attempt(number), length);
                queued.push((attempt(number), length));
                actions.extend(admission.on(now, Event::Arrived(generation(number, Priority::Report))));
            }
            for id in running.keys().copied().collect::<Vec<_>>() {
                let Some(tokens) = running.get_mut(&id) else { continue };
                *tokens += 1;
                let generated = TokenCount::new(*tokens);
                actions.extend(admission.on(now, Event::Progress { attempt: id, generated }));
                if generated.get() >= output_lengths[&id] {
                    running.remove(&id);
                    actions.extend(admission.on(now, Event::Finished { attempt: id }));
                }
                for action in actions.drain(..) {
                    match action {
                        Action::Start { attempt, generated } => {
                            queued.retain(|(id, _)| *id != attempt);
                            running.insert(attempt, generated.get());
                        }
                        Action::Preempt { attempt } => { running.remove(&attempt); }
                        Action::Refuse { .. } => prop_assert!(false, "nothing should be refused"),
                    }
                }
                let total_blocks: u32 = running.values().map(|t| (64 + t).div_ceil(16)).sum();
                prop_assert!(total_blocks <= CONFIG.blocks.get() || running.len() == 1, "{total_blocks} blocks");
            }
            for action in actions.drain(..) {
                if let Action::Start { attempt, generated } = action {
                    queued.retain(|(id, _)| *id != attempt);
                    running.insert(attempt, generated.get());
                }
            }
        }
        prop_assert!(running.is_empty() && queued.is_empty(), "not all generations completed");
    }
}
