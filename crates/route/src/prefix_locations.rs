//! Which engine is believed to hold a prefix in its cache.

use std::collections::HashMap;

use lentil_core::{EndpointId, Span, Time};

use crate::event::PrefixHash;

/// Prefixes remembered; the one that lapses first gives way.
const PREFIXES_MAX: usize = 4_096;
/// How long a belief lasts without news.
const BELIEF: Span = Span::from_s(120);

#[derive(Debug)]
struct Belief {
    endpoint: EndpointId,
    lapses: Time,
}

/// Bounded beliefs that decay, since cache events come late and with gaps.
#[derive(Debug, Default)]
pub(crate) struct Beliefs {
    places: HashMap<PrefixHash, Belief>,
}

impl Beliefs {
    pub(crate) fn kept(&mut self, now: Time, prefix: PrefixHash, endpoint: EndpointId) {
        if self.places.len() >= PREFIXES_MAX && !self.places.contains_key(&prefix) {
            self.make_room();
        }
        let lapses = now + BELIEF;
        self.places.insert(prefix, Belief { endpoint, lapses });
    }

    pub(crate) fn dropped(&mut self, prefix: PrefixHash, endpoint: &EndpointId) {
        if self
            .places
            .get(&prefix)
            .is_some_and(|b| b.endpoint == *endpoint)
        {
            self.places.remove(&prefix);
        }
    }

    pub(crate) fn forget(&mut self, endpoint: &EndpointId) {
        self.places.retain(|_, belief| belief.endpoint != *endpoint);
    }

    /// The believed endpoint and the belief's strength in thousandths.
    pub(crate) fn place(&self, now: Time, prefix: PrefixHash) -> Option<(&EndpointId, u64)> {
        let belief = self.places.get(&prefix)?;
        let left_us = belief.lapses.since(now).as_us();
        let strength = left_us.saturating_mul(1_000) / BELIEF.as_us();
        (strength > 0).then_some((&belief.endpoint, strength))
    }

    fn make_room(&mut self) {
        let first = self
            .places
            .iter()
            .min_by_key(|(prefix, belief)| (belief.lapses, **prefix))
            .map(|(prefix, _)| *prefix);
        if let Some(prefix) = first {
            self.places.remove(&prefix);
        }
    }
}
