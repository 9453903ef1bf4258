//! Warm-up follows finished work, never time.

use lentil_admit::{Action, Event, WarmUp};
use lentil_core::{Priority, Span};
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::{SHAPE, admission, at_ms, attempt, config, work};

proptest! {
    #![proptest_config(config(64))]

    /// However many entries find a fresh endpoint at once, it gets its cold bound.
    #[test]
    fn herd_waits(entries in 1_u64..360, seconds in 0_u64..100_000) {
        let mut admission = admission();
        admission.on(at_ms(0), Event::EndpointStarted { foreign: 0 });
        let mut started = 0_u32;
        for number in 0..entries {
            let now = at_ms(seconds * 1_000 * number / entries);
            for event in [Event::Arrived(work(number, Priority::Verdict)), Event::Tick] {
                let starts = admission.on(now, event).into_iter();
                started += u32::try_from(starts.filter(|a| matches!(a, Action::Start { .. })).count()).unwrap();
            }
        }
        prop_assert!(started <= SHAPE.cold_slots);
    }

    /// The limit follows the finished work, after the first eight of it.
    #[test]
    fn rises_with_work(finished in 0_u32..100) {
        let mut warm = WarmUp::new(2, 64);
        for _ in 0..finished {
            warm.finished(at_ms(1), warm.limit());
        }
        prop_assert!(warm.limit() == (2 + finished.saturating_sub(7)).min(64));
    }
}

#[test]
fn idle_time_cools() {
    let mut warm = WarmUp::new(2, 8);
    for _ in 0..20 {
        warm.finished(at_ms(1), 8);
    }
    assert_eq!(warm.limit(), 8);
    warm.about_to_start(at_ms(200_000));
    assert_eq!(warm.limit(), 8);
    warm.about_to_start(at_ms(600_000));
    assert_eq!(warm.limit(), 2);
}

#[test]
fn slow_tokens_cool() {
    let mut warm = WarmUp::new(2, 8);
    for _ in 0..200 {
        warm.token_gap(at_ms(1), Span::from_ms(20), 8);
        warm.finished(at_ms(1), 8);
    }
    let turned = (0..40).any(|_| warm.token_gap(at_ms(2), Span::from_ms(200), 8));
    assert!(turned);
    assert_eq!(warm.limit(), 2);
    warm.finished(at_ms(3), 2);
    assert_eq!(warm.limit(), 2, "still cold by its latencies");
    for _ in 0..40 {
        warm.token_gap(at_ms(4), Span::from_ms(20), 8);
    }
    for _ in 0..8 {
        assert_eq!(warm.limit(), 2);
        warm.finished(at_ms(5), 2);
    }
    assert_eq!(warm.limit(), 3);
}

#[test]
fn foreign_work_counts() {
    let mut admission = admission();
    admission.on(at_ms(0), Event::EndpointStarted { foreign: 2 });
    let actions = admission.on(at_ms(1), Event::Arrived(work(1, Priority::Verdict)));
    assert!(actions.is_empty());
    let actions = admission.on(
        at_ms(2),
        Event::EngineLoad {
            running: 1,
            blocks_used: lentil_core::Blocks::new(40),
        },
    );
    assert!(matches!(actions.as_slice(), [Action::Start { attempt: a, .. }] if *a == attempt(1)));
}
