//! Scripted failures of the log and of processes.

use lentil_config::{
    AppendResult, Change, ConfigSync, ConfigSyncLimits, Peer, PublishAction, PublishEvent,
    Publisher, SyncAction, SyncEvent,
};
use lentil_core::{Offset, Span, Time};
use lentil_scenario::Subject;
use serde::Deserialize;

use crate::support::{MemoryLog, bytes, first_file, peer, record};

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Start one process in each of these availability zones.
    Start(Vec<String>),
    /// Kill a process.
    Kill(String),
    /// Set the state of the log.
    Log(LogState),
    /// Drop all but this many of the newest records.
    Keep(u64),
    /// Publish a change of an operator.
    Publish { by: String, change: Change },
    /// Append changes of two operators with the same base version.
    Race { first: Change, second: Change },
    /// Show the version in force in each process.
    Show,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum LogState {
    Up,
    Down,
    /// Appends take effect, but their answers are lost.
    LosesAnswers,
}

struct TestFleet {
    now: Time,
    log: MemoryLog,
    state: LogState,
    members: Vec<(Peer, ConfigSync)>,
    started: usize,
}

impl TestFleet {
    fn new() -> Self {
        let mut log = MemoryLog::default();
        log.append(bytes("first", 0, Change::Replace(first_file())));
        Self {
            now: Time::ZERO,
            log,
            state: LogState::Up,
            members: Vec::new(),
            started: 0,
        }
    }

    fn announce_live(&mut self) {
        let live: Vec<Peer> = self.members.iter().map(|(peer, _)| peer.clone()).collect();
        for (_, control) in &mut self.members {
            control.on(self.now, SyncEvent::LiveProcesses(live.clone()));
        }
    }

    fn act(&mut self, at: usize, event: SyncEvent, facts: &mut Vec<String>) {
        let mut work = vec![(at, event)];
        while let Some((at, event)) = work.pop() {
            let actions = self.members[at].1.on(self.now, event);
            for action in actions {
                self.perform(at, action, facts, &mut work);
            }
        }
    }

    fn perform(
        &mut self,
        at: usize,
        action: SyncAction,
        facts: &mut Vec<String>,
        work: &mut Vec<(usize, SyncEvent)>,
    ) {
        let name = self.members[at].0.name.clone();
        match action {
            SyncAction::ReadLog(_) if self.state == LogState::Down => {
                work.push((at, SyncEvent::LogFailed));
            }
            SyncAction::ReadLog(from) => work.push((at, SyncEvent::Page(self.log.read(from)))),
            SyncAction::Append(bytes) => {
                if self.state != LogState::Down {
                    let offset = self.log.append(bytes);
                    facts.push(format!("{name} writes a checkpoint at {offset}"));
                }
            }
            SyncAction::PutInForce(in_force) => facts.push(format!(
                "{name} has version {} in force: preset {}, out {:?}",
                in_force.version,
                in_force.configuration.presets().in_force_name(),
                in_force.configuration.zones_out(),
            )),
            SyncAction::Exchange(to, message) => {
                let found = self
                    .members
                    .iter()
                    .position(|(peer, _)| peer.name == to.name);
                let Some(found) = found else {
                    work.push((at, SyncEvent::PeerFailed(to.name)));
                    return;
                };
                let (reply, more) = self.members[found].1.answer(self.now, message);
                for action in more {
                    self.perform(found, action, facts, work);
                }
                work.push((at, SyncEvent::Reply(reply)));
            }
        }
    }

    fn publish(&mut self, by: &str, change: Change, facts: &mut Vec<String>) {
        let mut now = self.now;
        let deadline = now + Span::from_s(10);
        let mut publisher = Publisher::new(now, record(by, 0, change), None, deadline);
        let mut actions = publisher.on(now, PublishEvent::Tick);
        loop {
            now = now + Span::from_ms(100);
            let event = match actions.pop() {
                None => PublishEvent::Tick,
                Some(PublishAction::Finish(outcome)) => {
                    facts.push(format!("{by} gets the outcome {outcome:?}"));
                    return;
                }
                Some(PublishAction::ReadLog(_)) if self.state == LogState::Down => {
                    PublishEvent::ReadFailed
                }
                Some(PublishAction::ReadLog(from)) => PublishEvent::Page(self.log.read(from)),
                Some(PublishAction::Append(bytes)) => {
                    let offset = Offset::new(self.log.append(bytes));
                    PublishEvent::Append(match self.state {
                        LogState::LosesAnswers => AppendResult::Unknown,
                        _ => AppendResult::Appended(offset),
                    })
                }
            };
            actions = publisher.on(now, event);
        }
    }

    fn newest(&self) -> u64 {
        let versions = self
            .members
            .iter()
            .map(|(_, control)| control.ledger().version().get());
        versions.max().unwrap_or(0)
    }
}

impl Subject for TestFleet {
    type Step = Step;

    fn apply(&mut self, now: Time, step: Step) -> Vec<String> {
        self.now = now;
        let mut facts = Vec::new();
        match step {
            Step::Start(zones) => {
                for zone in zones {
                    self.started += 1;
                    let me = peer(&zone, self.started);
                    let seed = u64::try_from(self.started).unwrap();
                    let control =
                        ConfigSync::new(now, me.clone(), seed, ConfigSyncLimits::default());
                    self.members.push((me, control));
                }
                self.announce_live();
            }
            Step::Kill(name) => {
                self.members.retain(|(peer, _)| peer.name.as_str() != name);
                self.announce_live();
            }
            Step::Log(state) => self.state = state,
            Step::Keep(count) => self.log.drop_before(self.log.end().saturating_sub(count)),
            Step::Publish { by, change } => self.publish(&by, change, &mut facts),
            Step::Race { first, second } => {
                let base = self.newest();
                self.log.append(bytes("first operator", base, first));
                self.log.append(bytes("second operator", base, second));
            }
            Step::Show => {
                for (peer, control) in &self.members {
                    let by = control
                        .ledger()
                        .in_force()
                        .map(|in_force| in_force.by.clone());
                    let version = control.ledger().version();
                    facts.push(format!("{} is at version {version} by {by:?}", peer.name));
                }
            }
        }
        facts
    }

    fn advance(&mut self, now: Time) -> Vec<String> {
        let mut facts = Vec::new();
        while self.now < now {
            self.now = self.now + Span::from_ms(100);
            for at in 0..self.members.len() {
                self.act(at, SyncEvent::Tick, &mut facts);
            }
        }
        facts
    }
}

fn run_scenario(text: &str) -> String {
    lentil_scenario::run(text, &mut TestFleet::new()).unwrap_or_else(|error| panic!("{error}"))
}

#[test]
fn log_outage() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/log_outage.yaml")));
}

#[test]
fn lost_answer() {
    insta::assert_snapshot!(run_scenario(include_str!("scenarios/lost_answer.yaml")));
}

#[test]
fn race_and_retention() {
    insta::assert_snapshot!(run_scenario(include_str!(
        "scenarios/race_and_retention.yaml"
    )));
}
