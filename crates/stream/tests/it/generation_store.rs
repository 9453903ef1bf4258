//! All generations of an agent.

use lentil_core::{BootId, Fingerprint, GenerationId, RequestKey, Span, Time, TokenIndex};
use lentil_stream::{
    EngineCommand, GenerationEnd, GenerationStore, GenerationStoreError, Limits, ReadResult,
    Retention,
};

const START: Time = Time::ZERO;

fn journals(generations_max: usize, tokens_max_bytes: usize) -> GenerationStore {
    GenerationStore::new(Limits {
        generations_max,
        tokens_max_bytes,
        hold: Span::from_s(10),
    })
}

fn id(number: u64) -> GenerationId {
    GenerationId {
        endpoint: "pool-1".parse().unwrap(),
        boot: BootId::new(1),
        number,
    }
}

fn open(journals: &mut GenerationStore, number: u64) {
    journals
        .open(START, &id(number), None, TokenIndex::new(0))
        .unwrap();
}

#[test]
fn same_key_finds_its_generation() {
    let mut held = journals(4, 1000);
    let key = RequestKey::new("tanaka".parse().unwrap(), "report").unwrap();
    let body = Fingerprint::new(1);
    held.open(START, &id(1), Some((key.clone(), body)), TokenIndex::new(0))
        .unwrap();
    assert_eq!(held.find_by_key(&key, body), Ok(Some(&id(1))));
    assert_eq!(
        held.find_by_key(&key, Fingerprint::new(2)),
        Err(GenerationStoreError::KeyConflict)
    );
    held.finish(START, &id(1), GenerationEnd::Finished("stop".into()));
    held.expire(START + Span::from_s(10));
    assert_eq!(held.find_by_key(&key, body), Ok(None));
}

#[test]
fn unread_generation_is_cancelled() {
    let mut held = journals(4, 1000);
    open(&mut held, 1);
    held.attach_reader(&id(1));
    assert_eq!(held.retention(&id(1)), Some(Retention::InUse));
    assert!(held.expire(START + Span::from_s(60)).is_empty());
    held.detach_reader(START + Span::from_s(60), &id(1));
    assert!(held.expire(START + Span::from_s(69)).is_empty());
    let orders = held.expire(START + Span::from_s(70));
    assert_eq!(orders, [EngineCommand::Cancel(id(1))]);
    assert!(held.is_empty());
}

#[test]
fn places_are_bounded() {
    let mut held = journals(2, 1000);
    open(&mut held, 1);
    open(&mut held, 2);
    let refused = held.open(START, &id(3), None, TokenIndex::new(0));
    assert_eq!(refused, Err(GenerationStoreError::Full));
    held.finish(START, &id(1), GenerationEnd::Cancelled);
    open(&mut held, 3);
    assert_eq!(held.read(&id(1), TokenIndex::new(0), 1), ReadResult::Gone);
    assert_eq!(held.counters().dropped_early, 1);
}

#[test]
fn memory_is_bounded() {
    let mut held = journals(4, 100);
    open(&mut held, 1);
    let long = "x".repeat(60);
    let push = |held: &mut GenerationStore, index| {
        held.push(START, &id(1), TokenIndex::new(index), &long)
            .unwrap()
    };
    assert_eq!(push(&mut held, 0), None);
    assert_eq!(push(&mut held, 1), Some(EngineCommand::Cancel(id(1))));
    assert_eq!(
        held.read(&id(1), TokenIndex::new(2), 1),
        ReadResult::Ended(GenerationEnd::Overflow)
    );
    assert_eq!(held.counters().overflowed, 1);
}
