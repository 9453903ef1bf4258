//! What became of an attempt whose link broke.

use lentil_core::{AttemptId, BootId, Outcome};

use super::ClaimStateMachine;
use crate::active_keys::Phase;
use crate::attempt_registry::AttemptState;
use crate::ledger::HolderState;
use crate::record::KeyDigest;

impl ClaimStateMachine {
    /// Says what is known of an attempt, and bars it when it has not begun.
    ///
    /// `NotRun` is said of an attempt that this process will never begin, and
    /// whose key no attempt runs under as far as this process knows.
    pub(super) fn settle(&mut self, attempt: AttemptId, key: KeyDigest, boot: BootId) -> Outcome {
        match self.attempts.state(attempt) {
            Some(AttemptState::Waiting) => self.settle_waiting(attempt, key),
            Some(AttemptState::Started) => Outcome::Unknown,
            Some(AttemptState::Ended) => self.settle_key(key),
            Some(AttemptState::Refused | AttemptState::Barred) => Outcome::NotRun,
            None if self.attempts.bar(attempt, boot) => self.settle_key_or(key, Outcome::NotRun),
            None if self.ledger.current(&self.executor) => self.settle_key_or(key, Outcome::NotRun),
            None => Outcome::Unknown,
        }
    }

    /// Takes a waiting attempt out, unless others wait for the same execution.
    fn settle_waiting(&mut self, attempt: AttemptId, key: KeyDigest) -> Outcome {
        let alone = self
            .locals
            .get(key)
            .is_some_and(|l| l.phase == Phase::Claiming && l.waiters.len() == 1);
        if !alone {
            return Outcome::Unknown;
        }
        self.locals.take_waiters(key, |w| w.attempt == attempt);
        self.attempts.set(attempt, AttemptState::Refused);
        self.counters.not_run += 1;
        Outcome::NotRun
    }

    fn settle_key(&self, key: KeyDigest) -> Outcome {
        self.settle_key_or(key, Outcome::Unknown)
    }

    /// What is known of the key; `otherwise` when no attempt stands for it.
    pub(super) fn settle_key_or(&self, key: KeyDigest, otherwise: Outcome) -> Outcome {
        if let Some(local) = self.locals.get(key) {
            return match local.phase {
                Phase::Ended(_) => Outcome::Ran,
                Phase::Started | Phase::Claiming => Outcome::Unknown,
            };
        }
        match self.ledger.holder(key) {
            Some(holder) if self.releasing.get(&key) == Some(&holder.claim) => otherwise,
            Some(holder) => match holder.state {
                HolderState::Done(_) => Outcome::Ran,
                HolderState::Open => Outcome::Unknown,
                HolderState::Elsewhere => otherwise,
            },
            None => otherwise,
        }
    }
}
