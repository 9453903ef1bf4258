//! Handling of incoming calls.

use lentil_core::{AttemptId, NotRunProof, Outcome, Refusal, RefusalReason, Span, Time};

use super::ClaimStateMachine;
use super::event::{Action, Call, Reply};
use crate::active_keys::{ActiveKey, Phase, Waiter};
use crate::attempt_registry::{Admission, AttemptState};
use crate::key_share::KeyOwner;
use crate::ledger::{Holder, HolderState};
use crate::record::{Answer, Record};
use crate::recovery::{
    ClaimState, Evidence, ExecutorState, OutcomeState, RecoveryAction, RecoveryInput,
    select_recovery,
};

impl ClaimStateMachine {
    pub(super) fn on_call(&mut self, now: Time, call: Call, actions: &mut Vec<Action>) {
        match self.attempts.admit(call.attempt, call.boot) {
            Admission::New => self.on_new(now, &call, actions),
            Admission::Seen(AttemptState::Waiting | AttemptState::Started) => {}
            Admission::Seen(AttemptState::Ended) => self.on_duplicate(&call, actions),
            Admission::Seen(AttemptState::Refused | AttemptState::Barred) => {
                self.refuse_not_run(call.attempt, RefusalReason::DeadlineExceeded, None, actions);
            }
            Admission::StaleEpoch => self.on_stale_epoch(&call, actions),
        }
    }

    /// A call for another epoch never starts, but a duplicate of it may have started earlier.
    fn on_stale_epoch(&mut self, call: &Call, actions: &mut Vec<Action>) {
        let reason = RefusalReason::EndpointFailed;
        let refusal = match self.settle_attempt(call.attempt, call.key, call.boot) {
            Outcome::NotRun => {
                self.counters.not_run += 1;
                Refusal::not_run(NotRunProof::AgentTombstone(call.attempt), reason)
            }
            Outcome::Ran => Refusal::ran(reason),
            Outcome::Unknown => Refusal::unknown(reason),
        };
        reply(call.attempt, Reply::Refused(refusal), actions);
    }

    /// Handles a duplicate of an attempt that has ended: replies with the known outcome and starts
    /// nothing.
    fn on_duplicate(&mut self, call: &Call, actions: &mut Vec<Action>) {
        let kept = match self
            .active_keys
            .get(call.key)
            .map(|active_key| &active_key.phase)
        {
            Some(Phase::Ended(answer)) => Some(answer.clone()),
            _ => self.kept_answer(call),
        };
        match kept {
            Some(answer) => self.replay(call.attempt, answer, actions),
            None => self.refuse_started(call.attempt, Outcome::Unknown, actions),
        }
    }

    fn kept_answer(&self, call: &Call) -> Option<Answer> {
        match &self.ledger.holder(call.key)?.state {
            HolderState::Done(answer) => answer.clone(),
            HolderState::Open | HolderState::Elsewhere => None,
        }
    }

    fn on_new(&mut self, now: Time, call: &Call, actions: &mut Vec<Action>) {
        if self.fenced {
            self.refuse_by_key_outcome(call, RefusalReason::EndpointFailed, None, actions);
        } else if self.active_keys.waiter_count() >= self.limits.calls_max {
            self.counters.over_limit += 1;
            self.refuse_by_key_outcome(call, RefusalReason::Overloaded, None, actions);
        } else if call.expires.has_passed(now) {
            self.refuse_by_key_outcome(call, RefusalReason::DeadlineExceeded, None, actions);
        } else if self.active_keys.get(call.key).is_some() {
            self.join(call, actions);
        } else {
            self.recover_call(now, call, actions);
        }
    }

    /// Refuses a call without starting it. The outcome is `not_run` only if the key is not known to
    /// run, or to have run, under another attempt.
    fn refuse_by_key_outcome(
        &mut self,
        call: &Call,
        reason: RefusalReason,
        retry_after: Option<Span>,
        actions: &mut Vec<Action>,
    ) {
        match self.key_outcome_or(call.key, Outcome::NotRun) {
            Outcome::NotRun => self.refuse_not_run(call.attempt, reason, retry_after, actions),
            outcome => self.refuse_started(call.attempt, outcome, actions),
        }
    }

    fn join(&mut self, call: &Call, actions: &mut Vec<Action>) {
        let Some(active_key) = self.active_keys.get(call.key) else {
            return;
        };
        if active_key.fingerprint != call.fingerprint {
            self.refuse_not_run(call.attempt, RefusalReason::KeyConflict, None, actions);
            return;
        }
        self.counters.joins += 1;
        if let Phase::Ended(answer) = &active_key.phase {
            let answer = answer.clone();
            self.replay(call.attempt, answer, actions);
            return;
        }
        let waiter = Waiter {
            attempt: call.attempt,
            expires: call.expires,
        };
        self.active_keys.add_waiter(call.key, waiter);
        self.next_deadline = self.next_deadline.min(call.expires);
    }

    fn recover_call(&mut self, now: Time, call: &Call, actions: &mut Vec<Action>) {
        let input = self.recovery_input(call);
        match select_recovery(&input).action {
            RecoveryAction::ReadLog | RecoveryAction::Claim => self.claim(now, call, None, actions),
            RecoveryAction::ReleaseAndClaim => {
                let replaced_claim = self.ledger.holder(call.key).map(|holder| holder.claim);
                self.claim(now, call, replaced_claim, actions);
            }
            action => self.reply_with(call, action, actions),
        }
    }

    /// The state of the call's key, from the log as read so far.
    pub(super) fn recovery_input(&self, call: &Call) -> RecoveryInput {
        let holder = self
            .ledger
            .holder(call.key)
            .filter(|holder| self.releasing.get(&call.key) != Some(&holder.claim));
        let Some(holder) = holder else {
            return RecoveryInput {
                claim: ClaimState::None,
                executor: ExecutorState::Gone,
                outcome: OutcomeState::None,
                evidence: Evidence::None,
            };
        };
        RecoveryInput {
            claim: claim_state(holder, call),
            executor: self.executor_state(holder),
            outcome: outcome_state(holder),
            evidence: call.evidence,
        }
    }

    fn executor_state(&self, holder: &Holder) -> ExecutorState {
        // A claim of this process that is no longer in progress ended without a known outcome.
        if holder.executor == self.executor || self.ledger.is_replaced(&holder.executor) {
            ExecutorState::Gone
        } else {
            ExecutorState::Remote
        }
    }

    /// Replies to a call that is neither claimed nor joined to an execution.
    pub(super) fn reply_with(
        &mut self,
        call: &Call,
        action: RecoveryAction,
        actions: &mut Vec<Action>,
    ) {
        match action {
            RecoveryAction::Conflict => {
                self.refuse_by_log(call.attempt, RefusalReason::KeyConflict, actions);
            }
            RecoveryAction::OtherSystem => {
                self.refuse_by_log(call.attempt, RefusalReason::OtherSystem, actions);
            }
            RecoveryAction::Replay => match self.kept_answer(call) {
                Some(answer) => self.replay(call.attempt, answer, actions),
                None => self.refuse_started(call.attempt, Outcome::Ran, actions),
            },
            RecoveryAction::Ran => self.refuse_started(call.attempt, Outcome::Ran, actions),
            RecoveryAction::Follow => self.redirect(call, actions),
            _ => self.refuse_started(call.attempt, Outcome::Unknown, actions),
        }
    }

    fn redirect(&mut self, call: &Call, actions: &mut Vec<Action>) {
        let Some(holder) = self.ledger.holder(call.key) else {
            return;
        };
        let executor = holder.executor.clone();
        self.attempts.set_state(call.attempt, AttemptState::Refused);
        reply(call.attempt, Reply::Follow(executor), actions);
    }

    fn claim(
        &mut self,
        now: Time,
        call: &Call,
        replaced_claim: Option<AttemptId>,
        actions: &mut Vec<Action>,
    ) {
        if self.batcher.is_log_unavailable(now) {
            self.counters.log_unavailable += 1;
            let retry_after = Some(self.limits.outage_retry_after);
            let reason = RefusalReason::LogUnavailable;
            self.refuse_not_run(call.attempt, reason, retry_after, actions);
            return;
        }
        if self.ledger.len() >= self.limits.keys_max
            || self.active_keys.len() >= self.limits.calls_max
        {
            self.counters.over_limit += 1;
            self.refuse_not_run(call.attempt, RefusalReason::Overloaded, None, actions);
            return;
        }
        let (claim, key, fingerprint) = (call.attempt, call.key, call.fingerprint);
        let record = match call.share.owner(key, None) {
            KeyOwner::OtherSystem => {
                self.refuse_not_run(claim, RefusalReason::OtherSystem, None, actions);
                return;
            }
            KeyOwner::ThisSystem => Record::Claim {
                claim,
                key,
                fingerprint,
            },
            KeyOwner::OtherSystemUnrecorded => Record::Elsewhere {
                claim,
                key,
                fingerprint,
            },
        };
        if let Some(claim) = replaced_claim {
            self.batcher
                .push_urgent(now, Record::Release { claim, key });
        }
        self.batcher.push_urgent(now, record);
        self.track_call(call);
    }

    fn track_call(&mut self, call: &Call) {
        let waiter = Waiter {
            attempt: call.attempt,
            expires: call.expires,
        };
        let active_key = ActiveKey {
            claim: call.attempt,
            fingerprint: call.fingerprint,
            phase: Phase::Claiming,
            waiters: vec![waiter],
        };
        self.active_keys.insert(call.key, active_key);
        self.next_deadline = self.next_deadline.min(call.expires);
    }

    pub(super) fn replay(&mut self, attempt: AttemptId, answer: Answer, actions: &mut Vec<Action>) {
        self.counters.replays += 1;
        self.attempts.set_state(attempt, AttemptState::Ended);
        let replayed = true;
        reply(attempt, Reply::Answered { answer, replayed }, actions);
    }

    /// Refuses an attempt because the log shows that it will not run: another claim or record holds
    /// the key, or a later boot voided its claim.
    pub(super) fn refuse_by_log(
        &mut self,
        attempt: AttemptId,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        self.attempts.set_state(attempt, AttemptState::Refused);
        self.counters.not_run += 1;
        let refusal = Refusal::not_run(NotRunProof::LogSettled(attempt), reason);
        reply(attempt, Reply::Refused(refusal), actions);
    }

    /// Refuses an attempt whose key has run or may have run.
    pub(super) fn refuse_started(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        self.attempts.set_state(attempt, AttemptState::Ended);
        let reason = RefusalReason::EndpointFailed;
        let refusal = if outcome == Outcome::Ran {
            self.counters.ran += 1;
            Refusal::ran(reason)
        } else {
            self.counters.unknown += 1;
            Refusal::unknown(reason)
        };
        reply(attempt, Reply::Refused(refusal), actions);
    }
}

pub(super) fn reply(attempt: AttemptId, reply: Reply, actions: &mut Vec<Action>) {
    actions.push(Action::Reply { attempt, reply });
}

fn claim_state(holder: &Holder, call: &Call) -> ClaimState {
    if holder.fingerprint != call.fingerprint {
        ClaimState::HeldForOtherRequest
    } else if holder.state == HolderState::Elsewhere {
        ClaimState::OtherSystem
    } else {
        ClaimState::Held
    }
}

const fn outcome_state(holder: &Holder) -> OutcomeState {
    match &holder.state {
        HolderState::Done(Some(_)) => OutcomeState::AnswerKept,
        HolderState::Done(None) => OutcomeState::AnswerLost,
        HolderState::Open | HolderState::Elsewhere => OutcomeState::None,
    }
}
