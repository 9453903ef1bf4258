//! Rules that hold under any order of events.

use std::collections::{BTreeMap, BTreeSet};

use lentil_admit::{Action, Event};
use lentil_core::{AttemptId, Blocks, Priority, Span, TokenCount};
use proptest::prelude::{prop_assert, proptest};
use proptest::test_runner::TestCaseError;

use crate::fixtures::{SHAPE, admission, at_ms, attempt, config, work};

/// What the outside knows.
#[derive(Default)]
struct World {
    running: BTreeMap<AttemptId, u32>,
    /// Begun and preempted; may come back even to a leaving endpoint.
    preempted: BTreeSet<AttemptId>,
    waiting: BTreeSet<AttemptId>,
    suspects: BTreeSet<AttemptId>,
    up: bool,
    withdrawn: bool,
    finished_since_cold: u32,
}

impl World {
    fn apply(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Start { attempt, generated } => {
                    prop_assert!(self.up, "started at a dead endpoint");
                    let again = self.preempted.remove(&attempt);
                    prop_assert!(again || !self.withdrawn, "new work for a leaving endpoint");
                    prop_assert!(again || self.waiting.remove(&attempt), "started twice");
                    self.running.insert(attempt, generated.get());
                    let bound = SHAPE.cold_slots + self.finished_since_cold.saturating_sub(7);
                    let side_by_side = u32::try_from(self.running.len()).unwrap();
                    prop_assert!(
                        side_by_side <= bound.min(SHAPE.slots),
                        "above the cold bound"
                    );
                    let alone = self.running.keys().all(|a| !self.suspects.contains(a));
                    prop_assert!(alone || side_by_side == 1, "a suspect is not alone");
                }
                Action::Preempt { attempt } => {
                    prop_assert!(self.running.remove(&attempt).is_some());
                    self.preempted.insert(attempt);
                }
                Action::Refuse { attempt, .. } => {
                    prop_assert!(self.waiting.remove(&attempt), "refused what had begun");
                }
            }
        }
        let room = usize::try_from(SHAPE.waiting_max).unwrap();
        prop_assert!(self.waiting.len() <= room, "{} wait", self.waiting.len());
        Ok(())
    }

    fn lose_all(&mut self) {
        self.running.clear();
        self.preempted.clear();
        self.finished_since_cold = 0;
    }

    fn event(&mut self, number: u64, kind: u8, pick: usize) -> Event {
        let running: Vec<AttemptId> = self.running.keys().copied().collect();
        let picked = running.get(pick % running.len().max(1)).copied();
        match (kind, picked) {
            (0..=5, _) => {
                let mut new = work(number, Priority::ALL[pick % 3]);
                new.suspect = pick.is_multiple_of(13);
                new.deadline = at_ms(number * 40 + 3_000);
                if new.suspect {
                    self.suspects.insert(new.attempt);
                }
                self.waiting.insert(new.attempt);
                Event::Arrived(new)
            }
            (6..=9, Some(attempt)) => {
                let tokens = self.running.entry(attempt).or_default();
                *tokens += u32::try_from(pick % 200).unwrap();
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
            (13, _) if pick.is_multiple_of(5) => {
                self.up = false;
                self.lose_all();
                Event::EndpointDown
            }
            (14, _) => {
                self.up = true;
                self.lose_all();
                Event::EndpointStarted { foreign: 0 }
            }
            (15, _) => {
                self.withdrawn = pick.is_multiple_of(2);
                Event::Withdrawn(self.withdrawn)
            }
            (16, _) => Event::EngineLoad {
                running: 3,
                blocks_used: Blocks::new(u32::try_from(pick % 400).unwrap()),
            },
            _ => Event::Tick,
        }
    }
}

proptest! {
    #![proptest_config(config(256))]

    /// Cold bound, no new work when leaving, bounded waiting, one start each.
    #[test]
    fn always_hold(steps in proptest::collection::vec((0_u8..18, 0_usize..1_000, 0_u64..200), 1..300)) {
        let mut admission = admission();
        let mut world = World { up: true, ..World::default() };
        let mut now = at_ms(0);
        world.apply(admission.on(now, Event::EndpointStarted { foreign: 0 }))?;
        for (number, (kind, pick, wait_ms)) in (0..).zip(steps) {
            now = now + Span::from_ms(wait_ms);
            let event = world.event(number, kind, pick);
            let actions = admission.on(now, event);
            world.apply(actions)?;
            let load = admission.load(now);
            prop_assert!(load.free_slots == 0 || load.state.accepts_requests());
        }
    }

}

proptest! {
    #![proptest_config(config(24))]

    /// Memory the forecast misjudged is given back before the engine runs out.
    #[test]
    fn memory_holds(lengths in proptest::collection::vec(1_u32..1_500, 20..120)) {
        let mut admission = admission();
        let mut now = at_ms(0);
        admission.on(now, Event::EndpointStarted { foreign: 0 });
        let mut queue: Vec<(AttemptId, u32)> = Vec::new();
        let mut running: BTreeMap<AttemptId, u32> = BTreeMap::new();
        let mut pending = (0_u64..).zip(lengths);
        let targets: &mut BTreeMap<AttemptId, u32> = &mut BTreeMap::new();
        for step in 0..40_000 {
            if step > 500 && running.is_empty() && queue.is_empty() {
                break;
            }
            now = now + Span::from_ms(20);
            let mut actions = admission.on(now, Event::Tick);
            if queue.len() < 4 && let Some((number, length)) = pending.next() {
                targets.insert(attempt(number), length);
                queue.push((attempt(number), length));
                actions.extend(admission.on(now, Event::Arrived(work(number, Priority::Report))));
            }
            for id in running.keys().copied().collect::<Vec<_>>() {
                let Some(tokens) = running.get_mut(&id) else { continue };
                *tokens += 1;
                let generated = TokenCount::new(*tokens);
                actions.extend(admission.on(now, Event::Progress { attempt: id, generated }));
                if generated.get() >= targets[&id] {
                    running.remove(&id);
                    actions.extend(admission.on(now, Event::Finished { attempt: id }));
                }
                for action in actions.drain(..) {
                    match action {
                        Action::Start { attempt, generated } => {
                            queue.retain(|(id, _)| *id != attempt);
                            running.insert(attempt, generated.get());
                        }
                        Action::Preempt { attempt } => { running.remove(&attempt); }
                        Action::Refuse { .. } => prop_assert!(false, "refused"),
                    }
                }
                let used: u32 = running.values().map(|t| (64 + t).div_ceil(16)).sum();
                prop_assert!(used <= SHAPE.blocks.get() || running.len() == 1, "{used} blocks");
            }
            for action in actions.drain(..) {
                if let Action::Start { attempt, generated } = action {
                    queue.retain(|(id, _)| *id != attempt);
                    running.insert(attempt, generated.get());
                }
            }
        }
        prop_assert!(running.is_empty() && queue.is_empty(), "not all were finished");
    }
}
