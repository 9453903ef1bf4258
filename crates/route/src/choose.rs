//! The choice of an endpoint for one request.

use std::collections::BTreeMap;

use lentil_core::{EndpointId, EndpointState, Priority, Time, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint_view::Replica;
use crate::event::{Request, RouterConfig};

/// Occupancy, in thousandths, that another availability zone must be lower by.
const ZONE_PENALTY: u64 = 60;
/// Occupancy that a slow endpoint must be lower by.
const SLOW_PENALTY: u64 = 600;
/// Added to the occupancy of a cold endpoint for all but short answers, so that
/// only these warm it while another endpoint has room.
const COLD_PENALTY: u64 = 4_000;
/// An endpoint is slow when a token takes this many times the median.
const SLOW_TIMES: u64 = 2;
/// Endpoints this close to the best are equal; entries spread over them.
const MARGIN: u64 = 80;
/// Imbalance that a fresh belief in a cached prefix is worth.
const AFFINITY_MAX: u64 = 250;

/// What the choice looks at.
pub(crate) struct Choice<'a> {
    pub(crate) shape: &'a RouterConfig,
    pub(crate) replicas: &'a BTreeMap<EndpointId, Replica>,
    pub(crate) zones_out: &'a [ZoneId],
    /// Median time of a token over the pool.
    pub(crate) median_token_us: Option<u64>,
    /// Where the request's prefix is believed to be, and how strongly.
    pub(crate) believed: Option<(&'a EndpointId, u64)>,
    /// An endpoint that must not be chosen.
    pub(crate) except: Option<&'a EndpointId>,
}

impl Choice<'_> {
    /// The endpoint that a request goes to, if one has room.
    pub(crate) fn make(&self, now: Time, request: &Request) -> Option<EndpointId> {
        let scored: Vec<(u64, &EndpointId)> = self
            .replicas
            .iter()
            .filter(|(id, replica)| self.is_open(now, id, replica, request))
            .map(|(id, replica)| (self.score(replica, request.priority), id))
            .collect();
        let best = scored.iter().map(|(score, _)| *score).min()?;
        let affine = self.believed.and_then(|(endpoint, strength)| {
            let bound = best + AFFINITY_MAX * strength / 1_000;
            scored
                .iter()
                .find(|(score, id)| *id == endpoint && *score <= bound)
        });
        affine
            .or_else(|| {
                scored
                    .iter()
                    .filter(|(score, _)| *score <= best + MARGIN)
                    .min_by_key(|(_, id)| self.spread(request, id))
            })
            .map(|(_, id)| (*id).clone())
    }

    fn is_open(&self, now: Time, id: &EndpointId, replica: &Replica, request: &Request) -> bool {
        self.except != Some(id)
            && !self.zones_out.contains(&replica.zone)
            && replica.has_room(now, self.shape.mode, request.priority)
    }

    fn score(&self, replica: &Replica, priority: Priority) -> u64 {
        let far = replica.zone != self.shape.zone;
        let cold = replica.state() == Some(EndpointState::Cold) && priority != Priority::Verdict;
        let slow = match (replica.token_us(), self.median_token_us) {
            (Some(own), Some(median)) => own > median * SLOW_TIMES,
            _ => false,
        };
        let penalty = |applies: bool, penalty| if applies { penalty } else { 0 };
        replica.occupancy()
            + penalty(far, ZONE_PENALTY)
            + penalty(cold, COLD_PENALTY)
            + penalty(slow, SLOW_PENALTY)
    }

    fn spread(&self, request: &Request, id: &EndpointId) -> u64 {
        let seed = self.shape.seed ^ request.id.get();
        xxh3_64_with_seed(id.as_str().as_bytes(), seed)
    }
}
