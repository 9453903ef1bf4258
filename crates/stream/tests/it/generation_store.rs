//! Limits, expiry and lookup of held generations.

use lentil_core::{BootId, Fingerprint, GenerationId, RequestKey, Span, Time, TokenIndex};
use lentil_stream::{
    EngineCommand, GenerationEnd, GenerationStore, GenerationStoreError, Limits, ReadResult,
    Retention,
};

const START: Time = Time::ZERO;

fn store_with_limits(generations_max: usize, tokens_max_bytes: usize) -> GenerationStore {
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

fn open(store: &mut GenerationStore, number: u64) {
    store
        .open(START, &id(number), None, TokenIndex::new(0))
        .unwrap();
}

#[test]
fn same_key_finds_held_generation() {
    let mut store = store_with_limits(4, 1000);
    let key = RequestKey::new("tanaka".parse().unwrap(), "report").unwrap();
    let body = Fingerprint::new(1);
    store
        .open(START, &id(1), Some((key.clone(), body)), TokenIndex::new(0))
        .unwrap();
    assert_eq!(store.find_by_key(&key, body), Ok(Some(&id(1))));
    assert_eq!(
        store.find_by_key(&key, Fingerprint::new(2)),
        Err(GenerationStoreError::KeyConflict)
    );
    store.finish(START, &id(1), GenerationEnd::Finished("stop".into()));
    store.expire(START + Span::from_s(10));
    assert_eq!(store.find_by_key(&key, body), Ok(None));
}

#[test]
fn generation_without_readers_is_cancelled() {
    let mut store = store_with_limits(4, 1000);
    open(&mut store, 1);
    store.attach_reader(&id(1));
    assert_eq!(store.retention(&id(1)), Some(Retention::InUse));
    assert!(store.expire(START + Span::from_s(60)).is_empty());
    store.detach_reader(START + Span::from_s(60), &id(1));
    assert!(store.expire(START + Span::from_s(69)).is_empty());
    let commands = store.expire(START + Span::from_s(70));
    assert_eq!(commands, [EngineCommand::Cancel(id(1))]);
    assert!(store.is_empty());
}

#[test]
fn generation_count_is_bounded() {
    let mut store = store_with_limits(2, 1000);
    open(&mut store, 1);
    open(&mut store, 2);
    let refused = store.open(START, &id(3), None, TokenIndex::new(0));
    assert_eq!(refused, Err(GenerationStoreError::Full));
    store.finish(START, &id(1), GenerationEnd::Cancelled);
    open(&mut store, 3);
    assert_eq!(store.read(&id(1), TokenIndex::new(0), 1), ReadResult::Gone);
    assert_eq!(store.counters().dropped_early, 1);
}

#[test]
fn token_memory_is_bounded() {
    let mut store = store_with_limits(4, 100);
    open(&mut store, 1);
    let long = "x".repeat(60);
    let push = |store: &mut GenerationStore, index| {
        store
            .push(START, &id(1), TokenIndex::new(index), &long)
            .unwrap()
    };
    assert_eq!(push(&mut store, 0), None);
    assert_eq!(push(&mut store, 1), Some(EngineCommand::Cancel(id(1))));
    assert_eq!(
        store.read(&id(1), TokenIndex::new(2), 1),
        ReadResult::Ended(GenerationEnd::Overflow)
    );
    assert_eq!(store.counters().overflowed, 1);
}
