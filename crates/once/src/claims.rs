//! State machine of an agent for calls with an idempotency key.

mod call;
mod event;
mod results;
mod settle;

use std::collections::HashMap;

use lentil_core::{AttemptId, NotRunProof, Offset, Refusal, RefusalReason, Span, Time};

pub use self::event::{Action, Call, Counters, EndpointResult, Event, Limits, Reply};
use crate::active_keys::ActiveKeys;
use crate::attempt_registry::{AttemptRegistry, AttemptState};
use crate::batcher::{AppendResult, AppendTiming, Batcher};
use crate::ledger::ClaimLedger;
use crate::record::{Executor, KeyDigest, Record};

/// Delay before the log is read again after a failed or empty read while a claim is pending.
const READ_RETRY: Span = Span::from_ms(20);

/// Claims, runs and settles the keyed calls of one endpoint.
///
/// [`Action::Run`] is emitted only after this executor has read its own claim from the log as the
/// first valid one for the key. From then on no other process may run the key, regardless of clock
/// differences.
#[derive(Debug)]
pub struct ClaimStateMachine {
    executor: Executor,
    limits: Limits,
    attempts: AttemptRegistry,
    ledger: ClaimLedger,
    active_keys: ActiveKeys,
    releasing: HashMap<KeyDigest, AttemptId>,
    batcher: Batcher,
    read_offset: Offset,
    last_stored: Option<Offset>,
    reading: bool,
    next_read_at: Time,
    next_poll_at: Time,
    next_refresh_at: Time,
    next_deadline: Time,
    fenced: bool,
    counters: Counters,
}

impl ClaimStateMachine {
    /// Creates the state machine of a process that starts now and reads the log from `first`.
    #[must_use]
    pub fn new(now: Time, executor: Executor, limits: Limits, first: Offset) -> Self {
        let timing = AppendTiming {
            interval: limits.append_interval,
            linger: limits.linger,
            outage_after: limits.outage_after,
        };
        let mut batcher = Batcher::new(executor.clone(), timing, limits.records_max);
        batcher.push_urgent(now, Record::Start);
        Self {
            attempts: AttemptRegistry::new(executor.boot, limits.attempts_max),
            ledger: ClaimLedger::new(limits.answers_max_bytes),
            active_keys: ActiveKeys::default(),
            releasing: HashMap::new(),
            batcher,
            read_offset: first,
            last_stored: None,
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

    /// The registry of attempts; calls without a key are admitted through it as well.
    #[must_use]
    pub const fn attempts(&self) -> &AttemptRegistry {
        &self.attempts
    }

    /// Mutable access to the registry, to admit and finish attempts without a key.
    pub const fn attempts_mut(&mut self) -> &mut AttemptRegistry {
        &mut self.attempts
    }

    /// The state of the claim stream as read so far.
    #[must_use]
    pub const fn ledger(&self) -> &ClaimLedger {
        &self.ledger
    }

    /// Counters since the start.
    #[must_use]
    pub fn counters(&self) -> Counters {
        Counters {
            appends: self.batcher.appends(),
            epoch_advances: self.attempts.epoch_advances(),
            ..self.counters
        }
    }

    /// Whether no key is in progress and the log shows all outcomes.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.active_keys.len() == 0 && self.batcher.is_idle()
    }

    /// Whether a later boot of the same endpoint's agent has started.
    #[must_use]
    pub const fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Processes an event and returns the actions to execute, in order.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Call(call) => self.on_call(now, call, &mut actions),
            Event::Settle { attempt, key, boot } => {
                let outcome = self.settle_attempt(attempt, key, boot);
                actions.push(Action::Settled { attempt, outcome });
            }
            Event::Appended { sequence, result } => self.on_appended(now, sequence, result),
            Event::Read {
                from,
                batches,
                next,
                first,
            } => self.on_read(now, from, &batches, next, first, &mut actions),
            Event::ReadFailed => self.reading = false,
            Event::Finished { claim, result } => self.on_finished(now, claim, result, &mut actions),
            Event::Tick => {}
        }
        self.push_due_actions(now, &mut actions);
        actions
    }

    /// The latest time at which [`Event::Tick`] must be delivered.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let read = if self.reading {
            Time::NEVER
        } else if self.awaits_read() {
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
            self.last_stored = self.last_stored.max(Some(offset));
        }
        if result == AppendResult::NoAnswer {
            self.counters.lost_answers += 1;
        }
        self.batcher.on_result(now, sequence, result);
        self.next_read_at = now;
    }

    fn awaits_read(&self) -> bool {
        self.batcher.awaits_read()
            || self
                .last_stored
                .is_some_and(|offset| offset >= self.read_offset)
    }

    fn push_due_actions(&mut self, now: Time, actions: &mut Vec<Action>) {
        if self.next_deadline.has_passed(now) {
            self.expire(now, actions);
        }
        if self.next_refresh_at.has_passed(now) {
            self.next_refresh_at = now + self.limits.refresh_interval;
            self.batcher.push_deferred(now, Record::Start);
        }
        if let Some(batch) = self.batcher.poll(now) {
            actions.push(Action::Append(batch));
        }
        let due = if self.awaits_read() {
            self.next_read_at
        } else {
            self.next_poll_at
        };
        if !self.reading && due.has_passed(now) {
            self.reading = true;
            self.next_read_at = now + READ_RETRY;
            self.next_poll_at = now + self.limits.poll_interval;
            actions.push(Action::Read {
                from: self.read_offset,
            });
        }
    }

    /// Refuses waiters past their deadline whose claim is undecided.
    fn expire(&mut self, now: Time, actions: &mut Vec<Action>) {
        for key in self.active_keys.overdue(now) {
            let expired = self
                .active_keys
                .take_waiters(key, |w| w.expires.has_passed(now));
            for waiter in expired {
                self.refuse_not_run(
                    waiter.attempt,
                    RefusalReason::DeadlineExceeded,
                    None,
                    actions,
                );
            }
        }
        self.next_deadline = self.active_keys.next_deadline();
    }

    /// Refuses an attempt that has not started and will not start later.
    fn refuse_not_run(
        &mut self,
        attempt: AttemptId,
        reason: RefusalReason,
        retry_after: Option<Span>,
        actions: &mut Vec<Action>,
    ) {
        self.attempts.set_state(attempt, AttemptState::Refused);
        self.counters.not_run += 1;
        let mut refusal = Refusal::not_run(NotRunProof::AgentTombstone(attempt), reason);
        refusal.retry_after = retry_after;
        actions.push(Action::Reply {
            attempt,
            reply: Reply::Refused(refusal),
        });
    }
}
