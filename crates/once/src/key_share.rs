//! Which keys belong here and which to the system that runs beside this one.
//!
//! A key's place is its digest modulo 1000. Below the share it belongs here.
//! What the claim stream says of a key goes before the share, so a key stays on
//! the side where it began while the share moves.

use lentil_core::Permille;
use thiserror::Error;

use crate::ledger::HolderState;
use crate::record::KeyDigest;

/// Places a key can have.
const PLACES: u128 = 1000;

/// How far a move of the share has come.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum SharePhase {
    /// Nothing moves.
    #[default]
    Stable,
    /// The share is about to rise: keys between old and new share still belong
    /// to the other system, and each that is seen is recorded as such. Lasts at
    /// least as long as a key holds.
    Preparing,
    /// Keys without a record follow the new share.
    Moving,
}

/// The share of an organisation's keys that belongs here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyShare {
    /// The share before the move.
    pub from: Permille,
    /// The share after it; the same when nothing moves.
    pub to: Permille,
    /// How far the move has come.
    pub phase: SharePhase,
}

/// Where a key without a record belongs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyOwner {
    /// Here.
    ThisSystem,
    /// To the other system.
    OtherSystem,
    /// To the other system, and the log must say so first.
    OtherSystemUnrecorded,
}

/// A step of the share that would let keys change sides.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ShareError {
    /// A rising share skips the opening phase.
    #[error("a rising share needs the opening phase first, for as long as a key holds")]
    NotPrepared,
    /// The share jumps away from the move that goes on.
    #[error("the move that goes on must end before another begins")]
    ChangeInProgress,
}

impl KeyShare {
    /// Everything belongs here.
    pub const ALL: Self = Self::stable(Permille::new(1000));

    /// A share that does not move.
    #[must_use]
    pub const fn stable(share: Permille) -> Self {
        Self {
            from: share,
            to: share,
            phase: SharePhase::Stable,
        }
    }

    /// Where a key belongs, given what the claim stream says of it.
    #[must_use]
    pub fn owner(&self, key: KeyDigest, recorded: Option<&HolderState>) -> KeyOwner {
        match recorded {
            Some(HolderState::Elsewhere) => return KeyOwner::OtherSystem,
            Some(HolderState::Open | HolderState::Done(_)) => return KeyOwner::ThisSystem,
            None => {}
        }
        let place = key.get() % PLACES;
        if place < u128::from(self.from.get().min(self.to.get())) {
            return KeyOwner::ThisSystem;
        }
        if place >= u128::from(self.from.get().max(self.to.get())) {
            return KeyOwner::OtherSystem;
        }
        match (self.phase, self.to > self.from) {
            (SharePhase::Preparing, true) => KeyOwner::OtherSystemUnrecorded,
            (SharePhase::Moving | SharePhase::Stable, true) => KeyOwner::ThisSystem,
            (_, false) => KeyOwner::OtherSystem,
        }
    }

    /// Checks that no key changes sides when `next` follows this share.
    ///
    /// # Errors
    /// The step skips a phase that keys need.
    pub fn check_next(&self, next: &Self) -> Result<(), ShareError> {
        let same_move = self.from == next.from && self.to == next.to;
        let rises = next.to > next.from;
        match (self.phase, next.phase) {
            _ if self == next => Ok(()),
            (SharePhase::Stable, SharePhase::Preparing) if self.to == next.from => Ok(()),
            (SharePhase::Stable, SharePhase::Moving) if self.to == next.from && !rises => Ok(()),
            (SharePhase::Stable, SharePhase::Moving) if rises => Err(ShareError::NotPrepared),
            (SharePhase::Stable, SharePhase::Stable) if next.to > self.to => {
                Err(ShareError::NotPrepared)
            }
            (SharePhase::Stable, SharePhase::Stable) => Ok(()),
            (SharePhase::Preparing, SharePhase::Moving) if same_move => Ok(()),
            (SharePhase::Preparing, SharePhase::Stable) if next.to == self.from => Ok(()),
            (SharePhase::Moving, SharePhase::Stable) if next.to == self.to => Ok(()),
            _ => Err(ShareError::ChangeInProgress),
        }
    }
}
