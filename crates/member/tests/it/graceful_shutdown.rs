//! A graceful shutdown lets running work finish within the grace period.

use lentil_core::{Span, Time};
use lentil_member::{GracefulShutdown, ShutdownLimits, ShutdownStage};

fn shutdown() -> GracefulShutdown {
    GracefulShutdown::new(ShutdownLimits {
        grace: Span::from_s(60),
        linger: Span::from_s(3),
    })
}

#[test]
fn waits_for_running_work() {
    let mut shutdown = shutdown();
    let begin = Time::ZERO + Span::from_s(10);
    assert_eq!(shutdown.stage(begin, 4), ShutdownStage::Serving);
    assert!(shutdown.begin(begin));
    assert!(!shutdown.begin(begin + Span::from_s(1)));
    assert!(!shutdown.accepts_work());
    assert_eq!(
        shutdown.stage(begin + Span::from_s(1), 0),
        ShutdownStage::Draining
    );
    assert_eq!(
        shutdown.stage(begin + Span::from_s(30), 1),
        ShutdownStage::Draining
    );
    assert_eq!(
        shutdown.stage(begin + Span::from_s(30), 0),
        ShutdownStage::Finished
    );
}

#[test]
fn grace_period_expires() {
    let mut shutdown = shutdown();
    shutdown.begin(Time::ZERO);
    assert_eq!(
        shutdown.stage(Time::ZERO + Span::from_s(60), 1),
        ShutdownStage::GraceExpired
    );
}
