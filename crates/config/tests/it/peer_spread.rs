//! Processes converge on one version, and the version of a process never decreases,
//! while messages are lost, processes are replaced, and the log fails or drops old
//! records.

use std::collections::BTreeMap;

use lentil_config::{
    Change, ConfigSync, ConfigSyncLimits, ConfigurationFile, Peer, SyncAction, SyncEvent,
    is_log_reader,
};
use lentil_core::{Span, Time};
use proptest::prelude::{Strategy, any, prop_oneof};
use proptest::{collection, proptest};

use crate::one_preset::changes;
use crate::support::{MemoryLog, bytes, cases, first_file, peer};

const ZONES: [&str; 3] = ["kurume-a", "tosu-b", "ogori-c"];
const PER_ZONE: usize = 3;

#[derive(Debug, Clone)]
enum Step {
    Publish(Change),
    /// Let this many milliseconds pass, with this percentage of messages lost.
    Run(u64, u8),
    LogUp(bool),
    /// Drop all but this many of the newest records.
    Trim(u64),
    /// Replace a process by a new one.
    Replace(usize),
    /// Isolate an availability zone from the others and the log, or end the isolation.
    Isolate(Option<usize>),
    /// Pause or resume a process.
    Pause(usize, bool),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let count = ZONES.len() * PER_ZONE;
    let step = prop_oneof![
        4 => changes().prop_map(Step::Publish),
        6 => (100_u64..3_000, 0_u8..60).prop_map(|(ms, loss)| Step::Run(ms, loss)),
        1 => any::<bool>().prop_map(Step::LogUp),
        1 => (4_u64..20).prop_map(Step::Trim),
        2 => (0..count).prop_map(Step::Replace),
        1 => proptest::option::of(0..ZONES.len()).prop_map(Step::Isolate),
        1 => (0..count, any::<bool>()).prop_map(|(at, on)| Step::Pause(at, on)),
    ];
    collection::vec(step, 1..40)
}

struct Fleet {
    now: Time,
    log: MemoryLog,
    log_up: bool,
    isolated_zone: Option<usize>,
    members: Vec<(Peer, ConfigSync, bool)>,
    /// Content of each version, as first seen.
    contents: BTreeMap<u64, ConfigurationFile>,
    /// Highest version of each process, by name.
    highest: BTreeMap<String, u64>,
    started: usize,
    rng_state: u64,
}

impl Fleet {
    fn new() -> Self {
        let mut log = MemoryLog::default();
        log.append(bytes("first", 0, Change::Replace(first_file())));
        let mut fleet = Self {
            now: Time::ZERO,
            log,
            log_up: true,
            isolated_zone: None,
            members: Vec::new(),
            contents: BTreeMap::new(),
            highest: BTreeMap::new(),
            started: 0,
            rng_state: 1,
        };
        for zone in ZONES {
            for _ in 0..PER_ZONE {
                let member = fleet.start_process(zone);
                fleet.members.push(member);
            }
        }
        fleet.announce_live();
        fleet.run(4_000, 0);
        fleet
    }

    fn start_process(&mut self, zone: &str) -> (Peer, ConfigSync, bool) {
        self.started += 1;
        let me = peer(zone, self.started);
        let seed = u64::try_from(self.started).unwrap();
        let control = ConfigSync::new(self.now, me.clone(), seed, ConfigSyncLimits::default());
        (me, control, true)
    }

    fn announce_live(&mut self) {
        let live: Vec<Peer> = self
            .members
            .iter()
            .map(|(peer, _, _)| peer.clone())
            .collect();
        for (_, control, _) in &mut self.members {
            control.on(self.now, SyncEvent::LiveProcesses(live.clone()));
        }
    }

    fn isolated_zone_of(&self, member: usize) -> Option<usize> {
        self.isolated_zone.filter(|zone| member / PER_ZONE == *zone)
    }

    fn is_lost(&mut self, loss: u8) -> bool {
        self.rng_state ^= self.rng_state << 13;
        self.rng_state ^= self.rng_state >> 7;
        self.rng_state ^= self.rng_state << 17;
        self.rng_state % 100 < u64::from(loss)
    }

    fn run(&mut self, ms: u64, loss: u8) {
        let end = self.now + Span::from_ms(ms);
        while self.now < end {
            self.now = self.now + Span::from_ms(100);
            for member in 0..self.members.len() {
                self.step(member, SyncEvent::Tick, loss);
            }
        }
    }

    fn step(&mut self, member: usize, event: SyncEvent, loss: u8) {
        let mut work = vec![(member, event)];
        while let Some((at, event)) = work.pop() {
            let (_, control, runs) = &mut self.members[at];
            if !*runs {
                continue;
            }
            let actions = control.on(self.now, event);
            self.check(at);
            for action in actions {
                self.act(at, action, loss, &mut work);
            }
        }
    }

    fn act(&mut self, at: usize, action: SyncAction, loss: u8, work: &mut Vec<(usize, SyncEvent)>) {
        let log_answers = self.log_up && self.isolated_zone_of(at).is_none();
        match action {
            SyncAction::ReadLog(from) if log_answers && !self.is_lost(loss) => {
                work.push((at, SyncEvent::Page(self.log.read(from))));
            }
            SyncAction::ReadLog(_) => work.push((at, SyncEvent::LogFailed)),
            SyncAction::Append(bytes) => {
                if log_answers {
                    self.log.append(bytes);
                }
            }
            SyncAction::PutInForce(_) => {}
            SyncAction::Exchange(to, message) => {
                let found = self
                    .members
                    .iter()
                    .position(|(peer, _, _)| peer.name == to.name);
                let Some(found) = found.filter(|found| self.members[*found].2) else {
                    return;
                };
                if self.isolated_zone_of(at) != self.isolated_zone_of(found) || self.is_lost(loss) {
                    work.push((at, SyncEvent::PeerFailed(to.name)));
                    return;
                }
                let (reply, more) = self.members[found].1.answer(self.now, message);
                self.check(found);
                for action in more {
                    self.act(found, action, loss, work);
                }
                if !self.is_lost(loss) {
                    work.push((at, SyncEvent::Reply(reply)));
                }
            }
        }
    }

    fn check(&mut self, at: usize) {
        let (peer, control, _) = &self.members[at];
        let Some(in_force) = control.ledger().in_force() else {
            return;
        };
        let version = in_force.version.get();
        let highest = self.highest.entry(peer.name.to_string()).or_default();
        assert!(
            version >= *highest,
            "the version of {} decreased",
            peer.name
        );
        *highest = version;
        let file = ConfigurationFile::from(&in_force.configuration);
        let known = self.contents.entry(version).or_insert_with(|| file.clone());
        assert_eq!(
            *known, file,
            "the content of version {version} must not change"
        );
    }

    fn newest(&self) -> u64 {
        let versions = self
            .members
            .iter()
            .map(|(_, control, _)| control.ledger().version());
        versions.max().unwrap().get()
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Publish(change) if self.log_up => {
                let id = format!("r{}", self.log.end());
                self.log.append(bytes(&id, self.newest(), change));
            }
            Step::Publish(_) => {}
            Step::Run(ms, loss) => self.run(ms, loss),
            Step::LogUp(up) => self.log_up = up,
            // A change is read by at least one process before the log drops it.
            Step::Trim(keep) => self.trim(keep),
            Step::Replace(at) => {
                let zone = ZONES[at / PER_ZONE];
                self.members[at] = self.start_process(zone);
                self.announce_live();
            }
            Step::Isolate(zone) => self.isolated_zone = zone,
            Step::Pause(at, runs) => self.members[at].2 = runs,
        }
    }

    fn trim(&mut self, keep: u64) {
        let read = self
            .members
            .iter()
            .map(|(_, control, _)| control.ledger().next_offset().get());
        let start = self.log.end().saturating_sub(keep).min(read.max().unwrap());
        self.log.drop_before(start);
    }
}

proptest! {
    #![proptest_config(cases(192))]

    #[test]
    fn processes_converge(steps in steps()) {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.apply(step);
        }
        fleet.log_up = true;
        fleet.isolated_zone = None;
        for member in &mut fleet.members {
            member.2 = true;
        }
        fleet.run(13_000, 0);
        let newest = fleet.newest();
        for (peer, control, _) in &fleet.members {
            assert_eq!(control.ledger().version().get(), newest, "{}", peer.name);
        }
    }
}

#[test]
fn two_readers_per_zone() {
    let zones = ["kurume-a", "tosu-b", "ogori-c"];
    let live: Vec<Peer> = zones
        .iter()
        .flat_map(|zone| (0..40).map(|number| peer(zone, number)))
        .collect();
    let readers = live.iter().filter(|me| is_log_reader(me, &live, 2));
    assert_eq!(readers.count(), 2 * zones.len());
}
