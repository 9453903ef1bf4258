//! Which endpoint should hold what.

use std::collections::BTreeMap;

use lentil_core::{EndpointId, ModelId, Permille, Span, Time, TokensPerSecond};

use crate::Assignment;
use crate::record::Bounds;

/// What the preset in force says about a model in a zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelPlan {
    /// Version, adapters and role of its replicas.
    pub assignment: Assignment,
    /// Fewest replicas.
    pub replicas_min: u32,
    /// What a warm replica generates.
    pub replica_rate: TokensPerSecond,
}

/// What the preset in force says about a zone's engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresetPlan {
    /// The models served.
    pub models: BTreeMap<ModelId, ModelPlan>,
    /// Use of the replicas above which a model gets another one.
    pub scale_up_above: Permille,
    /// Use of the remaining replicas below which a model gives one up.
    pub scale_down_below: Permille,
    /// How long a need must last before it counts.
    pub stabilization_window: Span,
    /// Most endpoints of a model that leave it at once.
    pub changing_max: u32,
    /// Most endpoints of the zone that fetch weights at once.
    pub fetching_max: u32,
}

impl PresetPlan {
    /// The bounds on a change that takes a replica of `from`.
    #[must_use]
    pub fn bounds(&self, from: Option<&ModelId>) -> Bounds {
        let plan = from.and_then(|model| self.models.get(model));
        Bounds {
            changing_max: self.changing_max,
            replicas_min: plan.map_or(0, |plan| plan.replicas_min),
            fetching_max: self.fetching_max,
        }
    }
}

/// A live endpoint as its zone's agents know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// What it loaded ready to serve.
    pub loaded: Option<Assignment>,
    /// What it is changing to, or uncertain of.
    pub changing_to: Option<Assignment>,
}

impl EndpointView {
    fn serves(&self, model: &ModelId) -> bool {
        self.changing_to.is_none()
            && self
                .loaded
                .as_ref()
                .is_some_and(|held| held.model == *model)
    }

    fn will_serve(&self, model: &ModelId) -> bool {
        let next = self.changing_to.as_ref().or(self.loaded.as_ref());
        next.is_some_and(|held| held.model == *model)
    }
}

/// The endpoints of a zone and the demand for its models.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneView {
    /// Live endpoints in the order of their names.
    pub endpoints: Vec<EndpointView>,
    /// Tokens a second that are asked for.
    pub demand: BTreeMap<ModelId, TokensPerSecond>,
}

impl ZoneView {
    /// Replicas that serve the model and are not about to leave it.
    #[must_use]
    pub fn live(&self, model: &ModelId) -> u32 {
        count(self.endpoints.iter().filter(|view| view.serves(model)))
    }

    fn expected(&self, model: &ModelId) -> u32 {
        count(self.endpoints.iter().filter(|view| view.will_serve(model)))
    }
}

/// Why an endpoint changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ChangeReason {
    /// It loaded nothing that the preset serves.
    Empty,
    /// Its version, adapters or role differ from the preset.
    Outdated,
    /// Another model needs it more.
    Demand,
}

/// A change that the plan asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The model that loses a replica.
    pub from: Option<ModelId>,
    /// What it is to hold.
    pub to: Assignment,
    /// Why.
    pub reason: ChangeReason,
}

/// How many replicas a model has and should have.
#[derive(Debug, Clone, Copy)]
struct Need {
    /// Replicas now, running changes included.
    have: u32,
    /// With fewer, it gets another.
    at_least: u32,
    /// With more, it gives one up.
    at_most: u32,
}

/// Derives changes; remembers since when a need has lasted.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    /// When the deficit of a model, or its surplus, begins to count.
    counts_from: BTreeMap<(ModelId, Side), Time>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Side {
    Deficit,
    Surplus,
}

impl Planner {
    /// A planner that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The changes that the zone needs now, most urgent first.
    pub fn plan(&mut self, now: Time, preset: &PresetPlan, view: &ZoneView) -> Vec<Change> {
        let mut needs = needs(preset, view);
        self.settle(now, preset, &needs);
        let mut changes = fill_empty(preset, view, &mut needs);
        changes.extend(update_outdated(preset, view));
        self.follow_demand(now, preset, view, &mut needs, &mut changes);
        changes
    }

    fn settle(&mut self, now: Time, preset: &PresetPlan, needs: &BTreeMap<ModelId, Need>) {
        self.counts_from
            .retain(|(model, _), _| needs.contains_key(model));
        for (model, need) in needs {
            let sides = [
                (Side::Deficit, need.have < need.at_least),
                (Side::Surplus, need.have > need.at_most),
            ];
            for (side, lasts) in sides {
                let key = (model.clone(), side);
                if lasts {
                    self.counts_from
                        .entry(key)
                        .or_insert(now + preset.stabilization_window);
                } else {
                    self.counts_from.remove(&key);
                }
            }
        }
    }

    fn counts(&self, now: Time, model: &ModelId, side: Side) -> bool {
        self.counts_from
            .get(&(model.clone(), side))
            .is_some_and(|from| from.has_passed(now))
    }

    fn follow_demand(
        &self,
        now: Time,
        preset: &PresetPlan,
        view: &ZoneView,
        needs: &mut BTreeMap<ModelId, Need>,
        changes: &mut Vec<Change>,
    ) {
        let takers: Vec<ModelId> = needs
            .iter()
            .filter(|(model, need)| {
                need.have < need.at_least
                    && (need.have == 0 || self.counts(now, model, Side::Deficit))
            })
            .map(|(model, _)| model.clone())
            .collect();
        for taker in takers {
            let Some(plan) = preset.models.get(&taker) else {
                continue;
            };
            let Some(donor) = self.donor(now, needs, changes, view, preset) else {
                continue;
            };
            let model = donor.loaded.as_ref().map(|held| held.model.clone());
            if let Some(need) = model.as_ref().and_then(|model| needs.get_mut(model)) {
                need.have = need.have.saturating_sub(1);
            }
            changes.push(Change {
                endpoint: donor.endpoint.clone(),
                from: model,
                to: plan.assignment.clone(),
                reason: ChangeReason::Demand,
            });
        }
    }

    /// An endpoint of a model whose surplus counts.
    fn donor<'a>(
        &self,
        now: Time,
        needs: &BTreeMap<ModelId, Need>,
        taken: &[Change],
        view: &'a ZoneView,
        preset: &PresetPlan,
    ) -> Option<&'a EndpointView> {
        view.endpoints.iter().find(|candidate| {
            let Some(held) = candidate.loaded.as_ref() else {
                return false;
            };
            let spare = needs.get(&held.model).is_some_and(|need| {
                need.have > need.at_most && self.counts(now, &held.model, Side::Surplus)
            });
            let leaving = count(
                taken
                    .iter()
                    .filter(|change| change.from.as_ref() == Some(&held.model)),
            );
            candidate.changing_to.is_none()
                && spare
                && leaving + leaving_now(view, &held.model) < preset.changing_max
                && taken
                    .iter()
                    .all(|change| change.endpoint != candidate.endpoint)
        })
    }
}

fn needs(preset: &PresetPlan, view: &ZoneView) -> BTreeMap<ModelId, Need> {
    let need = |(model, plan): (&ModelId, &ModelPlan)| {
        let demand = view.demand.get(model).copied().unwrap_or_default();
        let at_least =
            replicas(demand, plan.replica_rate, preset.scale_up_above).max(plan.replicas_min);
        let at_most = replicas(demand, plan.replica_rate, preset.scale_down_below).max(at_least);
        let have = view.expected(model);
        let need = Need {
            have,
            at_least,
            at_most,
        };
        (model.clone(), need)
    };
    preset.models.iter().map(need).collect()
}

/// Replicas that carry `demand` at `used` of their rate.
fn replicas(demand: TokensPerSecond, rate: TokensPerSecond, used: Permille) -> u32 {
    let carried = rate.get().saturating_mul(u64::from(used.get())) / 1_000;
    u32::try_from(demand.get().div_ceil(carried.max(1))).unwrap_or(u32::MAX)
}

/// Gives each endpoint that loaded nothing useful the model that lacks most.
fn fill_empty(
    preset: &PresetPlan,
    view: &ZoneView,
    needs: &mut BTreeMap<ModelId, Need>,
) -> Vec<Change> {
    let useless = |held: &Assignment| !preset.models.contains_key(&held.model);
    let empty = view
        .endpoints
        .iter()
        .filter(|view| view.changing_to.is_none() && view.loaded.as_ref().is_none_or(useless));
    let mut changes = Vec::new();
    for endpoint in empty {
        let neediest = needs.iter_mut().min_by_key(|(_, need)| {
            let wanted = u64::from(need.at_least.max(1));
            u64::from(need.have).saturating_mul(1_000_000) / wanted
        });
        let Some((model, need)) = neediest else {
            return changes;
        };
        need.have += 1;
        let Some(plan) = preset.models.get(model) else {
            continue;
        };
        changes.push(Change {
            endpoint: endpoint.endpoint.clone(),
            from: None,
            to: plan.assignment.clone(),
            reason: ChangeReason::Empty,
        });
    }
    changes
}

/// Updates endpoints whose version, adapters or role differ, a few at a time.
fn update_outdated(preset: &PresetPlan, view: &ZoneView) -> Vec<Change> {
    let mut changes = Vec::new();
    for (model, plan) in &preset.models {
        let live = view.live(model);
        let spare = live.saturating_sub(plan.replicas_min);
        let free = preset.changing_max.saturating_sub(leaving_now(view, model));
        let outdated = view
            .endpoints
            .iter()
            .filter(|view| view.serves(model) && view.loaded.as_ref() != Some(&plan.assignment));
        let few = usize::try_from(spare.min(free)).unwrap_or(usize::MAX);
        changes.extend(outdated.take(few).map(|view| Change {
            endpoint: view.endpoint.clone(),
            from: Some(model.clone()),
            to: plan.assignment.clone(),
            reason: ChangeReason::Outdated,
        }));
    }
    changes
}

fn leaving_now(view: &ZoneView, model: &ModelId) -> u32 {
    count(view.endpoints.iter().filter(|view| {
        view.changing_to.is_some()
            && view
                .loaded
                .as_ref()
                .is_some_and(|held| held.model == *model)
    }))
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}
