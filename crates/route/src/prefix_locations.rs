//! Estimate of which engine has a prefix in its cache.

use std::collections::HashMap;

use lentil_core::{EndpointId, Span, Time};

use crate::event::PrefixHash;

/// Most prefixes remembered; the one that expires first is evicted.
const PREFIXES_MAX: usize = 4_096;
/// How long a location is remembered without a new event for it.
const LIFETIME: Span = Span::from_s(120);

#[derive(Debug)]
struct Location {
    endpoint: EndpointId,
    expires: Time,
}

/// A bounded map from prefix to the engine most likely to have it in its cache: the last one
/// that reported it or was sent a request with it.
///
/// Cache events arrive late and may be lost, so the confidence in a location decays.
#[derive(Debug, Default)]
pub(crate) struct PrefixLocations {
    locations: HashMap<PrefixHash, Location>,
}

impl PrefixLocations {
    pub(crate) fn cached(&mut self, now: Time, prefix: PrefixHash, endpoint: EndpointId) {
        if self.locations.len() >= PREFIXES_MAX && !self.locations.contains_key(&prefix) {
            self.evict_oldest();
        }
        let expires = now + LIFETIME;
        self.locations
            .insert(prefix, Location { endpoint, expires });
    }

    pub(crate) fn evicted(&mut self, prefix: PrefixHash, endpoint: &EndpointId) {
        if self
            .locations
            .get(&prefix)
            .is_some_and(|location| location.endpoint == *endpoint)
        {
            self.locations.remove(&prefix);
        }
    }

    pub(crate) fn remove_endpoint(&mut self, endpoint: &EndpointId) {
        self.locations
            .retain(|_, location| location.endpoint != *endpoint);
    }

    /// The endpoint likely to have the prefix, with the confidence in thousandths.
    pub(crate) fn locate(&self, now: Time, prefix: PrefixHash) -> Option<(&EndpointId, u64)> {
        let location = self.locations.get(&prefix)?;
        let remaining_us = location.expires.since(now).as_us();
        let confidence = remaining_us.saturating_mul(1_000) / LIFETIME.as_us();
        (confidence > 0).then_some((&location.endpoint, confidence))
    }

    fn evict_oldest(&mut self) {
        let oldest = self
            .locations
            .iter()
            .min_by_key(|(prefix, location)| (location.expires, **prefix))
            .map(|(prefix, _)| *prefix);
        if let Some(prefix) = oldest {
            self.locations.remove(&prefix);
        }
    }
}
