//! Scripted scenarios of admission, checked against snapshots.

use lentil_admit::{Action, Admission, Event};
use lentil_core::{Blocks, Priority, Time, TokenCount};
use lentil_scenario::Subject;
use serde::Deserialize;

use crate::fixtures::{admission, attempt, generation};

/// One step of a scenario.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    Started {
        foreign: u32,
    },
    Down,
    Withdrawn(bool),
    Arrive {
        attempt: u64,
        count: u64,
        priority: Priority,
    },
    Progress {
        attempt: u64,
        count: u64,
        generated: u32,
    },
    Finish {
        attempt: u64,
        count: u64,
    },
    Memory {
        blocks: u32,
    },
    Tick,
}

struct ScenarioSubject(Admission);

impl ScenarioSubject {
    fn events(step: &Step) -> Vec<Event> {
        match *step {
            Step::Started { foreign } => vec![Event::EndpointStarted { foreign }],
            Step::Down => vec![Event::EndpointDown],
            Step::Withdrawn(withdrawn) => vec![Event::Withdrawn(withdrawn)],
            Step::Arrive {
                attempt,
                count,
                priority,
            } => (attempt..attempt + count)
                .map(|number| Event::Arrived(generation(number, priority)))
                .collect(),
            Step::Progress {
                attempt: from,
                count,
                generated,
            } => (from..from + count)
                .map(|number| Event::Progress {
                    attempt: attempt(number),
                    generated: TokenCount::new(generated),
                })
                .collect(),
            Step::Finish {
                attempt: from,
                count,
            } => (from..from + count)
                .map(|number| Event::Finished {
                    attempt: attempt(number),
                })
                .collect(),
            Step::Memory { blocks } => vec![Event::EngineLoad {
                running: 3,
                blocks_used: Blocks::new(blocks),
            }],
            Step::Tick => vec![Event::Tick],
        }
    }
}

impl Subject for ScenarioSubject {
    type Step = Step;

    fn apply(&mut self, now: Time, step: Step) -> Vec<String> {
        let mut lines: Vec<String> = Self::events(&step)
            .into_iter()
            .flat_map(|event| self.0.on(now, event))
            .map(|action| match action {
                Action::Start { attempt, generated } => {
                    format!("start {} at {generated}", attempt.get())
                }
                Action::Preempt { attempt } => format!("preempt {}", attempt.get()),
                Action::Refuse {
                    attempt, reason, ..
                } => {
                    format!("refuse {}: {reason}", attempt.get())
                }
            })
            .collect();
        let load = self.0.load(now);
        lines.push(format!(
            "{} limit {} running {} waiting {} free {}",
            load.state,
            self.0.limit(),
            load.running,
            load.waiting,
            load.free_slots
        ));
        lines
    }
}

fn run_scenario(text: &str) -> String {
    lentil_scenario::run(text, &mut ScenarioSubject(admission())).unwrap()
}

#[test]
fn fresh_endpoint() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/fresh_endpoint.yaml")));
}

#[test]
fn full_memory() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/full_memory.yaml")));
}

#[test]
fn leaving_and_dead() {
    insta::assert_snapshot!(run_scenario(include_str!(
        "scenarios/leaving_and_dead.yaml"
    )));
}
