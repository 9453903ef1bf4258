//! Endpoints lost to one request that crashes all it runs at.

use lentil_faults::{Guard, POISON_ENTRIES, PoisonReport, simulate_poison};
use serde::Serialize;

/// Scenes for each way.
const SCENES: u64 = 100;

/// One way of hearing of suspects.
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

pub(crate) fn measure(seed: u64) -> Vec<Row> {
    [
        ("everybody hears", Guard::On, 200),
        ("3 peers a sending", Guard::On, 3),
        ("nobody hears", Guard::On, 0),
        ("guard off", Guard::Off, 0),
    ]
    .into_iter()
    .map(|(way, guard, peers_told)| row(seed, way, guard, peers_told))
    .collect()
}

fn row(seed: u64, way: &'static str, guard: Guard, peers_told: usize) -> Row {
    let mut all = PoisonReport::default();
    for scene in 0..SCENES {
        all.add(&simulate_poison(
            seed.wrapping_add(scene),
            guard,
            peers_told,
        ));
    }
    Row {
        way,
        entries: POISON_ENTRIES,
        scenes: all.simulations,
        endpoints_lost: all.endpoints_lost,
        endpoints_lost_max: all.endpoints_lost_max,
        innocents_hit: all.innocents_hit,
        innocents_finished: all.innocents_finished,
    }
}
