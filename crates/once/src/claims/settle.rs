//! Outcome of attempts whose connection to the entry broke.

use lentil_core::{AttemptId, BootId, Outcome};

use super::ClaimStateMachine;
use crate::active_keys::Phase;
use crate::attempt_registry::AttemptState;
use crate::ledger::HolderState;
use crate::record::KeyDigest;

impl ClaimStateMachine {
    /// Returns the outcome of an attempt and bars the attempt if it has not started.
    ///
    /// The outcome is `NotRun` if this process will never start the attempt and, as far as it
    /// knows, no other attempt runs under the same key.
    pub(super) fn settle_attempt(
        &mut self,
        attempt: AttemptId,
        key: KeyDigest,
        boot: BootId,
    ) -> Outcome {
        match self.attempts.state(attempt) {
            Some(AttemptState::Waiting) => self.cancel_waiting(attempt, key),
            Some(AttemptState::Started) => Outcome::Unknown,
            Some(AttemptState::Ended) => self.key_outcome(key),
            Some(AttemptState::Refused | AttemptState::Barred) => Outcome::NotRun,
            None if self.attempts.bar(attempt, boot) => self.key_outcome_or(key, Outcome::NotRun),
            None if self.ledger.is_current(&self.executor) => {
                self.key_outcome_or(key, Outcome::NotRun)
            }
            None => Outcome::Unknown,
        }
    }

    /// Removes a waiting attempt, unless other attempts wait for the same execution.
    fn cancel_waiting(&mut self, attempt: AttemptId, key: KeyDigest) -> Outcome {
        let alone = self.active_keys.get(key).is_some_and(|active_key| {
            active_key.phase == Phase::Claiming && active_key.waiters.len() == 1
        });
        if !alone {
            return Outcome::Unknown;
        }
        self.active_keys.take_waiters(key, |w| w.attempt == attempt);
        self.attempts.set_state(attempt, AttemptState::Refused);
        self.counters.not_run += 1;
        Outcome::NotRun
    }

    fn key_outcome(&self, key: KeyDigest) -> Outcome {
        self.key_outcome_or(key, Outcome::Unknown)
    }

    /// Returns the outcome of a key, or `otherwise` if no claim holds the key.
    pub(super) fn key_outcome_or(&self, key: KeyDigest, otherwise: Outcome) -> Outcome {
        if let Some(active_key) = self.active_keys.get(key) {
            return match active_key.phase {
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
