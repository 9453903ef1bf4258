//! The warm-up limit rises with completed generations, never with time.

use lentil_admit::{Action, Event, WarmUp};
use lentil_core::{Priority, Span};
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::{CONFIG, admission, at_ms, attempt, generation, seeded_config};

proptest! {
    #![proptest_config(seeded_config(64))]

    /// A newly started endpoint gets no more than its cold limit, however many requests
    /// arrive at once or over time.
    #[test]
    fn arrivals_stay_within_cold_limit(entries in 1_u64..360, seconds in 0_u64..100_000) {
        let mut admission = admission();
        admission.on(at_ms(0), Event::EndpointStarted { foreign: 0 });
        let mut started = 0_u32;
        for number in 0..entries {
            let now = at_ms(seconds * 1_000 * number / entries);
            for event in [Event::Arrived(generation(number, Priority::Verdict)), Event::Tick] {
                let starts = admission.on(now, event).into_iter();
                started += u32::try_from(starts.filter(|a| matches!(a, Action::Start { .. })).count()).unwrap();
            }
        }
        prop_assert!(started <= CONFIG.cold_slots);
    }

    /// From the eighth completion on, each one raises the limit by one.
    #[test]
    fn limit_rises_with_completions(finished in 0_u32..100) {
        let mut warm_up = WarmUp::new(2, 64);
        for _ in 0..finished {
            warm_up.finished(at_ms(1), warm_up.limit());
        }
        prop_assert!(warm_up.limit() == (2 + finished.saturating_sub(7)).min(64));
    }
}

#[test]
fn idle_endpoint_turns_cold() {
    let mut warm_up = WarmUp::new(2, 8);
    for _ in 0..20 {
        warm_up.finished(at_ms(1), 8);
    }
    assert_eq!(warm_up.limit(), 8);
    warm_up.about_to_start(at_ms(200_000));
    assert_eq!(warm_up.limit(), 8);
    warm_up.about_to_start(at_ms(600_000));
    assert_eq!(warm_up.limit(), 2);
}

#[test]
fn long_token_gaps_turn_endpoint_cold() {
    let mut warm_up = WarmUp::new(2, 8);
    for _ in 0..200 {
        warm_up.token_gap(at_ms(1), Span::from_ms(20), 8);
        warm_up.finished(at_ms(1), 8);
    }
    let turned_cold = (0..40).any(|_| warm_up.token_gap(at_ms(2), Span::from_ms(200), 8));
    assert!(turned_cold);
    assert_eq!(warm_up.limit(), 2);
    warm_up.finished(at_ms(3), 2);
    assert_eq!(warm_up.limit(), 2, "token gaps are still long");
    for _ in 0..40 {
        warm_up.token_gap(at_ms(4), Span::from_ms(20), 8);
    }
    for _ in 0..8 {
        assert_eq!(warm_up.limit(), 2);
        warm_up.finished(at_ms(5), 2);
    }
    assert_eq!(warm_up.limit(), 3);
}

#[test]
fn foreign_generations_take_slots() {
    let mut admission = admission();
    admission.on(at_ms(0), Event::EndpointStarted { foreign: 2 });
    let actions = admission.on(at_ms(1), Event::Arrived(generation(1, Priority::Verdict)));
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
