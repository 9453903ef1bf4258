//! Keys that this process works on.

use std::collections::{BTreeMap, HashMap};

use lentil_core::{AttemptId, Fingerprint, Time};

use crate::record::{Answer, KeyDigest};

/// How far the work on a key has come.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The log has not settled the claim.
    Claiming,
    /// The request was handed to the endpoint.
    Started,
    /// The endpoint answered, and the log does not show it yet.
    Ended(Answer),
}

/// An attempt that waits for the outcome.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Waiter {
    pub(crate) attempt: AttemptId,
    pub(crate) expires: Time,
}

/// One key in work.
#[derive(Debug)]
pub(crate) struct Local {
    pub(crate) claim: AttemptId,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) phase: Phase,
    pub(crate) waiters: Vec<Waiter>,
}

/// All keys in work, found by key or by claim.
#[derive(Debug, Default)]
pub(crate) struct Locals {
    by_key: BTreeMap<KeyDigest, Local>,
    keys: HashMap<AttemptId, KeyDigest>,
    waiting: usize,
}

impl Locals {
    pub(crate) const fn waiting(&self) -> usize {
        self.waiting
    }

    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) fn get(&self, key: KeyDigest) -> Option<&Local> {
        self.by_key.get(&key)
    }

    pub(crate) fn key_of(&self, claim: AttemptId) -> Option<KeyDigest> {
        self.keys.get(&claim).copied()
    }

    pub(crate) fn insert(&mut self, key: KeyDigest, local: Local) {
        self.waiting += local.waiters.len();
        self.keys.insert(local.claim, key);
        self.by_key.insert(key, local);
    }

    pub(crate) fn remove(&mut self, key: KeyDigest) -> Option<Local> {
        let local = self.by_key.remove(&key)?;
        self.waiting -= local.waiters.len();
        self.keys.remove(&local.claim);
        Some(local)
    }

    pub(crate) fn join(&mut self, key: KeyDigest, waiter: Waiter) {
        if let Some(local) = self.by_key.get_mut(&key) {
            local.waiters.push(waiter);
            self.waiting += 1;
        }
    }

    pub(crate) fn set_phase(&mut self, key: KeyDigest, phase: Phase) {
        if let Some(local) = self.by_key.get_mut(&key) {
            local.phase = phase;
        }
    }

    /// Takes out the waiters of a key for which `leaves` holds.
    pub(crate) fn take_waiters(
        &mut self,
        key: KeyDigest,
        leaves: impl Fn(&Waiter) -> bool,
    ) -> Vec<Waiter> {
        let Some(local) = self.by_key.get_mut(&key) else {
            return Vec::new();
        };
        let (gone, stay) = local.waiters.iter().partition(|waiter| leaves(waiter));
        local.waiters = stay;
        let gone: Vec<Waiter> = gone;
        self.waiting -= gone.len();
        gone
    }

    /// Keys whose claim is not settled and that have a waiter past its deadline.
    pub(crate) fn overdue(&self, now: Time) -> Vec<KeyDigest> {
        self.by_key
            .iter()
            .filter(|(_, local)| local.phase == Phase::Claiming)
            .filter(|(_, local)| local.waiters.iter().any(|w| w.expires.has_passed(now)))
            .map(|(key, _)| *key)
            .collect()
    }

    /// The first deadline of a waiter whose claim is not settled.
    pub(crate) fn next_deadline(&self) -> Time {
        self.by_key
            .values()
            .filter(|local| local.phase == Phase::Claiming)
            .flat_map(|local| local.waiters.iter().map(|waiter| waiter.expires))
            .min()
            .unwrap_or(Time::NEVER)
    }
}
