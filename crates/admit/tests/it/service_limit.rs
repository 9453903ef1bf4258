//! Plain services: a concurrency limit by observed latency.

use std::collections::BTreeSet;

use lentil_admit::{
    ConcurrencyLimit, ServiceAction, ServiceAdmission, ServiceCall, ServiceConfig, ServiceEvent,
};
use lentil_core::{AttemptId, BootId, Span, Time};
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::{at_ms, attempt, config};

const SHAPE: ServiceConfig = ServiceConfig {
    slots: 32,
    cold_slots: 2,
    waiting_max: 8,
};

#[test]
fn falls_when_slow() {
    let mut limit = ConcurrencyLimit::new(2, 64);
    for _ in 0..5_000 {
        limit.answered(Span::from_ms(10), 64);
    }
    let fast = limit.available(0);
    for _ in 0..60 {
        limit.answered(Span::from_ms(80), 64);
    }
    assert!(fast >= 60, "{fast}");
    assert!(limit.available(0) <= 4, "{}", limit.available(0));
}

proptest! {
    #![proptest_config(config(128))]

    /// Cold bound, bounded waiting, none started twice or after its deadline.
    #[test]
    fn always_hold(steps in proptest::collection::vec((0_u8..8, 0_usize..100, 0_u64..50), 1..300)) {
        let mut admission = ServiceAdmission::new(SHAPE, BootId::new(1));
        let mut now = at_ms(0);
        admission.on(now, ServiceEvent::Started);
        let mut running: BTreeSet<AttemptId> = BTreeSet::new();
        let mut known: BTreeSet<AttemptId> = BTreeSet::new();
        let (mut withdrawn, mut answered) = (false, 0_usize);
        for (number, (kind, pick, wait_ms)) in (0..).zip(steps) {
            now = now + Span::from_ms(wait_ms);
            let picked = running.iter().nth(pick % running.len().max(1)).copied();
            let event = match (kind, picked) {
                (0..=3, _) => {
                    known.insert(attempt(number));
                    let deadline = now + Span::from_ms(100);
                    ServiceEvent::Arrived(ServiceCall { attempt: attempt(number), deadline })
                }
                (4 | 5, Some(attempt)) => {
                    running.remove(&attempt);
                    answered += 1;
                    ServiceEvent::Answered { attempt, overloaded: pick % 9 == 0 }
                }
                (6, _) => {
                    withdrawn = pick % 2 == 0;
                    ServiceEvent::Withdrawn(withdrawn)
                }
                _ => ServiceEvent::Tick,
            };
            for action in admission.on(now, event) {
                match action {
                    ServiceAction::Start { attempt } => {
                        prop_assert!(!withdrawn && known.remove(&attempt));
                        let arrived = u64::try_from(attempt.get()).unwrap();
                        prop_assert!(arrived <= number);
                        running.insert(attempt);
                        prop_assert!(running.len() <= 2 + answered.saturating_sub(16));
                    }
                    ServiceAction::Refuse { attempt, .. } => prop_assert!(known.remove(&attempt)),
                }
            }
            prop_assert!(known.len() <= 8 + 1);
        }
        let left = admission.on(Time::NEVER, ServiceEvent::Down);
        prop_assert!(left.len() == known.len());
    }
}
