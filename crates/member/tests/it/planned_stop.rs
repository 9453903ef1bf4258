//! A planned stop lets running work finish.

use lentil_core::{Span, Time};
use lentil_member::{GracefulShutdown, ShutdownLimits, ShutdownStage};

fn departure() -> GracefulShutdown {
    GracefulShutdown::new(ShutdownLimits {
        grace: Span::from_s(60),
        linger: Span::from_s(3),
    })
}

#[test]
fn work_finishes() {
    let mut departure = departure();
    let begin = Time::ZERO + Span::from_s(10);
    assert_eq!(departure.stage(begin, 4), ShutdownStage::Serving);
    assert!(departure.begin(begin));
    assert!(!departure.begin(begin + Span::from_s(1)));
    assert!(!departure.accepts_work());
    assert_eq!(
        departure.stage(begin + Span::from_s(1), 0),
        ShutdownStage::Draining
    );
    assert_eq!(
        departure.stage(begin + Span::from_s(30), 1),
        ShutdownStage::Draining
    );
    assert_eq!(
        departure.stage(begin + Span::from_s(30), 0),
        ShutdownStage::Finished
    );
}

#[test]
fn grace_ends() {
    let mut departure = departure();
    departure.begin(Time::ZERO);
    assert_eq!(
        departure.stage(Time::ZERO + Span::from_s(60), 1),
        ShutdownStage::GraceExpired
    );
}
