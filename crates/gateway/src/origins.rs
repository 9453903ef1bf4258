//! Keeping streams at the version that began them, over the tries of their callers.
//!
//! The decisions are those of [`lentil_origin`]. This module supplies its observations, and reads and
//! writes the log for it.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lentil_core::{ServiceName, Span, StoreEra, Time};
use lentil_feed::{Position, RESTORE_TIME};
use lentil_fleet::VersionNeed;
use lentil_origin::{Origins, StreamRecord, VersionCounts};
use lentil_rollout::Version;
use tokio::sync::{Mutex, Notify, oneshot, watch};
use tokio::time::Instant;

use crate::attempt::Job;
use crate::gateway::Gateway;
use crate::origin_log::{OriginLog, ReadDefaults};
use crate::status_log::WriteOutcome;
use crate::store_feed::StoreError;
use crate::stream_holders::{UnwrittenRecord, UnwrittenRecords};

/// Shortest interval between two appends of a gateway.
const APPEND_INTERVAL_MIN: Span = Span::from_ms(10);
/// Growth of that interval with each gateway, so that all together append at most 200 times a
/// second.
const APPEND_INTERVAL_PER_GATEWAY: Span = Span::from_ms(5);
/// Longest interval between two appends, which delays the first events of streams.
const APPEND_INTERVAL_MAX: Span = Span::from_ms(250);
/// Longest time for which the first event of a stream waits until the gateway itself has appended its
/// record: the longest interval between two appends, and the append.
const APPEND_WAIT: Duration = Duration::from_millis(400);
/// Time for which new streams are placed where they need no record, after neither the log nor an
/// observer has taken one.
const UNRECORDED_TIME: Span = Span::from_ms(5_000);
/// Delay before an append that failed is repeated.
const APPEND_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Maximum number of records that wait to be appended; beyond it the oldest are dropped.
const PENDING_MAX: usize = 4_096;
/// Maximum number of records in one append.
const APPEND_MAX: usize = 1_024;
/// Age from which a confirmation of the list is not expected to be followed by another one soon.
const LIST_AGE_MAX: Span = Span::from_ms(2_000);
/// When the store has come back from an older copy, records of this time are appended again. The copy
/// is some seconds old.
const RESTORED_RECORDS_TIME: Span = Span::from_ms(10_000);
/// Interval at which it is checked whether default versions have to be read or written.
const UPDATE_INTERVAL: Span = Span::from_ms(200);
/// Shortest interval between two requests for the default versions.
const DEFAULTS_INTERVAL: Span = Span::from_ms(300);
/// Longest delay before a due default version is written, so that mostly one gateway does.
const WRITE_JITTER_MAX: Span = Span::from_ms(500);
/// Delay before a default version that was not written is written again.
const REWRITE_DELAY: Span = Span::from_ms(2_000);
/// A stream may be taken up for this multiple of the longest timeout of its service's resumable
/// routes: its own time and that of the caller's repeats.
const TAKE_UP_TIMEOUTS: u64 = 2;

/// A record that waits to be appended, and who waits for it.
#[derive(Debug)]
struct PendingRecord {
    record: StreamRecord,
    /// Dropped when the first append has failed.
    appended: Option<oneshot::Sender<()>>,
}

/// Where the version of a stream is known before its first event is passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Recorded {
    /// No record is needed, or it is in the log.
    InLog,
    /// Observers hold the record, and append it when they can.
    Held,
    /// This gateway alone knows the version.
    Nowhere,
}

/// The streams of a gateway and the versions that began them.
pub(crate) struct StreamOrigins {
    log: Rc<dyn OriginLog>,
    pub(crate) origins: RefCell<Origins>,
    pending: RefCell<VecDeque<PendingRecord>>,
    appends_due: Notify,
    /// The records that observers hold until they are in the log.
    pub(crate) unwritten: UnwrittenRecords,
    /// The last records that were queued, and when.
    recent: RefCell<VecDeque<(Time, StreamRecord)>>,
    /// The latest era of the store that is known.
    era: Cell<Option<StoreEra>>,
    /// The first one that was known.
    first_era: Cell<Option<StoreEra>>,
    /// Whether the last append failed or did not end in time.
    failing: Cell<bool>,
    /// Until when new streams are placed where they need no record.
    unrecorded_until: Cell<Time>,
    /// The position from which records are read next. Locked while they are read.
    next_read: Mutex<Option<Position>>,
    /// Wakes the thread that reads the default versions.
    defaults_wanted: Arc<Notify>,
    defaults_wanted_at: Cell<Time>,
    /// The end of the log of default versions when they were read.
    defaults_end: Cell<Option<Position>>,
    /// The default versions as last read.
    defaults: RefCell<BTreeMap<ServiceName, Option<Version>>>,
    defaults_read_at: Cell<Option<Time>>,
    /// Until when the log counts as unreadable.
    pub(crate) unreadable_until: Cell<Time>,
    /// When the store was asked for the list of endpoints, the last time.
    pub(crate) list_confirmed_at: watch::Sender<Time>,
    write_due: Cell<Option<Time>>,
    is_writing: Cell<bool>,
    next_update: Cell<Time>,
}

impl StreamOrigins {
    pub(crate) fn new(log: Rc<dyn OriginLog>) -> Self {
        Self {
            log,
            origins: RefCell::default(),
            pending: RefCell::default(),
            appends_due: Notify::new(),
            unwritten: UnwrittenRecords::default(),
            recent: RefCell::default(),
            era: Cell::default(),
            first_era: Cell::default(),
            failing: Cell::default(),
            unrecorded_until: Cell::default(),
            next_read: Mutex::default(),
            defaults_wanted: Arc::default(),
            defaults_wanted_at: Cell::default(),
            defaults_end: Cell::default(),
            defaults: RefCell::default(),
            defaults_read_at: Cell::default(),
            unreadable_until: Cell::default(),
            list_confirmed_at: watch::Sender::new(Time::ZERO),
            write_due: Cell::default(),
            is_writing: Cell::default(),
            next_update: Cell::default(),
        }
    }

    /// The default version of a service that was last read.
    pub(crate) fn last_default(&self, service: &ServiceName) -> Option<Option<Version>> {
        self.origins.borrow().last_default(service).cloned()
    }

    pub(crate) fn defaults_wanted(&self) -> Arc<Notify> {
        Arc::clone(&self.defaults_wanted)
    }

    /// Notes that the list of endpoints holds all entries that were written before this time.
    pub(crate) fn confirm_list(&self, asked_at: Time) {
        self.origins.borrow_mut().confirm_list(asked_at);
        self.list_confirmed_at.send_replace(asked_at);
    }

    /// Whether neither the log could be read nor the list was confirmed a short time ago.
    pub(crate) fn is_cut_off(&self, now: Time) -> bool {
        let confirmed_at = *self.list_confirmed_at.borrow();
        !self.unreadable_until.get().has_passed(now)
            && (confirmed_at + LIST_AGE_MAX).has_passed(now)
    }

    /// Asks for the default versions, unless it has just done so.
    fn want_defaults(&self, now: Time) {
        if (self.defaults_wanted_at.get() + DEFAULTS_INTERVAL).has_passed(now) {
            self.defaults_wanted_at.set(now);
            self.defaults_wanted.notify_one();
        }
    }

    /// Takes over the era of the store. If it has risen, what was read may be lost, and the
    /// gateway's own records of the last seconds are appended again. Returns whether the era is the
    /// latest one.
    pub(crate) fn record_era(&self, now: Time, era: StoreEra) -> bool {
        let known = self.era.get();
        if known >= Some(era) {
            return known == Some(era);
        }
        self.era.set(Some(era));
        if known.is_none() {
            self.first_era.set(Some(era));
            self.set_restored_at(era, now + RESTORE_TIME);
            return true;
        }
        self.origins.borrow_mut().forget_reads(now);
        self.defaults_end.set(None);
        let recent = std::mem::take(&mut *self.recent.borrow_mut());
        let recent = recent
            .into_iter()
            .filter(|(at, _)| !(*at + RESTORED_RECORDS_TIME).has_passed(now));
        let mut records = 0;
        for (_, record) in recent {
            records += 1;
            drop(self.enqueue(now, record));
        }
        log::warn!(era:% = era, records = records; "the store has come back from an older copy; appending the versions of streams again");
        true
    }

    /// Takes over from when on reads of the store are complete.
    pub(crate) fn set_restored_at(&self, era: StoreEra, restored_at: Time) {
        let mut origins = self.origins.borrow_mut();
        if era == StoreEra::default() {
            origins.start(Time::ZERO);
        } else if self.first_era.get() == Some(era) {
            origins.start(restored_at);
        } else {
            origins.set_restored_at(restored_at);
        }
    }

    /// Notes that the store did not answer a request that was sent at this time.
    pub(crate) fn record_store_failure(&self, asked_at: Time) {
        self.origins.borrow_mut().record_store_failure(asked_at);
    }

    /// Takes over the default versions that were read from the log.
    pub(crate) fn record_defaults(&self, now: Time, read: &ReadDefaults) {
        if !self.record_era(now, read.end.era) {
            log::info!(end:% = read.end; "the default versions of an earlier era were dropped");
            return;
        }
        let mut origins = self.origins.borrow_mut();
        origins.record_defaults(read.asked_at, &read.defaults);
        self.defaults_end.set(Some(read.end));
        let before = self.defaults.replace(read.defaults.clone());
        for (service, version) in &read.defaults {
            if before.get(service) != Some(version) {
                let version = version.as_ref().map_or("", Version::as_str);
                log::info!(service:% = service, version = version; "default version read");
            }
        }
        self.defaults_read_at
            .set(self.defaults_read_at.get().max(Some(read.asked_at)));
    }

    /// Queues a record, and returns what tells that it was appended.
    fn enqueue(&self, now: Time, record: StreamRecord) -> oneshot::Receiver<()> {
        let (sender, appended) = oneshot::channel();
        let mut recent = self.recent.borrow_mut();
        let is_recent = |(at, _): &(Time, _)| !(*at + RESTORED_RECORDS_TIME).has_passed(now);
        while recent.len() >= PENDING_MAX || recent.front().is_some_and(|it| !is_recent(it)) {
            recent.pop_front();
        }
        recent.push_back((now, record.clone()));
        drop(recent);
        let mut pending = self.pending.borrow_mut();
        if pending.len() >= PENDING_MAX {
            log::warn!("a stream's record is dropped, as too many wait to be appended");
            pending.pop_front();
        }
        pending.push_back(PendingRecord {
            record,
            appended: Some(sender),
        });
        self.appends_due.notify_one();
        appended
    }

    /// Notes that an append takes too long, so that further records go to observers at once.
    fn record_late_append(&self) {
        if !self.failing.replace(true) {
            log::warn!("the versions of streams are not recorded in time");
        }
    }

    /// Appends the records that wait. Those of a failed append wait again.
    async fn append_pending(&self) -> bool {
        let batch: Vec<_> = {
            let mut pending = self.pending.borrow_mut();
            let count = pending.len().min(APPEND_MAX);
            pending.drain(..count).collect()
        };
        let records: Vec<_> = batch.iter().map(|it| it.record.clone()).collect();
        match self.log.append_records(&records).await {
            Ok(()) => {
                if self.failing.replace(false) {
                    log::info!("the versions of streams are recorded again");
                }
                self.unwritten.remove(&records);
                for appended in batch.into_iter().filter_map(|it| it.appended) {
                    // Streams do not wait for longer than their records need.
                    let _ = appended.send(());
                }
                true
            }
            Err(error) => {
                if !self.failing.replace(true) {
                    log::warn!(records = records.len(); "the versions of streams are not recorded: {error}");
                }
                let mut pending = self.pending.borrow_mut();
                for record in batch.into_iter().rev() {
                    pending.push_front(PendingRecord {
                        appended: None,
                        ..record
                    });
                }
                false
            }
        }
    }
}

impl std::fmt::Debug for StreamOrigins {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("StreamOrigins(..)")
    }
}

/// Appends the records of streams until dropped.
pub(crate) async fn run_appends(gateway: Rc<Gateway>) {
    let origins = &gateway.origins;
    loop {
        if origins.pending.borrow().is_empty() {
            origins.appends_due.notified().await;
        }
        let gateways = gateway.fleet.borrow().entry_count(gateway.now());
        let interval = APPEND_INTERVAL_PER_GATEWAY.times(u64::from(gateways));
        let interval = interval.clamp(APPEND_INTERVAL_MIN, APPEND_INTERVAL_MAX);
        tokio::time::sleep(interval.into()).await;
        if !origins.append_pending().await {
            gateway.metrics.count_stream_record("failed");
            tokio::time::sleep(APPEND_RETRY_DELAY).await;
        }
    }
}

impl Gateway {
    /// Takes over the versions of the known endpoints of all services with resumable streams.
    pub(crate) fn observe_versions(&self) {
        let Some(catalog) = self.catalog() else {
            return;
        };
        let now = self.now();
        let states = self.fleet.borrow().version_states(now);
        let mut origins = self.origins.origins.borrow_mut();
        for (service, versions) in states {
            let Some(timeout) = catalog.longest_resumable_timeout(&service) else {
                continue;
            };
            let counts = versions
                .into_iter()
                .map(|(version, state)| (version, state.known));
            let counts: VersionCounts = counts.filter(|(_, known)| *known > 0).collect();
            origins.observe(now, &service, counts, timeout.times(TAKE_UP_TIMEOUTS));
        }
    }

    /// Reads and writes default versions as far as it is due.
    pub(crate) fn update_defaults(self: &Rc<Self>) {
        let now = self.now();
        if !self.origins.next_update.get().has_passed(now) {
            return;
        }
        self.origins.next_update.set(now + UPDATE_INTERVAL);
        let (wants_defaults, change) = {
            let origins = self.origins.origins.borrow();
            (origins.wants_defaults(now), origins.due_change(now))
        };
        if wants_defaults {
            self.origins.want_defaults(now);
        }
        if change.is_none() {
            self.origins.write_due.set(None);
            return;
        }
        let due = self.origins.write_due.get().unwrap_or_else(|| {
            let jitter_us = rand::random_range(0..=WRITE_JITTER_MAX.as_us());
            now + Span::from_us(jitter_us)
        });
        self.origins.write_due.set(Some(due));
        if due.has_passed(now) && !self.origins.is_writing.replace(true) {
            tokio::task::spawn_local(write_default(Rc::clone(self)));
        }
    }

    /// Records the version of a stream whose first event is about to be passed on, if another
    /// gateway could not tell it.
    pub(crate) async fn record_origin(
        self: &Rc<Self>,
        job: &Job,
        version: Option<Version>,
    ) -> Recorded {
        if !job.route.is_retryable() {
            return Recorded::InLog;
        }
        let now = self.now();
        let is_needed = {
            let origins = self.origins.origins.borrow();
            origins.needs_record(now, &job.service, version.as_ref())
        };
        if !is_needed {
            return Recorded::InLog;
        }
        let record = StreamRecord {
            key: job.stream_key(),
            version,
        };
        self.origins
            .origins
            .borrow_mut()
            .insert(now, record.clone());
        let recorded = self.record_in_time(job, record).await;
        let outcome = match recorded {
            Recorded::InLog => "appended",
            Recorded::Held => "held",
            Recorded::Nowhere => {
                let until = self.now() + UNRECORDED_TIME;
                self.origins.unrecorded_until.set(until);
                "unrecorded"
            }
        };
        self.metrics.count_stream_record(outcome);
        recorded
    }

    /// Appends a record, or has observers hold it if that fails or takes too long.
    async fn record_in_time(self: &Rc<Self>, job: &Job, record: StreamRecord) -> Recorded {
        let is_failing = self.origins.failing.get();
        let wait_until = Instant::now() + APPEND_WAIT;
        let mut appended = self.origins.enqueue(self.now(), record.clone());
        if !is_failing {
            match tokio::time::timeout_at(wait_until, &mut appended).await {
                Ok(Ok(())) => return Recorded::InLog,
                // The append has failed.
                Ok(Err(_)) => {}
                Err(_) => self.origins.record_late_append(),
            }
        }
        let keep = self.origins.origins.borrow().take_up_time(&job.service);
        let unwritten = UnwrittenRecord {
            service: job.service.clone(),
            record,
            expires_at: self.now() + keep,
        };
        if self.hold_record(unwritten).await {
            return Recorded::Held;
        }
        // The log may be back, though the last append has failed.
        if is_failing {
            let appended = tokio::time::timeout_at(wait_until, appended).await;
            if matches!(appended, Ok(Ok(()))) {
                return Recorded::InLog;
            }
        }
        Recorded::Nowhere
    }

    /// The version at which a new stream has to begin, as its record would be taken neither by the
    /// log nor by an observer.
    pub(crate) fn unrecorded_version(&self, job: &Job) -> Option<Option<Version>> {
        let origins = &self.origins;
        if !job.route.is_retryable()
            || !origins.failing.get()
            || origins.unrecorded_until.get().has_passed(self.now())
        {
            return None;
        }
        let origins = origins.origins.borrow();
        let version = origins.unrecorded_version(&job.service)?.clone();
        let need = VersionNeed::Only(version.clone());
        let fleet = self.fleet.borrow();
        fleet
            .serves_version(self.now(), &job.service, &need)
            .then_some(version)
    }
}

impl StreamOrigins {
    /// Reads the default versions and the records of streams from the log, unless another request
    /// has done so since `wanted_at`.
    pub(crate) async fn read_log(
        &self,
        gateway: &Gateway,
        wanted_at: Time,
        default: bool,
        records: bool,
    ) -> Result<(), StoreError> {
        let mut next = self.next_read.lock().await;
        if default && self.defaults_read_at.get() < Some(wanted_at) {
            let read = self.log.read_defaults().await?;
            self.record_defaults(gateway.now(), &read);
        }
        let is_read = |origins: &RefCell<Origins>| origins.borrow().has_read_records(wanted_at);
        while records && !is_read(&self.origins) {
            let asked_at = gateway.now();
            let read = self.log.read_records(*next).await?;
            self.record_era(gateway.now(), read.next.era);
            *next = Some(read.next);
            let asked_at = read.is_complete.then_some(asked_at);
            let mut origins = self.origins.borrow_mut();
            origins.record_read(gateway.now(), read.records, asked_at);
            if read.is_complete {
                break;
            }
        }
        Ok(())
    }
}

/// Writes the default version that is due.
async fn write_default(gateway: Rc<Gateway>) {
    let origins = &gateway.origins;
    let change = origins.origins.borrow().due_change(gateway.now());
    let mut next_write = None;
    if let (Some(change), Some(end)) = (change, origins.defaults_end.take()) {
        let version = change.version.as_ref().map_or("", Version::as_str);
        match origins.log.write_default_if(&change, end.offset).await {
            Ok(WriteOutcome::Written) => {
                log::info!(service:% = change.service, version = version; "the default version was written");
            }
            Ok(WriteOutcome::Conflict) => {
                log::info!(service:% = change.service, version = version; "the default version was not written, as the log has grown");
            }
            Err(error) => {
                next_write = Some(gateway.now() + REWRITE_DELAY);
                log::info!(service:% = change.service, version = version; "it is unknown whether the default version was written: {error}");
            }
        }
    }
    // Whatever came of it, the log tells.
    origins.want_defaults(gateway.now());
    origins.write_due.set(next_write);
    origins.is_writing.set(false);
}
