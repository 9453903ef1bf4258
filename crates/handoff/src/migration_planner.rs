//! The order of migrations from one leaving engine.

use std::collections::BTreeMap;

use lentil_core::{Span, Time, TokenCount};

/// Time for a copy and its switchover together: transferring a long generation
/// within an availability zone and resuming it at the target engine.
const LIVE_MIGRATION_TIME: Span = Span::from_ms(300);
/// Factor on the time in which a generation is expected to end, as lengths are estimates.
const END_MARGIN_PERCENT: u64 = 125;
/// Delay before a failed migration is retried.
const RETRY_DELAY: Span = Span::from_ms(50);
/// Polling interval while there is nothing to migrate.
const POLL_INTERVAL: Span = Span::from_ms(30);

/// The current status of a generation at the leaving engine, as states to its entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunStatus<K> {
    /// Identifies the generation.
    pub run: K,
    /// Tokens that it is still expected to produce.
    pub remaining_tokens: TokenCount,
    /// Whether it has produced output; before that there is nothing to migrate.
    pub started: bool,
    /// The time in which it is expected to end; `None` if it is unknown.
    pub ends_in: Option<Span>,
}

impl<K> RunStatus<K> {
    /// Whether the generation is expected to end at its engine early enough that it could
    /// still be migrated if it didn't.
    #[must_use]
    pub fn ends_in_place(&self, now: Time, terminates_at: Time) -> bool {
        let left = terminates_at.since(now + LIVE_MIGRATION_TIME);
        self.ends_in.is_some_and(|ends_in| {
            self.remaining_tokens > TokenCount::ZERO
                && Span::from_us(ends_in.as_us().saturating_mul(END_MARGIN_PERCENT) / 100) <= left
        })
    }
}

/// The next step of the migrations from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action<K> {
    /// Copy the generation's cache while it continues, then switch it over.
    LiveMigrate(K),
    /// Stop the generation immediately and copy all of its cache, because there is
    /// no time for a live migration.
    StopAndCopy(K),
    /// Do nothing until this time.
    Wait(Time),
}

#[derive(Debug, Clone, Copy)]
struct MigrationState {
    failures: u32,
    retry_at: Time,
    migrated: bool,
}

/// Plans one entry's migrations from one leaving engine.
#[derive(Debug)]
pub struct MigrationPlanner<K> {
    terminates_at: Time,
    states: BTreeMap<K, MigrationState>,
}

impl<K: Ord + Copy> MigrationPlanner<K> {
    /// Creates a planner for an engine that is expected to terminate at
    /// `terminates_at`.
    #[must_use]
    pub const fn new(terminates_at: Time) -> Self {
        Self {
            terminates_at,
            states: BTreeMap::new(),
        }
    }

    /// Updates the time at which the engine is expected to terminate.
    pub const fn set_terminates_at(&mut self, terminates_at: Time) {
        self.terminates_at = terminates_at;
    }

    /// Chooses the next step for the generations that remain at the engine.
    ///
    /// Generations with fewer failed migrations come first, and among these the one
    /// with the most remaining tokens, since a shorter one may complete in place. Those that
    /// are expected to end in place stay.
    pub fn next_action(&mut self, now: Time, runs: &[RunStatus<K>]) -> Action<K> {
        let next = runs
            .iter()
            .filter(|run| run.started && self.can_migrate(now, run.run))
            .filter(|run| !run.ends_in_place(now, self.terminates_at))
            .min_by_key(|run| {
                let failures = self.states.get(&run.run).map_or(0, |state| state.failures);
                (failures, std::cmp::Reverse(run.remaining_tokens), run.run)
            });
        let Some(next) = next else {
            return Action::Wait(now + POLL_INTERVAL);
        };
        if (self.terminates_at - LIVE_MIGRATION_TIME).has_passed(now) {
            return Action::StopAndCopy(next.run);
        }
        Action::LiveMigrate(next.run)
    }

    fn can_migrate(&self, now: Time, run: K) -> bool {
        self.states
            .get(&run)
            .is_none_or(|state| !state.migrated && state.retry_at.has_passed(now))
    }

    fn state_mut(&mut self, run: K) -> &mut MigrationState {
        self.states.entry(run).or_insert(MigrationState {
            failures: 0,
            retry_at: Time::ZERO,
            migrated: false,
        })
    }

    /// Records that a copy or switchover failed and the generation stayed where it
    /// was.
    pub fn record_failure(&mut self, now: Time, run: K) {
        let state = self.state_mut(run);
        state.failures += 1;
        state.retry_at = now + RETRY_DELAY;
    }

    /// Records that the generation no longer runs at this engine.
    pub fn record_migrated(&mut self, run: K) {
        self.state_mut(run).migrated = true;
    }
}
