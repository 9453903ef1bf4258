//! Replicas of an availability zone that return, or change their version, and fetch the weights
//! from one weight store.

use std::collections::VecDeque;

use lentil_core::{BootId, EndpointId, ModelId, Offset, Permille, Span, Time, TokensPerSecond};
use lentil_order::{
    Action, Assignment, ChangeRequest, ClaimHolder, ClaimHolderSettings, EngineFencing, Event,
    ModelPlan, Planner, PresetPlan, Record, ZoneView,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::case::{Case, ZoneResult};
use super::engine::{Engine, assignment};

const STEP_US: u64 = 50_000;
/// Simulated time after which a run ends even if replicas have not finished.
const RUN_MAX: Span = Span::from_s(4_000);
const MODELS: usize = 8;
/// Size of a model's weights.
const WEIGHT_BYTES: f64 = 60e9;
/// Rate at which the weight store serves an availability zone.
const STORE_BYTES_PER_S: f64 = 12.5e9;
/// Rate of an endpoint's network link.
const LINK_BYTES_PER_S: f64 = 3.125e9;
/// Appends per second that the log accepts.
const LOG_APPENDS_PER_S: u64 = 400;
/// Size of a record in the log, in bytes.
const RECORD_BYTES: f64 = 240.0;
const PLAN_INTERVAL_STEPS: u64 = 100;
const READ_INTERVAL_STEPS: u64 = 20;
/// Interval at which all agents learn what each endpoint has loaded.
const REPORT_INTERVAL_STEPS: u64 = 40;
const STEPS_PER_S: u64 = 20;
/// Minimum number of endpoints among which the store's rate is divided, for steps without fetches.
const STORE_SHARE_MIN: f64 = 1.0;

/// Simulated agent with its engine.
struct Agent {
    endpoint: EndpointId,
    holder: ClaimHolder,
    planner: Planner,
    engine: Engine,
    remaining_bytes: f64,
    start_step: u64,
    records_read: usize,
}

/// Simulation of one availability zone.
struct Zone {
    case: Case,
    preset: PresetPlan,
    view: ZoneView,
    agents: Vec<Agent>,
    /// What each endpoint has loaded according to the last report.
    reported: Vec<Option<Assignment>>,
    log: Vec<Record>,
    /// Appends sent to the log, with the step at which they arrive.
    pending_appends: VecDeque<(u64, Record)>,
    step: u64,
    /// Times at which replicas finished loading.
    finished_s: Vec<f64>,
    models: Vec<ModelId>,
    /// Time at which each model was first served.
    models_s: Vec<Option<f64>>,
    models_lost: usize,
    appends_peak: u64,
    appends_this_s: u64,
}

/// Runs a case until all changing replicas serve.
pub(crate) fn run(case: Case, seed: u64) -> ZoneResult {
    match Zone::new(case, seed) {
        Ok(zone) => zone.run(),
        Err(_) => ZoneResult {
            case: case.name,
            first_s: 0.0,
            models_s: 0.0,
            median_s: 0.0,
            last_s: 0.0,
            limit_s: 1.0,
            models_lost: 0,
            finished: 0,
            changing: 1,
            appends: 0,
            appends_peak_per_s: 0,
            read_bytes_per_s: 0.0,
        },
    }
}

fn preset_plan(case: Case, models: &[ModelId]) -> eyre::Result<PresetPlan> {
    let version = if case.changes_version { "v2" } else { "v1" };
    let plan = |model: &ModelId| {
        let plan = ModelPlan {
            assignment: assignment(model, version)?,
            replicas_min: 1,
            replica_rate: TokensPerSecond::new(2_500),
        };
        eyre::Ok((model.clone(), plan))
    };
    Ok(PresetPlan {
        models: models.iter().map(plan).collect::<Result<_, _>>()?,
        scale_up_above: Permille::new(850),
        scale_down_below: Permille::new(600),
        stabilization_window: Span::from_s(60),
        changing_max: 2,
        fetching_max: case.fetching_max,
    })
}

impl Zone {
    fn new(case: Case, seed: u64) -> eyre::Result<Self> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let models: Vec<ModelId> = (0..MODELS)
            .map(|index| format!("model-{index}").parse())
            .collect::<Result<_, _>>()?;
        let settings = ClaimHolderSettings {
            fencing: EngineFencing::Ignored,
            lease: Span::from_s(30),
            send_margin: Span::from_s(2),
            retry_interval: Span::from_s(1),
        };
        let total = case.serving + case.returning;
        let mut agents = Vec::new();
        for index in 0..total {
            let serves = index < case.serving;
            let model = models.get(index % MODELS).filter(|_| serves);
            let loaded = model.map(|model| assignment(model, "v1")).transpose()?;
            let endpoint: EndpointId = format!("engine-{index:03}").parse()?;
            agents.push(Agent {
                holder: ClaimHolder::new(endpoint.clone(), BootId::new(1), settings),
                endpoint,
                planner: Planner::new(),
                engine: Engine::new(EngineFencing::Ignored, loaded),
                remaining_bytes: 0.0,
                start_step: rng.random_range(0..100),
                records_read: 0,
            });
        }
        // 70% of the capacity of all replicas, divided evenly among the 8 models.
        let demand_per_model = u64::try_from(total).unwrap_or(0) * 2_500 * 7 / 10 / 8;
        let demand = models
            .iter()
            .map(|model| (model.clone(), TokensPerSecond::new(demand_per_model)));
        Ok(Self {
            case,
            preset: preset_plan(case, &models)?,
            view: ZoneView {
                endpoints: Vec::new(),
                demand: demand.collect(),
            },
            reported: agents
                .iter()
                .map(|agent| agent.engine.loaded.clone())
                .collect(),
            agents,
            log: Vec::new(),
            pending_appends: VecDeque::new(),
            step: 0,
            finished_s: Vec::new(),
            models_s: vec![None; models.len()],
            models,
            models_lost: 0,
            appends_peak: 0,
            appends_this_s: 0,
        })
    }

    fn now(&self) -> Time {
        Time::from_us((self.step + 1) * STEP_US)
    }

    fn seconds(&self) -> f64 {
        f64::from(u32::try_from(self.step).unwrap_or(u32::MAX))
            / f64::from(u32::try_from(STEPS_PER_S).unwrap_or(1))
    }

    fn run(mut self) -> ZoneResult {
        while self.finished_s.len() < self.case.changing() && self.now() < Time::ZERO + RUN_MAX {
            self.deliver_appends();
            for index in 0..self.agents.len() {
                self.advance(index);
            }
            self.transfer_weights();
            self.record_served_models();
            self.step += 1;
        }
        self.result()
    }

    /// Appends the records that have arrived, up to the log's rate, and updates the reports.
    fn deliver_appends(&mut self) {
        if self.step.is_multiple_of(STEPS_PER_S) {
            self.appends_this_s = 0;
        }
        while self.appends_this_s < LOG_APPENDS_PER_S
            && let Some((_, record)) = self
                .pending_appends
                .pop_front_if(|(at, _)| *at <= self.step)
        {
            self.log.push(record);
            self.appends_this_s += 1;
            self.appends_peak = self.appends_peak.max(self.appends_this_s);
        }
        if self.step.is_multiple_of(REPORT_INTERVAL_STEPS) {
            let loaded = self.agents.iter().map(|agent| agent.engine.loaded.clone());
            self.reported = loaded.collect();
        }
    }

    /// Lets an agent read the log and plan, if it is due.
    fn advance(&mut self, index: usize) {
        let now = self.now();
        let Some(agent) = self.agents.get_mut(index) else {
            return;
        };
        let phase = self.step + agent.start_step;
        if self.step < agent.start_step || !phase.is_multiple_of(READ_INTERVAL_STEPS) {
            return;
        }
        let mut actions = Vec::new();
        for record in self.log.iter().skip(agent.records_read) {
            agent.records_read += 1;
            let offset = Offset::new(u64::try_from(agent.records_read).unwrap_or(u64::MAX));
            let record = record.clone();
            actions.extend(agent.holder.on(now, Event::RecordRead { offset, record }));
        }
        actions.extend(agent.holder.on(now, Event::Tick));
        let due = agent.engine.loaded.is_none() || phase.is_multiple_of(PLAN_INTERVAL_STEPS);
        if agent.holder.is_idle() && due {
            actions.extend(self.plan(index));
        }
        self.perform(index, actions);
    }

    /// Plans the availability zone as seen by the agent, and requests the change planned for its own
    /// endpoint, if any.
    fn plan(&mut self, index: usize) -> Vec<Action> {
        let now = self.now();
        let agents = self.agents.iter().zip(&self.reported);
        let started = agents.filter(|(agent, _)| agent.start_step <= self.step);
        let Some(claim_table) = self
            .agents
            .get(index)
            .map(|agent| agent.holder.claim_table())
        else {
            return Vec::new();
        };
        let views =
            started.map(|(agent, loaded)| claim_table.view(&agent.endpoint, loaded.as_ref()));
        self.view.endpoints = views.collect();
        let Some(agent) = self.agents.get_mut(index) else {
            return Vec::new();
        };
        let changes = agent.planner.plan(now, &self.preset, &self.view);
        let own_change = changes
            .into_iter()
            .find(|change| change.endpoint == agent.endpoint);
        let Some(change) = own_change else {
            return Vec::new();
        };
        let request = ChangeRequest {
            from_live: change
                .from
                .as_ref()
                .map_or(0, |model| self.view.live(model)),
            to_live: self.view.live(&change.to.model),
            bounds: self.preset.bounds(change.from.as_ref()),
            from: change.from,
            to: change.to,
        };
        agent.holder.on(now, Event::ChangeRequested(request))
    }

    fn perform(&mut self, index: usize, actions: Vec<Action>) {
        let now = self.now();
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let Some(agent) = self.agents.get_mut(index) else {
                return;
            };
            match action {
                Action::Append(record) => self.pending_appends.push_back((self.step + 1, record)),
                Action::QueryStatus => {
                    let status = agent.engine.status();
                    queue.extend(agent.holder.on(now, Event::Status(status)));
                }
                Action::SendOrder(order) => {
                    let number = order.number();
                    let event = match order.check(now) {
                        Ok(order) => {
                            let answer = agent.engine.handle_order(order);
                            agent.remaining_bytes = WEIGHT_BYTES;
                            Event::OrderAnswered { number, answer }
                        }
                        Err(lapsed) => Event::NotSent {
                            number: lapsed.number,
                        },
                    };
                    queue.extend(agent.holder.on(now, event));
                }
                Action::ClaimRefused(_) | Action::Loaded(_) | Action::Superseded => {}
            }
        }
    }

    /// Transfers the weights of one step. Endpoints that fetch share the store's rate.
    fn transfer_weights(&mut self) {
        let fetching = self
            .agents
            .iter()
            .filter(|agent| agent.engine.loading.is_some());
        let fetch_count = f64::from(u32::try_from(fetching.count()).unwrap_or(u32::MAX));
        let rate = LINK_BYTES_PER_S.min(STORE_BYTES_PER_S / fetch_count.max(STORE_SHARE_MIN));
        let step_s = Span::from_us(STEP_US).as_ms();
        let bytes = rate * f64::from(u32::try_from(step_s).unwrap_or(0)) / 1_000.0;
        let now_s = self.seconds();
        let loading = self
            .agents
            .iter_mut()
            .filter(|agent| agent.engine.loading.is_some());
        for agent in loading {
            agent.remaining_bytes -= bytes;
            if agent.remaining_bytes <= 0.0 {
                agent.engine.finish_loading();
                self.finished_s.push(now_s);
            }
        }
    }

    /// Records when each model is first served, and counts models without a replica afterwards.
    fn record_served_models(&mut self) {
        let now_s = self.seconds();
        for (model, first_served_s) in self.models.iter().zip(&mut self.models_s) {
            let served = self.agents.iter().any(|agent| {
                let loaded = agent.engine.loaded.as_ref();
                agent.engine.loading.is_none()
                    && loaded.is_some_and(|loaded| loaded.model == *model)
            });
            if served {
                first_served_s.get_or_insert(now_s);
            } else {
                self.models_lost += usize::from(first_served_s.is_some());
            }
        }
    }

    fn result(mut self) -> ZoneResult {
        self.finished_s.sort_by(f64::total_cmp);
        let time_s = |index: usize| self.finished_s.get(index).copied().unwrap_or(f64::INFINITY);
        let changing = self.case.changing();
        let replicas = f64::from(u32::try_from(changing).unwrap_or(u32::MAX));
        let shared_s = replicas * WEIGHT_BYTES / STORE_BYTES_PER_S;
        let last_s = time_s(changing.saturating_sub(1));
        let records = f64::from(u32::try_from(self.log.len()).unwrap_or(u32::MAX));
        let models_s = self
            .models_s
            .iter()
            .map(|time_s| time_s.unwrap_or(f64::INFINITY));
        ZoneResult {
            case: self.case.name,
            first_s: time_s(0),
            models_s: models_s.fold(0.0, f64::max),
            median_s: time_s(changing / 2),
            last_s,
            limit_s: shared_s.max(WEIGHT_BYTES / LINK_BYTES_PER_S),
            models_lost: self.models_lost,
            finished: self.finished_s.len(),
            changing,
            appends: self.log.len(),
            appends_peak_per_s: self.appends_peak,
            read_bytes_per_s: records * RECORD_BYTES / last_s.max(1.0),
        }
    }
}
