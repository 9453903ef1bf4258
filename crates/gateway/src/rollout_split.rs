//! Choice of a version for each request while an order is open.

use std::sync::Arc;

use lentil_core::{Permille, Time};
use lentil_fleet::{AttemptResult, Fleet, Placement, PlacementRequest, VersionRules};
use lentil_rollout::ExposureBudget;

/// Multiplier that decorrelates the version of a request from its choice of an endpoint,
/// which uses the same seed: 2^64 divided by the golden ratio.
const DRAW_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// How new requests of a service are split between its versions.
#[derive(Debug, Clone, Default)]
pub(crate) struct Split {
    pub(crate) target_share: Permille,
    /// Whether each request to the target is taken from the exposure budget.
    pub(crate) is_budgeted: bool,
    pub(crate) at_target: Arc<VersionRules>,
    /// `None` if no new request may go to old endpoints.
    pub(crate) at_old: Option<Arc<VersionRules>>,
}

impl Split {
    /// Whether a request goes to the target. A request that an endpoint has turned away goes
    /// to old endpoints, so that a repeat does not raise the target's share.
    fn chooses_target(&self, seed: u64, is_repeat: bool) -> bool {
        let draw = (seed.wrapping_mul(DRAW_MULTIPLIER) >> 32) % 1_000;
        let share = u64::from(self.target_share.get());
        share > 0 && (self.at_old.is_none() || (!is_repeat && draw < share))
    }

    /// Places a request at an endpoint of the version that is chosen for it.
    pub(crate) fn place(
        &self,
        now: Time,
        fleet: &mut Fleet,
        budget: &mut ExposureBudget,
        need: &PlacementRequest,
        tried: &[lentil_core::EndpointId],
    ) -> Placement {
        if self.chooses_target(need.jitter_seed, !tried.is_empty()) {
            fleet.set_version_rules(&need.service, Some(Arc::clone(&self.at_target)));
            let placement = fleet.place(now, need, tried);
            if let Placement::Placed(place) = &placement {
                if self.withdraw(now, fleet, budget) {
                    return placement;
                }
                fleet.finish(now, place.id, AttemptResult::Inconclusive);
            } else if self.at_old.is_none() {
                return placement;
            }
        }
        let rules = self.at_old.clone().unwrap_or_default();
        fleet.set_version_rules(&need.service, Some(rules));
        fleet.place(now, need, tried)
    }

    /// Counts a request to the target. Returns `false` if it must not be sent there.
    pub(crate) fn withdraw(&self, now: Time, fleet: &Fleet, budget: &mut ExposureBudget) -> bool {
        if self.is_budgeted {
            return budget.try_send(now, fleet.entry_count(now));
        }
        budget.record_unbudgeted();
        true
    }
}
