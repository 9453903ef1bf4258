//! The agent's state machine for calls that must not repeat.

mod call;
mod event;
mod results;
mod settle;

use std::collections::HashMap;

use lentil_core::{AttemptId, NotRunProof, Offset, Refusal, RefusalReason, Span, Time};

pub use self::event::{Action, Call, Counters, EndpointResult, Event, Limits, Reply};
use crate::active_keys::Locals;
use crate::attempt_registry::{AttemptRegistry, AttemptState};
use crate::batcher::{AppendResult, Batcher, Pace};
use crate::ledger::ClaimLedger;
use crate::record::{Executor, KeyDigest, Record};

/// Wait before a failed or empty read of the log is repeated while a claim waits.
const READ_RETRY: Span = Span::from_ms(20);

/// Claims, runs and settles the keyed calls of one endpoint.
///
/// [`Action::Run`] is given only after this executor's own claim was read from
/// the log as the one that stands; from then on no other process may run the
/// key, whatever any clock says.
#[derive(Debug)]
pub struct ClaimStateMachine {
    executor: Executor,
    limits: Limits,
    attempts: AttemptRegistry,
    ledger: ClaimLedger,
    locals: Locals,
    releasing: HashMap<KeyDigest, AttemptId>,
    batcher: Batcher,
    cursor: Offset,
    wanted: Option<Offset>,
    reading: bool,
    next_read_at: Time,
    next_poll_at: Time,
    next_refresh_at: Time,
    next_deadline: Time,
    fenced: bool,
    counters: Counters,
}

impl ClaimStateMachine {
    /// The machine of a process that starts now; it first reads the log from `first`.
    #[must_use]
    pub fn new(now: Time, executor: Executor, limits: Limits, first: Offset) -> Self {
        let pace = Pace {
            interval: limits.append_interval,
            linger: limits.linger,
            outage_after: limits.outage_after,
        };
        let mut batcher = Batcher::new(executor.clone(), pace, limits.records_max);
        batcher.push_urgent(now, Record::Start);
        Self {
            attempts: AttemptRegistry::new(executor.boot, limits.attempts_max),
            ledger: ClaimLedger::new(limits.answers_max_bytes),
            locals: Locals::default(),
            releasing: HashMap::new(),
            batcher,
            cursor: first,
            wanted: None,
            reading: false,
            next_read_at: now,
            next_poll_at: now,
            next_refresh_at: now + limits.refresh_interval,
            next_deadline: Time::NEVER,
            fenced: false,
            counters: Counters::default(),
            executor,
            limits,
        }
    }

    /// Which attempts may begin; shared with the calls that have no key.
    #[must_use]
    pub const fn attempts(&self) -> &AttemptRegistry {
        &self.attempts
    }

    /// The same, to admit and to end attempts without a key.
    pub const fn attempts_mut(&mut self) -> &mut AttemptRegistry {
        &mut self.attempts
    }

    /// The log as read so far.
    #[must_use]
    pub const fn ledger(&self) -> &ClaimLedger {
        &self.ledger
    }

    /// What happened so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        Counters {
            appends: self.batcher.appends(),
            epochs: self.attempts.epoch_advances(),
            ..self.counters
        }
    }

    /// Whether nothing is in work and the log shows everything that happened.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.locals.len() == 0 && self.batcher.is_idle()
    }

    /// Whether a later boot has started beside the same endpoint.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Takes an event and says what to do, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Call(call) => self.on_call(now, call, &mut out),
            Event::Settle { attempt, key, boot } => {
                let outcome = self.settle(attempt, key, boot);
                out.push(Action::Settled { attempt, outcome });
            }
            Event::Appended { sequence, result } => self.on_appended(now, sequence, result),
            Event::Read {
                from,
                batches,
                next,
                first,
            } => self.on_read(now, from, &batches, next, first, &mut out),
            Event::ReadFailed => self.reading = false,
            Event::Finished { claim, result } => self.on_finished(now, claim, result, &mut out),
            Event::Tick => {}
        }
        self.drive(now, &mut out);
        out
    }

    /// When [`Event::Tick`] is due at the latest.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let read = if self.reading {
            Time::NEVER
        } else if self.waits_for_read() {
            self.next_read_at
        } else {
            self.next_poll_at
        };
        read.min(self.batcher.next_wake())
            .min(self.next_deadline)
            .min(self.next_refresh_at)
    }

    fn on_appended(&mut self, now: Time, sequence: u64, result: AppendResult) {
        if let AppendResult::Stored(offset) = result {
            self.wanted = self.wanted.max(Some(offset));
        }
        if result == AppendResult::NoAnswer {
            self.counters.lost_answers += 1;
        }
        self.batcher.on_result(now, sequence, result);
        self.next_read_at = now;
    }

    fn waits_for_read(&self) -> bool {
        self.batcher.waits_for_read() || self.wanted.is_some_and(|offset| offset >= self.cursor)
    }

    fn drive(&mut self, now: Time, out: &mut Vec<Action>) {
        if self.next_deadline.has_passed(now) {
            self.expire(now, out);
        }
        if self.next_refresh_at.has_passed(now) {
            self.next_refresh_at = now + self.limits.refresh_interval;
            self.batcher.push_lazy(now, Record::Start);
        }
        if let Some(batch) = self.batcher.poll(now) {
            out.push(Action::Append(batch));
        }
        let due = if self.waits_for_read() {
            self.next_read_at
        } else {
            self.next_poll_at
        };
        if !self.reading && due.has_passed(now) {
            self.reading = true;
            self.next_read_at = now + READ_RETRY;
            self.next_poll_at = now + self.limits.poll_interval;
            out.push(Action::Read { from: self.cursor });
        }
    }

    /// Refuses waiters past their deadline whose claim is not settled.
    fn expire(&mut self, now: Time, out: &mut Vec<Action>) {
        for key in self.locals.overdue(now) {
            let gone = self.locals.take_waiters(key, |w| w.expires.has_passed(now));
            for waiter in gone {
                self.refuse_unbegun(waiter.attempt, RefusalReason::DeadlineExceeded, None, out);
            }
        }
        self.next_deadline = self.locals.next_deadline();
    }

    /// Refuses an attempt that has not begun and now never will.
    fn refuse_unbegun(
        &mut self,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after: Option<Span>,
        out: &mut Vec<Action>,
    ) {
        self.attempts.set(attempt, AttemptState::Refused);
        self.counters.not_run += 1;
        let mut refusal = Refusal::not_run(NotRunProof::AgentTombstone(attempt), reason);
        refusal.retry_after = retry_after;
        out.push(Action::Reply {
            attempt,
            reply: Reply::Refused(refusal),
        });
    }
}
