//! What admission is told and what it answers.

use lentil_core::{
    AttemptId, Blocks, ModelId, OrganisationId, Priority, RefusalReason, Time, TokenCount,
};

/// The engine's fixed sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineConfig {
    /// Generations that the warm engine runs side by side.
    pub slots: u32,
    /// Generations that a cold engine bears.
    pub cold_slots: u32,
    /// Cache blocks.
    pub blocks: Blocks,
    /// Tokens in a block.
    pub block_tokens: TokenCount,
    /// Requests that may wait at the agent.
    pub waiting_max: u32,
    /// Whether the agent can take a generation off and let it go on later;
    /// otherwise the engine alone preempts.
    pub agent_preempts: bool,
}

impl EngineConfig {
    /// Blocks that hold `tokens` tokens.
    #[must_use]
    pub fn blocks_for(&self, tokens: TokenCount) -> Blocks {
        Blocks::new(tokens.get().div_ceil(self.block_tokens.get().max(1)))
    }
}

/// A generation that asks to be run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GenerationSpec {
    /// The attempt that asks.
    pub attempt: AttemptId,
    /// For whom.
    pub organisation: OrganisationId,
    /// By which model.
    pub model: ModelId,
    /// How urgent.
    pub priority: Priority,
    /// Length of the prompt.
    pub prompt: TokenCount,
    /// Most tokens of output.
    pub max_tokens: TokenCount,
    /// When its first token is of no use any more.
    pub deadline: Time,
    /// It was on board of a crash and has to run alone.
    pub suspect: bool,
}

/// Something that happened at the agent or its endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The endpoint was started, or this agent first saw it; what ran is gone.
    EndpointStarted {
        /// Generations that run there already and are not this agent's.
        foreign: u32,
    },
    /// The endpoint died; nothing runs there, and all that had begun has failed.
    EndpointDown,
    /// Operators or the platform withdraw the endpoint, or bring it back.
    Withdrawn(bool),
    /// A generation asks to be run.
    Arrived(GenerationSpec),
    /// A generation has this many tokens of output by now.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Its tokens so far.
        generated: TokenCount,
    },
    /// A generation ended.
    Finished {
        /// The attempt.
        attempt: AttemptId,
    },
    /// A generation was cancelled or failed; its length teaches nothing.
    Dropped {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The engine itself took a generation's memory and will compute it again.
    EnginePreempted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The engine's own figures, with a lag.
    EngineLoad {
        /// Generations there.
        running: u32,
        /// Blocks in use.
        blocks_used: Blocks,
    },
    /// Time passed.
    Tick,
}

/// What the agent has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Hand the generation to the engine.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens it had made before it was preempted.
        generated: TokenCount,
    },
    /// Take the generation off the engine; it waits here and is started again.
    Preempt {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Refuse; the attempt was never handed to the engine.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Why.
        reason: RefusalReason,
        /// When a repeat is useful, as a point of the agent's clock.
        retry_at: Time,
    },
}
