//! A reader that switches between the log and relays ends up with what the log holds.

use std::collections::BTreeMap;

use bytes::Bytes;
use lentil_core::{Offset, Span, StoreEra, Time};
use lentil_feed::{
    CacheError, KeyedRecord, LogTopic, Position, RESTORE_TIME, ReadProgress, RecordPage,
    RestoreWatch, TopicCache,
};
use proptest::prelude::*;

fn record(offset: u64, key: u8, value: Option<u8>) -> KeyedRecord {
    KeyedRecord {
        offset: Offset::new(offset),
        key: format!("k{key}"),
        value: value.map(|value| Bytes::copy_from_slice(&[value])),
    }
}

fn at(era: u64, offset: u64) -> Position {
    Position::new(StoreEra::new(era), Offset::new(offset))
}

fn page(records: Vec<KeyedRecord>, next: u64, is_snapshot: bool) -> RecordPage {
    RecordPage {
        records,
        next: at(0, next),
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
    let offset = page.records[length].offset;
    RecordPage {
        records: page.records[..length].to_vec(),
        next: Position::new(page.next.era, offset),
        confirmed_at: None,
        ..page
    }
}

/// The newest value of a key; `None` if it was deleted or never written.
type Value = Option<u8>;

/// The log: a list of records, of which the oldest may be deleted. It may come back from an older
/// copy; its writers then write again what it has lost.
struct Log {
    era: u64,
    records: Vec<KeyedRecord>,
    first: usize,
    /// The newest records at each end of the log in each era.
    history: BTreeMap<(u64, usize), BTreeMap<String, KeyedRecord>>,
    /// What was written at which time, by key, whether it was lost or not.
    written: BTreeMap<u8, Vec<(Time, Value)>>,
    /// Keys whose newest value was lost, and when it is written again at the latest.
    lost: BTreeMap<u8, Time>,
    /// The era whose restore is over, as a process has written it.
    restored: StoreEra,
}

impl Log {
    fn new() -> Self {
        Self {
            era: 0,
            records: Vec::new(),
            first: 0,
            history: BTreeMap::from([((0, 0), BTreeMap::new())]),
            written: BTreeMap::new(),
            lost: BTreeMap::new(),
            restored: StoreEra::default(),
        }
    }

    fn era(&self) -> StoreEra {
        StoreEra::new(self.era)
    }

    /// Returns after it was away, when its writers could not write.
    fn return_at(&mut self, now: Time) {
        for until in self.lost.values_mut() {
            *until = now + RESTORE_TIME;
        }
    }

    fn write(&mut self, now: Time, key: u8, value: Value) {
        self.written.entry(key).or_default().push((now, value));
        self.append(key, value);
    }

    fn append(&mut self, key: u8, value: Value) {
        self.lost.remove(&key);
        let offset = u64::try_from(self.records.len()).unwrap();
        self.records.push(record(offset, key, value));
        let end = (self.era, self.records.len());
        self.history.insert(end, self.newest());
    }

    /// Comes back without the last records.
    fn restore(&mut self, now: Time, lost: usize) {
        let end = self.records.len().saturating_sub(lost);
        self.era += 1;
        self.records.truncate(end);
        self.first = self.first.min(end);
        self.history.insert((self.era, end), self.newest());
        for (key, values) in &self.written {
            let value = values.last().unwrap().1;
            if self.value(*key) != value {
                self.lost.insert(*key, now + RESTORE_TIME);
            }
        }
    }

    /// Writes lost values again: those that are due, or all.
    fn write_again(&mut self, now: Time, all: bool) {
        let due: Vec<u8> = self
            .lost
            .iter()
            .filter(|(_, until)| all || until.has_passed(now))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            let value = self.written[&key].last().unwrap().1;
            self.append(key, value);
        }
    }

    fn value(&self, key: u8) -> Value {
        value_of(&self.newest(), key)
    }

    fn newest(&self) -> BTreeMap<String, KeyedRecord> {
        let mut newest = BTreeMap::new();
        for record in &self.records {
            newest.insert(record.key.clone(), record.clone());
        }
        newest.retain(|_, record| record.value.is_some());
        newest
    }

    fn read(&self, now: Time, from: Option<Position>) -> RecordPage {
        let end = u64::try_from(self.records.len()).unwrap();
        let from = from.filter(|from| from.era.get() == self.era);
        let from = from.map(|from| usize::try_from(from.offset.get()).unwrap());
        let (records, is_snapshot) = match from {
            Some(from) if from >= self.first => (self.records[from..].to_vec(), false),
            _ => (self.newest().into_values().collect(), true),
        };
        RecordPage {
            next: at(self.era, end),
            confirmed_at: Some(now),
            ..page(records, end, is_snapshot)
        }
    }

    /// The values that a key had at this time or later.
    fn values_since(&self, key: u8, since: Time) -> Vec<Value> {
        let values = self.written.get(&key).map_or(&[][..], Vec::as_slice);
        let mut before = values.iter().filter(|(at, _)| *at <= since);
        let first = before.next_back().and_then(|(_, value)| *value);
        let later = values.iter().filter(|(at, _)| *at > since);
        std::iter::once(first)
            .chain(later.map(|(_, value)| *value))
            .collect()
    }
}

fn value_of(newest: &BTreeMap<String, KeyedRecord>, key: u8) -> Value {
    let record = newest.get(&format!("k{key}"))?;
    record.value.as_ref().map(|value| value[0])
}

/// A reader of a topic, as a gateway is one.
#[derive(Default)]
struct Reader {
    watch: RestoreWatch,
    progress: ReadProgress,
    position: Option<Position>,
    newest: BTreeMap<String, KeyedRecord>,
    confirmed_at: Option<Time>,
}

impl Reader {
    /// A process that starts, and reads whether the restore of the store is over.
    fn start(now: Time, log: &Log) -> Self {
        let mut reader = Self::default();
        reader.watch.record_answer(now, log.era());
        reader.watch.record_restored(now, log.restored);
        reader
    }

    fn next(&self, now: Time) -> Option<Position> {
        self.progress.next(now, &self.watch)
    }

    fn apply(&mut self, asked_at: Time, now: Time, page: RecordPage) {
        self.watch.record_answer(now, page.next.era);
        if let Err(older) = self.progress.record(asked_at, &page, &self.watch) {
            assert!(Some(older.page) < self.position, "{older}");
            return;
        }
        self.confirmed_at = self.confirmed_at.max(self.progress.confirmed_at(&page));
        self.position = Some(page.next);
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
    Restore(usize),
    WriteAgain,
    RelayReads(usize),
    RelayReadsPart(usize, usize),
    ReaderAsksRelay(usize),
    ReaderAsksLog,
    /// The log answers the reader, and the answer arrives after this many milliseconds.
    LogIsSlow(u64),
    Wait(u64),
    /// The store does not answer for this many milliseconds.
    Away(u64),
    /// Another process asks the log, and writes that a restore is over.
    PeerAsksLog,
    /// Another reader takes the place of the reader, after it has read whether the restore is over or
    /// not.
    ReaderStarts(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..5, prop::option::weighted(0.8, any::<u8>()))
            .prop_map(|(key, value)| Step::Append(key, value)),
        1 => Just(Step::DeleteHistory),
        1 => (0_usize..6).prop_map(Step::Restore),
        1 => Just(Step::WriteAgain),
        3 => (0_usize..2).prop_map(Step::RelayReads),
        1 => (0_usize..2, 1_usize..4)
            .prop_map(|(relay, length)| Step::RelayReadsPart(relay, length)),
        3 => (0_usize..2).prop_map(Step::ReaderAsksRelay),
        1 => Just(Step::ReaderAsksLog),
        1 => (1_u64..900).prop_map(Step::LogIsSlow),
        1 => (100_u64..2_500).prop_map(Step::Wait),
        1 => (100_u64..1_500).prop_map(Step::Away),
        2 => Just(Step::PeerAsksLog),
        1 => any::<bool>().prop_map(Step::ReaderStarts),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 10_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(lentil_scenario::seed()),
        ..ProptestConfig::default()
    })]

    /// The reader never goes back, and holds exactly what the log held at the position that it has
    /// read up to. What was written before a confirmation is known to it, although the log may have
    /// lost it meanwhile.
    #[test]
    fn reader_agrees_with_log(steps in prop::collection::vec(step(), 1..120)) {
        let mut log = Log::new();
        let mut relays = [TopicCache::default(), TopicCache::default()];
        let mut reader = Reader::default();
        let mut peer = RestoreWatch::default();
        let mut now = Time::from_us(1_000);
        reader.apply(now, now, log.read(now, None));
        for step in steps {
            now = now + Span::from_ms(20);
            log.write_again(now, false);
            match step {
                Step::Append(key, value) => log.write(now, key, value),
                Step::DeleteHistory => log.first = log.records.len(),
                Step::Restore(lost) => log.restore(now, lost),
                Step::WriteAgain => log.write_again(now, true),
                Step::RelayReads(relay) => {
                    let page = log.read(now, relays[relay].next());
                    relays[relay].apply(page).unwrap();
                }
                Step::RelayReadsPart(relay, length) => {
                    let page = log.read(now, relays[relay].next());
                    relays[relay].apply(part(page, length)).unwrap();
                }
                Step::ReaderAsksRelay(relay) => match relays[relay].read(reader.next(now)) {
                    Ok(page) => reader.apply(now, now, page),
                    Err(CacheError::NotLoaded) => prop_assert!(relays[relay].next().is_none()),
                    Err(error) => prop_assert!(reader.position > relays[relay].next(), "{error}"),
                },
                Step::ReaderAsksLog => {
                    let page = log.read(now, reader.next(now));
                    reader.apply(now, now, page);
                }
                Step::LogIsSlow(ms) => {
                    let asked_at = now;
                    let page = log.read(now, reader.next(now));
                    now = now + Span::from_ms(ms);
                    reader.apply(asked_at, now, page);
                }
                Step::Wait(ms) => now = now + Span::from_ms(ms),
                Step::Away(ms) => {
                    for watch in [&mut reader.watch, &mut peer] {
                        watch.record_failure(now, now);
                    }
                    now = now + Span::from_ms(ms);
                    log.return_at(now);
                }
                Step::PeerAsksLog => {
                    peer.record_answer(now, log.era());
                    if peer.restored_at(log.era()).has_passed(now) {
                        log.restored = log.era();
                    }
                }
                Step::ReaderStarts(reads_record) => {
                    reader = if reads_record {
                        Reader::start(now, &log)
                    } else {
                        Reader::default()
                    };
                    now = now + Span::from_ms(5);
                    reader.apply(now, now, log.read(now, None));
                }
            }
            let position = reader.position.unwrap();
            let end = usize::try_from(position.offset.get()).unwrap();
            prop_assert_eq!(&reader.newest, &log.history[&(position.era.get(), end)]);
            if let Some(confirmed_at) = reader.confirmed_at.filter(|_| !reader.progress.is_restoring()) {
                for key in 0..5 {
                    let value = value_of(&reader.newest, key);
                    let known = log.values_since(key, confirmed_at);
                    prop_assert!(known.contains(&value), "key {key}: {value:?}, not {known:?}");
                }
            }
        }
    }
}

/// What was written again has the offsets of what was lost. Guards against a reader that goes on at
/// its old offset, and a relay that drops pages as older than its copy.
#[test]
fn offsets_given_out_again() {
    let mut cache = TopicCache::default();
    cache
        .apply(page(vec![record(4, 1, Some(1))], 5, true))
        .unwrap();
    let restored = RecordPage {
        next: at(1, 5),
        ..page(vec![record(4, 1, Some(2))], 5, true)
    };
    let continued = cache.apply(RecordPage {
        is_snapshot: false,
        ..restored.clone()
    });
    assert!(
        matches!(continued, Err(CacheError::OtherEra { .. })),
        "{continued:?}"
    );
    cache.apply(restored.clone()).unwrap();
    let read = cache.read(Some(at(0, 5))).unwrap();
    assert_eq!((read.is_snapshot, read.records), (true, restored.records));
    let ahead = cache.read(Some(at(2, 0)));
    assert!(matches!(ahead, Err(CacheError::Behind { .. })), "{ahead:?}");
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
    let behind = cache.read(Some(at(0, 10))).unwrap();
    assert!(behind.is_snapshot);
    assert_eq!(behind.records.len(), 1);
    let near = cache.read(Some(at(0, 4_990))).unwrap();
    assert!(!near.is_snapshot);
    assert_eq!(near.records.len(), 1, "replaced records are left out");
    assert_eq!(near.next, at(0, 5_000));
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
    let ahead = cache.read(Some(at(0, 9)));
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
    let read = cache.read(Some(at(0, 5))).unwrap();
    assert_eq!(read.records, records[1..]);
}
