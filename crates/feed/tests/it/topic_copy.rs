//! A reader that switches between the log and relays ends up with what the log holds.

use std::collections::BTreeMap;

use bytes::Bytes;
use lentil_core::{Offset, Time};
use lentil_feed::{CacheError, KeyedRecord, LogTopic, RecordPage, TopicCache};
use proptest::prelude::*;

fn record(offset: u64, key: u8, value: Option<u8>) -> KeyedRecord {
    KeyedRecord {
        offset: Offset::new(offset),
        key: format!("k{key}"),
        value: value.map(|value| Bytes::copy_from_slice(&[value])),
    }
}

fn page(records: Vec<KeyedRecord>, next: u64, is_snapshot: bool) -> RecordPage {
    RecordPage {
        records,
        next: Offset::new(next),
        is_snapshot,
        confirmed_at: Some(Time::from_us(next)),
        log_failed_at: None,
    }
}

/// The first records of a page, as a response of limited size holds them.
fn part(page: RecordPage, length: usize) -> RecordPage {
    if page.is_snapshot || page.records.len() <= length {
        return page;
    }
    let next = page.records[length].offset;
    RecordPage {
        records: page.records[..length].to_vec(),
        next,
        confirmed_at: None,
        ..page
    }
}

/// The log: a list of records, of which the oldest may be deleted.
#[derive(Default)]
struct Log {
    records: Vec<KeyedRecord>,
    first: usize,
}

impl Log {
    fn append(&mut self, key: u8, value: Option<u8>) {
        let offset = u64::try_from(self.records.len()).unwrap();
        self.records.push(record(offset, key, value));
    }

    fn newest(&self) -> BTreeMap<String, KeyedRecord> {
        let mut newest = BTreeMap::new();
        for record in &self.records {
            newest.insert(record.key.clone(), record.clone());
        }
        newest.retain(|_, record| record.value.is_some());
        newest
    }

    fn read(&self, from: Option<Offset>) -> RecordPage {
        let end = u64::try_from(self.records.len()).unwrap();
        let from = from.map(|from| usize::try_from(from.get()).unwrap());
        match from {
            Some(from) if from >= self.first => page(self.records[from..].to_vec(), end, false),
            _ => page(self.newest().into_values().collect(), end, true),
        }
    }
}

/// A reader of a topic, as a gateway is one.
#[derive(Default)]
struct Reader {
    next: Option<Offset>,
    newest: BTreeMap<String, KeyedRecord>,
}

impl Reader {
    fn apply(&mut self, page: RecordPage) {
        assert!(self.next.is_none_or(|next| page.next >= next));
        self.next = Some(page.next);
        if page.is_snapshot {
            self.newest.clear();
        }
        for record in page.records {
            if record.value.is_some() {
                self.newest.insert(record.key.clone(), record);
            } else {
                self.newest.remove(&record.key);
            }
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    Append(u8, Option<u8>),
    DeleteHistory,
    RelayReads(usize),
    RelayReadsPart(usize, usize),
    ReaderAsksRelay(usize),
    ReaderAsksLog,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..5, prop::option::weighted(0.8, any::<u8>()))
            .prop_map(|(key, value)| Step::Append(key, value)),
        1 => Just(Step::DeleteHistory),
        3 => (0_usize..2).prop_map(Step::RelayReads),
        1 => (0_usize..2, 1_usize..4)
            .prop_map(|(relay, length)| Step::RelayReadsPart(relay, length)),
        3 => (0_usize..2).prop_map(Step::ReaderAsksRelay),
        1 => Just(Step::ReaderAsksLog),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    /// The reader never goes back, and holds exactly what the log held at the offset
    /// that it has read up to.
    #[test]
    fn reader_agrees_with_log(steps in prop::collection::vec(step(), 1..120)) {
        let mut log = Log::default();
        let mut history = vec![BTreeMap::new()];
        let mut relays = [TopicCache::default(), TopicCache::default()];
        let mut reader = Reader::default();
        for step in steps {
            match step {
                Step::Append(key, value) => {
                    log.append(key, value);
                    history.push(log.newest());
                }
                Step::DeleteHistory => log.first = log.records.len(),
                Step::RelayReads(relay) => {
                    let page = log.read(relays[relay].next());
                    relays[relay].apply(page).unwrap();
                }
                Step::RelayReadsPart(relay, length) => {
                    let page = log.read(relays[relay].next());
                    relays[relay].apply(part(page, length)).unwrap();
                }
                Step::ReaderAsksRelay(relay) => match relays[relay].read(reader.next) {
                    Ok(page) => reader.apply(page),
                    Err(CacheError::NotLoaded) => prop_assert!(relays[relay].next().is_none()),
                    Err(error) => prop_assert!(reader.next > relays[relay].next(), "{error}"),
                },
                Step::ReaderAsksLog => reader.apply(log.read(reader.next)),
            }
            let read_up_to = reader.next.map_or(0, |next| usize::try_from(next.get()).unwrap());
            prop_assert_eq!(&reader.newest, &history[read_up_to]);
            // Time is counted in appended records here, so a confirmation is an offset.
            for relay in &relays {
                let read_up_to = Time::from_us(relay.next().map_or(0, Offset::get));
                prop_assert!(relay.confirmed_at() <= read_up_to);
            }
        }
    }
}

/// The copy keeps a bounded number of records; a reader that is too far behind gets the
/// newest record of each key.
#[test]
fn reader_far_behind() {
    let mut cache = TopicCache::default();
    cache.apply(page(Vec::new(), 0, true)).unwrap();
    for offset in 0..5_000 {
        let records = vec![record(offset, 1, Some(1))];
        cache.apply(page(records, offset + 1, false)).unwrap();
    }
    let behind = cache.read(Some(Offset::new(10))).unwrap();
    assert!(behind.is_snapshot);
    assert_eq!(behind.records.len(), 1);
    let near = cache.read(Some(Offset::new(4_990))).unwrap();
    assert!(!near.is_snapshot);
    assert_eq!(near.records.len(), 1, "replaced records are left out");
    assert_eq!(near.next, Offset::new(5_000));
}

/// A page that ends before the copy is dropped.
#[test]
fn older_page() {
    let mut cache = TopicCache::default();
    cache
        .apply(page(vec![record(4, 1, Some(1))], 5, true))
        .unwrap();
    let older = cache.apply(page(Vec::new(), 3, true));
    assert!(matches!(older, Err(CacheError::Older { .. })), "{older:?}");
    assert_eq!(cache.read(None).unwrap().records.len(), 1);
    let ahead = cache.read(Some(Offset::new(9)));
    assert!(matches!(ahead, Err(CacheError::Behind { .. })), "{ahead:?}");
}

/// A reader of endpoints' entries gets a notice although the entry was removed since.
#[test]
fn notice_before_removal() {
    let mut cache = TopicCache::new(LogTopic::Endpoints);
    let records = vec![
        record(4, 1, Some(1)),
        record(5, 1, Some(2)),
        record(6, 1, None),
    ];
    cache.apply(page(records.clone(), 7, false)).unwrap();
    let read = cache.read(Some(Offset::new(5))).unwrap();
    assert_eq!(read.records, records[1..]);
}
