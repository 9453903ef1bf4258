//! Admission of attempts by identifier and epoch.

use std::collections::HashMap;

use lentil_core::{AttemptId, BootId};

/// State of a known attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptState {
    /// It was admitted and has not started.
    Waiting,
    /// It was handed to the endpoint.
    Started,
    /// The endpoint answered, or may have executed the request.
    Ended,
    /// It was refused without being started.
    Refused,
    /// Its outcome was requested before it arrived. It is refused if it arrives later.
    Barred,
}

/// Result of admitting an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The attempt is new and is now [`AttemptState::Waiting`].
    New,
    /// The attempt arrived before or was barred.
    Seen(AttemptState),
    /// The attempt was sent for another epoch and must not start.
    StaleEpoch,
}

/// A bounded set of attempts that expires entries by epoch instead of by time.
///
/// Every request names the epoch it is meant for. When the set is full, the epoch advances and all
/// attempts that have finished are removed. A removed attempt that arrives late names an old epoch
/// and is refused for that reason.
#[derive(Debug)]
pub struct AttemptRegistry {
    epoch: BootId,
    seen: HashMap<AttemptId, AttemptState>,
    attempts_max: usize,
    epoch_advances: u64,
}

impl AttemptRegistry {
    /// Creates an empty registry whose first epoch is the boot of the process.
    #[must_use]
    pub fn new(boot: BootId, attempts_max: usize) -> Self {
        Self {
            epoch: boot,
            seen: HashMap::new(),
            attempts_max,
            epoch_advances: 0,
        }
    }

    /// The epoch that requests must name; peers receive it as the agent's boot.
    #[must_use]
    pub const fn epoch(&self) -> BootId {
        self.epoch
    }

    /// Number of epoch advances caused by a full registry.
    #[must_use]
    pub const fn epoch_advances(&self) -> u64 {
        self.epoch_advances
    }

    /// Decides whether an arriving attempt that names `boot` may start.
    pub fn admit(&mut self, attempt: AttemptId, boot: BootId) -> Admission {
        if let Some(state) = self.seen.get(&attempt) {
            return Admission::Seen(*state);
        }
        if boot != self.epoch {
            return Admission::StaleEpoch;
        }
        self.insert(attempt, AttemptState::Waiting);
        Admission::New
    }

    /// Returns the state of an attempt, if it is known.
    #[must_use]
    pub fn state(&self, attempt: AttemptId) -> Option<AttemptState> {
        self.seen.get(&attempt).copied()
    }

    /// Bars an attempt that has not arrived. Returns false if it names another epoch.
    pub fn bar(&mut self, attempt: AttemptId, boot: BootId) -> bool {
        if boot != self.epoch {
            return false;
        }
        self.insert(attempt, AttemptState::Barred);
        true
    }

    /// Changes the state of a known attempt.
    pub fn set_state(&mut self, attempt: AttemptId, state: AttemptState) {
        if let Some(known) = self.seen.get_mut(&attempt) {
            *known = state;
        }
    }

    fn insert(&mut self, attempt: AttemptId, state: AttemptState) {
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
