//! Fixtures shared by the tests.

use lentil_admit::{Admission, EngineConfig, GenerationSpec, LearnedLengths};
use lentil_core::{AttemptId, Blocks, BootId, Priority, Span, Time, TokenCount};
use proptest::test_runner::{Config, RngSeed};

pub(crate) const CONFIG: EngineConfig = EngineConfig {
    slots: 16,
    cold_slots: 2,
    blocks: Blocks::new(400),
    block_tokens: TokenCount::new(16),
    waiting_max: 8,
    agent_preempts: true,
};

/// Configuration with a fixed seed, which the environment can override.
pub(crate) fn seeded_config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(lentil_scenario::seed()),
        failure_persistence: None,
        ..Config::default()
    }
}

pub(crate) fn admission() -> Admission {
    Admission::new(CONFIG, BootId::new(1), Box::new(LearnedLengths::new()))
}

pub(crate) fn attempt(number: u64) -> AttemptId {
    AttemptId::new(u128::from(number))
}

pub(crate) fn generation(number: u64, priority: Priority) -> GenerationSpec {
    GenerationSpec {
        attempt: attempt(number),
        organisation: "kurume-parks".parse().unwrap(),
        model: "lentil-writer".parse().unwrap(),
        priority,
        prompt: TokenCount::new(64),
        max_tokens: TokenCount::new(2_000),
        deadline: Time::NEVER,
        suspect: false,
    }
}

pub(crate) fn at_ms(ms: u64) -> Time {
    Time::ZERO + Span::from_ms(ms)
}
