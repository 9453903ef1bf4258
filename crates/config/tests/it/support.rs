//! Builders for test data, and an in-memory log.

use lentil_config::{
    Change, ChangeRecord, Checkpoint, ConfigurationFile, EntryBody, Page, Peer, Preset,
    encode_record,
};
use lentil_core::{ConfigVersion, Offset};
use proptest::test_runner::{Config, RngSeed};

const PAGE_MAX: usize = 16;

/// A test configuration with this number of cases and a fixed seed.
pub(crate) fn cases(count: u32) -> Config {
    Config {
        cases: count,
        rng_seed: RngSeed::Fixed(lentil_scenario::seed()),
        ..Config::default()
    }
}

/// Presets `ordinary` (in force), `peak` and `maintenance`.
pub(crate) fn first_file() -> ConfigurationFile {
    let names = ["ordinary", "peak", "maintenance"];
    let preset = |name: &str| (name.parse().unwrap(), Preset::default());
    ConfigurationFile {
        in_force: "ordinary".parse().unwrap(),
        presets: names.into_iter().map(preset).collect(),
        organisations: std::collections::BTreeMap::new(),
        zones_out: Vec::new(),
        endpoints_out: Vec::new(),
        old_system: None,
    }
}

pub(crate) fn record(id: &str, base: u64, change: Change) -> ChangeRecord {
    ChangeRecord {
        id: id.to_owned(),
        base: ConfigVersion::new(base),
        by: id.to_owned(),
        why: "test".to_owned(),
        at_unix_ms: 0,
        change,
    }
}

pub(crate) fn bytes(id: &str, base: u64, change: Change) -> Vec<u8> {
    encode_record(EntryBody::Change(record(id, base, change))).unwrap()
}

pub(crate) fn checkpoint(checkpoint: Checkpoint) -> Vec<u8> {
    encode_record(EntryBody::Checkpoint(checkpoint)).unwrap()
}

pub(crate) fn peer(zone: &str, number: usize) -> Peer {
    Peer {
        name: format!("{zone}-{number}").parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "kyushu-north".parse().unwrap(),
        address: String::new(),
    }
}

/// An in-memory log that can drop its oldest records.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemoryLog {
    pub(crate) start: u64,
    pub(crate) records: Vec<Vec<u8>>,
}

impl MemoryLog {
    pub(crate) fn end(&self) -> u64 {
        u64::try_from(self.records.len()).unwrap()
    }

    pub(crate) fn append(&mut self, bytes: Vec<u8>) -> u64 {
        self.records.push(bytes);
        self.end() - 1
    }

    pub(crate) fn drop_before(&mut self, start: u64) {
        self.start = self.start.max(start.min(self.end()));
    }

    pub(crate) fn read(&self, from: Offset) -> Page {
        let from = from.get().max(self.start).min(self.end());
        let records: Vec<_> = (from..self.end())
            .zip(self.records.iter().skip(usize::try_from(from).unwrap()))
            .take(PAGE_MAX)
            .map(|(offset, bytes)| (Offset::new(offset), bytes.clone()))
            .collect();
        Page {
            start: Offset::new(self.start),
            from: Offset::new(from),
            next: Offset::new(from + u64::try_from(records.len()).unwrap()),
            end: Offset::new(self.end()),
            records,
        }
    }
}
