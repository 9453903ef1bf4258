//! Keeps the configuration of one process up to date.

use std::sync::Arc;

use lentil_core::{ConfigVersion, Offset, ProcessId, Span, Time};

use crate::peers::{PeerTable, reader_rank};
use crate::record::encode_record;
use crate::scan::Scan;
use crate::{
    ConfigLedger, Digest, EntryBody, Exchange, Page, Peer, RecordOutcome, Update,
    VersionedConfiguration, is_log_reader,
};

/// A checkpoint is due when the newest one lies in the oldest `1 / RETENTION_DIVISOR` of
/// the retained records, as the log may soon drop the records that follow it.
const RETENTION_DIVISOR: u64 = 4;

/// Minimum time between two checkpoints that are due to the retention of the log.
const RETENTION_CHECKPOINT_INTERVAL: Span = Span::from_s(30);

/// Limits and intervals of the configuration traffic of one process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigSyncLimits {
    /// Number of processes of an availability zone that read the log.
    pub readers_per_zone: usize,
    /// Time between two reads of the log.
    pub read_interval: Span,
    /// Maximum time to wait for the log.
    pub read_timeout: Span,
    /// Time between two exchanges that this process initiates.
    pub exchange_interval: Span,
    /// Number of peers that are notified of a new version immediately.
    pub fan_out: usize,
    /// Time between two checkpoints in the log.
    pub checkpoint_interval: Span,
    /// Delay between the readers that may write a checkpoint, so that the first one
    /// writes it and the others see it in the log.
    pub checkpoint_stagger: Span,
    /// Time without a message from any peer after which a process that is not a
    /// reader reads the log itself.
    pub peer_silence_max: Span,
    /// Maximum number of peers kept.
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
            checkpoint_stagger: Span::from_s(2),
            peer_silence_max: Span::from_s(10),
            peers_max: 4_096,
        }
    }
}

/// Input of [`ConfigSync`].
#[derive(Debug, Clone)]
pub enum SyncEvent {
    /// The processes known to be alive; the list may include this one.
    LiveProcesses(Vec<Peer>),
    /// The log answered a read.
    Page(Page),
    /// The log did not answer.
    LogFailed,
    /// A peer answered an exchange.
    Reply(Exchange),
    /// A peer did not answer.
    PeerFailed(ProcessId),
    /// Time has passed.
    Tick,
}

/// Operation that the caller of [`ConfigSync`] must perform.
#[derive(Debug, Clone)]
pub enum SyncAction {
    /// Read the log, starting at this offset.
    ReadLog(Offset),
    /// Append a record to the log; the result is not reported back.
    Append(Vec<u8>),
    /// Send a message to a peer and report its reply.
    Exchange(Peer, Exchange),
    /// Put this newer configuration in force.
    PutInForce(Arc<VersionedConfiguration>),
}

/// Event counts for metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SyncCounters {
    /// Versions put in force.
    pub versions: u64,
    /// Changes whose base was no longer the version in force.
    pub stale: u64,
    /// Invalid changes, checkpoints and records.
    pub refused: u64,
    /// Records with a newer format.
    pub newer_format: u64,
    /// Failed reads of the log.
    pub log_failures: u64,
    /// Failed exchanges.
    pub peer_failures: u64,
    /// Updates sent to peers that were behind.
    pub updates_sent: u64,
    /// Checkpoints written.
    pub checkpoints: u64,
    /// Number of times that the log had dropped records before this process read them.
    pub gaps: u64,
    /// Lists of live processes that exceeded the limit.
    pub peer_lists_truncated: u64,
}

/// State machine that synchronises the configuration of one process.
///
/// It reads the log if this process is a selected reader, and exchanges updates with peers.
#[derive(Debug)]
pub struct ConfigSync {
    local: Peer,
    limits: ConfigSyncLimits,
    ledger: ConfigLedger,
    peers: PeerTable,
    is_reader: bool,
    rank: u64,
    scan: Option<Scan>,
    read_at: Time,
    read_deadline: Option<Time>,
    exchange_at: Time,
    checkpoint_at: Time,
    checkpoint_offset: Offset,
    retention_checkpoint_from: Time,
    silence_deadline: Time,
    counters: SyncCounters,
}

impl ConfigSync {
    /// Creates the state of a process without a configuration.
    ///
    /// `seed` gives each process its own pseudo-random choice of peers.
    #[must_use]
    pub fn new(now: Time, local: Peer, seed: u64, limits: ConfigSyncLimits) -> Self {
        let mut peers = PeerTable::new(seed);
        let jitter_us = peers.next_random() % limits.exchange_interval.as_us().max(1);
        Self {
            peers,
            ledger: ConfigLedger::default(),
            is_reader: true,
            rank: 0,
            scan: None,
            read_at: now,
            read_deadline: None,
            exchange_at: now + Span::from_us(jitter_us),
            checkpoint_at: now + limits.checkpoint_interval,
            checkpoint_offset: Offset::default(),
            retention_checkpoint_from: now,
            silence_deadline: now + limits.peer_silence_max,
            counters: SyncCounters::default(),
            local,
            limits,
        }
    }

    /// Returns the configuration state of this process.
    #[must_use]
    pub const fn ledger(&self) -> &ConfigLedger {
        &self.ledger
    }

    /// Returns the event counts.
    #[must_use]
    pub const fn counters(&self) -> SyncCounters {
        self.counters
    }

    /// Returns whether this process is a selected reader of the log.
    #[must_use]
    pub const fn is_reader(&self) -> bool {
        self.is_reader
    }

    /// Returns the time at which the next [`SyncEvent::Tick`] is due.
    #[must_use]
    pub fn next_tick_at(&self) -> Time {
        let read_at = self.read_deadline.unwrap_or(self.read_at);
        let read_at = if self.is_reader {
            read_at
        } else {
            read_at.max(self.silence_deadline)
        };
        self.exchange_at.min(read_at)
    }

    /// Handles an event and returns the operations to perform.
    pub fn on(&mut self, now: Time, event: SyncEvent) -> Vec<SyncAction> {
        let before = self.ledger.version();
        let mut actions = match event {
            SyncEvent::LiveProcesses(live) => self.on_live_processes(live),
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

    /// Handles a message of a peer; returns the reply and the operations to perform.
    pub fn answer(&mut self, now: Time, request: Exchange) -> (Exchange, Vec<SyncAction>) {
        let before = self.ledger.version();
        let peer_digest = request.digest;
        self.silence_deadline = now + self.limits.peer_silence_max;
        self.ledger.apply_update(peer_digest, request.update);
        let mut actions = Vec::new();
        self.announce(before, &mut actions);
        let update = self.ledger.update_since(peer_digest.version);
        self.counters.updates_sent += u64::from(update.is_some());
        let reply = self.message(update, request.follow_up);
        (reply, actions)
    }

    fn on_live_processes(&mut self, live: Vec<Peer>) -> Vec<SyncAction> {
        let is_truncated = self.peers.replace(&self.local, live, self.limits.peers_max);
        self.counters.peer_lists_truncated += u64::from(is_truncated);
        let all = self.peers.all();
        self.is_reader = is_log_reader(&self.local, all, self.limits.readers_per_zone);
        self.rank = reader_rank(&self.local, all);
        Vec::new()
    }

    fn on_tick(&mut self, now: Time) -> Vec<SyncAction> {
        let mut actions = Vec::new();
        if self.exchange_at.has_passed(now) {
            self.exchange_at = now + self.limits.exchange_interval;
            let any_zone = self.peers.next_random().is_multiple_of(2);
            let peer = if any_zone {
                self.peers.random_peer()
            } else {
                self.peers.random_same_zone_peer()
            };
            actions.extend(peer.map(|peer| SyncAction::Exchange(peer, self.message(None, false))));
        }
        if self
            .read_deadline
            .is_some_and(|until| until.has_passed(now))
        {
            actions.extend(self.on_log_failed(now));
        }
        let reads = self.is_reader || self.silence_deadline.has_passed(now);
        if reads && self.read_deadline.is_none() && self.read_at.has_passed(now) {
            self.read_deadline = Some(now + self.limits.read_timeout);
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
        self.read_deadline = None;
        self.read_at = now + self.limits.read_interval;
        Vec::new()
    }

    fn on_page(&mut self, now: Time, page: &Page) -> Vec<SyncAction> {
        self.read_deadline = None;
        let more = page.next < page.end;
        self.read_at = if more {
            now
        } else {
            now + self.limits.read_interval
        };
        if page.start <= self.ledger.next_offset() {
            self.scan = None;
            self.apply_page(now, page);
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
        self.checkpoint_offset = found.through;
        if self.ledger.install_checkpoint(found).is_err() {
            self.counters.refused += 1;
        }
        self.read_at = now;
        Vec::new()
    }

    fn apply_page(&mut self, now: Time, page: &Page) {
        if page.from > self.ledger.next_offset() {
            // Late answer to a read of the checkpoint scan; the records in between have
            // not been read.
            self.read_at = now;
            return;
        }
        for (offset, bytes) in &page.records {
            match self.ledger.apply_record(*offset, bytes) {
                RecordOutcome::Checkpoint(_) => {
                    self.checkpoint_at = now + self.limits.checkpoint_interval;
                    self.checkpoint_offset = *offset;
                    self.retention_checkpoint_from = now + RETENTION_CHECKPOINT_INTERVAL;
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
        if self.is_retention_checkpoint_due(now, page) {
            self.checkpoint_at = self.checkpoint_at.min(now);
        }
        let at_end = self.ledger.next_offset() >= page.end;
        let stagger = self.limits.checkpoint_stagger.times(self.rank);
        if !at_end || !(self.checkpoint_at + stagger).has_passed(now) {
            return Vec::new();
        }
        self.checkpoint_at = now + self.limits.checkpoint_interval;
        self.retention_checkpoint_from = now + RETENTION_CHECKPOINT_INTERVAL;
        let Some(checkpoint) = self.ledger.checkpoint() else {
            return Vec::new();
        };
        let record = encode_record(EntryBody::Checkpoint(checkpoint)).ok();
        self.counters.checkpoints += u64::from(record.is_some());
        record.map(SyncAction::Append).into_iter().collect()
    }

    /// Returns whether the log may soon drop records that follow its newest checkpoint.
    fn is_retention_checkpoint_due(&self, now: Time, page: &Page) -> bool {
        if page.start == Offset::default() || !self.retention_checkpoint_from.has_passed(now) {
            return false;
        }
        let start = page.start.get();
        let held = page.end.get().saturating_sub(start);
        let margin = self.checkpoint_offset.get().checked_sub(start);
        margin.is_none_or(|margin| margin.saturating_mul(RETENTION_DIVISOR) < held)
    }

    fn on_reply(&mut self, now: Time, reply: Exchange) -> Vec<SyncAction> {
        let peer_digest = reply.digest;
        self.silence_deadline = now + self.limits.peer_silence_max;
        self.ledger.apply_update(peer_digest, reply.update);
        if reply.follow_up {
            return Vec::new();
        }
        let Some(update) = self.ledger.update_since(peer_digest.version) else {
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
        self.counters.updates_sent += 1;
        vec![SyncAction::Exchange(to, self.message(Some(update), true))]
    }

    /// Puts the version in force if it is newer than `before`, and notifies a few peers.
    fn announce(&mut self, before: ConfigVersion, actions: &mut Vec<SyncAction>) {
        let Some(in_force) = self.ledger.in_force().cloned() else {
            return;
        };
        if in_force.version <= before {
            return;
        }
        self.counters.versions += 1;
        actions.push(SyncAction::PutInForce(in_force));
        for index in 0..self.limits.fan_out {
            let peer = if index == 0 {
                self.peers.random_peer()
            } else {
                self.peers.random_same_zone_peer()
            };
            let update = self.ledger.last_change();
            actions
                .extend(peer.map(|peer| SyncAction::Exchange(peer, self.message(update, false))));
        }
    }

    fn message(&self, update: Option<Update>, follow_up: bool) -> Exchange {
        Exchange {
            sender: self.local.name.clone(),
            digest: self.digest(),
            update,
            follow_up,
        }
    }

    fn digest(&self) -> Digest {
        self.ledger.digest()
    }
}
