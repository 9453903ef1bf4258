//! A fleet of configuration duties under a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use lentil_config::{ConfigSync, ConfigSyncLimits, Exchange, Peer, SyncAction, SyncEvent, Update};
use lentil_core::{ConfigVersion, Offset, ProcessId, Span, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::memory_log::{LogState, MemoryLog};

/// One way between processes of a zone, of a region, and of two regions.
const NEAR: Span = Span::from_us(300);
const REGION: Span = Span::from_us(1_500);
const FAR: Span = Span::from_ms(40);
/// How long a process waits for a peer.
const PEER_TIMEOUT: Span = Span::from_s(1);
/// How far the host list is behind.
const LIST_LAG: Span = Span::from_s(5);
/// Heads, frames and acknowledgements around one message, in bytes.
const MESSAGE_BYTES: u64 = 260;
/// Messages lost, in ten thousand.
const LOSS: u32 = 10;

/// Where processes are: zone, region and how many.
pub(crate) type Layout = Vec<(&'static str, &'static str, usize)>;

#[derive(Debug)]
enum Happening {
    Wake,
    Page(Offset),
    Request(usize, u64, Box<Exchange>),
    Reply(Box<Exchange>),
    PeerFailed(ProcessId),
    LogFailed,
    Live,
}

/// One process.
pub(crate) struct Member {
    /// Where it is.
    pub(crate) peer: Peer,
    /// Its duty.
    pub(crate) control: ConfigSync,
    /// When it started.
    pub(crate) born: Time,
    /// When it had each version in force.
    pub(crate) in_force: BTreeMap<ConfigVersion, Time>,
    /// Bytes sent and received.
    pub(crate) bytes: u64,
    lists: bool,
    life: u64,
    wakes_at: Time,
    paused_until: Time,
}

/// All processes, the log between them and what is on its way.
pub(crate) struct Fleet {
    /// The virtual clock.
    pub(crate) now: Time,
    /// The log.
    pub(crate) log: MemoryLog,
    /// The processes.
    pub(crate) members: Vec<Member>,
    /// A region that reaches nothing outside, the log included.
    pub(crate) cut: Option<&'static str>,
    /// Times that a process went back to an older version.
    pub(crate) reverts: u64,
    /// Times that two processes had other contents under one version.
    pub(crate) splits: u64,
    /// Steps of decision code taken.
    pub(crate) steps: u64,
    /// Time that they took on this machine, in nanoseconds.
    pub(crate) cpu_ns: u64,
    heap: BinaryHeap<Reverse<(Time, u64, usize, u64)>>,
    due: BTreeMap<u64, Happening>,
    sequence: u64,
    by_name: BTreeMap<ProcessId, usize>,
    contents: BTreeMap<ConfigVersion, String>,
    sizes: BTreeMap<ConfigVersion, u64>,
    rng: ChaCha8Rng,
    births: u64,
}

impl Fleet {
    /// Starts all processes of a layout.
    pub(crate) fn new(layout: &Layout, log: MemoryLog, seed: u64) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            log,
            members: Vec::new(),
            cut: None,
            reverts: 0,
            splits: 0,
            steps: 0,
            cpu_ns: 0,
            heap: BinaryHeap::new(),
            due: BTreeMap::new(),
            sequence: 0,
            by_name: BTreeMap::new(),
            contents: BTreeMap::new(),
            sizes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            births: 0,
        };
        for (zone, region, count) in layout {
            for _ in 0..*count {
                fleet.birth(zone, region, None);
            }
        }
        for at in 0..fleet.members.len() {
            fleet.list_at(at, fleet.now);
        }
        fleet
    }

    /// Draws a number below `below`.
    pub(crate) fn draw(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
    }

    fn birth(&mut self, zone: &str, region: &str, place: Option<usize>) {
        self.births += 1;
        let name = format!("{zone}-{}", self.births);
        let (Ok(name), Ok(zone), Ok(region)) = (name.parse(), zone.parse(), region.parse()) else {
            return;
        };
        let peer = Peer {
            name,
            zone,
            region,
            address: String::new(),
        };
        let limits = ConfigSyncLimits::default();
        let at = place.unwrap_or(self.members.len());
        self.by_name.insert(peer.name.clone(), at);
        let member = Member {
            control: ConfigSync::new(self.now, peer.clone(), self.births, limits),
            peer,
            born: self.now,
            in_force: BTreeMap::new(),
            bytes: 0,
            lists: false,
            life: self.births,
            wakes_at: Time::NEVER,
            paused_until: Time::ZERO,
        };
        match self.members.get_mut(at) {
            Some(old) => *old = member,
            None => self.members.push(member),
        }
        self.wake(at);
    }

    /// Lets a process read the host list at a moment, unless it does so anyway.
    fn list_at(&mut self, at: usize, moment: Time) {
        let Some(member) = self.members.get_mut(at) else {
            return;
        };
        if !member.lists {
            member.lists = true;
            self.push(moment, at, Happening::Live);
        }
    }

    /// Replaces a process by one that knows nothing; the host list follows later.
    pub(crate) fn replace(&mut self, at: usize) {
        let Some(member) = self.members.get(at) else {
            return;
        };
        let old = member.peer.clone();
        self.by_name.remove(&old.name);
        self.birth(old.zone.as_str(), old.region.as_str(), Some(at));
        self.list_at(at, self.now);
        let seen = self.now + LIST_LAG;
        for other in 0..self.members.len() {
            let jitter = Span::from_ms(self.draw(1_000));
            self.list_at(other, seen + jitter);
        }
    }

    /// Stops a process between two instructions.
    pub(crate) fn pause(&mut self, at: usize, until: Time) {
        if let Some(member) = self.members.get_mut(at) {
            member.paused_until = until;
        }
    }

    /// Gives a message of an operator's tool to a process.
    pub(crate) fn hand_over(&mut self, at: usize, exchange: Exchange) {
        let request = Happening::Request(usize::MAX, 0, Box::new(exchange));
        self.push(self.now + REGION, at, request);
    }

    /// Lets time pass.
    pub(crate) fn run_until(&mut self, end: Time) {
        while let Some(Reverse((at_time, sequence, at, life))) = self.heap.peek().copied() {
            if at_time > end {
                break;
            }
            self.heap.pop();
            self.now = self.now.max(at_time);
            let Some(happening) = self.due.remove(&sequence) else {
                continue;
            };
            self.happen(at, life, happening);
        }
        self.now = end;
    }

    /// The newest version that any process has in force.
    pub(crate) fn newest(&self) -> ConfigVersion {
        let versions = self.members.iter().map(|m| m.control.ledger().version());
        versions.max().unwrap_or_default()
    }

    /// Whether all processes have this version in force.
    pub(crate) fn all_have(&self, version: ConfigVersion) -> bool {
        self.members
            .iter()
            .all(|member| member.control.ledger().version() >= version)
    }

    fn push(&mut self, at_time: Time, at: usize, happening: Happening) {
        let life = self.members.get(at).map_or(0, |member| member.life);
        self.sequence += 1;
        self.due.insert(self.sequence, happening);
        self.heap.push(Reverse((at_time, self.sequence, at, life)));
    }

    fn wake(&mut self, at: usize) {
        let Some(member) = self.members.get_mut(at) else {
            return;
        };
        let wakes_at = member.control.next_tick_at().max(self.now);
        if wakes_at != member.wakes_at {
            member.wakes_at = wakes_at;
            self.push(wakes_at, at, Happening::Wake);
        }
    }

    fn happen(&mut self, at: usize, life: u64, happening: Happening) {
        let now = self.now;
        let Some(member) = self.members.get_mut(at) else {
            return;
        };
        if member.life != life {
            return;
        }
        if !member.paused_until.has_passed(now) {
            let until = member.paused_until;
            self.push(until, at, happening);
            return;
        }
        match happening {
            Happening::Request(from, from_life, exchange) => {
                self.answer(at, (from, from_life), *exchange);
            }
            Happening::Live => {
                member.lists = false;
                let live = self.members.iter().map(|m| m.peer.clone()).collect();
                self.step(at, SyncEvent::LiveProcesses(live));
            }
            Happening::Wake => {
                member.wakes_at = Time::NEVER;
                self.step(at, SyncEvent::Tick);
            }
            Happening::Page(from) => match self.log.read(from) {
                Some(page) => self.step(at, SyncEvent::Page(page)),
                None => self.step(at, SyncEvent::LogFailed),
            },
            Happening::Reply(exchange) => {
                let bytes = self.size(&exchange);
                self.count(at, bytes);
                self.step(at, SyncEvent::Reply(*exchange));
            }
            Happening::PeerFailed(name) => self.step(at, SyncEvent::PeerFailed(name)),
            Happening::LogFailed => self.step(at, SyncEvent::LogFailed),
        }
        self.wake(at);
    }

    fn step(&mut self, at: usize, event: SyncEvent) {
        let now = self.now;
        let Some(member) = self.members.get_mut(at) else {
            return;
        };
        let begin = std::time::Instant::now();
        let actions = member.control.on(now, event);
        self.cpu_ns += u64::try_from(begin.elapsed().as_nanos()).unwrap_or(0);
        self.steps += 1;
        self.act_all(at, actions);
    }

    fn answer(&mut self, at: usize, from: (usize, u64), exchange: Exchange) {
        let bytes = self.size(&exchange);
        self.count(at, bytes);
        let now = self.now;
        let Some(member) = self.members.get_mut(at) else {
            return;
        };
        let begin = std::time::Instant::now();
        let (reply, actions) = member.control.answer(now, exchange);
        self.cpu_ns += u64::try_from(begin.elapsed().as_nanos()).unwrap_or(0);
        self.steps += 1;
        let bytes = self.size(&reply);
        self.count(at, bytes);
        self.act_all(at, actions);
        let asker = self.members.get(from.0).map(|member| member.life);
        if asker == Some(from.1) && !self.lost(at, from.0) {
            let delay = self.delay(at, from.0);
            self.push(now + delay, from.0, Happening::Reply(Box::new(reply)));
        }
    }

    fn act_all(&mut self, at: usize, actions: Vec<SyncAction>) {
        self.note(at);
        for action in actions {
            self.act(at, action);
        }
    }

    fn act(&mut self, at: usize, action: SyncAction) {
        match action {
            SyncAction::PutInForce(_) => {}
            SyncAction::ReadLog(from) => self.read_log(at, from),
            SyncAction::Append(bytes) => {
                if !self.is_cut(at) {
                    self.log.append(bytes);
                }
            }
            SyncAction::Exchange(to, exchange) => self.send(at, &to, exchange),
        }
    }

    fn read_log(&mut self, at: usize, from: Offset) {
        let cut = self.is_cut(at);
        match self.log.state {
            LogState::Up if !cut => {
                self.push(self.now + Span::from_ms(5), at, Happening::Page(from));
            }
            LogState::Slow if !cut => {
                let wait = Span::from_ms(500 + self.draw(1_400));
                self.push(self.now + wait, at, Happening::Page(from));
            }
            _ => self.push(self.now + Span::from_s(2), at, Happening::LogFailed),
        }
    }

    fn send(&mut self, at: usize, to: &Peer, exchange: Exchange) {
        let bytes = self.size(&exchange);
        self.count(at, bytes);
        let failed = Happening::PeerFailed(to.name.clone());
        match self.by_name.get(&to.name).copied() {
            Some(found) if !self.lost(at, found) => {
                let delay = self.delay(at, found);
                let life = self.members.get(at).map_or(0, |member| member.life);
                let request = Happening::Request(at, life, Box::new(exchange));
                self.push(self.now + delay, found, request);
            }
            _ => self.push(self.now + PEER_TIMEOUT, at, failed),
        }
    }

    /// Notes the version in force, and whether anything was taken back.
    fn note(&mut self, at: usize) {
        let now = self.now;
        let Some(member) = self.members.get_mut(at) else {
            return;
        };
        let Some(in_force) = member.control.ledger().in_force() else {
            return;
        };
        let version = in_force.version;
        let newest = member
            .in_force
            .last_key_value()
            .map(|(version, _)| *version);
        if newest == Some(version) {
            return;
        }
        self.reverts += u64::from(newest.is_some_and(|newest| newest > version));
        let id = in_force.id.clone();
        member.in_force.insert(version, now);
        let known = self.contents.entry(version).or_insert_with(|| id.clone());
        self.splits += u64::from(*known != id);
    }

    fn lost(&mut self, from: usize, to: usize) -> bool {
        self.is_cut(from) != self.is_cut(to) || self.rng.random_range(0..10_000) < LOSS
    }

    fn is_cut(&self, at: usize) -> bool {
        let region = self
            .members
            .get(at)
            .map(|member| member.peer.region.as_str());
        self.cut.is_some() && region == self.cut
    }

    fn delay(&mut self, from: usize, to: usize) -> Span {
        let base = match (self.members.get(from), self.members.get(to)) {
            (Some(from), Some(to)) if from.peer.zone == to.peer.zone => NEAR,
            (Some(from), Some(to)) if from.peer.region == to.peer.region => REGION,
            _ => FAR,
        };
        base + Span::from_us(self.draw(500))
    }

    fn count(&mut self, at: usize, bytes: u64) {
        if let Some(member) = self.members.get_mut(at) {
            member.bytes += bytes;
        }
    }

    /// Bytes of a message on the wire; whole configurations are sized once.
    fn size(&mut self, exchange: &Exchange) -> u64 {
        let of = |update: &Update| {
            let bytes = update.to_bytes().map_or(0, |bytes| bytes.len());
            u64::try_from(bytes).unwrap_or(u64::MAX)
        };
        let update = match &exchange.update {
            None => 0,
            Some(update @ Update::Changes(_)) => of(update),
            Some(update @ Update::Checkpoint(checkpoint)) => *self
                .sizes
                .entry(checkpoint.version)
                .or_insert_with(|| of(update)),
        };
        MESSAGE_BYTES + update
    }
}
