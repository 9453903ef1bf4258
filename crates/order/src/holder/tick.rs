//! Time-driven actions of a claim holder: retries, renewals, queries and expiry.

use lentil_core::{EndpointId, Span, Time};

use super::ClaimHolder;
use crate::claim_state::{ClaimState, OrderStep, PendingAppend};
use crate::claim_table::RecordEffect;
use crate::event::Action;
use crate::record::Record;

/// Number of leases without a renewal after which an observer declares a claim
/// expired. It must exceed one, because a holder renews when half of its lease is
/// left.
const EXPIRY_LEASES: u64 = 2;

impl ClaimHolder {
    pub(super) fn tick(&mut self, now: Time) -> Vec<Action> {
        let mut actions = self.drop_expired(now);
        let retry_interval = self.settings.retry_interval;
        if let ClaimState::Claiming(pending) = &mut self.state {
            actions.extend(pending.retry_if_due(now, retry_interval));
        }
        actions.extend(self.renew(now));
        actions.extend(self.advance_order(now));
        actions
    }

    fn renew(&mut self, now: Time) -> Option<Action> {
        let half_lease = Span::from_us(self.settings.lease.as_us() / 2);
        let endpoint = self.endpoint.clone();
        let retry_interval = self.settings.retry_interval;
        let ClaimState::Granted(claim) = &mut self.state else {
            return None;
        };
        if let Some(renewal) = &mut claim.renewal {
            return renewal.retry_if_due(now, retry_interval);
        }
        let renew_at = claim.lease_until - half_lease;
        if !renew_at.has_passed(now) || matches!(claim.order_step, OrderStep::Finishing(_)) {
            return None;
        }
        claim.renewal_count += 1;
        let record = Record::Renewed {
            endpoint,
            number: claim.number,
            sequence: claim.renewal_count,
        };
        claim.renewal = Some(PendingAppend {
            record: record.clone(),
            first_sent_at: now,
            retry_at: now + retry_interval,
        });
        Some(Action::Append(record))
    }

    fn advance_order(&mut self, now: Time) -> Option<Action> {
        let wait_is_over = self
            .orders_allowed_from
            .is_some_and(|from| from.has_passed(now));
        let may_order = wait_is_over && self.in_flight.is_none();
        let retry_interval = self.settings.retry_interval;
        let ClaimState::Granted(claim) = &mut self.state else {
            return None;
        };
        match &mut claim.order_step {
            OrderStep::Waiting => {
                if !may_order || !self.claim_table.may_fetch(&self.endpoint, claim.number) {
                    return None;
                }
            }
            OrderStep::AwaitingAnswer => return None,
            OrderStep::Querying { retry_at: due } | OrderStep::Loading { query_at: due } => {
                if !due.has_passed(now) {
                    return None;
                }
            }
            OrderStep::Finishing(pending) => return pending.retry_if_due(now, retry_interval),
        }
        claim.order_step = OrderStep::Querying {
            retry_at: now + retry_interval,
        };
        Some(Action::QueryStatus)
    }

    pub(super) fn track_other_claim(&mut self, now: Time, record: &Record, effect: RecordEffect) {
        let lease = self.settings.lease;
        let timeout = lease.times(EXPIRY_LEASES) + self.jitter(record.endpoint());
        self.expiry.track(now + timeout, record, effect);
    }

    /// Spreads the observers over one lease, so that usually a single record drops an
    /// expired claim.
    fn jitter(&self, other: &EndpointId) -> Span {
        let seed = format!("{} {other}", self.endpoint);
        let lease_us = self.settings.lease.as_us().max(1);
        Span::from_us(xxhash_rust::xxh3::xxh3_64(seed.as_bytes()) % lease_us)
    }

    /// Drops an expired claim of another endpoint while this holder waits, because
    /// the expired claim may block it.
    fn drop_expired(&mut self, now: Time) -> Vec<Action> {
        let is_waiting = match &self.state {
            ClaimState::Granted(claim) => matches!(claim.order_step, OrderStep::Waiting),
            _ => false,
        };
        if !is_waiting {
            return Vec::new();
        }
        let expired = self
            .expiry
            .next_expired(now, now + self.settings.retry_interval);
        self.counters.expired += u64::from(expired.is_some());
        expired.map(Action::Append).into_iter().collect()
    }
}
