//! A publisher reports the correct outcome even if answers of the log are lost.

use lentil_config::{
    AppendResult, Change, ConfigLedger, PublishAction, PublishEvent, PublishOutcome, Publisher,
};
use lentil_core::{Offset, Span, Time};
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::{collection, proptest};

use crate::support::{MemoryLog, bytes, cases, first_file, record};

#[derive(Debug, Clone, Copy)]
enum Fault {
    None,
    /// The log performs the operation, but its answer is lost.
    LostAnswer,
    /// The log does not perform the operation, and the publisher gets no answer.
    LostRequest,
    Failed,
    /// Another operator's change is appended first.
    Race,
}

fn faults() -> impl Strategy<Value = Vec<Fault>> {
    let fault = prop_oneof![
        2 => Just(Fault::None),
        2 => Just(Fault::LostAnswer),
        1 => Just(Fault::LostRequest),
        1 => Just(Fault::Failed),
        1 => Just(Fault::Race),
    ];
    collection::vec(fault, 0..12)
}

fn append_competing_change(log: &mut MemoryLog) {
    let version = read_log(log).version().get();
    log.append(bytes(
        "other",
        version,
        Change::OldSystemShare(1.into_permille()),
    ));
}

trait IntoPermille {
    fn into_permille(self) -> lentil_core::Permille;
}

impl IntoPermille for u32 {
    fn into_permille(self) -> lentil_core::Permille {
        lentil_core::Permille::new(self)
    }
}

fn read_log(log: &MemoryLog) -> ConfigLedger {
    let mut ledger = ConfigLedger::default();
    for (number, record) in log.records.iter().enumerate() {
        ledger.apply_record(Offset::new(u64::try_from(number).unwrap()), record);
    }
    ledger
}

fn publish(faults: &[Fault]) -> (PublishOutcome, MemoryLog) {
    let mut log = MemoryLog::default();
    log.append(bytes("first", 0, Change::Replace(first_file())));
    let mut now = Time::ZERO;
    let change = Change::UsePreset("peak".parse().unwrap());
    let deadline = now + Span::from_s(20);
    let mut publisher = Publisher::new(now, record("mine", 0, change), None, deadline);
    let mut faults = faults.iter().copied();
    let mut actions = publisher.on(now, PublishEvent::Tick);
    loop {
        now = now + Span::from_ms(50);
        let Some(action) = actions.pop() else {
            actions = publisher.on(now, PublishEvent::Tick);
            continue;
        };
        let fault = faults.next().unwrap_or(Fault::None);
        if matches!(fault, Fault::Race) {
            append_competing_change(&mut log);
        }
        let event = match (action, fault) {
            (PublishAction::Finish(outcome), _) => return (outcome, log),
            (PublishAction::ReadLog(from), Fault::None | Fault::Race) => {
                PublishEvent::Page(log.read(from))
            }
            (PublishAction::ReadLog(_), _) => PublishEvent::ReadFailed,
            (PublishAction::Append(bytes), Fault::None | Fault::Race) => {
                let offset = log.append(bytes);
                PublishEvent::Append(AppendResult::Appended(Offset::new(offset)))
            }
            (PublishAction::Append(bytes), Fault::LostAnswer) => {
                log.append(bytes);
                PublishEvent::Append(AppendResult::Unknown)
            }
            (PublishAction::Append(_), Fault::LostRequest) => {
                PublishEvent::Append(AppendResult::Unknown)
            }
            (PublishAction::Append(_), Fault::Failed) => PublishEvent::Append(AppendResult::Failed),
        };
        actions = publisher.on(now, event);
    }
}

proptest! {
    #![proptest_config(cases(512))]

    #[test]
    fn reported_outcome_matches_log(faults in faults()) {
        let (outcome, log) = publish(&faults);
        let ledger = read_log(&log);
        let own_versions: Vec<_> = ledger
            .history()
            .filter(|accepted| accepted.record.id == "mine")
            .map(|accepted| accepted.version)
            .collect();
        match outcome {
            PublishOutcome::Accepted(version) => assert_eq!(own_versions, [version]),
            PublishOutcome::Superseded { .. } | PublishOutcome::NotAppended =>
                assert!(own_versions.is_empty()),
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn unresponsive_log_ends_unappended() {
    let deadline = Time::ZERO + Span::from_s(5);
    let change = Change::UsePreset("peak".parse().unwrap());
    let mut publisher = Publisher::new(Time::ZERO, record("mine", 0, change), None, deadline);
    let read = publisher.on(Time::ZERO, PublishEvent::Tick);
    assert_eq!(read, [PublishAction::ReadLog(Offset::new(0))]);
    let end = publisher.on(deadline, PublishEvent::Tick);
    assert_eq!(end, [PublishAction::Finish(PublishOutcome::NotAppended)]);
}
