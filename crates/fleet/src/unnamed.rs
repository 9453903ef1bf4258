//! Records of services that no configuration names yet.

use std::collections::BTreeMap;

use lentil_catalog::Catalog;
use lentil_core::{EndpointId, Time};

use crate::endpoint::EndpointRecord;

/// Most records that are kept. Any writer of the list may leave some.
const RECORDS_MAX: usize = 1_024;

/// A record and when it was read.
#[derive(Debug, Clone)]
struct Held {
    record: EndpointRecord,
    read_at: Time,
}

/// Records that name no endpoint to use. They count from when a configuration names their
/// service.
#[derive(Debug, Clone, Default)]
pub(crate) struct UnnamedRecords {
    records: BTreeMap<EndpointId, Held>,
}

impl UnnamedRecords {
    /// Keeps a record. The record that was read first is dropped if there are too many;
    /// an endpoint's is read again when the endpoint renews it.
    pub(crate) fn insert(&mut self, now: Time, record: EndpointRecord) {
        let held = Held {
            record,
            read_at: now,
        };
        self.records.insert(held.record.endpoint.clone(), held);
        if self.records.len() > RECORDS_MAX {
            let records = self.records.iter();
            let oldest = records.min_by_key(|(_, held)| held.read_at);
            let oldest = oldest.map(|(id, _)| id.clone());
            oldest.and_then(|id| self.records.remove(&id));
        }
    }

    pub(crate) fn remove(&mut self, id: &EndpointId) {
        self.records.remove(id);
    }

    pub(crate) fn retain(&mut self, is_listed: impl Fn(&EndpointId) -> bool) {
        self.records.retain(|id, _| is_listed(id));
    }

    /// Takes the records whose service the configuration names.
    pub(crate) fn take_named(&mut self, now: Time, catalog: &Catalog) -> Vec<EndpointRecord> {
        let is_named =
            |_: &EndpointId, held: &mut Held| catalog.service(&held.record.service).is_some();
        let named = self.records.extract_if(.., is_named);
        named
            .map(|(_, held)| {
                let cold_until = held.read_at + held.record.cold_remaining;
                EndpointRecord {
                    cold_remaining: cold_until.since(now),
                    ..held.record
                }
            })
            .collect()
    }
}
