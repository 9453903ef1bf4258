//! Whether the store holds again what it had lost when it came back from an older copy.

use lentil_core::{Span, StoreEra, Time};

/// Time after the store has come back from an older copy within which its writers have written
/// again what it lost, and these records were read.
pub const RESTORE_TIME: Span = Span::from_ms(2_000);

/// Tells from when on reads of a store of the current era are complete.
///
/// The store has lost its last records when an era begins, and its writers write them again within
/// [`RESTORE_TIME`]. A process that has had answers of an era for that long knows that the restore is
/// over. One that has just started learns it from a record in the log, which such a process has
/// written: an older copy does not hold the record of a later era.
///
/// [`StoreEra::default`] is that of a store that states none or has never been restored.
#[derive(Debug, Clone, Default)]
pub struct RestoreWatch {
    era: StoreEra,
    /// When this process had its first answer of the era since the store failed to answer; `None`
    /// before it.
    answered_since: Option<Time>,
    /// When this process had read that the restore of the era is over.
    recorded_at: Option<Time>,
}

impl RestoreWatch {
    /// The latest era of which there was an answer.
    #[must_use]
    pub const fn era(&self) -> StoreEra {
        self.era
    }

    /// Records that an answer of a store of this era was received. Returns whether the era is a later
    /// one than before.
    pub fn record_answer(&mut self, now: Time, era: StoreEra) -> bool {
        if era < self.era {
            return false;
        }
        let has_risen = era > self.era;
        if has_risen {
            *self = Self {
                era,
                ..Self::default()
            };
        }
        self.answered_since.get_or_insert(now);
        has_risen
    }

    /// Records that a request of `asked_at` had failed at `failed_at`. The store's writers may have had
    /// no answer either, and their time begins anew, unless it was over or began later.
    pub fn record_failure(&mut self, asked_at: Time, failed_at: Time) {
        let is_over = |since: Time| (since + RESTORE_TIME).has_passed(asked_at);
        let counts = |since: &Time| is_over(*since) || *since > failed_at;
        self.answered_since = self.answered_since.filter(counts);
    }

    /// Records that the log was read and says that the restore of this era is over.
    pub fn record_restored(&mut self, now: Time, era: StoreEra) {
        if era == self.era {
            self.recorded_at.get_or_insert(now);
        }
    }

    /// Whether the log says that the restore of the era is over, or needs not say it.
    #[must_use]
    pub fn is_recorded(&self) -> bool {
        self.era == StoreEra::default() || self.recorded_at.is_some()
    }

    /// The time from which on reads of a store of this era are complete; [`Time::NEVER`] if it is
    /// not known yet.
    #[must_use]
    pub fn restored_at(&self, era: StoreEra) -> Time {
        if era == StoreEra::default() {
            return Time::ZERO;
        }
        if era != self.era {
            return Time::NEVER;
        }
        let answered = self.answered_since.map(|since| since + RESTORE_TIME);
        let times = answered.into_iter().chain(self.recorded_at);
        times.min().unwrap_or(Time::NEVER)
    }
}
