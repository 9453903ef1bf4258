//! All readers derive the same versions from the log, whatever offset they start at.

use std::collections::BTreeMap;

use lentil_config::{
    Change, ConfigLedger, ConfigSync, ConfigSyncLimits, ConfigurationFile, RecordOutcome,
    SyncAction, SyncEvent, Update,
};
use lentil_core::{Offset, Span, Time};
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::{collection, proptest};

use crate::one_preset::changes;
use crate::support::{MemoryLog, bytes, cases, checkpoint, first_file, peer};

#[derive(Debug, Clone)]
enum Step {
    /// Publish a change whose base is this many versions older than the newest.
    Publish(u64, Change),
    Checkpoint,
    /// Append a checkpoint that is older than the newest one.
    LateCheckpoint,
    /// Append bytes that are not a record of this stream.
    Garbage,
    /// Append the last record again, as a publisher does if the result of its append is
    /// unknown.
    Duplicate,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (prop_oneof![4 => Just(0_u64), 1 => 1..4_u64], changes())
            .prop_map(|(lag, change)| Step::Publish(lag, change)),
        2 => Just(Step::Checkpoint),
        1 => Just(Step::LateCheckpoint),
        1 => Just(Step::Garbage),
        1 => Just(Step::Duplicate),
    ];
    collection::vec(step, 1..60)
}

type Versions = BTreeMap<u64, ConfigurationFile>;

fn record_version(versions: &mut Versions, ledger: &ConfigLedger) {
    let Some(in_force) = ledger.in_force() else {
        return;
    };
    let file = ConfigurationFile::from(&in_force.configuration);
    let before = versions.insert(in_force.version.get(), file.clone());
    assert!(
        before.is_none_or(|before| before == file),
        "the content of a version must not change"
    );
}

/// Writes a log and returns its versions.
fn write_log(steps: &[Step]) -> (MemoryLog, Versions) {
    let mut log = MemoryLog::default();
    let mut ledger = ConfigLedger::default();
    let mut versions = Versions::new();
    let mut late = None;
    log.append(bytes("first", 0, Change::Replace(first_file())));
    for (number, step) in steps.iter().enumerate() {
        for (offset, record) in log.read(ledger.next_offset()).records {
            let before = ledger.version();
            ledger.apply_record(offset, &record);
            assert!(ledger.version() >= before);
            record_version(&mut versions, &ledger);
        }
        if late.is_none() || matches!(step, Step::Checkpoint) {
            late = ledger.checkpoint();
        }
        let record = match step {
            Step::Publish(lag, change) => {
                let base = ledger.version().get().saturating_sub(*lag);
                bytes(&format!("r{number}"), base, change.clone())
            }
            Step::Checkpoint => checkpoint(ledger.checkpoint().unwrap()),
            Step::LateCheckpoint => checkpoint(late.clone().unwrap()),
            Step::Garbage => b"{\"format\":0}".to_vec(),
            Step::Duplicate => log.records.last().cloned().unwrap(),
        };
        log.append(record);
    }
    for (offset, record) in log.read(ledger.next_offset()).records {
        ledger.apply_record(offset, &record);
        record_version(&mut versions, &ledger);
    }
    (log, versions)
}

/// Reads the log from its oldest record with a process that has no peers.
fn read_alone(log: &MemoryLog, mut on_read: impl FnMut(&ConfigLedger)) -> ConfigLedger {
    let mut now = Time::ZERO;
    let mut control = ConfigSync::new(now, peer("kurume-a", 1), 1, ConfigSyncLimits::default());
    for _ in 0..40 {
        now = now + Span::from_ms(500);
        for action in control.on(now, SyncEvent::Tick) {
            if let SyncAction::ReadLog(from) = action {
                control.on(now, SyncEvent::Page(log.read(from)));
                on_read(control.ledger());
            }
        }
    }
    control.ledger().clone()
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn late_reader_agrees(steps in steps(), start in 0_u64..60) {
        let (mut log, versions) = write_log(&steps);
        log.drop_before(start);
        let ledger = read_alone(&log, |ledger| {
            let Some(in_force) = ledger.in_force() else { return };
            let file = ConfigurationFile::from(&in_force.configuration);
            assert_eq!(versions.get(&in_force.version.get()), Some(&file));
        });
        if ledger.in_force().is_some() {
            assert_eq!(Some(ledger.version().get()), versions.keys().last().copied());
        } else {
            assert!(log.start > 0, "a complete log must give a configuration");
        }
    }

    #[test]
    fn peer_catches_up(steps in steps(), known in 0_usize..60, offset in any::<bool>()) {
        let (log, versions) = write_log(&steps);
        let mut ahead = ConfigLedger::default();
        let mut behind = ConfigLedger::default();
        for (number, record) in log.records.iter().enumerate() {
            let offset = Offset::new(u64::try_from(number).unwrap());
            ahead.apply_record(offset, record);
            if number < known {
                behind.apply_record(offset, record);
            }
        }
        if offset {
            // An update from a peer that is behind never decreases the version.
            let before = ahead.digest();
            let old = behind.checkpoint().map(|old| Update::Checkpoint(Box::new(old)));
            ahead.apply_update(behind.digest(), old);
            assert_eq!(ahead.digest(), before);
        }
        let update = ahead.update_since(behind.version());
        behind.apply_update(ahead.digest(), update);
        assert_eq!(behind.digest(), ahead.digest());
        let file = ConfigurationFile::from(&behind.in_force().unwrap().configuration);
        assert_eq!(versions.get(&behind.version().get()), Some(&file));
    }
}

#[test]
fn first_of_racing_changes_wins() {
    let mut ledger = ConfigLedger::default();
    let use_preset = |name: &str| Change::UsePreset(name.parse().unwrap());
    ledger.apply_record(
        Offset::new(0),
        &bytes("first", 0, Change::Replace(first_file())),
    );
    let winner = ledger.apply_record(Offset::new(1), &bytes("a", 1, use_preset("peak")));
    let loser = ledger.apply_record(Offset::new(2), &bytes("b", 1, use_preset("maintenance")));
    assert_eq!(
        winner,
        RecordOutcome::Accepted(2_u64.to_string().parse().unwrap())
    );
    assert!(matches!(loser, RecordOutcome::Stale { .. }));
    assert_eq!(ledger.in_force().unwrap().by, "a");
}

#[test]
fn newer_format_is_not_skipped() {
    let mut ledger = ConfigLedger::default();
    ledger.apply_record(
        Offset::new(0),
        &bytes("first", 0, Change::Replace(first_file())),
    );
    let verdict = ledger.apply_record(Offset::new(1), b"{\"format\":2,\"body\":{\"quorum\":3}}");
    assert_eq!(verdict, RecordOutcome::NewerFormat(2));
    assert_eq!(ledger.next_offset(), Offset::new(1));
}
