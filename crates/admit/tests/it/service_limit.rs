//! Admission of plain services, whose concurrency limit adapts to the latency.

use std::collections::BTreeSet;

use lentil_admit::{
    ConcurrencyLimit, ServiceAction, ServiceAdmission, ServiceCall, ServiceConfig, ServiceEvent,
};
use lentil_core::{AttemptId, BootId, Span, Time};
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::{at_ms, attempt, seeded_config};

const CONFIG: ServiceConfig = ServiceConfig {
    slots: 32,
    cold_slots: 2,
    waiting_max: 8,
};

#[test]
fn limit_falls_with_latency() {
    let mut limit = ConcurrencyLimit::new(2, 64);
    for _ in 0..5_000 {
        limit.answered(Span::from_ms(10), 64);
    }
    let limit_when_fast = limit.available(0);
    for _ in 0..60 {
        limit.answered(Span::from_ms(80), 64);
    }
    assert!(limit_when_fast >= 60, "{limit_when_fast}");
    assert!(limit.available(0) <= 4, "{}", limit.available(0));
}

proptest! {
    #![proptest_config(seeded_config(128))]

    /// Concurrency starts at the cold limit, the wait queue is bounded, and no call starts twice
    /// or while the replica is withdrawn.
    #[test]
    fn invariants_hold(steps in proptest::collection::vec((0_u8..8, 0_usize..100, 0_u64..50), 1..300)) {
        let mut admission = ServiceAdmission::new(CONFIG, BootId::new(1));
        let mut now = at_ms(0);
        admission.on(now, ServiceEvent::Started);
        let mut running: BTreeSet<AttemptId> = BTreeSet::new();
        let mut waiting: BTreeSet<AttemptId> = BTreeSet::new();
        let (mut withdrawn, mut answered) = (false, 0_usize);
        for (number, (kind, choice, wait_ms)) in (0..).zip(steps) {
            now = now + Span::from_ms(wait_ms);
            let picked_attempt = running.iter().nth(choice % running.len().max(1)).copied();
            let event = match (kind, picked_attempt) {
                (0..=3, _) => {
                    waiting.insert(attempt(number));
                    let deadline = now + Span::from_ms(100);
                    ServiceEvent::Arrived(ServiceCall { attempt: attempt(number), deadline })
                }
                (4 | 5, Some(attempt)) => {
                    running.remove(&attempt);
                    answered += 1;
                    ServiceEvent::Answered { attempt, overloaded: choice % 9 == 0 }
                }
                (6, _) => {
                    withdrawn = choice % 2 == 0;
                    ServiceEvent::Withdrawn(withdrawn)
                }
                _ => ServiceEvent::Tick,
            };
            for action in admission.on(now, event) {
                match action {
                    ServiceAction::Start { attempt } => {
                        prop_assert!(!withdrawn && waiting.remove(&attempt));
                        let arrived = u64::try_from(attempt.get()).unwrap();
                        prop_assert!(arrived <= number);
                        running.insert(attempt);
                        prop_assert!(running.len() <= 2 + answered.saturating_sub(16));
                    }
                    ServiceAction::Refuse { attempt, .. } => prop_assert!(waiting.remove(&attempt)),
                }
            }
            prop_assert!(waiting.len() <= 8 + 1);
        }
        let refusals = admission.on(Time::NEVER, ServiceEvent::Down);
        prop_assert!(refusals.len() == waiting.len());
    }
}
