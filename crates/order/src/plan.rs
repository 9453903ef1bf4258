//! Plans which endpoint should hold which model.

use std::collections::BTreeMap;

use lentil_core::{EndpointId, ModelId, Permille, Span, Time, TokensPerSecond};

use crate::Assignment;
use crate::record::Bounds;

/// The preset's plan for one model in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelPlan {
    /// Version, adapters and role of its replicas.
    pub assignment: Assignment,
    /// Minimum number of replicas.
    pub replicas_min: u32,
    /// Token rate of a warm replica.
    pub replica_rate: TokensPerSecond,
}

/// The preset's plan for the engines of an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PresetPlan {
    /// The models to serve.
    pub models: BTreeMap<ModelId, ModelPlan>,
    /// Utilization of its replicas above which a model gains a replica.
    pub scale_up_above: Permille,
    /// A model gives up a replica when the utilization of the remaining ones would
    /// stay below this.
    pub scale_down_below: Permille,
    /// How long a deficit or surplus must last before it causes a change.
    pub stabilization_window: Span,
    /// Maximum number of endpoints that may be leaving a model at the same time.
    pub changing_max: u32,
    /// Maximum number of endpoints of the availability zone that may fetch weights
    /// at the same time.
    pub fetching_max: u32,
}

impl PresetPlan {
    /// The limits on a change that takes a replica from `from`.
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

/// A live endpoint as the agents of its availability zone see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The assignment that is loaded and ready to serve.
    pub loaded: Option<Assignment>,
    /// The assignment that it is changing to, or the reported one when the report
    /// and the order stream disagree.
    pub changing_to: Option<Assignment>,
}

impl EndpointView {
    fn serves(&self, model: &ModelId) -> bool {
        self.changing_to.is_none()
            && self
                .loaded
                .as_ref()
                .is_some_and(|loaded| loaded.model == *model)
    }

    fn will_serve(&self, model: &ModelId) -> bool {
        let next = self.changing_to.as_ref().or(self.loaded.as_ref());
        next.is_some_and(|loaded| loaded.model == *model)
    }
}

/// The endpoints of an availability zone and the demand for its models.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ZoneView {
    /// Live endpoints, sorted by name.
    pub endpoints: Vec<EndpointView>,
    /// Requested tokens per second by model.
    pub demand: BTreeMap<ModelId, TokensPerSecond>,
}

impl ZoneView {
    /// The number of replicas that serve the model and are not leaving it.
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
    /// It holds no model that the preset serves.
    Empty,
    /// Its version, adapters or role differ from the preset.
    Outdated,
    /// Another model has a lasting deficit.
    Demand,
}

/// A change that the plan requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The model that loses a replica.
    pub from: Option<ModelId>,
    /// The assignment that the endpoint is to load.
    pub to: Assignment,
    /// Why the change is needed.
    pub reason: ChangeReason,
}

/// The current and the desired number of replicas of a model.
#[derive(Debug, Clone, Copy)]
struct ReplicaNeed {
    /// Current replicas, counting running changes as done.
    current: u32,
    /// With fewer replicas, the model has a deficit.
    min: u32,
    /// With more replicas, the model has a surplus.
    max: u32,
}

/// Derives changes, and tracks how long each deficit and surplus has lasted.
#[derive(Debug, Clone, Default)]
pub struct Planner {
    /// When a model's deficit or surplus will have lasted for the stabilization
    /// window.
    effective_from: BTreeMap<(ModelId, Imbalance), Time>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Imbalance {
    Deficit,
    Surplus,
}

impl Planner {
    /// Creates a planner that tracks no deficit or surplus yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// The changes that the availability zone needs now, most urgent first.
    pub fn plan(&mut self, now: Time, preset: &PresetPlan, view: &ZoneView) -> Vec<Change> {
        let mut needs = needs(preset, view);
        self.track_imbalances(now, preset, &needs);
        let mut changes = fill_unassigned(preset, view, &mut needs);
        changes.extend(update_outdated(preset, view));
        self.move_by_demand(now, preset, view, &mut needs, &mut changes);
        changes
    }

    fn track_imbalances(
        &mut self,
        now: Time,
        preset: &PresetPlan,
        needs: &BTreeMap<ModelId, ReplicaNeed>,
    ) {
        self.effective_from
            .retain(|(model, _), _| needs.contains_key(model));
        for (model, need) in needs {
            let imbalances = [
                (Imbalance::Deficit, need.current < need.min),
                (Imbalance::Surplus, need.current > need.max),
            ];
            for (imbalance, present) in imbalances {
                let key = (model.clone(), imbalance);
                if present {
                    self.effective_from
                        .entry(key)
                        .or_insert(now + preset.stabilization_window);
                } else {
                    self.effective_from.remove(&key);
                }
            }
        }
    }

    fn is_effective(&self, now: Time, model: &ModelId, imbalance: Imbalance) -> bool {
        self.effective_from
            .get(&(model.clone(), imbalance))
            .is_some_and(|from| from.has_passed(now))
    }

    fn move_by_demand(
        &self,
        now: Time,
        preset: &PresetPlan,
        view: &ZoneView,
        needs: &mut BTreeMap<ModelId, ReplicaNeed>,
        changes: &mut Vec<Change>,
    ) {
        let receivers: Vec<ModelId> = needs
            .iter()
            .filter(|(model, need)| {
                need.current < need.min
                    && (need.current == 0 || self.is_effective(now, model, Imbalance::Deficit))
            })
            .map(|(model, _)| model.clone())
            .collect();
        for receiver in receivers {
            let Some(plan) = preset.models.get(&receiver) else {
                continue;
            };
            let Some(donor) = self.find_donor(now, needs, changes, view, preset) else {
                continue;
            };
            let model = donor.loaded.as_ref().map(|loaded| loaded.model.clone());
            if let Some(need) = model.as_ref().and_then(|model| needs.get_mut(model)) {
                need.current = need.current.saturating_sub(1);
            }
            changes.push(Change {
                endpoint: donor.endpoint.clone(),
                from: model,
                to: plan.assignment.clone(),
                reason: ChangeReason::Demand,
            });
        }
    }

    /// Finds an endpoint of a model whose surplus has lasted long enough.
    fn find_donor<'a>(
        &self,
        now: Time,
        needs: &BTreeMap<ModelId, ReplicaNeed>,
        planned: &[Change],
        view: &'a ZoneView,
        preset: &PresetPlan,
    ) -> Option<&'a EndpointView> {
        view.endpoints.iter().find(|candidate| {
            let Some(loaded) = candidate.loaded.as_ref() else {
                return false;
            };
            let spare = needs.get(&loaded.model).is_some_and(|need| {
                need.current > need.max && self.is_effective(now, &loaded.model, Imbalance::Surplus)
            });
            let planned_leaving = count(
                planned
                    .iter()
                    .filter(|change| change.from.as_ref() == Some(&loaded.model)),
            );
            candidate.changing_to.is_none()
                && spare
                && planned_leaving + leaving(view, &loaded.model) < preset.changing_max
                && planned
                    .iter()
                    .all(|change| change.endpoint != candidate.endpoint)
        })
    }
}

fn needs(preset: &PresetPlan, view: &ZoneView) -> BTreeMap<ModelId, ReplicaNeed> {
    let need = |(model, plan): (&ModelId, &ModelPlan)| {
        let demand = view.demand.get(model).copied().unwrap_or_default();
        let min = replicas(demand, plan.replica_rate, preset.scale_up_above).max(plan.replicas_min);
        let max = replicas(demand, plan.replica_rate, preset.scale_down_below).max(min);
        let current = view.expected(model);
        let need = ReplicaNeed { current, min, max };
        (model.clone(), need)
    };
    preset.models.iter().map(need).collect()
}

/// The number of replicas that serve `demand` when each is run at `utilization` of its
/// rate.
fn replicas(demand: TokensPerSecond, rate: TokensPerSecond, utilization: Permille) -> u32 {
    let usable_rate = rate.get().saturating_mul(u64::from(utilization.get())) / 1_000;
    u32::try_from(demand.get().div_ceil(usable_rate.max(1))).unwrap_or(u32::MAX)
}

/// Assigns each endpoint that holds no served model to the model with the lowest
/// ratio of current to required replicas.
fn fill_unassigned(
    preset: &PresetPlan,
    view: &ZoneView,
    needs: &mut BTreeMap<ModelId, ReplicaNeed>,
) -> Vec<Change> {
    let unserved = |loaded: &Assignment| !preset.models.contains_key(&loaded.model);
    let unassigned = view
        .endpoints
        .iter()
        .filter(|view| view.changing_to.is_none() && view.loaded.as_ref().is_none_or(unserved));
    let mut changes = Vec::new();
    for endpoint in unassigned {
        let neediest = needs.iter_mut().min_by_key(|(_, need)| {
            let required = u64::from(need.min.max(1));
            u64::from(need.current).saturating_mul(1_000_000) / required
        });
        let Some((model, need)) = neediest else {
            return changes;
        };
        need.current += 1;
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

/// Updates endpoints whose version, adapters or role differ from the preset, as
/// many at a time as the limits allow.
fn update_outdated(preset: &PresetPlan, view: &ZoneView) -> Vec<Change> {
    let mut changes = Vec::new();
    for (model, plan) in &preset.models {
        let live = view.live(model);
        let spare = live.saturating_sub(plan.replicas_min);
        let remaining = preset.changing_max.saturating_sub(leaving(view, model));
        let outdated = view
            .endpoints
            .iter()
            .filter(|view| view.serves(model) && view.loaded.as_ref() != Some(&plan.assignment));
        let limit = usize::try_from(spare.min(remaining)).unwrap_or(usize::MAX);
        changes.extend(outdated.take(limit).map(|view| Change {
            endpoint: view.endpoint.clone(),
            from: Some(model.clone()),
            to: plan.assignment.clone(),
            reason: ChangeReason::Outdated,
        }));
    }
    changes
}

fn leaving(view: &ZoneView, model: &ModelId) -> u32 {
    count(view.endpoints.iter().filter(|view| {
        view.changing_to.is_some()
            && view
                .loaded
                .as_ref()
                .is_some_and(|loaded| loaded.model == *model)
    }))
}

fn count<T>(items: impl Iterator<Item = T>) -> u32 {
    u32::try_from(items.count()).unwrap_or(u32::MAX)
}
