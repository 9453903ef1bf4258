//! Arriving calls.

use lentil_core::{AttemptId, NotRunProof, Outcome, Refusal, RefusalReason, Span, Time};

use super::ClaimStateMachine;
use super::event::{Action, Call, Reply};
use crate::active_keys::{Local, Phase, Waiter};
use crate::attempt_registry::{Admission, AttemptState};
use crate::key_share::KeyOwner;
use crate::ledger::{Holder, HolderState};
use crate::record::{Answer, Record};
use crate::recovery::{
    ClaimState, Evidence, ExecutorState, OutcomeState, RecoveryAction, RecoveryInput,
    select_recovery,
};

impl ClaimStateMachine {
    pub(super) fn on_call(&mut self, now: Time, call: Call, out: &mut Vec<Action>) {
        match self.attempts.admit(call.attempt, call.boot) {
            Admission::New => self.on_fresh(now, &call, out),
            Admission::Seen(AttemptState::Waiting | AttemptState::Started) => {}
            Admission::Seen(AttemptState::Ended) => self.on_repeated(&call, out),
            Admission::Seen(AttemptState::Refused | AttemptState::Barred) => {
                self.refuse_unbegun(call.attempt, RefusalReason::DeadlineExceeded, None, out);
            }
            Admission::StaleEpoch => self.on_stale(&call, out),
        }
    }

    /// A call for an earlier epoch never begins, but a twin of it may have.
    fn on_stale(&mut self, call: &Call, out: &mut Vec<Action>) {
        let reason = RefusalReason::EndpointFailed;
        let refusal = match self.settle(call.attempt, call.key, call.boot) {
            Outcome::NotRun => {
                self.counters.not_run += 1;
                Refusal::not_run(NotRunProof::AgentTombstone(call.attempt), reason)
            }
            Outcome::Ran => Refusal::ran(reason),
            Outcome::Unknown => Refusal::unknown(reason),
        };
        reply(call.attempt, Reply::Refused(refusal), out);
    }

    /// A message delivered twice: give what is known, begin nothing.
    fn on_repeated(&mut self, call: &Call, out: &mut Vec<Action>) {
        let kept = match self.locals.get(call.key).map(|local| &local.phase) {
            Some(Phase::Ended(answer)) => Some(answer.clone()),
            _ => self.kept_answer(call),
        };
        match kept {
            Some(answer) => self.replay(call.attempt, answer, out),
            None => self.refuse_ended(call.attempt, Outcome::Unknown, out),
        }
    }

    fn kept_answer(&self, call: &Call) -> Option<Answer> {
        match &self.ledger.holder(call.key)?.state {
            HolderState::Done(answer) => answer.clone(),
            HolderState::Open | HolderState::Elsewhere => None,
        }
    }

    fn on_fresh(&mut self, now: Time, call: &Call, out: &mut Vec<Action>) {
        if self.fenced {
            self.refuse_known(call, RefusalReason::EndpointFailed, None, out);
        } else if self.locals.waiting() >= self.limits.calls_max {
            self.counters.full += 1;
            self.refuse_known(call, RefusalReason::Overloaded, None, out);
        } else if call.expires.has_passed(now) {
            self.refuse_known(call, RefusalReason::DeadlineExceeded, None, out);
        } else if self.locals.get(call.key).is_some() {
            self.join(call, out);
        } else {
            self.recover_call(now, call, out);
        }
    }

    /// Refuses a call that does not begin; not with `not_run` when its key is
    /// known to run, or to have run, under another attempt.
    fn refuse_known(
        &mut self,
        call: &Call,
        reason: RefusalReason,
        retry_after: Option<Span>,
        out: &mut Vec<Action>,
    ) {
        match self.settle_key_or(call.key, Outcome::NotRun) {
            Outcome::NotRun => self.refuse_unbegun(call.attempt, reason, retry_after, out),
            outcome => self.refuse_ended(call.attempt, outcome, out),
        }
    }

    fn join(&mut self, call: &Call, out: &mut Vec<Action>) {
        let Some(local) = self.locals.get(call.key) else {
            return;
        };
        if local.fingerprint != call.fingerprint {
            self.refuse_unbegun(call.attempt, RefusalReason::KeyConflict, None, out);
            return;
        }
        self.counters.joins += 1;
        if let Phase::Ended(answer) = &local.phase {
            let answer = answer.clone();
            self.replay(call.attempt, answer, out);
            return;
        }
        let waiter = Waiter {
            attempt: call.attempt,
            expires: call.expires,
        };
        self.locals.join(call.key, waiter);
        self.next_deadline = self.next_deadline.min(call.expires);
    }

    fn recover_call(&mut self, now: Time, call: &Call, out: &mut Vec<Action>) {
        let situation = self.situation(call);
        match select_recovery(&situation).step {
            RecoveryAction::ReadLog | RecoveryAction::Claim => self.claim(now, call, None, out),
            RecoveryAction::ReleaseAndClaim => {
                let gone = self.ledger.holder(call.key).map(|holder| holder.claim);
                self.claim(now, call, gone, out);
            }
            step => self.answer_step(call, step, out),
        }
    }

    /// What the log, as read so far, says of the call's key.
    pub(super) fn situation(&self, call: &Call) -> RecoveryInput {
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
        // A claim of this process that it no longer works on lost its outcome.
        if holder.executor == self.executor || self.ledger.replaced(&holder.executor) {
            ExecutorState::Gone
        } else {
            ExecutorState::Remote
        }
    }

    /// Answers a call that is neither claimed nor joined.
    pub(super) fn answer_step(&mut self, call: &Call, step: RecoveryAction, out: &mut Vec<Action>) {
        match step {
            RecoveryAction::Conflict => {
                self.refuse_settled(call.attempt, RefusalReason::KeyConflict, out);
            }
            RecoveryAction::OtherSystem => {
                self.refuse_settled(call.attempt, RefusalReason::OtherSystem, out);
            }
            RecoveryAction::Replay => match self.kept_answer(call) {
                Some(answer) => self.replay(call.attempt, answer, out),
                None => self.refuse_ended(call.attempt, Outcome::Ran, out),
            },
            RecoveryAction::Ran => self.refuse_ended(call.attempt, Outcome::Ran, out),
            RecoveryAction::Follow => self.follow(call, out),
            _ => self.refuse_ended(call.attempt, Outcome::Unknown, out),
        }
    }

    fn follow(&mut self, call: &Call, out: &mut Vec<Action>) {
        let Some(holder) = self.ledger.holder(call.key) else {
            return;
        };
        let executor = holder.executor.clone();
        self.attempts.set(call.attempt, AttemptState::Refused);
        reply(call.attempt, Reply::Follow(executor), out);
    }

    fn claim(&mut self, now: Time, call: &Call, gone: Option<AttemptId>, out: &mut Vec<Action>) {
        if self.batcher.is_out(now) {
            self.counters.log_unavailable += 1;
            let retry_after = Some(self.limits.outage_retry_after);
            let reason = RefusalReason::LogUnavailable;
            self.refuse_unbegun(call.attempt, reason, retry_after, out);
            return;
        }
        if self.ledger.len() >= self.limits.keys_max || self.locals.len() >= self.limits.calls_max {
            self.counters.full += 1;
            self.refuse_unbegun(call.attempt, RefusalReason::Overloaded, None, out);
            return;
        }
        let (claim, key, fingerprint) = (call.attempt, call.key, call.fingerprint);
        let record = match call.share.owner(key, None) {
            KeyOwner::OtherSystem => {
                self.refuse_unbegun(claim, RefusalReason::OtherSystem, None, out);
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
        if let Some(claim) = gone {
            self.batcher
                .push_urgent(now, Record::Release { claim, key });
        }
        self.batcher.push_urgent(now, record);
        self.hold(call);
    }

    fn hold(&mut self, call: &Call) {
        let waiter = Waiter {
            attempt: call.attempt,
            expires: call.expires,
        };
        let local = Local {
            claim: call.attempt,
            fingerprint: call.fingerprint,
            phase: Phase::Claiming,
            waiters: vec![waiter],
        };
        self.locals.insert(call.key, local);
        self.next_deadline = self.next_deadline.min(call.expires);
    }

    pub(super) fn replay(&mut self, attempt: AttemptId, answer: Answer, out: &mut Vec<Action>) {
        self.counters.replays += 1;
        self.attempts.set(attempt, AttemptState::Ended);
        let replayed = true;
        reply(attempt, Reply::Answered { answer, replayed }, out);
    }

    /// Refuses on the log's word: another claim or record stands for the key.
    pub(super) fn refuse_settled(
        &mut self,
        attempt: AttemptId,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        self.attempts.set(attempt, AttemptState::Refused);
        self.counters.not_run += 1;
        let refusal = Refusal::not_run(NotRunProof::LogSettled(attempt), reason);
        reply(attempt, Reply::Refused(refusal), out);
    }

    /// Refuses an attempt whose key ran, or may have.
    pub(super) fn refuse_ended(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        self.attempts.set(attempt, AttemptState::Ended);
        let reason = RefusalReason::EndpointFailed;
        let refusal = if outcome == Outcome::Ran {
            self.counters.ran += 1;
            Refusal::ran(reason)
        } else {
            self.counters.unknown += 1;
            Refusal::unknown(reason)
        };
        reply(attempt, Reply::Refused(refusal), out);
    }
}

pub(super) fn reply(attempt: AttemptId, reply: Reply, out: &mut Vec<Action>) {
    out.push(Action::Reply { attempt, reply });
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
