//! Division of the idempotency keys between this system and the other system that runs beside it.
//!
//! The position of a key is its digest modulo 1000. Keys at positions below the share belong to
//! this system. A record of the key in the claim stream takes precedence over the share, so a key
//! stays with the system that it started with while the share changes.

use lentil_core::Permille;
use thiserror::Error;

use crate::ledger::HolderState;
use crate::record::KeyDigest;

/// Number of positions of a key.
const POSITIONS: u128 = 1000;

/// Phase of a change of the share.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SharePhase {
    /// No change is in progress.
    #[default]
    Stable,
    /// The share is about to increase. Keys between the old and the new share still belong to the
    /// other system, and each one seen is recorded as such. This phase lasts at least for the
    /// lifetime of a key.
    Preparing,
    /// Keys without a record follow the new share.
    Changing,
}

/// The share of an organisation's keys that belongs to this system.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyShare {
    /// The share before the change.
    pub from: Permille,
    /// The share after the change; equal to `from` when no change is in progress.
    pub to: Permille,
    /// The phase of the change.
    pub phase: SharePhase,
}

/// Owner of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOwner {
    /// This system.
    ThisSystem,
    /// The other system.
    OtherSystem,
    /// The other system, and this must be recorded in the log before the call is refused.
    OtherSystemUnrecorded,
}

/// A change of the share that would move keys between the systems.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ShareError {
    /// An increase of the share skips the preparing phase.
    #[error(
        "an increase of the share must first spend at least a key's lifetime in the preparing phase"
    )]
    NotPrepared,
    /// The new share does not continue the change in progress.
    #[error("another change of the share is still in progress")]
    ChangeInProgress,
}

impl KeyShare {
    /// All keys belong to this system.
    pub const ALL: Self = Self::stable(Permille::new(1000));

    /// A share that is not changing.
    #[must_use]
    pub const fn stable(share: Permille) -> Self {
        Self {
            from: share,
            to: share,
            phase: SharePhase::Stable,
        }
    }

    /// Returns the owner of a key, given the state of its claim in the claim stream.
    #[must_use]
    pub fn owner(&self, key: KeyDigest, holder_state: Option<&HolderState>) -> KeyOwner {
        match holder_state {
            Some(HolderState::Elsewhere) => return KeyOwner::OtherSystem,
            Some(HolderState::Open | HolderState::Done(_)) => return KeyOwner::ThisSystem,
            None => {}
        }
        let position = key.get() % POSITIONS;
        if position < u128::from(self.from.get().min(self.to.get())) {
            return KeyOwner::ThisSystem;
        }
        if position >= u128::from(self.from.get().max(self.to.get())) {
            return KeyOwner::OtherSystem;
        }
        match (self.phase, self.to > self.from) {
            (SharePhase::Preparing, true) => KeyOwner::OtherSystemUnrecorded,
            (SharePhase::Changing | SharePhase::Stable, true) => KeyOwner::ThisSystem,
            (_, false) => KeyOwner::OtherSystem,
        }
    }

    /// Checks that `next` may replace this share of an organisation's idempotency keys.
    ///
    /// The permitted changes keep each key that is in use with the system that started it,
    /// provided that the preparing phase of an increase lasts for the lifetime of a key. This
    /// method doesn't check how long the phase lasted.
    ///
    /// # Errors
    /// An increase skips the preparing phase, which is needed to keep keys with their owner, or
    /// `next` doesn't continue the change in progress.
    pub fn check_next(&self, next: &Self) -> Result<(), ShareError> {
        let same_change = self.from == next.from && self.to == next.to;
        let rises = next.to > next.from;
        match (self.phase, next.phase) {
            _ if self == next => Ok(()),
            (SharePhase::Stable, SharePhase::Preparing) if self.to == next.from => Ok(()),
            (SharePhase::Stable, SharePhase::Changing) if self.to == next.from && !rises => Ok(()),
            (SharePhase::Stable, SharePhase::Changing) if rises => Err(ShareError::NotPrepared),
            (SharePhase::Stable, SharePhase::Stable) if next.to > self.to => {
                Err(ShareError::NotPrepared)
            }
            (SharePhase::Stable, SharePhase::Stable) => Ok(()),
            (SharePhase::Preparing, SharePhase::Changing) if same_change => Ok(()),
            (SharePhase::Preparing, SharePhase::Stable) if next.to == self.from => Ok(()),
            (SharePhase::Changing, SharePhase::Stable) if next.to == self.to => Ok(()),
            _ => Err(ShareError::ChangeInProgress),
        }
    }
}
