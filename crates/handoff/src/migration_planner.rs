//! The order of moves at one leaving engine.

use std::collections::BTreeMap;

use lentil_core::{Span, Time, TokenCount};

/// Time that a copy and its switch take together: the transfer of a long
/// generation within an availability zone, and the other engine's start.
const MOVE_TAKES: Span = Span::from_ms(300);
/// Pause before a run is tried again after no engine took it.
const RETRY_PAUSE: Span = Span::from_ms(50);
/// Time between two looks while no run is to be moved.
const LOOK: Span = Span::from_ms(30);

/// A run at the leaving engine, as its entry sees it now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunStatus<K> {
    /// Names the run.
    pub run: K,
    /// Tokens that are expected to follow.
    pub remaining_tokens: TokenCount,
    /// Whether its answer has begun; before that there is nothing to move.
    pub started: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action<K> {
    /// Copy a run's memory while it goes on, then switch it.
    LiveMigrate(K),
    /// Stop a run at once and copy all of it: there is no time for more.
    StopAndCopy(K),
    /// Look again at this time.
    Wait(Time),
}

#[derive(Debug, Clone, Copy)]
struct Known {
    tries: u32,
    retry_at: Time,
    moved: bool,
}

/// One entry's runs at one leaving engine.
#[derive(Debug)]
pub struct MigrationPlanner<K> {
    terminates_at: Time,
    known: BTreeMap<K, Known>,
}

impl<K: Ord + Copy> MigrationPlanner<K> {
    /// The engine is expected to be gone at `terminates_at`.
    #[must_use]
    pub const fn new(terminates_at: Time) -> Self {
        Self {
            terminates_at,
            known: BTreeMap::new(),
        }
    }

    /// The engine's end became known better.
    pub const fn set_terminates_at(&mut self, terminates_at: Time) {
        self.terminates_at = terminates_at;
    }

    /// What to do now with the runs that are still there: the one with most to
    /// come first, since one that ends soon may end in place.
    pub fn next_action(&mut self, now: Time, runs: &[RunStatus<K>]) -> Action<K> {
        let next = runs
            .iter()
            .filter(|run| run.started && self.movable(now, run.run))
            .min_by_key(|run| {
                let tries = self.known.get(&run.run).map_or(0, |known| known.tries);
                (tries, std::cmp::Reverse(run.remaining_tokens), run.run)
            });
        let Some(next) = next else {
            return Action::Wait(now + LOOK);
        };
        if (self.terminates_at - MOVE_TAKES).has_passed(now) {
            return Action::StopAndCopy(next.run);
        }
        Action::LiveMigrate(next.run)
    }

    fn movable(&self, now: Time, run: K) -> bool {
        self.known
            .get(&run)
            .is_none_or(|known| !known.moved && known.retry_at.has_passed(now))
    }

    fn known(&mut self, run: K) -> &mut Known {
        self.known.entry(run).or_insert(Known {
            tries: 0,
            retry_at: Time::ZERO,
            moved: false,
        })
    }

    /// A copy or switch failed and left the run where it was.
    pub fn record_failure(&mut self, now: Time, run: K) {
        let known = self.known(run);
        known.tries += 1;
        known.retry_at = now + RETRY_PAUSE;
    }

    /// The run is no longer this engine's.
    pub fn record_migrated(&mut self, run: K) {
        self.known(run).moved = true;
    }
}
