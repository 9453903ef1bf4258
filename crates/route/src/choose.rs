//! Choice of an endpoint for a request.
//!
//! Each eligible endpoint gets a score, its occupancy in thousandths plus penalties. The
//! lowest score wins.

use std::collections::BTreeMap;

use lentil_core::{EndpointId, EndpointState, Priority, Time, ZoneId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::endpoint_view::EndpointView;
use crate::event::{Request, RouterConfig};

/// Added to the score of an endpoint in another availability zone.
const OTHER_ZONE_PENALTY: u64 = 60;
/// Added to the score of a slow endpoint.
const SLOW_PENALTY: u64 = 600;
/// Added to the score of a cold endpoint for all but verdicts, so that only these short
/// answers warm it up while another endpoint has capacity.
const COLD_PENALTY: u64 = 4_000;
/// An endpoint is slow if its time per token is above the median by more than this factor.
const SLOW_RATIO: u64 = 2;
/// Endpoints within this distance of the lowest score count as equal; a hash spreads the
/// requests of all entries over them.
const EQUAL_SCORE_MARGIN: u64 = 80;
/// Distance from the lowest score up to which the endpoint likely to have the prefix in its
/// cache is preferred, at full confidence. Lower confidence reduces it in proportion.
const PREFIX_AFFINITY_MAX: u64 = 250;

/// Input of the choice.
pub(crate) struct EndpointChoice<'a> {
    pub(crate) config: &'a RouterConfig,
    pub(crate) endpoints: &'a BTreeMap<EndpointId, EndpointView>,
    pub(crate) withdrawn_zones: &'a [ZoneId],
    /// Median time per token over the endpoints of the pool.
    pub(crate) median_token_us: Option<u64>,
    /// Endpoint likely to have the request's prefix, and the confidence in thousandths.
    pub(crate) prefix_location: Option<(&'a EndpointId, u64)>,
    /// An endpoint that must not be chosen: for a hedge, the one of the first attempt.
    pub(crate) excluded: Option<&'a EndpointId>,
}

impl EndpointChoice<'_> {
    /// Selects the endpoint for a request, if one has capacity.
    pub(crate) fn select(&self, now: Time, request: &Request) -> Option<EndpointId> {
        let scored: Vec<(u64, &EndpointId)> = self
            .endpoints
            .iter()
            .filter(|(id, view)| self.is_eligible(now, id, view, request))
            .map(|(id, view)| (self.score(view, request.priority), id))
            .collect();
        let lowest = scored.iter().map(|(score, _)| *score).min()?;
        let with_prefix = self.prefix_location.and_then(|(endpoint, confidence)| {
            let highest_allowed = lowest + PREFIX_AFFINITY_MAX * confidence / 1_000;
            scored
                .iter()
                .find(|(score, id)| *id == endpoint && *score <= highest_allowed)
        });
        with_prefix
            .or_else(|| {
                scored
                    .iter()
                    .filter(|(score, _)| *score <= lowest + EQUAL_SCORE_MARGIN)
                    .min_by_key(|(_, id)| self.tie_break_hash(request, id))
            })
            .map(|(_, id)| (*id).clone())
    }

    fn is_eligible(
        &self,
        now: Time,
        id: &EndpointId,
        view: &EndpointView,
        request: &Request,
    ) -> bool {
        self.excluded != Some(id)
            && !self.withdrawn_zones.contains(&view.zone)
            && view.has_capacity(now, self.config.mode, request.priority)
    }

    fn score(&self, view: &EndpointView, priority: Priority) -> u64 {
        let other_zone = view.zone != self.config.zone;
        let cold = view.state() == Some(EndpointState::Cold) && priority != Priority::Verdict;
        let slow = match (view.token_us(), self.median_token_us) {
            (Some(endpoint_us), Some(median_us)) => endpoint_us > median_us * SLOW_RATIO,
            _ => false,
        };
        let penalty = |applies: bool, penalty| if applies { penalty } else { 0 };
        view.occupancy()
            + penalty(other_zone, OTHER_ZONE_PENALTY)
            + penalty(cold, COLD_PENALTY)
            + penalty(slow, SLOW_PENALTY)
    }

    fn tie_break_hash(&self, request: &Request, id: &EndpointId) -> u64 {
        let seed = self.config.seed ^ request.id.get();
        xxh3_64_with_seed(id.as_str().as_bytes(), seed)
    }
}
