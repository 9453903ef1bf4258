//! Endpoints lost to one request that crashes every endpoint that runs it.

use lentil_faults::{Guard, POISON_ENTRIES, PoisonReport, simulate_poison};
use serde::Serialize;

/// Number of runs for each setting.
const RUNS: u64 = 100;

/// Results for one setting: whether the guard is on, and how many peers each entry tells about
/// suspect requests each time.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) way: &'static str,
    pub(crate) entries: usize,
    pub(crate) scenes: u64,
    pub(crate) endpoints_lost: u64,
    pub(crate) endpoints_lost_max: u64,
    pub(crate) innocents_hit: u64,
    pub(crate) innocents_finished: u64,
}

/// Measures each setting.
pub(crate) fn measure(seed: u64) -> Vec<Row> {
    [
        ("everybody hears", Guard::On, 200),
        ("3 peers a sending", Guard::On, 3),
        ("nobody hears", Guard::On, 0),
        ("guard off", Guard::Off, 0),
    ]
    .into_iter()
    .map(|(way, guard, peers_told)| measure_setting(seed, way, guard, peers_told))
    .collect()
}

fn measure_setting(seed: u64, way: &'static str, guard: Guard, peers_told: usize) -> Row {
    let mut total = PoisonReport::default();
    for run in 0..RUNS {
        total.add(&simulate_poison(seed.wrapping_add(run), guard, peers_told));
    }
    Row {
        way,
        entries: POISON_ENTRIES,
        scenes: total.simulations,
        endpoints_lost: total.endpoints_lost,
        endpoints_lost_max: total.endpoints_lost_max,
        innocents_hit: total.innocents_hit,
        innocents_finished: total.innocents_finished,
    }
}
