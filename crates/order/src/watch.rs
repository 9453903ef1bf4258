//! Claims of other endpoints, and when they count as silent.

use std::collections::BTreeMap;

use lentil_core::{EndpointId, FenceNumber, Time};

use crate::claim_table::RecordEffect;
use crate::record::Record;

/// Running claims of other endpoints; as many as the ledger has.
#[derive(Debug, Default)]
pub(crate) struct Watch {
    silent_from: BTreeMap<EndpointId, (FenceNumber, Time)>,
}

impl Watch {
    /// Notes a record of another endpoint, whose claim is silent from then on.
    pub(crate) fn note(&mut self, silent_from: Time, record: &Record, verdict: RecordEffect) {
        let endpoint = record.endpoint();
        let sign = match (record, verdict) {
            (_, RecordEffect::Granted(number)) => Some(number),
            (Record::Renewed { number, .. }, RecordEffect::Applied) => Some(*number),
            (_, RecordEffect::Applied) => None,
            (_, RecordEffect::Refused(_) | RecordEffect::NoEffect) => return,
        };
        match sign {
            Some(number) => self
                .silent_from
                .insert(endpoint.clone(), (number, silent_from)),
            None => self.silent_from.remove(endpoint),
        };
    }

    /// The record that ends a silent claim; it is given again after `again_at`.
    pub(crate) fn silent(&mut self, now: Time, again_at: Time) -> Option<Record> {
        let mut claims = self.silent_from.iter_mut();
        let (endpoint, (number, silent_from)) = claims.find(|(_, (_, at))| at.has_passed(now))?;
        *silent_from = again_at;
        Some(Record::Dropped {
            endpoint: endpoint.clone(),
            number: *number,
        })
    }
}
