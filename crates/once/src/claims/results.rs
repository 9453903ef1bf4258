//! Handling of log reads and endpoint results.

use lentil_core::{AttemptId, Offset, Outcome, RefusalReason, Time};

use super::ClaimStateMachine;
use super::call::reply;
use super::event::{Action, Call, EndpointResult, Reply};
use crate::active_keys::{ActiveKey, Phase, Waiter};
use crate::attempt_registry::AttemptState;
use crate::key_share::KeyShare;
use crate::ledger::{ClaimDecision, DecisionKind, HolderState};
use crate::record::{Answer, Batch, KeyDigest, Record};
use crate::recovery::{Evidence, select_recovery};

impl ClaimStateMachine {
    pub(super) fn on_read(
        &mut self,
        now: Time,
        from: Offset,
        batches: &[(Offset, Batch)],
        next: Offset,
        first: Offset,
        actions: &mut Vec<Action>,
    ) {
        self.reading = false;
        if from != self.read_offset {
            return;
        }
        self.ledger.trim(first);
        for (offset, batch) in batches {
            self.apply_batch(now, *offset, batch, actions);
        }
        let records_missed = self.read_offset < first;
        if records_missed {
            self.drop_trimmed_claims(actions);
        }
        let advanced = next > self.read_offset;
        self.read_offset = next.max(first);
        if advanced {
            self.next_read_at = now;
        }
    }

    /// Abandons claims in the batch in flight after the log trimmed records that were not read yet.
    fn drop_trimmed_claims(&mut self, actions: &mut Vec<Action>) {
        for record in self.batcher.take_in_flight() {
            if let Record::Claim { key, .. } | Record::Elsewhere { key, .. } = record
                && self.is_claiming(key)
            {
                self.abandon_claim(key, actions);
            }
        }
    }

    fn is_claiming(&self, key: KeyDigest) -> bool {
        self.active_keys
            .get(key)
            .is_some_and(|active_key| active_key.phase == Phase::Claiming)
    }

    /// Ends a claim that has not run and will not run.
    fn abandon_claim(&mut self, key: KeyDigest, actions: &mut Vec<Action>) {
        for waiter in self
            .active_keys
            .remove(key)
            .map(|active_key| active_key.waiters)
            .unwrap_or_default()
        {
            self.refuse_not_run(waiter.attempt, RefusalReason::LogUnavailable, None, actions);
        }
    }

    fn apply_batch(&mut self, now: Time, offset: Offset, batch: &Batch, actions: &mut Vec<Action>) {
        let decisions = self.ledger.apply(offset, batch);
        if batch.executor == self.executor {
            self.batcher.on_read(batch.sequence);
            for decision in decisions {
                self.on_decision(now, decision, actions);
            }
            self.on_own_records(&batch.records);
        }
        if !self.fenced && self.ledger.is_replaced(&self.executor) {
            self.fenced = true;
            actions.push(Action::Fenced);
        }
    }

    fn on_own_records(&mut self, records: &[Record]) {
        for record in records {
            match record {
                Record::Release { claim, key } if self.releasing.get(key) == Some(claim) => {
                    self.releasing.remove(key);
                }
                Record::Done { claim, key, .. } => self.on_done_recorded(*key, *claim),
                _ => {}
            }
        }
    }

    /// Moves the answer to the ledger once the log shows the outcome.
    fn on_done_recorded(&mut self, key: KeyDigest, claim: AttemptId) {
        if self
            .active_keys
            .get(key)
            .is_none_or(|active_key| active_key.claim != claim)
        {
            return;
        }
        if let Some(ActiveKey {
            phase: Phase::Ended(answer),
            ..
        }) = self.active_keys.remove(key)
        {
            self.ledger.keep_answer(key, claim, answer);
        }
    }

    fn on_decision(&mut self, now: Time, decision: ClaimDecision, actions: &mut Vec<Action>) {
        let key = decision.key;
        let claiming = self.active_keys.get(key).is_some_and(|active_key| {
            active_key.claim == decision.claim && active_key.phase == Phase::Claiming
        });
        if !claiming {
            return;
        }
        match decision.kind {
            DecisionKind::Won => self.on_won(now, key, actions),
            DecisionKind::Lost => self.on_lost(key, actions),
            DecisionKind::Void => {
                for waiter in self
                    .active_keys
                    .remove(key)
                    .map(|active_key| active_key.waiters)
                    .unwrap_or_default()
                {
                    let reason = RefusalReason::EndpointFailed;
                    self.refuse_by_log(waiter.attempt, reason, actions);
                }
            }
        }
    }

    fn on_won(&mut self, now: Time, key: KeyDigest, actions: &mut Vec<Action>) {
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
        if self
            .ledger
            .holder(key)
            .is_some_and(|h| h.state == HolderState::Elsewhere)
        {
            self.on_other_system(key, actions);
            return;
        }
        let to_run = self
            .active_keys
            .get(key)
            .and_then(|active_key| Some((active_key.claim, *active_key.waiters.first()?)));
        match to_run {
            Some((claim, waiter)) => self.run(key, claim, waiter, actions),
            None => self.release(now, key),
        }
    }

    /// Refuses the waiters of a key that the log records as belonging to the other system.
    fn on_other_system(&mut self, key: KeyDigest, actions: &mut Vec<Action>) {
        for waiter in self
            .active_keys
            .remove(key)
            .map(|active_key| active_key.waiters)
            .unwrap_or_default()
        {
            self.refuse_by_log(waiter.attempt, RefusalReason::OtherSystem, actions);
        }
    }

    fn run(&mut self, key: KeyDigest, claim: AttemptId, waiter: Waiter, actions: &mut Vec<Action>) {
        self.active_keys.set_phase(key, Phase::Started);
        self.attempts
            .set_state(waiter.attempt, AttemptState::Started);
        self.counters.runs += 1;
        actions.push(Action::Run {
            claim,
            attempt: waiter.attempt,
        });
    }

    fn release(&mut self, now: Time, key: KeyDigest) {
        if let Some(active_key) = self.active_keys.remove(key) {
            let claim = active_key.claim;
            self.releasing.insert(key, claim);
            self.batcher
                .push_urgent(now, Record::Release { claim, key });
        }
    }

    fn on_lost(&mut self, key: KeyDigest, actions: &mut Vec<Action>) {
        self.counters.lost_claims += 1;
        let Some(active_key) = self.active_keys.remove(key) else {
            return;
        };
        for waiter in active_key.waiters {
            let call = Call {
                attempt: waiter.attempt,
                key,
                fingerprint: active_key.fingerprint,
                boot: self.executor.boot,
                expires: waiter.expires,
                share: KeyShare::ALL,
                evidence: Evidence::None,
            };
            let action = select_recovery(&self.recovery_input(&call)).action;
            self.reply_with(&call, action, actions);
        }
    }

    pub(super) fn on_finished(
        &mut self,
        now: Time,
        claim: AttemptId,
        result: EndpointResult,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = self.active_keys.key_of(claim) else {
            return;
        };
        if self
            .active_keys
            .get(key)
            .is_none_or(|active_key| active_key.phase != Phase::Started)
        {
            return;
        }
        match result {
            EndpointResult::Answered(answer) => self.on_answered(now, key, claim, answer, actions),
            EndpointResult::NotSent => {
                let waiters = self.active_keys.take_waiters(key, |_| true);
                self.release(now, key);
                for waiter in waiters {
                    let reason = RefusalReason::EndpointFailed;
                    self.refuse_not_run(waiter.attempt, reason, None, actions);
                }
            }
            EndpointResult::ConnectionBroken => {
                for waiter in self
                    .active_keys
                    .remove(key)
                    .map(|active_key| active_key.waiters)
                    .unwrap_or_default()
                {
                    self.refuse_started(waiter.attempt, Outcome::Unknown, actions);
                }
            }
        }
    }

    fn on_answered(
        &mut self,
        now: Time,
        key: KeyDigest,
        claim: AttemptId,
        answer: Answer,
        actions: &mut Vec<Action>,
    ) {
        let waiters = self.active_keys.take_waiters(key, |_| true);
        for (index, waiter) in waiters.into_iter().enumerate() {
            self.attempts.set_state(waiter.attempt, AttemptState::Ended);
            let answer = answer.clone();
            let replayed = index > 0;
            reply(
                waiter.attempt,
                Reply::Answered { answer, replayed },
                actions,
            );
        }
        let fits_in_record = answer.len_bytes() <= self.limits.inline_max_bytes;
        let recorded_answer = fits_in_record.then(|| answer.clone());
        self.active_keys.set_phase(key, Phase::Ended(answer));
        let record = Record::Done {
            claim,
            key,
            answer: recorded_answer,
        };
        self.batcher.push_deferred(now, record);
    }
}
