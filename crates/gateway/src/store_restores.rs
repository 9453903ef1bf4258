//! What the processes of a fleet tell each other, through the log, about restores of the store.
//!
//! When a read is complete is decided by [`RestoreWatch`]. This module supplies its observations, and
//! writes the record for processes that start later.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use lentil_core::{Span, StoreEra, Time};
use lentil_feed::RestoreWatch;
use lentil_shell::BootClock;
use tokio::sync::{Notify, watch};

use crate::LocalFuture;
use crate::relayed_log::RelayDirectory;
use crate::store_feed::StoreError;

/// Longest time for which a start waits for the first read of the record.
const START_WAIT: Duration = Duration::from_millis(100);
/// Longest delay, for each gateway of the fleet, before a gateway writes the record. With it the
/// fleet reads the record twice a second until each gateway has done so.
const WRITE_JITTER_PER_GATEWAY: Span = Span::from_ms(500);
/// Delay before a read or write that failed is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// The record of the last restore that is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadRestore {
    /// The era of the store that was read.
    pub era: StoreEra,
    /// The era that the record names; `None` if there is no valid one.
    pub restored: Option<StoreEra>,
}

/// The record in the log that the restore of an era is over, which all gateways read and write.
pub trait RestoreLog {
    /// Reads the record.
    fn read_restore(&self) -> LocalFuture<'_, Result<ReadRestore, StoreError>>;

    /// Writes that the restore of this era is over. After an error it is unknown whether it was
    /// written.
    fn write_restore(&self, era: StoreEra) -> LocalFuture<'_, Result<(), StoreError>>;
}

/// The state of the store's last restore, as known to the thread that reads the store.
#[derive(Debug)]
pub struct StoreRestores {
    clock: BootClock,
    watch: RefCell<RestoreWatch>,
    era_risen: Notify,
}

impl StoreRestores {
    /// Creates the state of a process that has not reached the store yet.
    #[must_use]
    pub fn new(clock: BootClock) -> Rc<Self> {
        Rc::new(Self {
            clock,
            watch: RefCell::default(),
            era_risen: Notify::new(),
        })
    }

    /// Records that an answer of a store of this era was received.
    pub fn record_answer(&self, era: StoreEra) {
        let now = self.clock.now();
        if self.watch.borrow_mut().record_answer(now, era) {
            self.era_risen.notify_one();
        }
    }

    /// Records that a request of `asked_at` had failed at `failed_at`.
    pub fn record_failure(&self, asked_at: Time, failed_at: Time) {
        self.watch.borrow_mut().record_failure(asked_at, failed_at);
    }

    /// Applies a decision to the state.
    pub fn with<T>(&self, decide: impl FnOnce(&RestoreWatch) -> T) -> T {
        decide(&self.watch.borrow())
    }

    /// The time from which on reads of the current era are complete.
    fn restored_at(&self) -> Time {
        self.with(|watch| watch.restored_at(watch.era()))
    }

    async fn read(&self, log: &dyn RestoreLog) -> Result<(), StoreError> {
        let read = log.read_restore().await?;
        self.record_answer(read.era);
        if let Some(restored) = read.restored {
            let mut watch = self.watch.borrow_mut();
            watch.record_restored(self.clock.now(), restored);
        }
        let restored = self.with(RestoreWatch::is_recorded);
        log::info!(era:% = read.era, restored = restored; "read whether the restore of the store is over");
        Ok(())
    }

    /// Reads the record, again after failures.
    async fn read_until_answered(&self, log: &dyn RestoreLog) {
        while let Err(error) = self.read(log).await {
            log::info!("it was not read whether the restore of the store is over: {error}");
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    /// Waits until a gateway that is one of `gateways` is to write the record.
    async fn write_due(&self, gateways: impl Fn(Time) -> u32) {
        loop {
            let now = self.clock.now();
            let restored_at = self.restored_at();
            if restored_at.has_passed(now) {
                let jitter_max = WRITE_JITTER_PER_GATEWAY.times(gateways(now).max(1).into());
                let jitter_us = rand::random_range(0..=jitter_max.as_us());
                tokio::time::sleep(Span::from_us(jitter_us).into()).await;
                return;
            }
            let wait = restored_at.since(now).min(lentil_feed::RESTORE_TIME);
            tokio::time::sleep(wait.into()).await;
        }
    }
}

/// Reads the record at the start and writes it after each restore, for ever. `is_read` is set when the
/// first read has ended.
pub(crate) async fn follow_restores(
    restores: Rc<StoreRestores>,
    log: Box<dyn RestoreLog>,
    relays: Rc<RelayDirectory>,
    is_read: watch::Sender<bool>,
) {
    restores.read_until_answered(&*log).await;
    is_read.send_replace(true);
    loop {
        while restores.with(RestoreWatch::is_recorded) {
            restores.era_risen.notified().await;
        }
        restores.write_due(|now| relays.gateway_count(now)).await;
        restores.read_until_answered(&*log).await;
        let (era, is_recorded) = restores.with(|watch| (watch.era(), watch.is_recorded()));
        let is_over = restores.restored_at().has_passed(restores.clock.now());
        if is_recorded || !is_over {
            continue;
        }
        match log.write_restore(era).await {
            Ok(()) => {
                log::info!(era:% = era; "the restore of the store is over");
                let now = restores.clock.now();
                restores.watch.borrow_mut().record_restored(now, era);
            }
            Err(error) => {
                log::info!(era:% = era; "it is unknown whether the end of the store's restore was written: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Waits until it is known whether the restore of the store is over, but not for long: without that
/// the first reads confirm nothing for a while.
pub(crate) async fn wait_for_first_read(mut is_read: watch::Receiver<bool>) {
    let read = is_read.wait_for(|is_read| *is_read);
    if tokio::time::timeout(START_WAIT, read).await.is_err() {
        log::info!("starting before it was read whether the restore of the store is over");
    }
}
