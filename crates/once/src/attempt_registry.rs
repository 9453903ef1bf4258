//! Which attempts may still begin here.

use std::collections::HashMap;

use lentil_core::{AttemptId, BootId};

/// What the agent knows of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// It waits and has not begun.
    Waiting,
    /// It was handed to the endpoint.
    Started,
    /// The endpoint answered, or may have acted.
    Ended,
    /// It was refused without beginning.
    Refused,
    /// It had not arrived when it was asked for: it is refused when it does.
    Barred,
}

/// What an arriving attempt meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is new and now [`AttemptState::Waiting`].
    New,
    /// It came before, or was barred.
    Seen(AttemptState),
    /// It was meant for an earlier epoch and must not begin.
    StaleEpoch,
}

/// A bounded memory of attempts that forgets without a clock.
///
/// Every request names the epoch it is meant for. When the memory is full, the
/// epoch rises and all attempts that are not live are dropped: one that arrives
/// late names an old epoch and is turned away by that alone.
#[derive(Debug)]
pub struct AttemptRegistry {
    epoch: BootId,
    seen: HashMap<AttemptId, AttemptState>,
    attempts_max: usize,
    epoch_advances: u64,
}

impl AttemptRegistry {
    /// A registry for a process whose first epoch is its boot.
    #[must_use]
    pub fn new(boot: BootId, attempts_max: usize) -> Self {
        Self {
            epoch: boot,
            seen: HashMap::new(),
            attempts_max,
            epoch_advances: 0,
        }
    }

    /// The epoch that requests must name, sent along as the agent's boot.
    #[must_use]
    pub const fn epoch(&self) -> BootId {
        self.epoch
    }

    /// How often the epoch rose because the memory was full.
    #[must_use]
    pub const fn epoch_advances(&self) -> u64 {
        self.epoch_advances
    }

    /// Decides on an arriving attempt that names `boot`.
    pub fn admit(&mut self, attempt: AttemptId, boot: BootId) -> Admission {
        if let Some(state) = self.seen.get(&attempt) {
            return Admission::Seen(*state);
        }
        if boot != self.epoch {
            return Admission::StaleEpoch;
        }
        self.note(attempt, AttemptState::Waiting);
        Admission::New
    }

    /// What is known of an attempt.
    #[must_use]
    pub fn state(&self, attempt: AttemptId) -> Option<AttemptState> {
        self.seen.get(&attempt).copied()
    }

    /// Bars an attempt that has not arrived; false when it names another epoch.
    pub fn bar(&mut self, attempt: AttemptId, boot: BootId) -> bool {
        if boot != self.epoch {
            return false;
        }
        self.note(attempt, AttemptState::Barred);
        true
    }

    /// Moves an admitted attempt to a later state.
    pub fn set(&mut self, attempt: AttemptId, state: AttemptState) {
        if let Some(known) = self.seen.get_mut(&attempt) {
            *known = state;
        }
    }

    fn note(&mut self, attempt: AttemptId, state: AttemptState) {
        if self.seen.len() >= self.attempts_max {
            self.advance_epoch();
        }
        self.seen.insert(attempt, state);
    }

    fn advance_epoch(&mut self) {
        self.epoch = self.epoch.next();
        self.epoch_advances = self.epoch_advances.saturating_add(1);
        self.seen
            .retain(|_, state| matches!(state, AttemptState::Waiting | AttemptState::Started));
    }
}
