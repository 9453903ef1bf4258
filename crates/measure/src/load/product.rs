//! The product's decisions: a router for each entry, admission at each engine.

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

use super::drive::{CACHE_DELAY, Decider, Event, LINK, Reply, Stage, entry_of, zone_of};
use super::engine::{BLOCK_TOKENS, BLOCKS, COLD_SLOTS, SLOTS};
use super::policy::Policy;
use super::tally::End;
use super::workload::{Draw, ENGINES, ENTRIES, MAX_TOKENS, SHARES, ZONES};

/// Requests that may wait at an agent.
const WAITING_MAX: u32 = 8;
/// Requests that may wait at an entry.
const QUEUE_MAX: usize = 4_096;
/// How long unused credits last.
const CREDITS_LAST: Span = Span::from_s(8);
/// Longest time between two load reports.
const PUSH_INTERVAL: Span = Span::from_s(4);
/// Share of cache events that never arrive.
const CACHE_GAPS: f64 = 0.3;

/// Entries and agents.
pub(crate) struct Product {
    policy: Policy,
    routers: Vec<Router>,
    agents: Vec<Admission>,
    endpoints: Vec<EndpointId>,
    zones: Vec<ZoneId>,
    organisations: Vec<OrganisationId>,
    model: ModelId,
    /// Loads as last pushed, and when the next push is due.
    made: Vec<(EndpointLoad, Time)>,
    rng: ChaCha8Rng,
}

impl Product {
    pub(crate) fn new(policy: Policy, draws: &[Draw], seed: u64) -> Result<Self, ParseIdError> {
        let lengths: Vec<u32> = draws.iter().map(|draw| draw.length).collect();
        let zones = names::<ZoneId>("zone", ZONES)?;
        let endpoints = names::<EndpointId>("engine", ENGINES)?;
        let routers = (0..ENTRIES)
            .zip(&zones)
            .map(|(entry, zone)| router(policy, zone, entry, seed))
            .collect();
        let agents = endpoints
            .iter()
            .map(|_| Admission::new(shape(), BootId::new(1), policy.lengths(&lengths)))
            .collect();
        let mut product = Self {
            policy,
            routers,
            agents,
            endpoints,
            zones,
            organisations: names("org", SHARES.len())?,
            model: "lentil-writer".parse()?,
            made: vec![(EndpointLoad::default(), Time::ZERO); ENGINES],
            rng: ChaCha8Rng::seed_from_u64(seed ^ 0xcac4e),
        };
        product.introduce();
        Ok(product)
    }

    /// Every agent finds its engine, every router its endpoints.
    fn introduce(&mut self) {
        let now = Time::ZERO;
        for agent in &mut self.agents {
            agent.on(now, AdmitEvent::EndpointStarted { foreign: 0 });
        }
        for router in &mut self.routers {
            for (number, endpoint) in self.endpoints.iter().enumerate() {
                if let Some(zone) = self.zones.get(zone_of(number)) {
                    let seen = RouteEvent::EndpointAdded {
                        endpoint: endpoint.clone(),
                        zone: zone.clone(),
                    };
                    router.on(now, seen);
                }
            }
        }
    }

    fn route(&mut self, stage: &mut Stage, entry: usize, event: RouteEvent) {
        let Some(router) = self.routers.get_mut(entry) else {
            return;
        };
        for action in router.on(stage.now, event) {
            match action {
                Route::Send { request, endpoint } => {
                    let engine = self.endpoints.iter().position(|id| *id == endpoint);
                    if let Some(engine) = engine {
                        stage.send(engine, number_of(request));
                    }
                }
                Route::Refuse { request, .. } => stage.end(number_of(request), End::Refused),
                Route::Fail { request } => stage.end(number_of(request), End::Failed),
                Route::CancelAttempt { .. } => {}
            }
        }
    }

    fn admit(&mut self, stage: &mut Stage, engine: usize, event: AdmitEvent) {
        let Some(agent) = self.agents.get_mut(engine) else {
            return;
        };
        for action in agent.on(stage.now, event) {
            match action {
                Admit::Start { attempt, generated } => {
                    let request = request_of(attempt);
                    stage.start(engine, request, generated.get());
                    if generated == TokenCount::ZERO && self.rng.random::<f64>() > CACHE_GAPS {
                        let event = Event::Reply {
                            request,
                            engine,
                            reply: Reply::Cached,
                        };
                        stage.at(stage.now + CACHE_DELAY, event);
                    }
                }
                Admit::Preempt { attempt } => {
                    let request = request_of(attempt);
                    if let Some(target) = stage.engines.get_mut(engine) {
                        target.remove(request);
                    }
                    stage.tally.preemptions += 1;
                }
                Admit::Refuse { attempt, .. } => {
                    stage.reply(engine, request_of(attempt), Reply::Refused);
                }
            }
        }
    }

    /// A reply carries the load of its agent.
    fn carry_load(&mut self, stage: &mut Stage, engine: usize, entry: usize) {
        let (Some(agent), Some(endpoint)) = (
            self.agents.get_mut(engine),
            self.endpoints.get(engine).cloned(),
        ) else {
            return;
        };
        let load = agent.load(stage.now);
        self.tell(stage, entry, endpoint, load);
    }

    /// Pushes an agent's load as the agent's shell does.
    fn push(&mut self, stage: &mut Stage, engine: usize) {
        let (Some(agent), Some((made, due))) =
            (self.agents.get_mut(engine), self.made.get_mut(engine))
        else {
            return;
        };
        let load = agent.load(stage.now);
        let crossed = (made.free_slots == 0) != (load.free_slots == 0);
        if made.state != load.state || crossed || due.has_passed(stage.now) {
            *made = load;
            *due = stage.now + PUSH_INTERVAL;
            stage.at(stage.now + LINK, Event::Pushed { engine });
        }
    }

    /// Tells an entry a load, and grants it its share of the room.
    fn tell(&mut self, stage: &mut Stage, entry: usize, endpoint: EndpointId, load: EndpointLoad) {
        let place = endpoint.clone();
        self.route(stage, entry, RouteEvent::Load { endpoint, load });
        if self.policy != Policy::Credits {
            return;
        }
        let entries = u32::try_from(ENTRIES).unwrap_or(1);
        let turn = u32::try_from(load.sequence % u64::from(entries)).unwrap_or(0);
        let rank = (u32::try_from(entry).unwrap_or(0) + turn) % entries;
        let event = RouteEvent::Credits {
            endpoint: place,
            boot: load.boot,
            credits: load.free_slots.saturating_add(rank) / entries,
            expires: stage.now + CREDITS_LAST,
        };
        self.route(stage, entry, event);
    }

    fn request(&self, stage: &Stage, request: usize) -> Option<Request> {
        let draw = stage.draws.get(request)?;
        Some(Request {
            id: RequestId::new(u64::try_from(request).ok()?),
            organisation: self.organisations.get(draw.organisation)?.clone(),
            weight: Weight::new(1),
            priority: draw.priority,
            prompt: TokenCount::new(draw.prompt),
            deadline: draw.deadline,
            prefix: Some(PrefixHash::new(draw.prefix)),
            hedgeable: false,
        })
    }
}

fn names<T: std::str::FromStr>(kind: &str, count: usize) -> Result<Vec<T>, T::Err> {
    (0..count).map(|n| format!("{kind}-{n}").parse()).collect()
}

fn shape() -> EngineConfig {
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

fn number_of(request: RequestId) -> usize {
    usize::try_from(request.get()).unwrap_or(usize::MAX)
}

fn request_of(attempt: AttemptId) -> usize {
    usize::try_from(attempt.get()).unwrap_or(usize::MAX)
}

fn attempt_of(request: usize) -> AttemptId {
    AttemptId::new(u128::try_from(request).unwrap_or(u128::MAX))
}

impl Decider for Product {
    fn arrival(&mut self, stage: &mut Stage, request: usize) {
        if let Some(new) = self.request(stage, request) {
            self.route(stage, entry_of(request), RouteEvent::Arrived(new));
        }
    }

    fn reach(&mut self, stage: &mut Stage, engine: usize, request: usize) {
        let Some(draw) = stage.draws.get(request) else {
            return;
        };
        let Some(organisation) = self.organisations.get(draw.organisation).cloned() else {
            return;
        };
        if !stage.is_open(request) {
            return;
        }
        let work = GenerationSpec {
            attempt: attempt_of(request),
            organisation,
            model: self.model.clone(),
            priority: draw.priority,
            prompt: TokenCount::new(draw.prompt),
            max_tokens: TokenCount::new(MAX_TOKENS),
            deadline: draw.deadline,
            suspect: false,
        };
        stage.reply(engine, request, Reply::Accepted);
        self.admit(stage, engine, AdmitEvent::Arrived(work));
    }

    fn reply(&mut self, stage: &mut Stage, engine: usize, id: usize, reply: Reply) {
        let entry = entry_of(id);
        let (Some(endpoint), Some(draw)) =
            (self.endpoints.get(engine).cloned(), stage.draws.get(id))
        else {
            return;
        };
        let tokens = TokenCount::new(draw.length);
        let prefix = PrefixHash::new(draw.prefix);
        let request = RequestId::new(u64::try_from(id).unwrap_or(u64::MAX));
        let event = match reply {
            Reply::Accepted => RouteEvent::Accepted { request, endpoint },
            Reply::Refused => RouteEvent::Refused { request, endpoint },
            Reply::Answering => RouteEvent::ResponseStarted { request, endpoint },
            Reply::Finished => RouteEvent::Finished {
                request,
                endpoint,
                tokens,
            },
            Reply::Failed => RouteEvent::Failed {
                request,
                endpoint,
                outcome: Outcome::Unknown,
                repeatable: !stage.has_token(id),
            },
            Reply::Cached => RouteEvent::Cached {
                endpoint,
                prefix,
                kept: true,
            },
        };
        self.route(stage, entry, event);
        if matches!(reply, Reply::Accepted | Reply::Refused | Reply::Finished) {
            self.carry_load(stage, engine, entry);
        }
    }

    fn stepped(&mut self, stage: &mut Stage, engine: usize, tokens: &[(usize, u32)]) {
        for (request, generated) in tokens {
            let event = AdmitEvent::Progress {
                attempt: attempt_of(*request),
                generated: TokenCount::new(*generated),
            };
            self.admit(stage, engine, event);
        }
    }

    fn finished(&mut self, stage: &mut Stage, engine: usize, request: usize) {
        let attempt = attempt_of(request);
        self.admit(stage, engine, AdmitEvent::Finished { attempt });
    }

    fn preempted(&mut self, stage: &mut Stage, engine: usize, request: usize) {
        let attempt = attempt_of(request);
        self.admit(stage, engine, AdmitEvent::EnginePreempted { attempt });
    }

    fn cancelled(&mut self, stage: &mut Stage, request: usize) {
        let id = RequestId::new(u64::try_from(request).unwrap_or(u64::MAX));
        self.route(
            stage,
            entry_of(request),
            RouteEvent::Cancelled { request: id },
        );
        for engine in 0..ENGINES {
            if let Some(target) = stage.engines.get_mut(engine) {
                target.remove(request);
            }
            let attempt = attempt_of(request);
            self.admit(stage, engine, AdmitEvent::Dropped { attempt });
        }
    }

    fn tick(&mut self, stage: &mut Stage) {
        for entry in 0..ENTRIES {
            self.route(stage, entry, RouteEvent::Tick);
        }
        for engine in 0..ENGINES {
            self.admit(stage, engine, AdmitEvent::Tick);
            self.push(stage, engine);
        }
    }

    fn report(&mut self, stage: &mut Stage) {
        for engine in 0..ENGINES {
            let Some(target) = stage.engines.get(engine) else {
                continue;
            };
            let event = AdmitEvent::EngineLoad {
                running: u32::try_from(target.running() + target.waiting()).unwrap_or(u32::MAX),
                blocks_used: Blocks::new(target.blocks_used()),
            };
            self.admit(stage, engine, event);
        }
    }

    fn reported(&mut self, _stage: &mut Stage) {}

    fn pushed(&mut self, stage: &mut Stage, engine: usize) {
        let (Some((load, _)), Some(endpoint)) = (
            self.made.get(engine).copied(),
            self.endpoints.get(engine).cloned(),
        ) else {
            return;
        };
        for entry in 0..ENTRIES {
            self.tell(stage, entry, endpoint.clone(), load);
        }
    }

    fn died(&mut self, stage: &mut Stage, engine: usize) {
        self.admit(stage, engine, AdmitEvent::EndpointDown);
    }

    fn started(&mut self, stage: &mut Stage, engine: usize) {
        self.admit(stage, engine, AdmitEvent::EndpointStarted { foreign: 0 });
    }

    fn zone(&mut self, stage: &mut Stage, zone: usize, withdrawn: bool) {
        for engine in (0..ENGINES).filter(|engine| zone_of(*engine) == zone) {
            self.admit(stage, engine, AdmitEvent::Withdrawn(withdrawn));
        }
        let Some(zone) = self.zones.get(zone).cloned() else {
            return;
        };
        for entry in 0..ENTRIES {
            let zone = zone.clone();
            self.route(stage, entry, RouteEvent::ZoneWithdrawn { zone, withdrawn });
        }
    }
}
