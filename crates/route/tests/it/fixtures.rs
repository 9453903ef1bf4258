//! Fixtures shared by the tests.

use lentil_core::{
    Blocks, BootId, EndpointId, EndpointLoad, EndpointState, OrganisationId, Priority, Span, Time,
    TokenCount, Weight, ZoneId,
};
use lentil_route::{Request, RequestId, Router, RouterConfig, SendMode};
use proptest::test_runner::{Config, RngSeed};

pub(crate) const ZONES: [&str; 3] = ["kurume-a", "tosu-b", "ogori-c"];

/// Configuration with a fixed seed, which the environment can override.
pub(crate) fn seeded_config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(lentil_scenario::seed()),
        failure_persistence: None,
        ..Config::default()
    }
}

pub(crate) fn router() -> Router {
    Router::new(RouterConfig {
        zone: zone(0),
        queue_max: 4_096,
        mode: SendMode::Optimistic,
        seed: 7,
    })
}

pub(crate) fn zone(index: usize) -> ZoneId {
    ZONES[index % ZONES.len()].parse().unwrap()
}

pub(crate) fn endpoint(index: usize) -> EndpointId {
    format!("writer-{index}").parse().unwrap()
}

pub(crate) fn organisation(index: usize) -> OrganisationId {
    format!("org-{index}").parse().unwrap()
}

pub(crate) fn at_ms(ms: u64) -> Time {
    Time::ZERO + Span::from_ms(ms)
}

pub(crate) fn request(id: u64, organisation_index: usize) -> Request {
    Request {
        id: RequestId::new(id),
        organisation: organisation(organisation_index),
        weight: Weight::new(1),
        priority: Priority::Interactive,
        prompt: TokenCount::new(200),
        deadline: Time::NEVER,
        prefix: None,
        hedgeable: false,
    }
}

pub(crate) fn load(boot: u64, sequence: u64, free_slots: u32) -> EndpointLoad {
    EndpointLoad {
        boot: BootId::new(boot),
        sequence,
        state: EndpointState::Warm,
        running: 8,
        waiting: 0,
        free_slots,
        blocks_used: Blocks::new(100),
        blocks_total: Blocks::new(1_000),
        wait: Span::ZERO,
    }
}

/// Most retries and hedges that the budget allows after this number of requests.
pub(crate) fn retries_max(requests: u64) -> u64 {
    match requests {
        0..100 => 5 + requests / 20,
        _ => requests / 10,
    }
}
