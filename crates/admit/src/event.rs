//! Events and actions of [`Admission`](crate::Admission), and the types they carry.

use lentil_core::{
    AttemptId, Blocks, ModelId, OrganisationId, Priority, RefusalReason, Time, TokenCount,
};

/// Capacity of a model engine and limits of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineConfig {
    /// Generations that a warm engine runs concurrently.
    pub slots: u32,
    /// Generations that a cold engine may run concurrently.
    pub cold_slots: u32,
    /// KV cache blocks.
    pub blocks: Blocks,
    /// Tokens that one block holds.
    pub block_tokens: TokenCount,
    /// Requests that may wait at the agent; preempted ones don't count.
    pub waiting_max: u32,
    /// Whether the agent can preempt a generation and resume it later. If not,
    /// only the engine itself preempts.
    pub agent_preempts: bool,
}

impl EngineConfig {
    /// Number of blocks needed to hold `tokens` tokens.
    #[must_use]
    pub fn blocks_for(&self, tokens: TokenCount) -> Blocks {
        Blocks::new(tokens.get().div_ceil(self.block_tokens.get().max(1)))
    }
}

/// A generation to be run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationSpec {
    /// The attempt to run.
    pub attempt: AttemptId,
    /// Organisation that sent the request.
    pub organisation: OrganisationId,
    /// Model that generates the output.
    pub model: ModelId,
    /// Priority class of the request.
    pub priority: Priority,
    /// Length of the prompt.
    pub prompt: TokenCount,
    /// Upper limit for the output length.
    pub max_tokens: TokenCount,
    /// Time by which the first token is needed.
    pub deadline: Time,
    /// Whether it was running when an endpoint crashed, and so must run alone.
    pub suspect: bool,
}

/// Something that happened at the agent or its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The endpoint was started, or this agent saw it for the first time. Whatever the
    /// agent had running there is lost.
    EndpointStarted {
        /// Generations running there that this agent did not start.
        foreign: u32,
    },
    /// The endpoint died; everything that was running there has failed.
    EndpointDown,
    /// An operator or the platform withdrew the endpoint (`true`) or brought it back.
    Withdrawn(bool),
    /// A request for a generation arrived.
    Arrived(GenerationSpec),
    /// The output of a generation grew.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Output tokens generated so far.
        generated: TokenCount,
    },
    /// A generation completed.
    Finished {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A generation was cancelled or failed; its length is not recorded.
    Dropped {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The engine itself preempted a generation and will recompute it.
    EnginePreempted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Load figures from the engine, which lag behind.
    EngineLoad {
        /// Generations running at the engine.
        running: u32,
        /// Blocks in use.
        blocks_used: Blocks,
    },
    /// Time passed.
    Tick,
}

/// An action for the agent to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Start or resume the generation at the engine.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Output tokens generated before it was preempted.
        generated: TokenCount,
    },
    /// Stop the generation at the engine; it waits and will be resumed.
    Preempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Refuse the attempt, which was never started at the engine.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Reason for the refusal.
        reason: RefusalReason,
        /// Earliest useful time of a retry, by the agent's clock.
        retry_at: Time,
    },
}
