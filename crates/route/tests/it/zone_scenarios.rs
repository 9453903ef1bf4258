//! Scripted scenarios of routing, checked against snapshots.

use lentil_core::{EndpointState, Outcome, Time, TokenCount};
use lentil_route::{Action, Event, RequestId, Router};
use lentil_scenario::Subject;
use serde::Deserialize;

use crate::fixtures::{at_ms, endpoint, load, request, router, zone};

/// One step of a scenario.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    Seen {
        endpoint: usize,
        zone: usize,
    },
    Load {
        endpoint: usize,
        free: u32,
        sequence: u64,
    },
    Leaving {
        endpoint: usize,
        sequence: u64,
    },
    ZoneOut {
        zone: usize,
    },
    ZoneBack {
        zone: usize,
    },
    Arrive {
        count: u64,
        organisation: usize,
        deadline_ms: u64,
    },
    Finish {
        request: u64,
        endpoint: usize,
    },
    Fail {
        request: u64,
        endpoint: usize,
        repeatable: bool,
    },
    Tick,
}

struct ScenarioSubject {
    router: Router,
    requests: u64,
}

impl ScenarioSubject {
    fn arrive(&mut self, now: Time, count: u64, org: usize, deadline_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..count {
            self.requests += 1;
            let mut new = request(self.requests, org);
            new.deadline = now + lentil_core::Span::from_ms(deadline_ms);
            actions.extend(self.router.on(now, Event::Arrived(new)));
        }
        actions
    }
}

impl Subject for ScenarioSubject {
    type Step = Step;

    fn apply(&mut self, now: Time, step: Step) -> Vec<String> {
        let event = match step {
            Step::Arrive {
                count,
                organisation,
                deadline_ms,
            } => {
                return lines(
                    self.arrive(now, count, organisation, deadline_ms),
                    &self.router,
                );
            }
            Step::Seen {
                endpoint: e,
                zone: z,
            } => Event::EndpointAdded {
                endpoint: endpoint(e),
                zone: zone(z),
            },
            Step::Load {
                endpoint: e,
                free,
                sequence,
            } => Event::Load {
                endpoint: endpoint(e),
                load: load(1, sequence, free),
            },
            Step::Leaving {
                endpoint: e,
                sequence,
            } => {
                let mut load_figures = load(1, sequence, 9);
                load_figures.state = EndpointState::Leaving;
                Event::Load {
                    endpoint: endpoint(e),
                    load: load_figures,
                }
            }
            Step::ZoneOut { zone: z } => Event::ZoneWithdrawn {
                zone: zone(z),
                withdrawn: true,
            },
            Step::ZoneBack { zone: z } => Event::ZoneWithdrawn {
                zone: zone(z),
                withdrawn: false,
            },
            Step::Finish {
                request,
                endpoint: e,
            } => Event::Finished {
                request: RequestId::new(request),
                endpoint: endpoint(e),
                tokens: TokenCount::new(100),
            },
            Step::Fail {
                request,
                endpoint: e,
                repeatable,
            } => Event::Failed {
                request: RequestId::new(request),
                endpoint: endpoint(e),
                outcome: Outcome::Unknown,
                repeatable,
            },
            Step::Tick => Event::Tick,
        };
        lines(self.router.on(now, event), &self.router)
    }
}

fn lines(actions: Vec<Action>, router: &Router) -> Vec<String> {
    let mut lines: Vec<String> = actions
        .into_iter()
        .map(|action| match action {
            Action::Send { request, endpoint } => format!("send {request} to {endpoint}"),
            Action::CancelAttempt { request, endpoint } => {
                format!("cancel {request} at {endpoint}")
            }
            Action::Refuse {
                request, reason, ..
            } => format!("refuse {request}: {reason}"),
            Action::Fail { request } => format!("fail {request}"),
        })
        .collect();
    lines.push(format!("waiting {}", router.waiting()));
    lines
}

fn run_scenario(text: &str) -> String {
    let mut subject = ScenarioSubject {
        router: router(),
        requests: 0,
    };
    let _ = at_ms(0);
    lentil_scenario::run(text, &mut subject).unwrap()
}

#[test]
fn zone_leaves() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/zone_leaves.yaml")));
}

#[test]
fn early_refusal() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/early_refusal.yaml")));
}

#[test]
fn failed_attempts() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/failed_attempts.yaml")));
}
