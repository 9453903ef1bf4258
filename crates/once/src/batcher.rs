//! Group commit: one append is in flight, and all records that arrive meanwhile go into the next.

use std::collections::VecDeque;

use lentil_core::{Offset, Span, Time};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::record::{Batch, Executor, Record};

/// Initial delay before a failed append is retried.
const RETRY_MIN: Span = Span::from_ms(50);
/// Number of times the delay doubles from [`RETRY_MIN`] before it stays constant.
const RETRY_DOUBLINGS_MAX: u32 = 5;

/// Result of an append to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    /// The batch is stored at this offset.
    Stored(Offset),
    /// The log refused the batch and did not store it.
    Refused,
    /// No answer arrived: the log may have stored the batch or may still store it.
    NoAnswer,
}

#[derive(Debug)]
struct InFlight {
    batch: Batch,
    awaits_answer: bool,
    retries: u32,
    retry_at: Time,
    outage_at: Time,
    stored: bool,
}

/// Timing of appends.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AppendTiming {
    /// Minimum time between two appends.
    pub(crate) interval: Span,
    /// Maximum delay of a record that no attempt waits for.
    pub(crate) linger: Span,
    /// Time after the append of a batch at which the log counts as unavailable if the batch has not
    /// been read back.
    pub(crate) outage_after: Span,
}

/// Buffers records and tracks the append in flight.
#[derive(Debug)]
pub(crate) struct Batcher {
    executor: Executor,
    timing: AppendTiming,
    records_max: usize,
    sequence: u64,
    pending: VecDeque<Record>,
    due_at: Time,
    next_append_at: Time,
    in_flight: Option<InFlight>,
    appends: u64,
}

impl Batcher {
    pub(crate) fn new(executor: Executor, timing: AppendTiming, records_max: usize) -> Self {
        Self {
            executor,
            timing,
            records_max,
            sequence: 0,
            pending: VecDeque::new(),
            due_at: Time::NEVER,
            next_append_at: Time::ZERO,
            in_flight: None,
            appends: 0,
        }
    }

    /// Number of appends sent, including retries.
    pub(crate) const fn appends(&self) -> u64 {
        self.appends
    }

    pub(crate) fn push_urgent(&mut self, now: Time, record: Record) {
        self.pending.push_back(record);
        self.due_at = self.due_at.min(now);
    }

    pub(crate) fn push_deferred(&mut self, now: Time, record: Record) {
        self.pending.push_back(record);
        self.due_at = self.due_at.min(now + self.timing.linger);
    }

    /// Whether the batch in flight has not been read back from the log within the outage limit.
    pub(crate) fn is_log_unavailable(&self, now: Time) -> bool {
        self.in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.outage_at.has_passed(now))
    }

    /// Returns the batch to append at `now`: a new one, or a retry of the one in flight.
    pub(crate) fn poll(&mut self, now: Time) -> Option<Batch> {
        if let Some(in_flight) = &mut self.in_flight {
            let retry_pending = !in_flight.awaits_answer && !in_flight.stored;
            if !(retry_pending && in_flight.retry_at.has_passed(now)) {
                return None;
            }
            in_flight.awaits_answer = true;
            in_flight.retries = in_flight.retries.saturating_add(1);
            self.appends += 1;
            return Some(in_flight.batch.clone());
        }
        if !self.due_at.has_passed(now) || !self.next_append_at.has_passed(now) {
            return None;
        }
        self.start_append(now)
    }

    fn start_append(&mut self, now: Time) -> Option<Batch> {
        if self.pending.is_empty() {
            return None;
        }
        let count = self.pending.len().min(self.records_max);
        let batch = Batch {
            executor: self.executor.clone(),
            sequence: self.sequence,
            records: self.pending.drain(..count).collect(),
        };
        self.sequence += 1;
        self.appends += 1;
        self.next_append_at = now + self.timing.interval;
        self.due_at = if self.pending.is_empty() {
            Time::NEVER
        } else {
            now
        };
        self.in_flight = Some(InFlight {
            batch: batch.clone(),
            awaits_answer: true,
            retries: 0,
            retry_at: Time::NEVER,
            outage_at: now + self.timing.outage_after,
            stored: false,
        });
        Some(batch)
    }

    /// Processes the result of an append. Returns true if the batch is known to be stored.
    pub(crate) fn on_result(&mut self, now: Time, sequence: u64, result: AppendResult) -> bool {
        let Some(in_flight) = &mut self.in_flight else {
            return false;
        };
        if in_flight.batch.sequence != sequence {
            return false;
        }
        in_flight.awaits_answer = false;
        if let AppendResult::Stored(_) = result {
            in_flight.stored = true;
            return true;
        }
        let doublings = in_flight.retries.min(RETRY_DOUBLINGS_MAX);
        let wait = RETRY_MIN.times(1 << doublings);
        in_flight.retry_at = now + wait + jitter(&in_flight.batch, in_flight.retries, wait);
        false
    }

    /// Processes a batch of this executor that was read from the log.
    pub(crate) fn on_read(&mut self, sequence: u64) {
        let read = self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.batch.sequence <= sequence);
        if read {
            self.in_flight = None;
        }
    }

    /// Whether reading the log may show whether the batch in flight is stored.
    pub(crate) const fn awaits_read(&self) -> bool {
        match &self.in_flight {
            Some(in_flight) => in_flight.stored || !in_flight.awaits_answer,
            None => false,
        }
    }

    /// Whether no record is pending and no batch is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.in_flight.is_none()
    }

    /// Removes the batch in flight and returns its records, for a batch that the log trimmed before
    /// it was read.
    pub(crate) fn take_in_flight(&mut self) -> Vec<Record> {
        self.in_flight
            .take()
            .map(|in_flight| in_flight.batch.records)
            .unwrap_or_default()
    }

    /// Time of the next append or retry.
    pub(crate) fn next_wake(&self) -> Time {
        match &self.in_flight {
            Some(in_flight) if in_flight.awaits_answer || in_flight.stored => Time::NEVER,
            Some(in_flight) => in_flight.retry_at,
            None => self.due_at.max(self.next_append_at),
        }
    }
}

/// Returns a part of `wait` that differs between executors, so that their retries are spread out.
fn jitter(batch: &Batch, retries: u32, wait: Span) -> Span {
    let seed = batch.executor.boot.get() ^ batch.sequence ^ (u64::from(retries) << 32);
    let hash = xxh3_64_with_seed(batch.executor.endpoint.as_str().as_bytes(), seed);
    Span::from_us(hash % wait.as_us().max(1))
}
