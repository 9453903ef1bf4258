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
pub struct RunView<K> {
    /// Names the run.
    pub run: K,
    /// Tokens that are expected to follow.
    pub growth: TokenCount,
    /// Whether its answer has begun; before that there is nothing to move.
    pub begun: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action<K> {
    /// Copy a run's memory while it goes on, then switch it.
    Move(K),
    /// Stop a run at once and copy all of it: there is no time for more.
    Switch(K),
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
pub struct Departure<K> {
    gone_at: Time,
    known: BTreeMap<K, Known>,
}

impl<K: Ord + Copy> Departure<K> {
    /// The engine is expected to be gone at `gone_at`.
    #[must_use]
    pub const fn new(gone_at: Time) -> Self {
        Self {
            gone_at,
            known: BTreeMap::new(),
        }
    }

    /// The engine's end became known better.
    pub const fn expect_end(&mut self, gone_at: Time) {
        self.gone_at = gone_at;
    }

    /// What to do now with the runs that are still there: the one with most to
    /// come first, since one that ends soon may end in place.
    pub fn next(&mut self, now: Time, runs: &[RunView<K>]) -> Action<K> {
        let next = runs
            .iter()
            .filter(|run| run.begun && self.movable(now, run.run))
            .min_by_key(|run| {
                let tries = self.known.get(&run.run).map_or(0, |known| known.tries);
                (tries, std::cmp::Reverse(run.growth), run.run)
            });
        let Some(next) = next else {
            return Action::Wait(now + LOOK);
        };
        if (self.gone_at - MOVE_TAKES).has_passed(now) {
            return Action::Switch(next.run);
        }
        Action::Move(next.run)
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
    pub fn failed(&mut self, now: Time, run: K) {
        let known = self.known(run);
        known.tries += 1;
        known.retry_at = now + RETRY_PAUSE;
    }

    /// The run is no longer this engine's.
    pub fn moved(&mut self, run: K) {
        self.known(run).moved = true;
    }
}
