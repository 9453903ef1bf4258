//! What the log says, and what the endpoint answers.

use lentil_core::{AttemptId, Offset, Outcome, RefusalReason, Time};

use super::ClaimStateMachine;
use super::call::reply;
use super::event::{Action, Call, EndpointResult, Reply};
use crate::active_keys::{Local, Phase, Waiter};
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
        out: &mut Vec<Action>,
    ) {
        self.reading = false;
        if from != self.cursor {
            return;
        }
        self.ledger.trim(first);
        for (offset, batch) in batches {
            self.fold(now, *offset, batch, out);
        }
        let gap = self.cursor < first;
        if gap {
            self.drop_trimmed(out);
        }
        let moved = next > self.cursor;
        self.cursor = next.max(first);
        if moved {
            self.next_read_at = now;
        }
    }

    /// The log dropped records before they were read here.
    fn drop_trimmed(&mut self, out: &mut Vec<Action>) {
        for record in self.batcher.forget() {
            if let Record::Claim { key, .. } | Record::Elsewhere { key, .. } = record
                && self.is_claiming(key)
            {
                self.give_up(key, out);
            }
        }
    }

    fn is_claiming(&self, key: KeyDigest) -> bool {
        self.locals
            .get(key)
            .is_some_and(|local| local.phase == Phase::Claiming)
    }

    /// Ends a claim that never ran and never will.
    fn give_up(&mut self, key: KeyDigest, out: &mut Vec<Action>) {
        for waiter in self
            .locals
            .remove(key)
            .map(|l| l.waiters)
            .unwrap_or_default()
        {
            self.refuse_unbegun(waiter.attempt, RefusalReason::LogUnavailable, None, out);
        }
    }

    fn fold(&mut self, now: Time, offset: Offset, batch: &Batch, out: &mut Vec<Action>) {
        let verdicts = self.ledger.apply(offset, batch);
        if batch.executor == self.executor {
            self.batcher.on_read(batch.sequence);
            for verdict in verdicts {
                self.on_verdict(now, verdict, out);
            }
            self.after_own(&batch.records);
        }
        if !self.fenced && self.ledger.replaced(&self.executor) {
            self.fenced = true;
            out.push(Action::Fenced);
        }
    }

    fn after_own(&mut self, records: &[Record]) {
        for record in records {
            match record {
                Record::Release { claim, key } if self.releasing.get(key) == Some(claim) => {
                    self.releasing.remove(key);
                }
                Record::Done { claim, key, .. } => self.after_done(*key, *claim),
                _ => {}
            }
        }
    }

    /// The log shows the outcome: the answer moves to the ledger.
    fn after_done(&mut self, key: KeyDigest, claim: AttemptId) {
        if self
            .locals
            .get(key)
            .is_none_or(|local| local.claim != claim)
        {
            return;
        }
        if let Some(Local {
            phase: Phase::Ended(answer),
            ..
        }) = self.locals.remove(key)
        {
            self.ledger.keep_answer(key, claim, answer);
        }
    }

    fn on_verdict(&mut self, now: Time, verdict: ClaimDecision, out: &mut Vec<Action>) {
        let key = verdict.key;
        let claiming = self
            .locals
            .get(key)
            .is_some_and(|local| local.claim == verdict.claim && local.phase == Phase::Claiming);
        if !claiming {
            return;
        }
        match verdict.kind {
            DecisionKind::Won => self.on_won(now, key, out),
            DecisionKind::Lost => self.on_lost(key, out),
            DecisionKind::Void => {
                for waiter in self
                    .locals
                    .remove(key)
                    .map(|l| l.waiters)
                    .unwrap_or_default()
                {
                    let reason = RefusalReason::EndpointFailed;
                    self.refuse_settled(waiter.attempt, reason, out);
                }
            }
        }
    }

    fn on_won(&mut self, now: Time, key: KeyDigest, out: &mut Vec<Action>) {
        let passed = self.locals.take_waiters(key, |w| w.expires.has_passed(now));
        for waiter in passed {
            self.refuse_unbegun(waiter.attempt, RefusalReason::DeadlineExceeded, None, out);
        }
        if self
            .ledger
            .holder(key)
            .is_some_and(|h| h.state == HolderState::Elsewhere)
        {
            self.on_left(key, out);
            return;
        }
        let runner = self
            .locals
            .get(key)
            .and_then(|local| Some((local.claim, *local.waiters.first()?)));
        match runner {
            Some((claim, waiter)) => self.run(key, claim, waiter, out),
            None => self.release(now, key),
        }
    }

    /// The log says that the key belongs to the other system.
    fn on_left(&mut self, key: KeyDigest, out: &mut Vec<Action>) {
        for waiter in self
            .locals
            .remove(key)
            .map(|l| l.waiters)
            .unwrap_or_default()
        {
            self.refuse_settled(waiter.attempt, RefusalReason::OtherSystem, out);
        }
    }

    fn run(&mut self, key: KeyDigest, claim: AttemptId, waiter: Waiter, out: &mut Vec<Action>) {
        self.locals.set_phase(key, Phase::Started);
        self.attempts.set(waiter.attempt, AttemptState::Started);
        self.counters.runs += 1;
        out.push(Action::Run {
            claim,
            attempt: waiter.attempt,
        });
    }

    fn release(&mut self, now: Time, key: KeyDigest) {
        if let Some(local) = self.locals.remove(key) {
            let claim = local.claim;
            self.releasing.insert(key, claim);
            self.batcher
                .push_urgent(now, Record::Release { claim, key });
        }
    }

    fn on_lost(&mut self, key: KeyDigest, out: &mut Vec<Action>) {
        self.counters.lost_claims += 1;
        let Some(local) = self.locals.remove(key) else {
            return;
        };
        for waiter in local.waiters {
            let call = Call {
                attempt: waiter.attempt,
                key,
                fingerprint: local.fingerprint,
                boot: self.executor.boot,
                expires: waiter.expires,
                share: KeyShare::ALL,
                evidence: Evidence::None,
            };
            let step = select_recovery(&self.situation(&call)).step;
            self.answer_step(&call, step, out);
        }
    }

    pub(super) fn on_finished(
        &mut self,
        now: Time,
        claim: AttemptId,
        result: EndpointResult,
        out: &mut Vec<Action>,
    ) {
        let Some(key) = self.locals.key_of(claim) else {
            return;
        };
        if self
            .locals
            .get(key)
            .is_none_or(|l| l.phase != Phase::Started)
        {
            return;
        }
        match result {
            EndpointResult::Answered(answer) => self.on_answered(now, key, claim, answer, out),
            EndpointResult::NotSent => {
                let waiters = self.locals.take_waiters(key, |_| true);
                self.release(now, key);
                for waiter in waiters {
                    let reason = RefusalReason::EndpointFailed;
                    self.refuse_unbegun(waiter.attempt, reason, None, out);
                }
            }
            EndpointResult::ConnectionBroken => {
                for waiter in self
                    .locals
                    .remove(key)
                    .map(|l| l.waiters)
                    .unwrap_or_default()
                {
                    self.refuse_ended(waiter.attempt, Outcome::Unknown, out);
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
        out: &mut Vec<Action>,
    ) {
        let waiters = self.locals.take_waiters(key, |_| true);
        for (index, waiter) in waiters.into_iter().enumerate() {
            self.attempts.set(waiter.attempt, AttemptState::Ended);
            let answer = answer.clone();
            let replayed = index > 0;
            reply(waiter.attempt, Reply::Answered { answer, replayed }, out);
        }
        let small = answer.len_bytes() <= self.limits.inline_max_bytes;
        let inline = small.then(|| answer.clone());
        self.locals.set_phase(key, Phase::Ended(answer));
        let record = Record::Done {
            claim,
            key,
            answer: inline,
        };
        self.batcher.push_lazy(now, record);
    }
}
