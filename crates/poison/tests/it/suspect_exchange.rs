//! Suspicions between peers.

use lentil_core::{BootId, Fingerprint, Span, Time};
use lentil_poison::{CrashId, Limits, SuspectRecord, Suspects, Verdict};
use proptest::prelude::{ProptestConfig, any, prop, prop_assert_eq, proptest};
use proptest::test_runner::RngSeed;

const NOW: Time = Time::ZERO;
const BODY: Fingerprint = Fingerprint::new(7);

fn crash(boot: u64) -> CrashId {
    CrashId::of(&"pool-1".parse().unwrap(), BootId::new(boot))
}

fn suspects() -> Suspects {
    Suspects::new(Limits::default())
}

#[test]
fn crash_alone_weighs_more() {
    let mut known = suspects();
    known.on_crash(NOW, crash(1), &[BODY, Fingerprint::new(8)]);
    assert_eq!(known.verdict(BODY), Verdict::Suspect { strikes: 1 });
    known.on_crash(NOW, crash(2), &[BODY]);
    assert_eq!(known.verdict(BODY), Verdict::Refused);
}

#[test]
fn same_crash_counts_once() {
    let mut known = suspects();
    for _ in 0..5 {
        known.on_crash(NOW, crash(1), &[BODY, Fingerprint::new(8)]);
    }
    assert_eq!(known.verdict(BODY), Verdict::Suspect { strikes: 1 });
}

#[test]
fn lifted_suspicion_stays_lifted() {
    let (mut here, mut there) = (suspects(), suspects());
    here.on_crash(NOW, crash(1), &[BODY, Fingerprint::new(8)]);
    there.merge_record(NOW, &here.records()[0]);
    here.on_success(BODY);
    for rumour in there.records() {
        here.merge_record(NOW, &rumour);
    }
    assert_eq!(here.verdict(BODY), Verdict::Clear);
    for rumour in here.records() {
        there.merge_record(NOW, &rumour);
    }
    assert_eq!(there.verdict(BODY), Verdict::Clear);
}

#[test]
fn table_is_bounded() {
    let mut known = Suspects::new(Limits {
        suspects_max: 3,
        ..Limits::default()
    });
    for number in 0..10 {
        let body = Fingerprint::new(number);
        let at = NOW + Span::from_s(1).times(u64::try_from(number).unwrap());
        known.on_crash(at, crash(1), &[body, BODY]);
    }
    assert_eq!(known.len(), 3);
    assert!(known.counters().dropped > 0);
    known.expire(NOW + Span::from_s(10_000));
    assert!(known.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    })]

    /// Peers agree whatever the order and number of messages.
    #[test]
    fn peers_converge(
        crashes in prop::collection::vec((0_u64..6, any::<bool>()), 0..6),
        order in prop::collection::vec(any::<bool>(), 8),
    ) {
        let mut peers = [suspects(), suspects()];
        for (boot, alone) in crashes {
            let on_board = [BODY, Fingerprint::new(9)];
            let on_board = if alone { &on_board[..1] } else { &on_board[..] };
            // A crash is seen alike by all who see it.
            let id = crash(boot * 2 + u64::from(alone));
            peers[usize::from(boot % 2 == 0)].on_crash(NOW, id, on_board);
        }
        for first in order.into_iter().chain([true, false]) {
            let said = peers[usize::from(first)].records();
            for rumour in said {
                let read: SuspectRecord = rumour.to_string().parse().unwrap();
                prop_assert_eq!(&read, &rumour);
                peers[usize::from(!first)].merge_record(NOW, &read);
            }
        }
        prop_assert_eq!(peers[0].verdict(BODY), peers[1].verdict(BODY));
    }
}
