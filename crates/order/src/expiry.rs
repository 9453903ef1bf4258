//! Tracks when the claims of other endpoints expire.

use std::collections::BTreeMap;

use lentil_core::{EndpointId, FenceNumber, Time};

use crate::claim_table::RecordEffect;
use crate::record::Record;

/// The running claims of other endpoints; bounded by the size of the claim table.
#[derive(Debug, Default)]
pub(crate) struct ExpiryTracker {
    expires_at: BTreeMap<EndpointId, (FenceNumber, Time)>,
}

impl ExpiryTracker {
    /// Tracks a record of another endpoint. Without a further record, its claim
    /// expires at `expires_at`.
    pub(crate) fn track(&mut self, expires_at: Time, record: &Record, effect: RecordEffect) {
        let endpoint = record.endpoint();
        let live_number = match (record, effect) {
            (_, RecordEffect::Granted(number)) => Some(number),
            (Record::Renewed { number, .. }, RecordEffect::Applied) => Some(*number),
            (_, RecordEffect::Applied) => None,
            (_, RecordEffect::Refused(_) | RecordEffect::NoEffect) => return,
        };
        match live_number {
            Some(number) => self
                .expires_at
                .insert(endpoint.clone(), (number, expires_at)),
            None => self.expires_at.remove(endpoint),
        };
    }

    /// Returns the record that drops an expired claim. It is returned again after
    /// `retry_at` unless the stream shows its effect.
    pub(crate) fn next_expired(&mut self, now: Time, retry_at: Time) -> Option<Record> {
        let mut claims = self.expires_at.iter_mut();
        let (endpoint, (number, expires_at)) = claims.find(|(_, (_, at))| at.has_passed(now))?;
        *expires_at = retry_at;
        Some(Record::Dropped {
            endpoint: endpoint.clone(),
            number: *number,
        })
    }
}
