//! The number of endpoints that a request is sent to.

use lentil_fleet::AttemptLimit;

/// Guards against a retry and a hedge that are both granted while the other one waits, so
/// that a request reaches one endpoint more than its route allows.
#[test]
fn waiting_attempts_count() {
    let mut limit = AttemptLimit::new(2);
    assert!(limit.try_grant());
    assert!(!limit.try_grant());
    // The retry finds no capacity and is not sent.
    limit.return_unsent();
    assert!(limit.try_grant());
    assert!(!limit.try_grant());
}

#[test]
fn first_attempt_is_always_allowed() {
    for max in [0, 1] {
        let mut limit = AttemptLimit::new(max);
        assert_eq!(limit.granted(), 1);
        assert!(!limit.try_grant());
    }
}
