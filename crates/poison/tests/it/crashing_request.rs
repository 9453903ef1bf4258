//! A request that crashes every endpoint it runs at.

use lentil_faults::{Guard, POISON_ENTRIES, PoisonReport, simulate_poison};

/// Peers told between two sends; enough for every peer to receive the records.
const ALL_PEERS: usize = 200;

fn run_scenes(guard: Guard, peers_told: usize) -> PoisonReport {
    let mut total = PoisonReport::default();
    for seed in 0..30 {
        total.add(&simulate_poison(seed, guard, peers_told));
    }
    assert_eq!(total.innocents_finished, total.innocents_hit, "{total:?}");
    assert_eq!(total.innocents_refused, 0, "{total:?}");
    total
}

#[test]
fn fast_exchange_limits_loss_to_two_endpoints() {
    let report = run_scenes(Guard::On, ALL_PEERS);
    assert_eq!(report.endpoints_lost_max, 2, "{report:?}");
}

#[test]
fn each_entry_loses_two_endpoints_without_exchange() {
    let report = run_scenes(Guard::On, 0);
    let expected_max = u64::try_from(2 * POISON_ENTRIES).unwrap();
    assert!(report.endpoints_lost_max <= expected_max, "{report:?}");
}

#[test]
fn slow_exchange_costs_few_endpoints() {
    let report = run_scenes(Guard::On, 3);
    assert!(report.endpoints_lost < 4 * report.simulations, "{report:?}");
}

/// Without detection the same scenes lose many endpoints, so the tests above can
/// fail.
#[test]
fn many_endpoints_are_lost_without_guard() {
    let report = run_scenes(Guard::Off, 0);
    assert!(report.endpoints_lost_max > 50, "{report:?}");
}
