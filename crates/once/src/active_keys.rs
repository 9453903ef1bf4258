//! Idempotency keys with a claim or an execution of this process in progress.

use std::collections::{BTreeMap, HashMap};

use lentil_core::{AttemptId, Fingerprint, Time};

use crate::record::{Answer, KeyDigest};

/// Progress of the work on a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The claim was appended, and its result has not been read from the log yet.
    Claiming,
    /// The request was handed to the endpoint.
    Started,
    /// The endpoint answered, and the log does not show the outcome yet.
    Ended(Answer),
}

/// An attempt that waits for the outcome of a key.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) attempt: AttemptId,
    pub(crate) expires: Time,
}

/// A key that this process has claimed or is executing.
#[derive(Debug)]
pub(crate) struct ActiveKey {
    pub(crate) claim: AttemptId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) phase: Phase,
    pub(crate) waiters: Vec<Waiter>,
}

/// All keys in progress, indexed by key and by claim.
#[derive(Debug, Default)]
pub(crate) struct ActiveKeys {
    by_key: BTreeMap<KeyDigest, ActiveKey>,
    keys_by_claim: HashMap<AttemptId, KeyDigest>,
    waiter_count: usize,
}

impl ActiveKeys {
    pub(crate) const fn waiter_count(&self) -> usize {
        self.waiter_count
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) fn get(&self, key: KeyDigest) -> Option<&ActiveKey> {
        self.by_key.get(&key)
    }

    pub(crate) fn key_of(&self, claim: AttemptId) -> Option<KeyDigest> {
        self.keys_by_claim.get(&claim).copied()
    }

    pub(crate) fn insert(&mut self, key: KeyDigest, active_key: ActiveKey) {
        self.waiter_count += active_key.waiters.len();
        self.keys_by_claim.insert(active_key.claim, key);
        self.by_key.insert(key, active_key);
    }

    pub(crate) fn remove(&mut self, key: KeyDigest) -> Option<ActiveKey> {
        let active_key = self.by_key.remove(&key)?;
        self.waiter_count -= active_key.waiters.len();
        self.keys_by_claim.remove(&active_key.claim);
        Some(active_key)
    }

    pub(crate) fn add_waiter(&mut self, key: KeyDigest, waiter: Waiter) {
        if let Some(active_key) = self.by_key.get_mut(&key) {
            active_key.waiters.push(waiter);
            self.waiter_count += 1;
        }
    }

    pub(crate) fn set_phase(&mut self, key: KeyDigest, phase: Phase) {
        if let Some(active_key) = self.by_key.get_mut(&key) {
            active_key.phase = phase;
        }
    }

    /// Removes and returns the waiters of a key for which `predicate` holds.
    pub(crate) fn take_waiters(
        &mut self,
        key: KeyDigest,
        predicate: impl Fn(&Waiter) -> bool,
    ) -> Vec<Waiter> {
        let Some(active_key) = self.by_key.get_mut(&key) else {
            return Vec::new();
        };
        let (taken, remaining) = active_key
            .waiters
            .iter()
            .partition(|waiter| predicate(waiter));
        active_key.waiters = remaining;
        let taken: Vec<Waiter> = taken;
        self.waiter_count -= taken.len();
        taken
    }

    /// Keys with an undecided claim that have a waiter past its deadline.
    pub(crate) fn overdue(&self, now: Time) -> Vec<KeyDigest> {
        self.by_key
            .iter()
            .filter(|(_, active_key)| active_key.phase == Phase::Claiming)
            .filter(|(_, active_key)| active_key.waiters.iter().any(|w| w.expires.has_passed(now)))
            .map(|(key, _)| *key)
            .collect()
    }

    /// The earliest deadline among waiters whose claim is undecided.
    pub(crate) fn next_deadline(&self) -> Time {
        self.by_key
            .values()
            .filter(|active_key| active_key.phase == Phase::Claiming)
            .flat_map(|active_key| active_key.waiters.iter().map(|waiter| waiter.expires))
            .min()
            .unwrap_or(Time::NEVER)
    }
}
