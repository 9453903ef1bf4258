//! Selection of the generation to preempt.

use lentil_core::{AttemptId, Blocks, Priority, TokenCount};

/// A running generation that may be preempted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) attempt: AttemptId,
    /// Effective priority: a report close to its deadline counts as interactive.
    pub(crate) priority: Priority,
    /// Tokens to recompute when it is resumed.
    pub(crate) recompute_tokens: TokenCount,
    /// Blocks that its preemption frees.
    pub(crate) blocks: Blocks,
    /// Number of times it was already preempted.
    pub(crate) preempted: u32,
}

/// Selects the candidate that is cheapest to preempt and frees `blocks_needed` blocks.
///
/// The least urgent class goes first: nobody reads a report while it is being generated.
/// Within the class, the candidate preempted least often is selected, then the one with the
/// fewest tokens to recompute. If none frees enough, the one that frees most is selected.
pub(crate) fn select_victim(candidates: &[Candidate], blocks_needed: Blocks) -> Option<AttemptId> {
    let frees_enough = |candidate: &&Candidate| candidate.blocks >= blocks_needed;
    let cost = |candidate: &&Candidate| {
        (
            std::cmp::Reverse(candidate.priority),
            candidate.preempted,
            candidate.recompute_tokens,
            candidate.attempt,
        )
    };
    let least_urgent = candidates.iter().map(|c| c.priority).max()?;
    let least_urgent_candidates = || candidates.iter().filter(|c| c.priority == least_urgent);
    least_urgent_candidates()
        .filter(frees_enough)
        .min_by_key(cost)
        .or_else(|| least_urgent_candidates().max_by_key(|c| (c.blocks, c.attempt)))
        .map(|candidate| candidate.attempt)
}
