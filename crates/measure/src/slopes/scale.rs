//! Memory taken by the state of each role with all organisations and models in use.

use std::hint::black_box;

use serde::Serialize;

use super::meter::allocated_bytes;
use super::{agent, claim, config, entry, fixtures};

/// Memory budget for the state of a node.
const MEMORY_MAX_BYTES: f64 = 64e6;
/// Number of endpoints in the fleet.
const ENDPOINTS: usize = 600;

/// Memory taken by the state of a role.
#[derive(Debug, Serialize)]
pub(crate) struct StateSize {
    pub(crate) state: &'static str,
    pub(crate) bytes: f64,
}

impl StateSize {
    fn measure<T>(state: &'static str, build: impl Fn() -> T) -> Self {
        let before = allocated_bytes();
        let built = black_box(build());
        let bytes = allocated_bytes() - before;
        drop(built);
        Self { state, bytes }
    }

    pub(crate) fn violation(&self) -> Option<String> {
        let exceeds_budget = self.bytes > MEMORY_MAX_BYTES;
        exceeds_budget.then(|| format!("{} holds {:.0} B", self.state, self.bytes))
    }
}

/// Builds the state of each role and measures its memory.
pub(crate) fn state_sizes() -> eyre::Result<Vec<StateSize>> {
    let keys_max = lentil_once::Limits::default().keys_max;
    Ok(vec![
        StateSize::measure("entry: 8 models, 9,200 organisations, queues full", || {
            let queues =
                (0..fixtures::MODELS).map(|_| entry::router_with_queue(fixtures::ORGANISATIONS));
            let routers = (0..fixtures::MODELS).map(|_| entry::router(fixtures::AGENTS_PER_MODEL));
            let queues = queues.chain(routers).collect::<Vec<_>>();
            (
                queues,
                entry::member_table(ENDPOINTS),
                config::ledger(fixtures::ORGANISATIONS),
            )
        }),
        StateSize::measure("agent of an engine: 9,200 organisations learned", || {
            (
                agent::learned_lengths(fixtures::ORGANISATIONS),
                config::ledger(fixtures::ORGANISATIONS),
            )
        }),
        StateSize::measure("agent of a plain service: as many keys as allowed", || {
            (
                claim::ledger_with_claims(keys_max),
                config::ledger(fixtures::ORGANISATIONS),
            )
        }),
    ])
}
