//! What a holder does as time passes.

use lentil_core::{EndpointId, Span, Time};

use super::ClaimHolder;
use crate::claim_table::RecordEffect;
use crate::event::Action;
use crate::hold::{Pending, Stage, Step};
use crate::record::Record;

/// How many times a claim's lease an observer waits before it declares the
/// claim expired; above one, since the holder renews at half its lease.
const EXPIRY_LEASES: u64 = 2;

impl ClaimHolder {
    pub(super) fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.drop_silent(now);
        let retry = self.settings.retry_interval;
        if let Stage::Claiming(pending) = &mut self.stage {
            actions.extend(pending.repeat(now, retry));
        }
        actions.extend(self.renew(now));
        actions.extend(self.advance(now));
        actions
    }

    fn renew(&mut self, now: Time) -> Option<Action> {
        let half = Span::from_us(self.settings.lease.as_us() / 2);
        let endpoint = self.endpoint.clone();
        let retry = self.settings.retry_interval;
        let Stage::Holding(hold) = &mut self.stage else {
            return None;
        };
        if let Some(renewal) = &mut hold.renewal {
            return renewal.repeat(now, retry);
        }
        let due = hold.lease_until - half;
        if !due.has_passed(now) || matches!(hold.step, Step::Finishing(_)) {
            return None;
        }
        hold.renewals += 1;
        let record = Record::Renewed {
            endpoint,
            number: hold.number,
            sequence: hold.renewals,
        };
        hold.renewal = Some(Pending {
            record: record.clone(),
            first_sent: now,
            retry_at: now + retry,
        });
        Some(Action::Append(record))
    }

    fn advance(&mut self, now: Time) -> Option<Action> {
        let waited = self.orders_from.is_some_and(|from| from.has_passed(now));
        let may_order = waited && self.in_flight.is_none();
        let retry = self.settings.retry_interval;
        let Stage::Holding(hold) = &mut self.stage else {
            return None;
        };
        match &mut hold.step {
            Step::Waiting => {
                if !may_order || !self.claim_table.may_fetch(&self.endpoint, hold.number) {
                    return None;
                }
            }
            Step::Ordered => return None,
            Step::Asking { retry_at: due } | Step::Loading { ask_at: due } => {
                if !due.has_passed(now) {
                    return None;
                }
            }
            Step::Finishing(pending) => return pending.repeat(now, retry),
        }
        hold.step = Step::Asking {
            retry_at: now + retry,
        };
        Some(Action::QueryStatus)
    }

    pub(super) fn watch_other(&mut self, now: Time, record: &Record, verdict: RecordEffect) {
        let lease = self.settings.lease;
        let patience = lease.times(EXPIRY_LEASES) + self.jitter(record.endpoint());
        self.watch.note(now + patience, record, verdict);
    }

    /// Spreads observers over a lease, so that one record ends a silent claim.
    fn jitter(&self, other: &EndpointId) -> Span {
        let names = format!("{} {other}", self.endpoint);
        let lease_us = self.settings.lease.as_us().max(1);
        Span::from_us(xxhash_rust::xxh3::xxh3_64(names.as_bytes()) % lease_us)
    }

    /// Ends a claim that stands in this endpoint's way without a sign of life.
    fn drop_silent(&mut self, now: Time) -> Vec<Action> {
        let waits = match &self.stage {
            Stage::Holding(hold) => matches!(hold.step, Step::Waiting),
            _ => false,
        };
        if !waits {
            return Vec::new();
        }
        let silent = self.watch.silent(now, now + self.settings.retry_interval);
        self.counters.expired += u64::from(silent.is_some());
        silent.map(Action::Append).into_iter().collect()
    }
}
