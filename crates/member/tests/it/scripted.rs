//! Scripted zones and endpoints that come and go.

use std::collections::BTreeSet;

use lentil_core::{BootId, Span, Time};
use lentil_member::{Event, ListedEndpoint, MemberTable, OutOfService, ReportedState};
use lentil_scenario::Subject;
use serde::Deserialize;

use crate::support::{group, line, members};

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// The host list, as ZONE:NUMBER or ZONE:NUMBER:leaving.
    List(Vec<String>),
    /// Agents that report warm every second from now on, as ZONE-NUMBER.
    Report {
        agents: Vec<String>,
        boot: u64,
    },
    /// Agents that say once that they leave.
    Leave {
        agents: Vec<String>,
        boot: u64,
    },
    /// Agents that fall silent.
    Silence(Vec<String>),
    /// A link breaks.
    Break(String),
    /// What operators have out.
    Out(Vec<String>),
    /// This process stops for a time, in milliseconds.
    Pause(u64),
    /// A peer confirmed the configuration.
    Confirmed,
    Show,
}

struct Entry {
    now: Time,
    members: MemberTable,
    reporting: Vec<(String, u64)>,
    sequence: u64,
    paused_until: Time,
    last: Vec<String>,
}

impl Entry {
    fn new() -> Self {
        Self {
            now: Time::ZERO,
            members: members("entry-1", "ch-a"),
            reporting: Vec::new(),
            sequence: 0,
            paused_until: Time::ZERO,
            last: Vec::new(),
        }
    }

    fn report(&mut self, agent: &str, boot: u64, state: ReportedState) {
        self.sequence += 1;
        let report = Event::Report {
            endpoint: agent.parse().unwrap(),
            boot: BootId::new(boot),
            sequence: self.sequence,
            state,
        };
        self.members.on(self.now, report);
    }

    fn beat(&mut self) {
        if self.now < self.paused_until {
            return;
        }
        self.members.on(self.now, Event::Tick);
        for (agent, boot) in self.reporting.clone() {
            self.report(&agent, boot, ReportedState::Warm);
        }
    }

    fn changes(&mut self) -> Vec<String> {
        let rows = self.members.endpoints(self.now);
        let rows: Vec<String> = rows
            .map(|(name, _, standing)| format!("{name}: {standing}"))
            .collect();
        let changed = rows
            .iter()
            .filter(|row| !self.last.contains(row))
            .cloned()
            .collect();
        self.last = rows;
        changed
    }
}

fn parse(text: &str) -> ListedEndpoint {
    let mut parts = text.split(':');
    let zone = parts.next().unwrap();
    let number = parts.next().unwrap().parse().unwrap();
    line(zone, number, parts.next() == Some("leaving"))
}

impl Subject for Entry {
    type Step = Step;

    fn apply(&mut self, now: Time, step: Step) -> Vec<String> {
        self.now = now;
        match step {
            Step::List(lines) => {
                let lines = lines.iter().map(|text| parse(text)).collect();
                self.members.on(now, Event::HostListRead(lines));
            }
            Step::Report { agents, boot } => {
                for agent in agents {
                    self.report(&agent, boot, ReportedState::Warm);
                    self.reporting.push((agent, boot));
                }
            }
            Step::Leave { agents, boot } => {
                self.reporting.retain(|(name, _)| !agents.contains(name));
                for agent in agents {
                    self.report(&agent, boot, ReportedState::Leaving);
                }
            }
            Step::Silence(agents) => self.reporting.retain(|(name, _)| !agents.contains(name)),
            Step::Break(agent) => {
                self.members
                    .on(now, Event::LinkFailed(agent.parse().unwrap()));
            }
            Step::Out(names) => {
                let zones: BTreeSet<_> =
                    names.iter().filter_map(|name| name.parse().ok()).collect();
                let endpoints = names.iter().filter_map(|name| name.parse().ok()).collect();
                let orders = OutOfService {
                    zones_out: zones,
                    endpoints_out: endpoints,
                };
                self.members.on(now, Event::OutOfService(orders));
            }
            Step::Pause(ms) => {
                self.paused_until = now + Span::from_ms(ms);
            }
            Step::Confirmed => self.members.on(now, Event::ConfigurationConfirmed),
            Step::Show => {
                return vec![format!("links: {:?}", self.members.subset(now, &group()))];
            }
        }
        self.changes()
    }

    fn advance(&mut self, now: Time) -> Vec<String> {
        let mut facts = Vec::new();
        while self.now + Span::from_ms(500) <= now {
            self.now = self.now + Span::from_ms(500);
            self.beat();
            let at_ms = self.now.since(Time::ZERO).as_ms();
            let changes = self.changes();
            facts.extend(
                changes
                    .into_iter()
                    .map(|change| format!("at {at_ms}: {change}")),
            );
        }
        facts
    }
}

fn play(text: &str) -> String {
    lentil_scenario::run(text, &mut Entry::new()).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn zone_flaps() {
    insta::assert_snapshot!(play(include_str!("scenarios/zone_flaps.yaml")));
}

#[test]
fn host_leaves() {
    insta::assert_snapshot!(play(include_str!("scenarios/host_leaves.yaml")));
}

#[test]
fn entry_paused() {
    insta::assert_snapshot!(play(include_str!("scenarios/entry_paused.yaml")));
}
