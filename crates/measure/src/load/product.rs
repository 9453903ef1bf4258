//! The product's policies: a router in each entry and admission in each engine's agent.

use lentil_admit::{Action as Admit, Admission, EngineConfig, Event as AdmitEvent, GenerationSpec};
use lentil_core::{
    AttemptId, Blocks, BootId, EndpointId, EndpointLoad, ModelId, OrganisationId, Outcome,
    ParseIdError, Span, Time, TokenCount, Weight, ZoneId,
};
use lentil_route::{
    Action as Route, Event as RouteEvent, PrefixHash, Request, RequestId, Router, RouterConfig,
    SendMode,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::engine::{BLOCK_TOKENS, BLOCKS, COLD_SLOTS, SLOTS};
use super::policy::Policy;
use super::simulation::{
    CACHE_DELAY, Event, LINK_DELAY, Reply, Scheduler, Simulation, entry_of_request, zone_of_engine,
};
use super::stats::RequestStatus;
use super::workload::{ENGINES, ENTRIES, MAX_TOKENS, ORGANISATION_SHARES, SampledRequest, ZONES};

/// Maximum number of requests that wait at an agent.
const WAITING_MAX: u32 = 8;
/// Maximum number of requests that wait at an entry.
const QUEUE_MAX: usize = 4_096;
/// Time after which unused credits expire.
const CREDIT_LIFETIME: Span = Span::from_s(8);
/// Longest time between two load reports.
const PUSH_INTERVAL: Span = Span::from_s(4);
/// Share of cache events that are lost.
const CACHE_EVENT_LOSS: f64 = 0.3;

/// The routers of all entries and the admission of all agents.
pub(crate) struct Product {
    policy: Policy,
    routers: Vec<Router>,
    agents: Vec<Admission>,
    endpoints: Vec<EndpointId>,
    zones: Vec<ZoneId>,
    organisations: Vec<OrganisationId>,
    model: ModelId,
    /// Load last pushed by each agent, and when its next push is due.
    pushed: Vec<(EndpointLoad, Time)>,
    rng: ChaCha8Rng,
}

impl Product {
    pub(crate) fn new(
        policy: Policy,
        requests: &[SampledRequest],
        seed: u64,
    ) -> Result<Self, ParseIdError> {
        let lengths: Vec<u32> = requests.iter().map(|sampled| sampled.length).collect();
        let zones = numbered_ids::<ZoneId>("zone", ZONES)?;
        let endpoints = numbered_ids::<EndpointId>("engine", ENGINES)?;
        let routers = (0..ENTRIES)
            .zip(&zones)
            .map(|(entry, zone)| router(policy, zone, entry, seed))
            .collect();
        let agents = endpoints
            .iter()
            .map(|_| {
                Admission::new(
                    engine_config(),
                    BootId::new(1),
                    policy.length_estimator(&lengths),
                )
            })
            .collect();
        let mut product = Self {
            policy,
            routers,
            agents,
            endpoints,
            zones,
            organisations: numbered_ids("org", ORGANISATION_SHARES.len())?,
            model: "lentil-writer".parse()?,
            pushed: vec![(EndpointLoad::default(), Time::ZERO); ENGINES],
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xcac4e),
        };
        product.register_endpoints();
        Ok(product)
    }

    /// Reports the engine's start to every agent and all endpoints to every router.
    fn register_endpoints(&mut self) {
        let now = Time::ZERO;
        for agent in &mut self.agents {
            agent.on(now, AdmitEvent::EndpointStarted { foreign: 0 });
        }
        for router in &mut self.routers {
            for (number, endpoint) in self.endpoints.iter().enumerate() {
                if let Some(zone) = self.zones.get(zone_of_engine(number)) {
                    let seen = RouteEvent::EndpointAdded {
                        endpoint: endpoint.clone(),
                        zone: zone.clone(),
                    };
                    router.on(now, seen);
                }
            }
        }
    }

    fn route(&mut self, sim: &mut Simulation, entry: usize, event: RouteEvent) {
        let Some(router) = self.routers.get_mut(entry) else {
            return;
        };
        for action in router.on(sim.now, event) {
            match action {
                Route::Send { request, endpoint } => {
                    let engine = self.endpoints.iter().position(|id| *id == endpoint);
                    if let Some(engine) = engine {
                        sim.send(engine, request_index(request));
                    }
                }
                Route::Refuse { request, .. } => {
                    sim.set_status(request_index(request), RequestStatus::Refused);
                }
                Route::Fail { request } => {
                    sim.set_status(request_index(request), RequestStatus::Failed);
                }
                Route::CancelAttempt { .. } => {}
            }
        }
    }

    fn admit(&mut self, sim: &mut Simulation, engine: usize, event: AdmitEvent) {
        let Some(agent) = self.agents.get_mut(engine) else {
            return;
        };
        for action in agent.on(sim.now, event) {
            match action {
                Admit::Start { attempt, generated } => {
                    let request = request_of_attempt(attempt);
                    sim.start(engine, request, generated.get());
                    if generated == TokenCount::ZERO && self.rng.random::<f64>() > CACHE_EVENT_LOSS
                    {
                        let event = Event::Reply {
                            request,
                            engine,
                            reply: Reply::Cached,
                        };
                        sim.schedule(sim.now + CACHE_DELAY, event);
                    }
                }
                Admit::Preempt { attempt } => {
                    let request = request_of_attempt(attempt);
                    if let Some(target) = sim.engines.get_mut(engine) {
                        target.remove(request);
                    }
                    sim.stats.preemptions += 1;
                }
                Admit::Refuse { attempt, .. } => {
                    sim.reply(engine, request_of_attempt(attempt), Reply::Refused);
                }
            }
        }
    }

    /// Delivers the agent's load to the entry along with a reply.
    fn piggyback_load(&mut self, sim: &mut Simulation, engine: usize, entry: usize) {
        let (Some(agent), Some(endpoint)) = (
            self.agents.get_mut(engine),
            self.endpoints.get(engine).cloned(),
        ) else {
            return;
        };
        let load = agent.load(sim.now);
        self.deliver_load(sim, entry, endpoint, load);
    }

    /// Pushes an agent's load if it has changed enough or a push is due, as the agent's shell
    /// does.
    fn push_load(&mut self, sim: &mut Simulation, engine: usize) {
        let (Some(agent), Some((pushed, due))) =
            (self.agents.get_mut(engine), self.pushed.get_mut(engine))
        else {
            return;
        };
        let load = agent.load(sim.now);
        let crossed = (pushed.free_slots == 0) != (load.free_slots == 0);
        if pushed.state != load.state || crossed || due.has_passed(sim.now) {
            *pushed = load;
            *due = sim.now + PUSH_INTERVAL;
            sim.schedule(sim.now + LINK_DELAY, Event::PushDelivered { engine });
        }
    }

    /// Delivers a load to an entry and, under the credits policy, grants the entry its share of
    /// the free slots.
    fn deliver_load(
        &mut self,
        sim: &mut Simulation,
        entry: usize,
        endpoint: EndpointId,
        load: EndpointLoad,
    ) {
        let credited_endpoint = endpoint.clone();
        self.route(sim, entry, RouteEvent::Load { endpoint, load });
        if self.policy != Policy::Credits {
            return;
        }
        let entries = u32::try_from(ENTRIES).unwrap_or(1);
        let turn = u32::try_from(load.sequence % u64::from(entries)).unwrap_or(0);
        let rank = (u32::try_from(entry).unwrap_or(0) + turn) % entries;
        let event = RouteEvent::Credits {
            endpoint: credited_endpoint,
            boot: load.boot,
            credits: load.free_slots.saturating_add(rank) / entries,
            expires: sim.now + CREDIT_LIFETIME,
        };
        self.route(sim, entry, event);
    }

    fn request(&self, sim: &Simulation, request: usize) -> Option<Request> {
        let sampled = sim.requests.get(request)?;
        Some(Request {
            id: RequestId::new(u64::try_from(request).ok()?),
            organisation: self.organisations.get(sampled.organisation)?.clone(),
            weight: Weight::new(1),
            priority: sampled.priority,
            prompt: TokenCount::new(sampled.prompt),
            deadline: sampled.deadline,
            prefix: Some(PrefixHash::new(sampled.prefix)),
            hedgeable: false,
        })
    }
}

fn numbered_ids<T: std::str::FromStr>(kind: &str, count: usize) -> Result<Vec<T>, T::Err> {
    (0..count).map(|n| format!("{kind}-{n}").parse()).collect()
}

fn engine_config() -> EngineConfig {
    EngineConfig {
        slots: SLOTS,
        cold_slots: COLD_SLOTS,
        blocks: Blocks::new(BLOCKS),
        block_tokens: TokenCount::new(BLOCK_TOKENS),
        waiting_max: WAITING_MAX,
        agent_preempts: true,
    }
}

fn router(policy: Policy, zone: &ZoneId, entry: usize, seed: u64) -> Router {
    let mode = match policy {
        Policy::Credits => SendMode::Credits,
        _ => SendMode::Optimistic,
    };
    Router::new(RouterConfig {
        zone: zone.clone(),
        queue_max: QUEUE_MAX,
        mode,
        seed: seed.wrapping_add(u64::try_from(entry).unwrap_or(0)),
    })
}

fn request_index(request: RequestId) -> usize {
    usize::try_from(request.get()).unwrap_or(usize::MAX)
}

fn request_of_attempt(attempt: AttemptId) -> usize {
    usize::try_from(attempt.get()).unwrap_or(usize::MAX)
}

fn attempt_of_request(request: usize) -> AttemptId {
    AttemptId::new(u128::try_from(request).unwrap_or(u128::MAX))
}

impl Scheduler for Product {
    fn request_arrived(&mut self, sim: &mut Simulation, request: usize) {
        if let Some(new) = self.request(sim, request) {
            self.route(sim, entry_of_request(request), RouteEvent::Arrived(new));
        }
    }

    fn request_delivered(&mut self, sim: &mut Simulation, engine: usize, request: usize) {
        let Some(sampled) = sim.requests.get(request) else {
            return;
        };
        let Some(organisation) = self.organisations.get(sampled.organisation).cloned() else {
            return;
        };
        if !sim.is_open(request) {
            return;
        }
        let work = GenerationSpec {
            attempt: attempt_of_request(request),
            organisation,
            model: self.model.clone(),
            priority: sampled.priority,
            prompt: TokenCount::new(sampled.prompt),
            max_tokens: TokenCount::new(MAX_TOKENS),
            deadline: sampled.deadline,
            suspect: false,
        };
        sim.reply(engine, request, Reply::Accepted);
        self.admit(sim, engine, AdmitEvent::Arrived(work));
    }

    fn reply_arrived(&mut self, sim: &mut Simulation, engine: usize, id: usize, reply: Reply) {
        let entry = entry_of_request(id);
        let (Some(endpoint), Some(sampled)) =
            (self.endpoints.get(engine).cloned(), sim.requests.get(id))
        else {
            return;
        };
        let tokens = TokenCount::new(sampled.length);
        let prefix = PrefixHash::new(sampled.prefix);
        let request = RequestId::new(u64::try_from(id).unwrap_or(u64::MAX));
        let event = match reply {
            Reply::Accepted => RouteEvent::Accepted { request, endpoint },
            Reply::Refused => RouteEvent::Refused { request, endpoint },
            Reply::FirstToken => RouteEvent::ResponseStarted { request, endpoint },
            Reply::Finished => RouteEvent::Finished {
                request,
                endpoint,
                tokens,
            },
            Reply::Failed => RouteEvent::Failed {
                request,
                endpoint,
                outcome: Outcome::Unknown,
                repeatable: !sim.has_token(id),
            },
            Reply::Cached => RouteEvent::Cached {
                endpoint,
                prefix,
                kept: true,
            },
        };
        self.route(sim, entry, event);
        if matches!(reply, Reply::Accepted | Reply::Refused | Reply::Finished) {
            self.piggyback_load(sim, engine, entry);
        }
    }

    fn step_ended(&mut self, sim: &mut Simulation, engine: usize, tokens: &[(usize, u32)]) {
        for (request, generated) in tokens {
            let event = AdmitEvent::Progress {
                attempt: attempt_of_request(*request),
                generated: TokenCount::new(*generated),
            };
            self.admit(sim, engine, event);
        }
    }

    fn request_finished(&mut self, sim: &mut Simulation, engine: usize, request: usize) {
        let attempt = attempt_of_request(request);
        self.admit(sim, engine, AdmitEvent::Finished { attempt });
    }

    fn request_preempted(&mut self, sim: &mut Simulation, engine: usize, request: usize) {
        let attempt = attempt_of_request(request);
        self.admit(sim, engine, AdmitEvent::EnginePreempted { attempt });
    }

    fn caller_left(&mut self, sim: &mut Simulation, request: usize) {
        let id = RequestId::new(u64::try_from(request).unwrap_or(u64::MAX));
        self.route(
            sim,
            entry_of_request(request),
            RouteEvent::Cancelled { request: id },
        );
        for engine in 0..ENGINES {
            if let Some(target) = sim.engines.get_mut(engine) {
                target.remove(request);
            }
            let attempt = attempt_of_request(request);
            self.admit(sim, engine, AdmitEvent::Dropped { attempt });
        }
    }

    fn tick(&mut self, sim: &mut Simulation) {
        for entry in 0..ENTRIES {
            self.route(sim, entry, RouteEvent::Tick);
        }
        for engine in 0..ENGINES {
            self.admit(sim, engine, AdmitEvent::Tick);
            self.push_load(sim, engine);
        }
    }

    fn sample_loads(&mut self, sim: &mut Simulation) {
        for engine in 0..ENGINES {
            let Some(target) = sim.engines.get(engine) else {
                continue;
            };
            let event = AdmitEvent::EngineLoad {
                running: u32::try_from(target.running() + target.waiting()).unwrap_or(u32::MAX),
                blocks_used: Blocks::new(target.blocks_used()),
            };
            self.admit(sim, engine, event);
        }
    }

    fn loads_delivered(&mut self, _sim: &mut Simulation) {}

    fn push_delivered(&mut self, sim: &mut Simulation, engine: usize) {
        let (Some((load, _)), Some(endpoint)) = (
            self.pushed.get(engine).copied(),
            self.endpoints.get(engine).cloned(),
        ) else {
            return;
        };
        for entry in 0..ENTRIES {
            self.deliver_load(sim, entry, endpoint.clone(), load);
        }
    }

    fn engine_crashed(&mut self, sim: &mut Simulation, engine: usize) {
        self.admit(sim, engine, AdmitEvent::EndpointDown);
    }

    fn engine_started(&mut self, sim: &mut Simulation, engine: usize) {
        self.admit(sim, engine, AdmitEvent::EndpointStarted { foreign: 0 });
    }

    fn zone_changed(&mut self, sim: &mut Simulation, zone: usize, withdrawn: bool) {
        for engine in (0..ENGINES).filter(|engine| zone_of_engine(*engine) == zone) {
            self.admit(sim, engine, AdmitEvent::Withdrawn(withdrawn));
        }
        let Some(zone) = self.zones.get(zone).cloned() else {
            return;
        };
        for entry in 0..ENTRIES {
            let zone = zone.clone();
            self.route(sim, entry, RouteEvent::ZoneWithdrawn { zone, withdrawn });
        }
    }
}
