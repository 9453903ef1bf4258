//! Simulation of streamed generations: engines, agents, entries and callers that read streams.

mod caller;
mod engine;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use lentil_core::{
    AttemptId, BootId, Fingerprint, GenerationId, RequestKey, Span, Time, TokenIndex,
};
use lentil_stream::{EngineCommand, GenerationStore, Limits, ReadResult, StreamEvent};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use self::caller::Caller;
use self::engine::FakeEngine;
use crate::plan::{FaultKind, FaultPlan, Guard};
use crate::simulation::CallSimulation;

/// Virtual time at which a simulation ends.
const RUN_END: Time = Time::from_us(90_000_000);
/// Number of endpoints; each has an engine and an agent.
const ENDPOINTS: usize = 2;
/// Number of callers.
const CALLERS: usize = 4;
/// Time between two steps of an engine, an agent or a caller.
const STEP_INTERVAL: Span = Span::from_ms(10);
/// Upper bound of the extra latency of a delayed or duplicated message.
const DELAY_MAX_US: u64 = 2_500_000;

/// Counts of one or more stream simulations.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamReport {
    /// Streams that callers started.
    pub streams: u64,
    /// Streams that ended complete for their caller.
    pub whole: u64,
    /// Streams that ended with an error reported to the caller.
    pub failed: u64,
    /// Streams whose caller disconnected.
    pub left: u64,
    /// Streams that hadn't ended when the simulation ended.
    pub unfinished: u64,
    /// Tokens that callers received.
    pub tokens: u64,
    /// Tokens received out of order, twice, after a gap, or from another
    /// generation.
    pub wrong_tokens: u64,
    /// Streams reported as complete that weren't.
    pub false_ends: u64,
    /// Number of times an entry resumed a generation.
    pub resumes: u64,
    /// Generations that still run at an engine at the end of the simulation.
    pub leaked: u64,
}

impl StreamReport {
    /// Adds the counts of another simulation.
    pub const fn add(&mut self, other: &Self) {
        self.streams += other.streams;
        self.whole += other.whole;
        self.failed += other.failed;
        self.left += other.left;
        self.unfinished += other.unfinished;
        self.tokens += other.tokens;
        self.wrong_tokens += other.wrong_tokens;
        self.false_ends += other.false_ends;
        self.resumes += other.resumes;
        self.leaked += other.leaked;
    }

    /// Whether an invariant was violated.
    #[must_use]
    pub const fn violated(&self) -> bool {
        self.wrong_tokens + self.false_ends + self.leaked > 0
    }
}

/// An event of the simulation: a message, a periodic step or a fault.
#[derive(Debug, Clone)]
enum SimulationEvent {
    EngineStep(usize),
    AgentStep(usize),
    CallerStep(usize),
    StartFault(usize),
    RestartAgent(usize),
    RestartEngine(usize),
    /// An entry asks an agent for tokens. Without a generation, the agent starts one.
    Pull {
        caller: usize,
        attempt: AttemptId,
        endpoint: usize,
        generation: Option<GenerationId>,
        from: TokenIndex,
        limit: usize,
    },
    Reply(usize, AttemptId, StreamEvent),
    PullTimeout(usize, AttemptId, u64),
    Cancel(usize, GenerationId),
}

/// A request for tokens that the agent answers as soon as it has some.
#[derive(Debug, Clone)]
struct PendingPull {
    caller: usize,
    attempt: AttemptId,
    from: TokenIndex,
    limit: usize,
}

/// A simulated agent with the production [`GenerationStore`].
#[derive(Debug)]
struct FakeAgent {
    boot: BootId,
    generations_started: u64,
    store: GenerationStore,
    pending_pulls: Vec<(GenerationId, PendingPull)>,
    paused_until: Time,
}

/// A seeded simulation of streams.
#[derive(Debug)]
pub struct StreamSimulation {
    plan: FaultPlan,
    guard: Guard,
    now: Time,
    rng: ChaCha8Rng,
    engines: Vec<FakeEngine>,
    agents: Vec<Option<FakeAgent>>,
    callers: Vec<Caller>,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, SimulationEvent>,
    events_scheduled: u64,
    boots: u64,
    attempts_started: u128,
    report: StreamReport,
}

impl StreamSimulation {
    /// Creates a simulation; all random choices derive from `seed`.
    #[must_use]
    pub fn new(seed: u64, plan: FaultPlan, guard: Guard) -> Self {
        let mut simulation = Self {
            plan,
            guard,
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: Vec::new(),
            agents: Vec::new(),
            callers: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            events_scheduled: 0,
            boots: 0,
            attempts_started: 0,
            report: StreamReport::default(),
        };
        simulation.set_up();
        simulation
    }

    /// Runs the simulation to its end and returns the counts.
    #[must_use]
    pub fn run(mut self) -> StreamReport {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > RUN_END || self.is_finished() {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle_event(event);
            }
        }
        self.finish()
    }

    /// Whether all callers are done and no engine generates tokens any more.
    fn is_finished(&self) -> bool {
        self.callers.iter().all(Caller::is_done)
            && self.engines.iter().all(|engine| engine.running() == 0)
    }

    fn set_up(&mut self) {
        for endpoint in 0..ENDPOINTS {
            let retains_all = self.rng.random_bool(0.5);
            self.engines.push(FakeEngine::new(retains_all));
            self.agents.push(None);
            self.start_agent(endpoint);
            self.schedule_after(STEP_INTERVAL, SimulationEvent::EngineStep(endpoint));
            self.schedule_after(STEP_INTERVAL, SimulationEvent::AgentStep(endpoint));
        }
        for number in 0..CALLERS {
            let caller = Caller::random(number, &mut self.rng);
            let starts_at = caller.starts_at;
            self.callers.push(caller);
            self.schedule_at(starts_at, SimulationEvent::CallerStep(number));
        }
        for (number, fault) in self.plan.faults.clone().into_iter().enumerate() {
            self.schedule_at(fault.starts_at, SimulationEvent::StartFault(number));
        }
    }

    fn start_agent(&mut self, endpoint: usize) {
        self.boots += 1;
        let mut agent = FakeAgent {
            boot: BootId::new(self.boots),
            generations_started: 0,
            store: GenerationStore::new(Limits {
                generations_max: 16,
                tokens_max_bytes: 64 * 1024,
                hold: Span::from_s(10),
            }),
            pending_pulls: Vec::new(),
            paused_until: Time::ZERO,
        };
        // Adopts the generations that still run at the engine, with their identifiers.
        for (id, first) in self
            .engines
            .get(endpoint)
            .map(FakeEngine::resumable)
            .unwrap_or_default()
        {
            let _ = agent.store.open(self.now, &id, None, first);
        }
        if let Some(slot) = self.agents.get_mut(endpoint) {
            *slot = Some(agent);
        }
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::EngineStep(endpoint) => self.on_engine_step(endpoint),
            SimulationEvent::AgentStep(endpoint) => self.on_agent_step(endpoint),
            SimulationEvent::CallerStep(caller) => self.on_caller_step(caller),
            SimulationEvent::StartFault(number) => self.on_fault(number),
            SimulationEvent::RestartAgent(endpoint) => self.start_agent(endpoint),
            SimulationEvent::RestartEngine(endpoint) => {
                if let Some(engine) = self.engines.get_mut(endpoint) {
                    engine.alive = true;
                }
            }
            SimulationEvent::Pull {
                caller,
                attempt,
                endpoint,
                generation,
                from,
                limit,
            } => {
                let pull = PendingPull {
                    caller,
                    attempt,
                    from,
                    limit,
                };
                self.on_pull(endpoint, generation, pull);
            }
            SimulationEvent::Reply(caller, attempt, reply) => self.on_reply(caller, attempt, reply),
            SimulationEvent::PullTimeout(caller, attempt, pulls) => {
                self.on_pull_timeout(caller, attempt, pulls);
            }
            SimulationEvent::Cancel(endpoint, id) => self.on_cancel(endpoint, &id),
        }
    }

    fn on_engine_step(&mut self, endpoint: usize) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.step();
        }
        self.schedule_after(STEP_INTERVAL, SimulationEvent::EngineStep(endpoint));
    }

    /// Reads new tokens from the engine, cancels expired generations and answers pending pulls.
    fn on_agent_step(&mut self, endpoint: usize) {
        self.schedule_after(STEP_INTERVAL, SimulationEvent::AgentStep(endpoint));
        let now = self.now;
        let stalled = self
            .plan
            .active_until(FaultKind::EndpointStall, now, endpoint);
        let (Some(engine), Some(Some(agent))) = (
            self.engines.get_mut(endpoint),
            self.agents.get_mut(endpoint),
        ) else {
            return;
        };
        if agent.paused_until > now {
            return;
        }
        if stalled.is_none() {
            agent.read_engine(now, engine);
        }
        for order in agent.store.expire(now) {
            if let EngineCommand::Cancel(id) = order {
                engine.cancel(&id);
            }
        }
        self.answer_pending_pulls(endpoint);
    }

    fn answer_pending_pulls(&mut self, endpoint: usize) {
        let Some(Some(agent)) = self.agents.get_mut(endpoint) else {
            return;
        };
        let pending = std::mem::take(&mut agent.pending_pulls);
        let mut replies = Vec::new();
        for (id, pull) in pending {
            match agent.answer(&id, &pull) {
                Some(event) => {
                    agent.store.detach_reader(self.now, &id);
                    replies.push((pull, event));
                }
                None => agent.pending_pulls.push((id, pull)),
            }
        }
        for (pull, event) in replies {
            self.send_reply(endpoint, pull.caller, pull.attempt, event);
        }
    }

    fn send_reply(
        &mut self,
        endpoint: usize,
        caller: usize,
        attempt: AttemptId,
        event: StreamEvent,
    ) {
        let at = self.link_arrival_time(endpoint);
        let duplicate = self.plan.active(FaultKind::Duplicate, self.now).is_some();
        if duplicate && self.rng.random_bool(0.5) {
            let delay = Span::from_us(self.rng.random_range(0..DELAY_MAX_US));
            self.schedule_at(
                at + delay,
                SimulationEvent::Reply(caller, attempt, event.clone()),
            );
        }
        self.schedule_at(at, SimulationEvent::Reply(caller, attempt, event));
    }

    fn on_pull(&mut self, endpoint: usize, generation: Option<GenerationId>, pull: PendingPull) {
        let (caller, attempt) = (pull.caller, pull.attempt);
        let paused = self
            .agents
            .get(endpoint)
            .and_then(Option::as_ref)
            .map(|agent| agent.paused_until)
            .filter(|until| *until > self.now);
        if let Some(until) = paused {
            let delayed = SimulationEvent::Pull {
                caller,
                attempt,
                endpoint,
                generation,
                from: pull.from,
                limit: pull.limit,
            };
            return self.schedule_at(until, delayed);
        }
        let Some(id) = self.find_or_start_generation(endpoint, generation, caller) else {
            return self.send_reply(endpoint, caller, attempt, StreamEvent::LinkBroken);
        };
        self.send_reply(endpoint, caller, attempt, StreamEvent::Accepted(id.clone()));
        if let Some(Some(agent)) = self.agents.get_mut(endpoint) {
            agent.store.attach_reader(&id);
            agent.pending_pulls.push((id, pull));
        }
        self.answer_pending_pulls(endpoint);
    }

    /// Returns the requested generation, the one started for the same key, or a new one.
    fn find_or_start_generation(
        &mut self,
        endpoint: usize,
        generation: Option<GenerationId>,
        caller: usize,
    ) -> Option<GenerationId> {
        let now = self.now;
        let engine = self.engines.get_mut(endpoint)?;
        let agent = self.agents.get_mut(endpoint)?.as_mut()?;
        if let Some(id) = generation {
            return Some(id);
        }
        let key = caller_key(caller)?;
        let fingerprint = Fingerprint::new(u128::try_from(caller).unwrap_or(0));
        if let Ok(Some(id)) = agent.store.find_by_key(&key, fingerprint) {
            return Some(id.clone());
        }
        let total = self.callers.get(caller)?.total;
        agent.generations_started += 1;
        let id = GenerationId {
            endpoint: CallSimulation::endpoint_id(endpoint),
            boot: agent.boot,
            number: agent.generations_started,
        };
        if !engine.start(&id, caller, total) {
            return None;
        }
        let opened = agent
            .store
            .open(now, &id, Some((key, fingerprint)), TokenIndex::new(0));
        if opened.is_err() {
            engine.cancel(&id);
            return None;
        }
        Some(id)
    }

    fn on_cancel(&mut self, endpoint: usize, id: &GenerationId) {
        let now = self.now;
        if let (Some(engine), Some(Some(agent))) = (
            self.engines.get_mut(endpoint),
            self.agents.get_mut(endpoint),
        ) && agent.store.cancel(now, id).is_some()
        {
            engine.cancel(id);
        }
    }

    fn on_fault(&mut self, number: usize) {
        let Some(fault) = self.plan.faults.get(number).copied() else {
            return;
        };
        let endpoint = fault.target % ENDPOINTS;
        match fault.kind {
            FaultKind::AgentKill | FaultKind::PausedAndReplaced => {
                if let Some(slot) = self.agents.get_mut(endpoint) {
                    *slot = None;
                }
                self.schedule_at(fault.ends_at, SimulationEvent::RestartAgent(endpoint));
            }
            FaultKind::AgentPause => {
                if let Some(Some(agent)) = self.agents.get_mut(endpoint) {
                    agent.paused_until = fault.ends_at;
                }
            }
            // Streams don't use the log, so its faults crash the engine instead.
            FaultKind::LogOutage | FaultKind::LostLogAnswer => {
                if let Some(engine) = self.engines.get_mut(endpoint) {
                    engine.crash();
                }
                self.schedule_at(fault.ends_at, SimulationEvent::RestartEngine(endpoint));
            }
            FaultKind::EntryKill => self.move_callers(fault.target),
            _ => {}
        }
    }

    fn link_arrival_time(&mut self, endpoint: usize) -> Time {
        let mut us = self.rng.random_range(1_000..2_000);
        if self.plan.active(FaultKind::Delay, self.now).is_some() && self.rng.random_bool(0.3) {
            us += self.rng.random_range(0..DELAY_MAX_US);
        }
        let from = self
            .plan
            .active_until(FaultKind::LinkStall, self.now, endpoint)
            .unwrap_or(self.now);
        from + Span::from_us(us)
    }

    fn schedule_at(&mut self, at: Time, event: SimulationEvent) {
        self.events_scheduled += 1;
        self.queue
            .push(Reverse((at.max(self.now), self.events_scheduled)));
        self.events.insert(self.events_scheduled, event);
    }

    fn schedule_after(&mut self, wait: Span, event: SimulationEvent) {
        self.schedule_at(self.now + wait, event);
    }

    fn finish(mut self) -> StreamReport {
        for caller in &self.callers {
            caller.add_to_report(&mut self.report);
        }
        let leaked: usize = self.engines.iter().map(FakeEngine::running).sum();
        self.report.leaked = u64::try_from(leaked).unwrap_or(u64::MAX);
        self.report
    }
}

impl FakeAgent {
    fn read_engine(&mut self, now: Time, engine: &FakeEngine) {
        for id in engine.generation_ids() {
            let Some(next) = self.store.next(&id) else {
                continue;
            };
            for (index, text) in engine.tokens_from(&id, next) {
                let _ = self.store.push(now, &id, index, &text);
            }
            if let Some(end) = engine.end(&id)
                && self
                    .store
                    .read(&id, self.store.next(&id).unwrap_or_default(), 1)
                    == ReadResult::Waiting
            {
                self.store.finish(now, &id, end);
            }
        }
    }

    fn answer(&self, id: &GenerationId, pull: &PendingPull) -> Option<StreamEvent> {
        match self.store.read(id, pull.from, pull.limit) {
            ReadResult::Tokens { first, texts } => Some(StreamEvent::Tokens { first, texts }),
            ReadResult::Waiting => None,
            ReadResult::Ended(end) => Some(StreamEvent::Ended {
                total: pull.from,
                end,
            }),
            ReadResult::Gone => Some(StreamEvent::Gone),
        }
    }
}

fn caller_key(caller: usize) -> Option<RequestKey> {
    RequestKey::new("hebezeug".parse().ok()?, &format!("report-{caller}")).ok()
}

/// Text of the token `index` of a generation.
fn token_text(id: &GenerationId, caller: usize, index: u64) -> Arc<str> {
    Arc::from(format!("{id}/{caller}/{index}"))
}
