//! Exchange of suspect records between peers.

use lentil_core::{BootId, Fingerprint, Span, Time};
use lentil_poison::{CrashId, Limits, SuspectRecord, Suspects, Verdict};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

const NOW: Time = Time::ZERO;
const SUSPECT: Fingerprint = Fingerprint::new(7);

fn crash(boot: u64) -> CrashId {
    CrashId::of(&"pool-1".parse().unwrap(), BootId::new(boot))
}

fn suspects() -> Suspects {
    Suspects::new(Limits::default())
}

#[test]
fn crash_while_alone_counts_twice() {
    let mut table = suspects();
    table.on_crash(NOW, crash(1), &[SUSPECT, Fingerprint::new(8)]);
    assert_eq!(table.verdict(SUSPECT), Verdict::Suspect { strikes: 1 });
    table.on_crash(NOW, crash(2), &[SUSPECT]);
    assert_eq!(table.verdict(SUSPECT), Verdict::Refused);
}

#[test]
fn same_crash_counts_once() {
    let mut table = suspects();
    for _ in 0..5 {
        table.on_crash(NOW, crash(1), &[SUSPECT, Fingerprint::new(8)]);
    }
    assert_eq!(table.verdict(SUSPECT), Verdict::Suspect { strikes: 1 });
}

#[test]
fn cleared_suspect_stays_cleared() {
    let (mut local, mut peer) = (suspects(), suspects());
    local.on_crash(NOW, crash(1), &[SUSPECT, Fingerprint::new(8)]);
    peer.merge_record(NOW, &local.records()[0]);
    local.on_success(SUSPECT);
    for record in peer.records() {
        local.merge_record(NOW, &record);
    }
    assert_eq!(local.verdict(SUSPECT), Verdict::Clear);
    for record in local.records() {
        peer.merge_record(NOW, &record);
    }
    assert_eq!(peer.verdict(SUSPECT), Verdict::Clear);
}

#[test]
fn table_is_bounded() {
    let mut table = Suspects::new(Limits {
        suspects_max: 3,
        ..Limits::default()
    });
    for number in 0..10 {
        let fingerprint = Fingerprint::new(number);
        let at = NOW + Span::from_s(1).times(u64::try_from(number).unwrap());
        table.on_crash(at, crash(1), &[fingerprint, SUSPECT]);
    }
    assert_eq!(table.len(), 3);
    assert!(table.counters().dropped > 0);
    table.expire(NOW + Span::from_s(10_000));
    assert!(table.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// Peers agree regardless of the order and number of messages.
    #[test]
    fn peers_converge(
        crashes in prop::collection::vec((0_u64..6, any::<bool>()), 0..6),
        order in prop::collection::vec(any::<bool>(), 8),
    ) {
        let mut peers = [suspects(), suspects()];
        for (boot, alone) in crashes {
            let running = [SUSPECT, Fingerprint::new(9)];
            let running = if alone { &running[..1] } else { &running[..] };
            // All observers of a crash agree on whether the request ran alone.
            let id = crash(boot * 2 + u64::from(alone));
            peers[usize::from(boot % 2 == 0)].on_crash(NOW, id, running);
        }
        for first in order.into_iter().chain([true, false]) {
            let records = peers[usize::from(first)].records();
            for record in records {
                let parsed: SuspectRecord = record.to_string().parse().unwrap();
                prop_assert_eq!(&parsed, &record);
                peers[usize::from(!first)].merge_record(NOW, &parsed);
            }
        }
        prop_assert_eq!(peers[0].verdict(SUSPECT), peers[1].verdict(SUSPECT));
    }
}
