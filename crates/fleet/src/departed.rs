//! Endpoints that announced that they leave and are no longer in the table.

use std::collections::VecDeque;

use lentil_core::{EndpointId, Span, Time};

/// Most lifetimes that are remembered.
const LIFETIMES_MAX: usize = 1_024;
/// How long a lifetime with an unknown start is remembered. A record of it can't be told
/// from one of the next lifetime.
const UNKNOWN_START_TTL: Span = Span::from_s(30);

/// One lifetime of an endpoint.
#[derive(Debug, Clone)]
struct Lifetime {
    endpoint: EndpointId,
    started_at_ms: Option<u64>,
    departed_at: Time,
}

/// The lifetimes of endpoints that have left. A record of one of them that is written late
/// does not bring the endpoint back.
#[derive(Debug, Clone, Default)]
pub(crate) struct Departed {
    lifetimes: VecDeque<Lifetime>,
}

impl Departed {
    pub(crate) fn add(&mut self, now: Time, endpoint: EndpointId, started_at_ms: Option<u64>) {
        if self.lifetimes.len() >= LIFETIMES_MAX {
            self.lifetimes.pop_front();
        }
        self.lifetimes.push_back(Lifetime {
            endpoint,
            started_at_ms,
            departed_at: now,
        });
    }

    /// Returns whether a record of an endpoint that started at this time is of a lifetime
    /// that has left, or of an earlier one.
    pub(crate) fn contains(
        &self,
        now: Time,
        endpoint: &EndpointId,
        started_at_ms: Option<u64>,
    ) -> bool {
        let lifetimes = self.lifetimes.iter();
        let mut known = lifetimes.filter(|lifetime| lifetime.endpoint == *endpoint);
        known.any(|lifetime| match (lifetime.started_at_ms, started_at_ms) {
            (Some(departed), Some(started)) => started <= departed,
            (None, _) | (_, None) => !(lifetime.departed_at + UNKNOWN_START_TTL).has_passed(now),
        })
    }
}
