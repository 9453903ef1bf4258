//! The order of copies and switches at one leaving engine.

use std::collections::BTreeMap;

use lentil_core::{Span, Time, TokenCount};

/// Time kept for one switch: the rest of a copy, and the other engine's start.
const SWITCH_EACH: Span = Span::from_ms(70);
/// Time kept free between the last switch and the engine's end.
const END_MARGIN: Span = Span::from_ms(250);
/// Time after which an unfinished copy of another run no longer holds up the
/// link: the transfer of a long generation between availability zones.
const LINK_CLEARS: Span = Span::from_ms(300);
/// Times that a copy is tried at other engines.
const TRIES_MAX: u32 = 3;

/// A run at the leaving engine, as its entry sees it now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunView<K> {
    /// Names the run.
    pub run: K,
    /// Tokens that it holds in memory.
    pub memory: TokenCount,
    /// Whether its answer has begun.
    pub begun: bool,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action<K> {
    /// Copy a run's memory to another engine while it goes on.
    Copy(K),
    /// Stop a run, copy what is new and let the other engine go on.
    Switch(K),
    /// Look again at this time, or when a run changes.
    Wait(Time),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    Untouched,
    Copied,
    Switched,
    GivenUp,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    step: Step,
    tries: u32,
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

    /// When switches begin: late, since a run that ends by itself needs none,
    /// yet early enough for all of them.
    fn switch_from(&self, runs: usize) -> Time {
        let runs = u64::try_from(runs).unwrap_or(u64::MAX);
        self.gone_at - END_MARGIN - SWITCH_EACH.times(runs)
    }

    /// What to do now with the runs that are still there.
    pub fn next(&mut self, now: Time, runs: &[RunView<K>]) -> Action<K> {
        let begun: Vec<_> = runs.iter().filter(|run| run.begun).copied().collect();
        let switch_from = self.switch_from(begun.len());
        let copy_until = switch_from - LINK_CLEARS;
        if !copy_until.has_passed(now) {
            if let Some(run) = self.largest(&begun, Step::Untouched) {
                return Action::Copy(run);
            }
            return Action::Wait(copy_until);
        }
        if !switch_from.has_passed(now) {
            return Action::Wait(switch_from);
        }
        let next = self
            .largest(&begun, Step::Copied)
            .or_else(|| self.largest(&begun, Step::Untouched));
        next.map_or(Action::Wait(now + SWITCH_EACH), Action::Switch)
    }

    /// The largest run in this step: it has most to lose.
    fn largest(&self, runs: &[RunView<K>], step: Step) -> Option<K> {
        runs.iter()
            .filter(|run| self.step(run.run) == step)
            .max_by_key(|run| (run.memory, run.run))
            .map(|run| run.run)
    }

    fn step(&self, run: K) -> Step {
        self.known.get(&run).map_or(Step::Untouched, |known| known.step)
    }

    fn set(&mut self, run: K, step: Step) {
        let known = self.known.entry(run).or_insert(Known {
            step,
            tries: 0,
        });
        known.step = step;
    }

    /// A copy is complete.
    pub fn copied(&mut self, run: K) {
        self.set(run, Step::Copied);
    }

    /// A copy or switch failed and left the run where it was.
    pub fn failed(&mut self, run: K) {
        let known = self.known.entry(run).or_insert(Known {
            step: Step::Untouched,
            tries: 0,
        });
        known.tries += 1;
        known.step = if known.tries >= TRIES_MAX {
            Step::GivenUp
        } else {
            Step::Untouched
        };
    }

    /// A switch was begun; the run is no longer this engine's.
    pub fn switched(&mut self, run: K) {
        self.set(run, Step::Switched);
    }

    /// Whether a copy of this run lies at another engine.
    #[must_use]
    pub fn has_copy(&self, run: K) -> bool {
        self.step(run) == Step::Copied
    }
}
