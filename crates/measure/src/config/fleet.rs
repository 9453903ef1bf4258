//! Simulates a fleet of processes that synchronise their configuration, on a virtual clock.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use lentil_config::{ConfigSync, ConfigSyncLimits, Exchange, Peer, SyncAction, SyncEvent, Update};
use lentil_core::{ConfigVersion, Offset, ProcessId, Span, Time};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::memory_log::{LogState, MemoryLog};

/// One-way delay between processes of the same zone.
const SAME_ZONE_DELAY: Span = Span::from_us(300);
/// One-way delay between zones of the same region.
const SAME_REGION_DELAY: Span = Span::from_us(1_500);
/// One-way delay between regions.
const CROSS_REGION_DELAY: Span = Span::from_ms(40);
/// Time after which a request to a peer counts as failed.
const PEER_TIMEOUT: Span = Span::from_s(1);
/// Delay until a replaced process appears in the platform's host list.
const HOST_LIST_LAG: Span = Span::from_s(5);
/// Bytes of headers, frames and acknowledgements per message.
const MESSAGE_OVERHEAD_BYTES: u64 = 260;
/// Messages lost per ten thousand.
const LOSS_PER_TEN_THOUSAND: u32 = 10;

/// Number of processes in each zone, as (zone, region, count).
pub(crate) type Layout = Vec<(&'static str, &'static str, usize)>;

/// Event scheduled for one process.
#[derive(Debug)]
enum FleetEvent {
    Tick,
    LogPage(Offset),
    /// Exchange from a member, given by its index and incarnation.
    Request(usize, u64, Box<Exchange>),
    Reply(Box<Exchange>),
    PeerFailed(ProcessId),
    LogFailed,
    HostListRead,
}

/// One process of the fleet.
pub(crate) struct Member {
    /// Its name, zone and region.
    pub(crate) peer: Peer,
    /// Its configuration synchronisation.
    pub(crate) config_sync: ConfigSync,
    /// When it started.
    pub(crate) started_at: Time,
    /// When it put each version in force.
    pub(crate) in_force: BTreeMap<ConfigVersion, Time>,
    /// Bytes sent and received.
    pub(crate) bytes: u64,
    /// Whether a read of the host list is scheduled.
    host_list_pending: bool,
    /// Distinguishes this process from those it replaced; their events are dropped.
    incarnation: u64,
    next_tick_at: Time,
    paused_until: Time,
}

/// All processes, their log and the scheduled events.
pub(crate) struct Fleet {
    /// Current time of the virtual clock.
    pub(crate) now: Time,
    /// The log that the processes read and append to.
    pub(crate) log: MemoryLog,
    pub(crate) members: Vec<Member>,
    /// Region that can reach neither other regions nor the log.
    pub(crate) partitioned_region: Option<&'static str>,
    /// How often a process went back to an older version.
    pub(crate) reverts: u64,
    /// How often a process had different contents under a version than another process.
    pub(crate) splits: u64,
    /// Number of calls of the decision code.
    pub(crate) steps: u64,
    /// Time spent in these calls on this host, in nanoseconds.
    pub(crate) cpu_ns: u64,
    /// Scheduled events as (time, sequence, member index, incarnation).
    queue: BinaryHeap<Reverse<(Time, u64, usize, u64)>>,
    /// Scheduled events by sequence.
    pending: BTreeMap<u64, FleetEvent>,
    sequence: u64,
    index_by_name: BTreeMap<ProcessId, usize>,
    change_ids: BTreeMap<ConfigVersion, String>,
    checkpoint_sizes: BTreeMap<ConfigVersion, u64>,
    rng: ChaCha8Rng,
    starts: u64,
}

impl Fleet {
    /// Starts all processes of a layout; each reads the host list at once.
    pub(crate) fn new(layout: &Layout, log: MemoryLog, seed: u64) -> Self {
        let mut fleet = Self {
            now: Time::ZERO,
            log,
            members: Vec::new(),
            partitioned_region: None,
            reverts: 0,
            splits: 0,
            steps: 0,
            cpu_ns: 0,
            queue: BinaryHeap::new(),
            pending: BTreeMap::new(),
            sequence: 0,
            index_by_name: BTreeMap::new(),
            change_ids: BTreeMap::new(),
            checkpoint_sizes: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            starts: 0,
        };
        for (zone, region, count) in layout {
            for _ in 0..*count {
                fleet.start_process(zone, region, None);
            }
        }
        for index in 0..fleet.members.len() {
            fleet.schedule_host_list_read(index, fleet.now);
        }
        fleet
    }

    /// Returns a random number below `below`, or 0 if `below` is 0.
    pub(crate) fn random_below(&mut self, below: u64) -> u64 {
        self.rng.random_range(0..below.max(1))
    }

    fn start_process(&mut self, zone: &str, region: &str, replaced_index: Option<usize>) {
        self.starts += 1;
        let name = format!("{zone}-{}", self.starts);
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
        let index = replaced_index.unwrap_or(self.members.len());
        self.index_by_name.insert(peer.name.clone(), index);
        let member = Member {
            config_sync: ConfigSync::new(self.now, peer.clone(), self.starts, limits),
            peer,
            started_at: self.now,
            in_force: BTreeMap::new(),
            bytes: 0,
            host_list_pending: false,
            incarnation: self.starts,
            next_tick_at: Time::NEVER,
            paused_until: Time::ZERO,
        };
        match self.members.get_mut(index) {
            Some(old) => *old = member,
            None => self.members.push(member),
        }
        self.schedule_tick(index);
    }

    /// Schedules a read of the host list, unless one is already scheduled.
    fn schedule_host_list_read(&mut self, index: usize, when: Time) {
        let Some(member) = self.members.get_mut(index) else {
            return;
        };
        if !member.host_list_pending {
            member.host_list_pending = true;
            self.schedule(when, index, FleetEvent::HostListRead);
        }
    }

    /// Replaces a process by a new one without state. The new process reads the host list at
    /// once, the others after [`HOST_LIST_LAG`].
    pub(crate) fn replace(&mut self, index: usize) {
        let Some(member) = self.members.get(index) else {
            return;
        };
        let old = member.peer.clone();
        self.index_by_name.remove(&old.name);
        self.start_process(old.zone.as_str(), old.region.as_str(), Some(index));
        self.schedule_host_list_read(index, self.now);
        let listed_at = self.now + HOST_LIST_LAG;
        for other in 0..self.members.len() {
            let jitter = Span::from_ms(self.random_below(1_000));
            self.schedule_host_list_read(other, listed_at + jitter);
        }
    }

    /// Pauses a process; its events are handled when the pause ends.
    pub(crate) fn pause(&mut self, index: usize, until: Time) {
        if let Some(member) = self.members.get_mut(index) {
            member.paused_until = until;
        }
    }

    /// Delivers an exchange from an operator's `lentilctl` to a process.
    pub(crate) fn deliver_from_operator(&mut self, index: usize, exchange: Exchange) {
        let request = FleetEvent::Request(usize::MAX, 0, Box::new(exchange));
        self.schedule(self.now + SAME_REGION_DELAY, index, request);
    }

    /// Handles all events up to `end` and sets the clock to it.
    pub(crate) fn run_until(&mut self, end: Time) {
        while let Some(Reverse((when, sequence, index, incarnation))) = self.queue.peek().copied() {
            if when > end {
                break;
            }
            self.queue.pop();
            self.now = self.now.max(when);
            let Some(event) = self.pending.remove(&sequence) else {
                continue;
            };
            self.handle_event(index, incarnation, event);
        }
        self.now = end;
    }

    /// The newest version that any process has in force.
    pub(crate) fn newest(&self) -> ConfigVersion {
        let versions = self
            .members
            .iter()
            .map(|m| m.config_sync.ledger().version());
        versions.max().unwrap_or_default()
    }

    /// Whether all processes have at least this version in force.
    pub(crate) fn all_have_version(&self, version: ConfigVersion) -> bool {
        self.members
            .iter()
            .all(|member| member.config_sync.ledger().version() >= version)
    }

    fn schedule(&mut self, when: Time, index: usize, event: FleetEvent) {
        let incarnation = self
            .members
            .get(index)
            .map_or(0, |member| member.incarnation);
        self.sequence += 1;
        self.pending.insert(self.sequence, event);
        self.queue
            .push(Reverse((when, self.sequence, index, incarnation)));
    }

    fn schedule_tick(&mut self, index: usize) {
        let Some(member) = self.members.get_mut(index) else {
            return;
        };
        let next_tick_at = member.config_sync.next_tick_at().max(self.now);
        if next_tick_at != member.next_tick_at {
            member.next_tick_at = next_tick_at;
            self.schedule(next_tick_at, index, FleetEvent::Tick);
        }
    }

    fn handle_event(&mut self, index: usize, incarnation: u64, event: FleetEvent) {
        let now = self.now;
        let Some(member) = self.members.get_mut(index) else {
            return;
        };
        if member.incarnation != incarnation {
            return;
        }
        if !member.paused_until.has_passed(now) {
            let until = member.paused_until;
            self.schedule(until, index, event);
            return;
        }
        match event {
            FleetEvent::Request(from, from_incarnation, exchange) => {
                self.answer_exchange(index, (from, from_incarnation), *exchange);
            }
            FleetEvent::HostListRead => {
                member.host_list_pending = false;
                let live = self.members.iter().map(|m| m.peer.clone()).collect();
                self.handle_sync_event(index, SyncEvent::LiveProcesses(live));
            }
            FleetEvent::Tick => {
                member.next_tick_at = Time::NEVER;
                self.handle_sync_event(index, SyncEvent::Tick);
            }
            FleetEvent::LogPage(from) => match self.log.read(from) {
                Some(page) => self.handle_sync_event(index, SyncEvent::Page(page)),
                None => self.handle_sync_event(index, SyncEvent::LogFailed),
            },
            FleetEvent::Reply(exchange) => {
                let bytes = self.wire_size(&exchange);
                self.add_bytes(index, bytes);
                self.handle_sync_event(index, SyncEvent::Reply(*exchange));
            }
            FleetEvent::PeerFailed(name) => {
                self.handle_sync_event(index, SyncEvent::PeerFailed(name));
            }
            FleetEvent::LogFailed => self.handle_sync_event(index, SyncEvent::LogFailed),
        }
        self.schedule_tick(index);
    }

    fn handle_sync_event(&mut self, index: usize, event: SyncEvent) {
        let now = self.now;
        let Some(member) = self.members.get_mut(index) else {
            return;
        };
        let begin = std::time::Instant::now();
        let actions = member.config_sync.on(now, event);
        self.cpu_ns += u64::try_from(begin.elapsed().as_nanos()).unwrap_or(0);
        self.steps += 1;
        self.perform_all(index, actions);
    }

    fn answer_exchange(&mut self, index: usize, from: (usize, u64), exchange: Exchange) {
        let bytes = self.wire_size(&exchange);
        self.add_bytes(index, bytes);
        let now = self.now;
        let Some(member) = self.members.get_mut(index) else {
            return;
        };
        let begin = std::time::Instant::now();
        let (reply, actions) = member.config_sync.answer(now, exchange);
        self.cpu_ns += u64::try_from(begin.elapsed().as_nanos()).unwrap_or(0);
        self.steps += 1;
        let bytes = self.wire_size(&reply);
        self.add_bytes(index, bytes);
        self.perform_all(index, actions);
        let sender_incarnation = self.members.get(from.0).map(|member| member.incarnation);
        if sender_incarnation == Some(from.1) && !self.is_dropped(index, from.0) {
            let delay = self.one_way_delay(index, from.0);
            self.schedule(now + delay, from.0, FleetEvent::Reply(Box::new(reply)));
        }
    }

    fn perform_all(&mut self, index: usize, actions: Vec<SyncAction>) {
        self.record_version(index);
        for action in actions {
            self.perform(index, action);
        }
    }

    fn perform(&mut self, index: usize, action: SyncAction) {
        match action {
            SyncAction::PutInForce(_) => {}
            SyncAction::ReadLog(from) => self.read_log(index, from),
            SyncAction::Append(bytes) => {
                if !self.is_partitioned(index) {
                    self.log.append(bytes);
                }
            }
            SyncAction::Exchange(to, exchange) => self.send(index, &to, exchange),
        }
    }

    fn read_log(&mut self, index: usize, from: Offset) {
        let partitioned = self.is_partitioned(index);
        match self.log.state {
            LogState::Up if !partitioned => {
                self.schedule(
                    self.now + Span::from_ms(5),
                    index,
                    FleetEvent::LogPage(from),
                );
            }
            LogState::Slow if !partitioned => {
                let wait = Span::from_ms(500 + self.random_below(1_400));
                self.schedule(self.now + wait, index, FleetEvent::LogPage(from));
            }
            _ => self.schedule(self.now + Span::from_s(2), index, FleetEvent::LogFailed),
        }
    }

    fn send(&mut self, index: usize, to: &Peer, exchange: Exchange) {
        let bytes = self.wire_size(&exchange);
        self.add_bytes(index, bytes);
        let failed = FleetEvent::PeerFailed(to.name.clone());
        match self.index_by_name.get(&to.name).copied() {
            Some(found) if !self.is_dropped(index, found) => {
                let delay = self.one_way_delay(index, found);
                let incarnation = self
                    .members
                    .get(index)
                    .map_or(0, |member| member.incarnation);
                let request = FleetEvent::Request(index, incarnation, Box::new(exchange));
                self.schedule(self.now + delay, found, request);
            }
            _ => self.schedule(self.now + PEER_TIMEOUT, index, failed),
        }
    }

    /// Records a change of the version in force, and counts reverts and splits.
    fn record_version(&mut self, index: usize) {
        let now = self.now;
        let Some(member) = self.members.get_mut(index) else {
            return;
        };
        let Some(in_force) = member.config_sync.ledger().in_force() else {
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
        let known = self.change_ids.entry(version).or_insert_with(|| id.clone());
        self.splits += u64::from(*known != id);
    }

    fn is_dropped(&mut self, from: usize, to: usize) -> bool {
        self.is_partitioned(from) != self.is_partitioned(to)
            || self.rng.random_range(0..10_000) < LOSS_PER_TEN_THOUSAND
    }

    fn is_partitioned(&self, index: usize) -> bool {
        let region = self
            .members
            .get(index)
            .map(|member| member.peer.region.as_str());
        self.partitioned_region.is_some() && region == self.partitioned_region
    }

    fn one_way_delay(&mut self, from: usize, to: usize) -> Span {
        let base = match (self.members.get(from), self.members.get(to)) {
            (Some(from), Some(to)) if from.peer.zone == to.peer.zone => SAME_ZONE_DELAY,
            (Some(from), Some(to)) if from.peer.region == to.peer.region => SAME_REGION_DELAY,
            _ => CROSS_REGION_DELAY,
        };
        base + Span::from_us(self.random_below(500))
    }

    fn add_bytes(&mut self, index: usize, bytes: u64) {
        if let Some(member) = self.members.get_mut(index) {
            member.bytes += bytes;
        }
    }

    /// Returns the size of a message on the wire. The size of a checkpoint, which holds a
    /// whole configuration, is computed once per version.
    fn wire_size(&mut self, exchange: &Exchange) -> u64 {
        let encoded_len = |update: &Update| {
            let bytes = update.to_bytes().map_or(0, |bytes| bytes.len());
            u64::try_from(bytes).unwrap_or(u64::MAX)
        };
        let update = match &exchange.update {
            None => 0,
            Some(update @ Update::Changes(_)) => encoded_len(update),
            Some(update @ Update::Checkpoint(checkpoint)) => *self
                .checkpoint_sizes
                .entry(checkpoint.version)
                .or_insert_with(|| encoded_len(update)),
        };
        MESSAGE_OVERHEAD_BYTES + update
    }
}
