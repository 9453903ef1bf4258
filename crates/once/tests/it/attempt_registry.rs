//! Admission of attempts by state and epoch.

use lentil_core::{AttemptId, BootId};
use lentil_once::{Admission, AttemptRegistry, AttemptState};

const BOOT: BootId = BootId::new(5);

#[test]
fn barred_attempt_is_not_admitted() {
    let mut attempts = AttemptRegistry::new(BOOT, 10);
    assert!(attempts.bar(AttemptId::new(1), BOOT));
    let admission = attempts.admit(AttemptId::new(1), BOOT);
    assert_eq!(admission, Admission::Seen(AttemptState::Barred));
}

#[test]
fn attempt_for_other_boot_is_stale() {
    let mut attempts = AttemptRegistry::new(BOOT, 10);
    let admission = attempts.admit(AttemptId::new(1), BootId::new(4));
    assert_eq!(admission, Admission::StaleEpoch);
    assert!(!attempts.bar(AttemptId::new(1), BootId::new(4)));
}

#[test]
fn full_registry_advances_epoch() {
    let mut attempts = AttemptRegistry::new(BOOT, 3);
    assert!(attempts.bar(AttemptId::new(1), BOOT));
    for number in 2..10 {
        let epoch = attempts.epoch();
        attempts.admit(AttemptId::new(number), epoch);
        attempts.set_state(AttemptId::new(number), AttemptState::Ended);
    }
    assert!(attempts.epoch_advances() > 0);
    assert_eq!(attempts.state(AttemptId::new(1)), None);
    assert_eq!(
        attempts.admit(AttemptId::new(1), BOOT),
        Admission::StaleEpoch
    );
}

#[test]
fn waiting_attempts_survive_epoch_advance() {
    let mut attempts = AttemptRegistry::new(BOOT, 2);
    attempts.admit(AttemptId::new(1), BOOT);
    attempts.bar(AttemptId::new(2), BOOT);
    attempts.bar(AttemptId::new(3), BOOT);
    assert!(attempts.epoch() > BOOT);
    assert_eq!(
        attempts.state(AttemptId::new(1)),
        Some(AttemptState::Waiting)
    );
}
