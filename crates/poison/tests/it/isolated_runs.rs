//! Isolated execution of suspects.

use lentil_core::{AttemptId, Time};
use lentil_poison::{Action, Event, Quarantine, QueuedSuspect};

const NOW: Time = Time::ZERO;

fn suspect(number: u128, strikes: u32) -> Event {
    Event::Suspect(QueuedSuspect {
        attempt: AttemptId::new(number),
        strikes,
        expires: Time::from_us(1_000),
    })
}

#[test]
fn waits_for_an_empty_endpoint() {
    let mut quarantine = Quarantine::new(4);
    quarantine.on(NOW, Event::Running(2));
    assert_eq!(quarantine.on(NOW, suspect(1, 1)), [Action::PauseOthers]);
    assert!(quarantine.on(NOW, Event::Running(1)).is_empty());
    let run = Action::RunAlone(AttemptId::new(1));
    assert_eq!(quarantine.on(NOW, Event::Running(0)), [run]);
    let ended = quarantine.on(NOW, Event::Ended(AttemptId::new(1)));
    assert_eq!(ended, [Action::ResumeOthers]);
}

#[test]
fn fewest_strikes_run_first() {
    let mut quarantine = Quarantine::new(4);
    quarantine.on(NOW, Event::Running(1));
    quarantine.on(NOW, suspect(1, 2));
    quarantine.on(NOW, suspect(2, 1));
    let first = quarantine.on(NOW, Event::Running(0));
    assert_eq!(first, [Action::RunAlone(AttemptId::new(2))]);
    let second = quarantine.on(NOW, Event::Ended(AttemptId::new(2)));
    assert_eq!(second, [Action::RunAlone(AttemptId::new(1))]);
}

#[test]
fn queue_is_bounded() {
    let mut quarantine = Quarantine::new(1);
    quarantine.on(NOW, Event::Running(1));
    quarantine.on(NOW, suspect(1, 1));
    let refused = quarantine.on(NOW, suspect(2, 1));
    assert_eq!(refused, [Action::Refuse(AttemptId::new(2))]);
    let expired = quarantine.on(Time::from_us(1_000), Event::Tick);
    assert_eq!(
        expired,
        [Action::Refuse(AttemptId::new(1)), Action::ResumeOthers]
    );
    assert_eq!(quarantine.refused(), 2);
}
