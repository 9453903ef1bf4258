//! Which generations get a backup engine, and which engine.

use lentil_core::{Span, TokenCount};

/// Longest transfer of a whole generation between two engines. A longer one would keep the
/// links busy for the several copies a second that each backup needs.
const TRANSFER_TIME_MAX: Span = Span::from_ms(250);
/// Memory of the backup engine that must be free by forecast, in percent.
const FREE_PERCENT_MIN: u64 = 40;
/// The same for generations that cost less than the mean, so that the longest and most
/// expensive ones get the room where there is little of it.
const FREE_PERCENT_MIN_CHEAP: u64 = 60;
/// Number of generations over which the mean cost is taken.
const MEAN_COST_WINDOW: u64 = 32;
/// Prompt tokens whose prefill costs as much as one token of output.
const PROMPT_TOKENS_PER_COST: u64 = 8;

/// A generation that may get a backup engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackupRequest {
    /// Tokens of its prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens that it is expected to produce.
    pub expected_output_tokens: TokenCount,
    /// The time in which the complete generation is transferred to another engine; `None` if
    /// it is unknown.
    pub transfer_time: Option<Span>,
}

impl BackupRequest {
    /// Tokens that the complete generation is expected to occupy.
    #[must_use]
    pub fn total_tokens(&self) -> TokenCount {
        self.prompt_tokens + self.expected_output_tokens
    }

    fn cost(&self) -> u64 {
        u64::from(self.prompt_tokens.get()) / PROMPT_TOKENS_PER_COST
            + u64::from(self.expected_output_tokens.get())
    }
}

/// An engine that could be the backup of a generation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackupCandidate<E> {
    /// Identifies the engine.
    pub engine: E,
    /// Whether it is in the availability zone of the engine that runs the generation.
    pub is_same_zone: bool,
    /// Its total memory.
    pub memory_total: TokenCount,
    /// Memory that its generations and copies are expected to occupy.
    pub memory_forecast: TokenCount,
    /// Whether it could run one more generation.
    pub has_free_slot: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// A random number, so that entries with the same reports choose different engines.
    pub spread: u64,
}

impl<E> BackupCandidate<E> {
    fn free_tokens(&self) -> TokenCount {
        self.memory_total - self.memory_forecast
    }

    fn has_room(&self, tokens: TokenCount, free_percent: u64) -> bool {
        let free = u64::from(self.free_tokens().get());
        let total = u64::from(self.memory_total.get());
        !self.is_leaving
            && self.has_free_slot
            && free * 100 >= total * free_percent
            && self.free_tokens() >= tokens
    }
}

/// Chooses backup engines for the generations of one service that one entry sends.
///
/// It is designed for engines that crash without notice while a part of the fleet's memory is
/// free. Copies take that memory only as long as no generation needs it, and the more
/// expensive generations get it first.
#[derive(Debug, Default)]
pub struct BackupPlanner {
    mean_cost: u64,
    seen: u64,
}

impl BackupPlanner {
    /// Returns the backup engine of a generation, if it is to have one.
    ///
    /// Of the engines with room, those of the same availability zone come first. Of two that
    /// are taken at random, the one with more free memory is chosen.
    pub fn choose<E>(
        &mut self,
        request: &BackupRequest,
        mut candidates: Vec<BackupCandidate<E>>,
    ) -> Option<E> {
        let free_percent = self.free_percent(request.cost());
        if request.transfer_time? > TRANSFER_TIME_MAX {
            return None;
        }
        candidates.retain(|candidate| candidate.has_room(request.total_tokens(), free_percent));
        if candidates.iter().any(|candidate| candidate.is_same_zone) {
            candidates.retain(|candidate| candidate.is_same_zone);
        }
        candidates.sort_by_key(|candidate| candidate.spread);
        candidates.truncate(2);
        let chosen = candidates
            .into_iter()
            .max_by_key(BackupCandidate::free_tokens);
        chosen.map(|candidate| candidate.engine)
    }

    /// The free memory that a generation of this cost needs, in percent. Includes its cost in
    /// the mean.
    fn free_percent(&mut self, cost: u64) -> u64 {
        let is_cheap = cost < self.mean_cost;
        let window = self.seen.min(MEAN_COST_WINDOW - 1);
        self.mean_cost = (self.mean_cost * window + cost) / (window + 1);
        self.seen = window + 1;
        if is_cheap {
            FREE_PERCENT_MIN_CHEAP
        } else {
            FREE_PERCENT_MIN
        }
    }
}
