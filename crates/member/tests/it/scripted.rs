//! Scripted scenarios: availability zones and endpoints that come and go.

use std::collections::BTreeSet;

use lentil_core::{BootId, Span, Time};
use lentil_member::{Event, ListedEndpoint, MemberTable, OutOfService, ReportedState};
use lentil_scenario::Subject;
use serde::Deserialize;

use crate::support::{group, listed_endpoint, members};

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Reads the host list; each item is ZONE:NUMBER or ZONE:NUMBER:leaving.
    List(Vec<String>),
    /// Makes agents, named ZONE-NUMBER, report warm at every tick from now on.
    Report { agents: Vec<String>, boot: u64 },
    /// Makes agents report once that they are leaving.
    Leave { agents: Vec<String>, boot: u64 },
    /// Stops the reports of agents.
    Silence(Vec<String>),
    /// Fails the link to an agent.
    Break(String),
    /// Replaces the list of what operators took out of service.
    Out(Vec<String>),
    /// Pauses this process for a number of milliseconds.
    Pause(u64),
    /// Confirms the configuration, as a peer does.
    Confirmed,
    /// Prints the agents that the entry keeps links to.
    Show,
}

struct EntrySubject {
    now: Time,
    members: MemberTable,
    reporting: Vec<(String, u64)>,
    sequence: u64,
    paused_until: Time,
    last_rows: Vec<String>,
}

impl EntrySubject {
    fn new() -> Self {
        Self {
            now: Time::ZERO,
            members: members("entry-1", "ch-a"),
            reporting: Vec::new(),
            sequence: 0,
            paused_until: Time::ZERO,
            last_rows: Vec::new(),
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

    fn tick(&mut self) {
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
            .map(|(name, _, eligibility)| format!("{name}: {eligibility}"))
            .collect();
        let changed = rows
            .iter()
            .filter(|row| !self.last_rows.contains(row))
            .cloned()
            .collect();
        self.last_rows = rows;
        changed
    }
}

fn parse_listed(text: &str) -> ListedEndpoint {
    let mut parts = text.split(':');
    let zone = parts.next().unwrap();
    let number = parts.next().unwrap().parse().unwrap();
    listed_endpoint(zone, number, parts.next() == Some("leaving"))
}

impl Subject for EntrySubject {
    type Step = Step;

    fn apply(&mut self, now: Time, step: Step) -> Vec<String> {
        self.now = now;
        match step {
            Step::List(entries) => {
                let entries = entries.iter().map(|text| parse_listed(text)).collect();
                self.members.on(now, Event::HostListRead(entries));
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
                let out_of_service = OutOfService {
                    zones_out: zones,
                    endpoints_out: endpoints,
                };
                self.members.on(now, Event::OutOfService(out_of_service));
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
        let mut output = Vec::new();
        while self.now + Span::from_ms(500) <= now {
            self.now = self.now + Span::from_ms(500);
            self.tick();
            let at_ms = self.now.since(Time::ZERO).as_ms();
            let changes = self.changes();
            output.extend(
                changes
                    .into_iter()
                    .map(|change| format!("at {at_ms}: {change}")),
            );
        }
        output
    }
}

fn run_scenario(text: &str) -> String {
    lentil_scenario::run(text, &mut EntrySubject::new()).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn zone_flaps() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/zone_flaps.yaml")));
}

#[test]
fn host_leaves() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/host_leaves.yaml")));
}

#[test]
fn entry_paused() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/entry_paused.yaml")));
}
