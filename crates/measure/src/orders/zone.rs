//! A zone's replicas that return, or change their version, through one weight store.

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
const LONGEST: Span = Span::from_s(4_000);
const MODELS: usize = 8;
/// Size of a model's weights.
const WEIGHT_BYTES: f64 = 60e9;
/// Rate of the weight store for a zone.
const STORE_BYTES_PER_S: f64 = 12.5e9;
/// Rate of an endpoint's own link.
const LINK_BYTES_PER_S: f64 = 3.125e9;
/// Appends a second that the log takes.
const LOG_APPENDS_PER_S: u64 = 400;
/// Size of a record in the log, in bytes.
const RECORD_BYTES: f64 = 240.0;
const PLAN_EVERY_STEPS: u64 = 100;
const READ_EVERY_STEPS: u64 = 20;
/// Steps after which what endpoints hold is known to all others.
const REPORT_EVERY_STEPS: u64 = 40;
const STEPS_PER_S: u64 = 20;
const STORE_SHARE_MIN: f64 = 1.0;

struct Agent {
    endpoint: EndpointId,
    holder: ClaimHolder,
    planner: Planner,
    engine: Engine,
    left_bytes: f64,
    starts_step: u64,
    read: usize,
}

struct Zone {
    case: Case,
    preset: PresetPlan,
    view: ZoneView,
    agents: Vec<Agent>,
    reported: Vec<Option<Assignment>>,
    log: Vec<Record>,
    /// Appends on their way, with the step at which they arrive.
    appends: VecDeque<(u64, Record)>,
    step: u64,
    served_s: Vec<f64>,
    models: Vec<ModelId>,
    models_s: Vec<Option<f64>>,
    models_lost: usize,
    appends_peak: u64,
    appends_this_s: u64,
}

/// Runs a case until all replicas serve.
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

fn preset(case: Case, models: &[ModelId]) -> eyre::Result<PresetPlan> {
    let version = if case.rolls { "v2" } else { "v1" };
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
            let held = models.get(index % MODELS).filter(|_| serves);
            let held = held.map(|model| assignment(model, "v1")).transpose()?;
            let endpoint: EndpointId = format!("engine-{index:03}").parse()?;
            agents.push(Agent {
                holder: ClaimHolder::new(endpoint.clone(), BootId::new(1), settings),
                endpoint,
                planner: Planner::new(),
                engine: Engine::new(EngineFencing::Ignored, held),
                left_bytes: 0.0,
                starts_step: rng.random_range(0..100),
                read: 0,
            });
        }
        let each = u64::try_from(total).unwrap_or(0) * 2_500 * 7 / 10 / 8;
        let demand = models
            .iter()
            .map(|model| (model.clone(), TokensPerSecond::new(each)));
        Ok(Self {
            case,
            preset: preset(case, &models)?,
            view: ZoneView {
                endpoints: Vec::new(),
                demand: demand.collect(),
            },
            reported: agents
                .iter()
                .map(|agent| agent.engine.holds.clone())
                .collect(),
            agents,
            log: Vec::new(),
            appends: VecDeque::new(),
            step: 0,
            served_s: Vec::new(),
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
        while self.served_s.len() < self.case.changing() && self.now() < Time::ZERO + LONGEST {
            self.append();
            for index in 0..self.agents.len() {
                self.advance(index);
            }
            self.fetch();
            self.note_models();
            self.step += 1;
        }
        self.result()
    }

    fn append(&mut self) {
        if self.step.is_multiple_of(STEPS_PER_S) {
            self.appends_this_s = 0;
        }
        while self.appends_this_s < LOG_APPENDS_PER_S
            && let Some((_, record)) = self.appends.pop_front_if(|(at, _)| *at <= self.step)
        {
            self.log.push(record);
            self.appends_this_s += 1;
            self.appends_peak = self.appends_peak.max(self.appends_this_s);
        }
        if self.step.is_multiple_of(REPORT_EVERY_STEPS) {
            let held = self.agents.iter().map(|agent| agent.engine.holds.clone());
            self.reported = held.collect();
        }
    }

    fn advance(&mut self, index: usize) {
        let now = self.now();
        let Some(agent) = self.agents.get_mut(index) else {
            return;
        };
        let phase = self.step + agent.starts_step;
        if self.step < agent.starts_step || !phase.is_multiple_of(READ_EVERY_STEPS) {
            return;
        }
        let mut actions = Vec::new();
        for record in self.log.iter().skip(agent.read) {
            agent.read += 1;
            let offset = Offset::new(u64::try_from(agent.read).unwrap_or(u64::MAX));
            let record = record.clone();
            actions.extend(agent.holder.on(now, Event::RecordRead { offset, record }));
        }
        actions.extend(agent.holder.on(now, Event::Tick));
        let due = agent.engine.holds.is_none() || phase.is_multiple_of(PLAN_EVERY_STEPS);
        if agent.holder.is_idle() && due {
            actions.extend(self.plan(index));
        }
        self.act(index, actions);
    }

    fn plan(&mut self, index: usize) -> Vec<Action> {
        let now = self.now();
        let live = self.agents.iter().zip(&self.reported);
        let live = live.filter(|(agent, _)| agent.starts_step <= self.step);
        let Some(ledger) = self
            .agents
            .get(index)
            .map(|agent| agent.holder.claim_table())
        else {
            return Vec::new();
        };
        let views = live.map(|(agent, held)| ledger.view(&agent.endpoint, held.as_ref()));
        self.view.endpoints = views.collect();
        let Some(agent) = self.agents.get_mut(index) else {
            return Vec::new();
        };
        let changes = agent.planner.plan(now, &self.preset, &self.view);
        let own = changes
            .into_iter()
            .find(|change| change.endpoint == agent.endpoint);
        let Some(change) = own else {
            return Vec::new();
        };
        let wanted = ChangeRequest {
            from_live: change
                .from
                .as_ref()
                .map_or(0, |model| self.view.live(model)),
            to_live: self.view.live(&change.to.model),
            bounds: self.preset.bounds(change.from.as_ref()),
            from: change.from,
            to: change.to,
        };
        agent.holder.on(now, Event::ChangeRequested(wanted))
    }

    fn act(&mut self, index: usize, actions: Vec<Action>) {
        let now = self.now();
        let mut queue = VecDeque::from(actions);
        while let Some(action) = queue.pop_front() {
            let Some(agent) = self.agents.get_mut(index) else {
                return;
            };
            match action {
                Action::Append(record) => self.appends.push_back((self.step + 1, record)),
                Action::QueryStatus => {
                    let status = agent.engine.status();
                    queue.extend(agent.holder.on(now, Event::Status(status)));
                }
                Action::SendOrder(order) => {
                    let number = order.number();
                    let event = match order.check(now) {
                        Ok(order) => {
                            let answer = agent.engine.order(order);
                            agent.left_bytes = WEIGHT_BYTES;
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

    /// Moves bytes for one step; those that fetch share the store's rate.
    fn fetch(&mut self) {
        let fetching = self
            .agents
            .iter()
            .filter(|agent| agent.engine.loading.is_some());
        let sharing = f64::from(u32::try_from(fetching.count()).unwrap_or(u32::MAX));
        let rate = LINK_BYTES_PER_S.min(STORE_BYTES_PER_S / sharing.max(STORE_SHARE_MIN));
        let step_s = Span::from_us(STEP_US).as_ms();
        let bytes = rate * f64::from(u32::try_from(step_s).unwrap_or(0)) / 1_000.0;
        let now_s = self.seconds();
        let loading = self
            .agents
            .iter_mut()
            .filter(|agent| agent.engine.loading.is_some());
        for agent in loading {
            agent.left_bytes -= bytes;
            if agent.left_bytes <= 0.0 {
                agent.engine.finish();
                self.served_s.push(now_s);
            }
        }
    }

    fn note_models(&mut self) {
        let now_s = self.seconds();
        for (model, since) in self.models.iter().zip(&mut self.models_s) {
            let served = self.agents.iter().any(|agent| {
                let held = agent.engine.holds.as_ref();
                agent.engine.loading.is_none() && held.is_some_and(|held| held.model == *model)
            });
            if served {
                since.get_or_insert(now_s);
            } else {
                self.models_lost += usize::from(since.is_some());
            }
        }
    }

    fn result(mut self) -> ZoneResult {
        self.served_s.sort_by(f64::total_cmp);
        let at = |index: usize| self.served_s.get(index).copied().unwrap_or(f64::INFINITY);
        let changing = self.case.changing();
        let replicas = f64::from(u32::try_from(changing).unwrap_or(u32::MAX));
        let shared_s = replicas * WEIGHT_BYTES / STORE_BYTES_PER_S;
        let last_s = at(changing.saturating_sub(1));
        let records = f64::from(u32::try_from(self.log.len()).unwrap_or(u32::MAX));
        let models_s = self.models_s.iter().map(|at| at.unwrap_or(f64::INFINITY));
        ZoneResult {
            case: self.case.name,
            first_s: at(0),
            models_s: models_s.fold(0.0, f64::max),
            median_s: at(changing / 2),
            last_s,
            limit_s: shared_s.max(WEIGHT_BYTES / LINK_BYTES_PER_S),
            models_lost: self.models_lost,
            finished: self.served_s.len(),
            changing,
            appends: self.log.len(),
            appends_peak_per_s: self.appends_peak,
            read_bytes_per_s: records * RECORD_BYTES / last_s.max(1.0),
        }
    }
}
