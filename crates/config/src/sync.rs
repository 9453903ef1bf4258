//! Keeping the configuration of one process up to date.

use std::sync::Arc;

use lentil_core::{ConfigVersion, Offset, ProcessId, Span, Time};

use crate::peers::{PeerTable, reader_rank};
use crate::record::encode_record;
use crate::scan::Scan;
use crate::{
    ConfigLedger, Digest, EntryBody, Exchange, Page, Peer, RecordOutcome, Update,
    VersionedConfiguration, is_log_reader,
};

/// Part of the log that has to lie behind its newest checkpoint.
const ANCHOR_MARGIN: u64 = 4;

/// Shortest time between two checkpoints that are due to the log's dropping records.
const AGEING_PAUSE: Span = Span::from_s(30);

/// Limits of the control traffic of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigSyncLimits {
    /// Processes of a zone that read the log.
    pub readers_per_zone: usize,
    /// Time between two readings of the log.
    pub read_interval: Span,
    /// Longest wait for the log.
    pub read_timeout: Span,
    /// Time between two exchanges that this process begins.
    pub exchange_interval: Span,
    /// Peers told at once of a new version.
    pub fan_out: usize,
    /// Time between two checkpoints in the log.
    pub checkpoint_interval: Span,
    /// Delay by which readers that could write a checkpoint are set apart.
    pub checkpoint_step: Span,
    /// Silence of all peers after which a process reads the log itself.
    pub silence_max: Span,
    /// Most peers kept.
    pub peers_max: usize,
}

impl Default for ConfigSyncLimits {
    fn default() -> Self {
        Self {
            readers_per_zone: 2,
            read_interval: Span::from_ms(500),
            read_timeout: Span::from_s(2),
            exchange_interval: Span::from_s(1),
            fan_out: 3,
            checkpoint_interval: Span::from_s(600),
            checkpoint_step: Span::from_s(2),
            silence_max: Span::from_s(10),
            peers_max: 4_096,
        }
    }
}

/// What happened to a process.
#[derive(Debug, Clone)]
pub enum SyncEvent {
    /// The processes known to live; this one may be among them.
    LiveProcesses(Vec<Peer>),
    /// The log answered a reading.
    Page(Page),
    /// The log didn't answer.
    LogFailed,
    /// A peer answered an exchange.
    Reply(Exchange),
    /// A peer didn't answer.
    PeerFailed(ProcessId),
    /// Time has passed.
    Tick,
}

/// What a process has to do.
#[derive(Debug, Clone)]
pub enum SyncAction {
    /// Read the log from an offset on.
    ReadLog(Offset),
    /// Append a record to the log; its outcome is of no matter.
    Append(Vec<u8>),
    /// Send a message to a peer, and hand its answer back.
    Exchange(Peer, Exchange),
    /// Put a newer configuration in force.
    PutInForce(Arc<VersionedConfiguration>),
}

/// Counts of what happened, for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SyncCounters {
    /// Versions put in force.
    pub versions: u64,
    /// Changes that lost to another one.
    pub stale: u64,
    /// Changes that could not be applied, and records that are none.
    pub refused: u64,
    /// Records of a newer format met.
    pub newer_format: u64,
    /// Readings of the log that failed.
    pub log_failures: u64,
    /// Exchanges that failed.
    pub peer_failures: u64,
    /// Updates given to peers that were behind.
    pub updates_given: u64,
    /// Checkpoints written.
    pub checkpoints: u64,
    /// Times that the log had dropped records unread.
    pub gaps: u64,
    /// Live lists that were longer than the limit.
    pub peers_cut: u64,
}

/// The configuration duty of one process: reads the log where it is chosen to,
/// learns from peers and tells them.
#[derive(Debug)]
pub struct ConfigSync {
    me: Peer,
    limits: ConfigSyncLimits,
    ledger: ConfigLedger,
    peers: PeerTable,
    is_reader: bool,
    rank: u64,
    scan: Option<Scan>,
    read_at: Time,
    reading_until: Option<Time>,
    exchange_at: Time,
    checkpoint_at: Time,
    anchor: Offset,
    ageing_from: Time,
    heard_until: Time,
    counters: SyncCounters,
}

impl ConfigSync {
    /// A process that knows nothing yet; `seed` sets its choices of peers apart.
    #[must_use]
    pub fn new(now: Time, me: Peer, seed: u64, limits: ConfigSyncLimits) -> Self {
        let mut peers = PeerTable::new(seed);
        let jitter_us = peers.draw() % limits.exchange_interval.as_us().max(1);
        Self {
            peers,
            ledger: ConfigLedger::default(),
            is_reader: true,
            rank: 0,
            scan: None,
            read_at: now,
            reading_until: None,
            exchange_at: now + Span::from_us(jitter_us),
            checkpoint_at: now + limits.checkpoint_interval,
            anchor: Offset::default(),
            ageing_from: now,
            heard_until: now + limits.silence_max,
            counters: SyncCounters::default(),
            me,
            limits,
        }
    }

    /// What this process knows.
    #[must_use]
    pub const fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// Counts for metrics.
    #[must_use]
    pub const fn counters(&self) -> SyncCounters {
        self.counters
    }

    /// Whether this process reads the log.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// The next point in time at which a [`SyncEvent::Tick`] is needed.
    #[must_use]
    pub fn next_tick_at(&self) -> Time {
        let read_at = self.reading_until.unwrap_or(self.read_at);
        let read_at = if self.is_reader {
            read_at
        } else {
            read_at.max(self.heard_until)
        };
        self.exchange_at.min(read_at)
    }

    /// Takes an event and says what to do.
    pub fn on(&mut self, now: Time, event: SyncEvent) -> Vec<SyncAction> {
        let before = self.ledger.version();
        let mut actions = match event {
            SyncEvent::LiveProcesses(live) => self.on_live(live),
            SyncEvent::Page(page) => self.on_page(now, &page),
            SyncEvent::LogFailed => self.on_log_failed(now),
            SyncEvent::Reply(exchange) => self.on_reply(now, exchange),
            SyncEvent::PeerFailed(_) => {
                self.counters.peer_failures += 1;
                Vec::new()
            }
            SyncEvent::Tick => self.on_tick(now),
        };
        self.announce(before, &mut actions);
        actions
    }

    /// Answers a peer's message, and says what else to do.
    pub fn answer(&mut self, now: Time, request: Exchange) -> (Exchange, Vec<SyncAction>) {
        let before = self.ledger.version();
        let theirs = request.digest;
        self.heard_until = now + self.limits.silence_max;
        self.ledger.apply_update(theirs, request.update);
        let mut actions = Vec::new();
        self.announce(before, &mut actions);
        let update = self.ledger.update_since(theirs.version);
        self.counters.updates_given += u64::from(update.is_some());
        let reply = self.message(update, request.follow_up);
        (reply, actions)
    }

    fn on_live(&mut self, live: Vec<Peer>) -> Vec<SyncAction> {
        let cut = self.peers.replace(&self.me, live, self.limits.peers_max);
        self.counters.peers_cut += u64::from(cut);
        let all = self.peers.all();
        self.is_reader = is_log_reader(&self.me, all, self.limits.readers_per_zone);
        self.rank = reader_rank(&self.me, all);
        Vec::new()
    }

    fn on_tick(&mut self, now: Time) -> Vec<SyncAction> {
        let mut actions = Vec::new();
        if self.exchange_at.has_passed(now) {
            self.exchange_at = now + self.limits.exchange_interval;
            let far = self.peers.draw().is_multiple_of(2);
            let peer = if far {
                self.peers.any()
            } else {
                self.peers.near()
            };
            actions.extend(peer.map(|peer| SyncAction::Exchange(peer, self.message(None, false))));
        }
        if self
            .reading_until
            .is_some_and(|until| until.has_passed(now))
        {
            actions.extend(self.on_log_failed(now));
        }
        let reads = self.is_reader || self.heard_until.has_passed(now);
        if reads && self.reading_until.is_none() && self.read_at.has_passed(now) {
            self.reading_until = Some(now + self.limits.read_timeout);
            actions.push(SyncAction::ReadLog(self.read_from()));
        }
        actions
    }

    fn read_from(&self) -> Offset {
        self.scan
            .as_ref()
            .map_or_else(|| self.ledger.next_offset(), Scan::next_offset)
    }

    fn on_log_failed(&mut self, now: Time) -> Vec<SyncAction> {
        self.counters.log_failures += 1;
        self.reading_until = None;
        self.read_at = now + self.limits.read_interval;
        Vec::new()
    }

    fn on_page(&mut self, now: Time, page: &Page) -> Vec<SyncAction> {
        self.reading_until = None;
        let more = page.next < page.end;
        self.read_at = if more {
            now
        } else {
            now + self.limits.read_interval
        };
        if page.start <= self.ledger.next_offset() {
            self.scan = None;
            self.fold_page(now, page);
            return self.checkpoint_if_due(now, page);
        }
        if self.scan.is_none() {
            self.counters.gaps += 1;
        }
        let scan = self.scan.get_or_insert_with(|| Scan::new(page.start));
        let Some(found) = scan.on_page(page, self.ledger.version()) else {
            return Vec::new();
        };
        self.scan = None;
        self.anchor = found.through;
        if self.ledger.install_checkpoint(found).is_err() {
            self.counters.refused += 1;
        }
        self.read_at = now;
        Vec::new()
    }

    fn fold_page(&mut self, now: Time, page: &Page) {
        if page.from > self.ledger.next_offset() {
            // A late answer to a search; the records between weren't read.
            self.read_at = now;
            return;
        }
        for (offset, bytes) in &page.records {
            match self.ledger.apply_record(*offset, bytes) {
                RecordOutcome::Checkpoint(_) => {
                    self.checkpoint_at = now + self.limits.checkpoint_interval;
                    self.anchor = *offset;
                    self.ageing_from = now + AGEING_PAUSE;
                }
                RecordOutcome::Stale { .. } => self.counters.stale += 1,
                RecordOutcome::Refused(_) | RecordOutcome::Malformed => self.counters.refused += 1,
                RecordOutcome::Accepted(_) | RecordOutcome::AlreadyApplied => {}
                RecordOutcome::NewerFormat(_) => {
                    self.counters.newer_format += 1;
                    self.read_at = now + self.limits.read_interval;
                    break;
                }
            }
        }
    }

    fn checkpoint_if_due(&mut self, now: Time, page: &Page) -> Vec<SyncAction> {
        if self.is_anchor_ageing(now, page) {
            self.checkpoint_at = self.checkpoint_at.min(now);
        }
        let at_end = self.ledger.next_offset() >= page.end;
        let set_apart = self.limits.checkpoint_step.times(self.rank);
        if !at_end || !(self.checkpoint_at + set_apart).has_passed(now) {
            return Vec::new();
        }
        self.checkpoint_at = now + self.limits.checkpoint_interval;
        self.ageing_from = now + AGEING_PAUSE;
        let Some(checkpoint) = self.ledger.checkpoint() else {
            return Vec::new();
        };
        let record = encode_record(EntryBody::Checkpoint(checkpoint)).ok();
        self.counters.checkpoints += u64::from(record.is_some());
        record.map(SyncAction::Append).into_iter().collect()
    }

    /// Whether the log is about to drop what follows upon its newest checkpoint.
    fn is_anchor_ageing(&self, now: Time, page: &Page) -> bool {
        if page.start == Offset::default() || !self.ageing_from.has_passed(now) {
            return false;
        }
        let start = page.start.get();
        let held = page.end.get().saturating_sub(start);
        let margin = self.anchor.get().checked_sub(start);
        margin.is_none_or(|margin| margin.saturating_mul(ANCHOR_MARGIN) < held)
    }

    fn on_reply(&mut self, now: Time, reply: Exchange) -> Vec<SyncAction> {
        let theirs = reply.digest;
        self.heard_until = now + self.limits.silence_max;
        self.ledger.apply_update(theirs, reply.update);
        if reply.follow_up {
            return Vec::new();
        }
        let Some(update) = self.ledger.update_since(theirs.version) else {
            return Vec::new();
        };
        let to = self
            .peers
            .all()
            .iter()
            .find(|peer| peer.name == reply.sender);
        let Some(to) = to.cloned() else {
            return Vec::new();
        };
        self.counters.updates_given += 1;
        vec![SyncAction::Exchange(to, self.message(Some(update), true))]
    }

    /// Puts a version that is newer than `before` in force and tells a few peers.
    fn announce(&mut self, before: ConfigVersion, actions: &mut Vec<SyncAction>) {
        let Some(in_force) = self.ledger.in_force().cloned() else {
            return;
        };
        if in_force.version <= before {
            return;
        }
        self.counters.versions += 1;
        actions.push(SyncAction::PutInForce(in_force));
        for turn in 0..self.limits.fan_out {
            let peer = if turn == 0 {
                self.peers.any()
            } else {
                self.peers.near()
            };
            let update = self.ledger.last_change();
            actions
                .extend(peer.map(|peer| SyncAction::Exchange(peer, self.message(update, false))));
        }
    }

    fn message(&self, update: Option<Update>, follow_up: bool) -> Exchange {
        Exchange {
            sender: self.me.name.clone(),
            digest: self.digest(),
            update,
            follow_up,
        }
    }

    fn digest(&self) -> Digest {
        self.ledger.digest()
    }
}
