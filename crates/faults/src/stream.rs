//! Runs of streamed generations: engines, agents, entries and reading callers.

mod engine;
mod reader;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use lentil_core::{
    AttemptId, BootId, Fingerprint, GenerationId, RequestKey, Span, Time, TokenIndex,
};
use lentil_stream::{EngineCommand, GenerationStore, Limits, ReadResult, StreamEvent};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use self::engine::FakeEngine;
use self::reader::Caller;
use crate::plan::{FaultKind, FaultPlan, Guard};
use crate::world::CallSimulation;

/// When a run ends.
const HORIZON: Time = Time::from_us(90_000_000);
/// Endpoints, each with an engine and an agent.
const ENDPOINTS: usize = 2;
/// Callers in a run.
const CALLERS: usize = 4;
/// Time between two looks of an engine, an agent or a caller.
const STEP: Span = Span::from_ms(10);
/// Longest extra wait of a delayed message.
const DELAY_MAX_US: u64 = 2_500_000;

/// Counts over one run or many.
#[derive(Debug, Clone, Copy, Default)]
pub struct StreamReport {
    /// Streams begun by callers.
    pub streams: u64,
    /// Streams that reached their caller whole.
    pub whole: u64,
    /// Streams ended with an error that the caller was told.
    pub failed: u64,
    /// Streams that their caller left.
    pub left: u64,
    /// Streams still going at the end of the run.
    pub unfinished: u64,
    /// Tokens that callers received.
    pub tokens: u64,
    /// Tokens that came out of order, twice, with a gap before them or from
    /// another generation.
    pub wrong_tokens: u64,
    /// Streams told to be whole that were not.
    pub false_ends: u64,
    /// Times that an entry read a generation again.
    pub resumes: u64,
    /// Generations still at an engine although nobody waits for them.
    pub leaked: u64,
}

impl StreamReport {
    /// Adds another run.
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

    /// Whether a promise was broken.
    #[must_use]
    pub const fn violated(&self) -> bool {
        self.wrong_tokens + self.false_ends + self.leaked > 0
    }
}

/// A message or a turn of somebody.
#[derive(Debug, Clone)]
enum Happening {
    EngineStep(usize),
    AgentStep(usize),
    CallerStep(usize),
    Fault(usize),
    AgentBack(usize),
    EngineBack(usize),
    /// An entry asks an agent: begin, or read on.
    Pull {
        caller: usize,
        attempt: AttemptId,
        endpoint: usize,
        generation: Option<GenerationId>,
        from: TokenIndex,
        most: usize,
    },
    Reply(usize, AttemptId, StreamEvent),
    PullTimeout(usize, AttemptId, u64),
    Cancel(usize, GenerationId),
}

/// A parked question of an entry.
#[derive(Debug, Clone)]
struct Parked {
    caller: usize,
    attempt: AttemptId,
    from: TokenIndex,
    most: usize,
}

/// An agent of a run.
#[derive(Debug)]
struct FakeAgent {
    boot: BootId,
    generations: u64,
    journals: GenerationStore,
    parked: Vec<(GenerationId, Parked)>,
    paused_until: Time,
}

/// One seeded run of streams.
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
    events: BTreeMap<u64, Happening>,
    made: u64,
    boots: u64,
    attempts: u128,
    report: StreamReport,
}

impl StreamSimulation {
    /// Sets a run up.
    #[must_use]
    pub fn new(seed: u64, plan: FaultPlan, guard: Guard) -> Self {
        let mut world = Self {
            plan,
            guard,
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            engines: Vec::new(),
            agents: Vec::new(),
            callers: Vec::new(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            made: 0,
            boots: 0,
            attempts: 0,
            report: StreamReport::default(),
        };
        world.set_up();
        world
    }

    /// Runs to the end and says what happened.
    #[must_use]
    pub fn run(mut self) -> StreamReport {
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at > HORIZON || self.is_over() {
                break;
            }
            self.now = at;
            if let Some(what) = self.events.remove(&number) {
                self.happen(what);
            }
        }
        self.finish()
    }

    /// Every caller is served or gone, and no engine works for nobody.
    fn is_over(&self) -> bool {
        self.callers.iter().all(Caller::is_served)
            && self.engines.iter().all(|engine| engine.running() == 0)
    }

    fn set_up(&mut self) {
        for endpoint in 0..ENDPOINTS {
            let keeps_all = self.rng.random_bool(0.5);
            self.engines.push(FakeEngine::new(keeps_all));
            self.agents.push(None);
            self.start_agent(endpoint);
            self.after(STEP, Happening::EngineStep(endpoint));
            self.after(STEP, Happening::AgentStep(endpoint));
        }
        for number in 0..CALLERS {
            let caller = Caller::draw(number, &mut self.rng);
            let begins = caller.begins;
            self.callers.push(caller);
            self.at(begins, Happening::CallerStep(number));
        }
        for (number, fault) in self.plan.faults.clone().into_iter().enumerate() {
            self.at(fault.starts_at, Happening::Fault(number));
        }
    }

    fn start_agent(&mut self, endpoint: usize) {
        self.boots += 1;
        let mut agent = FakeAgent {
            boot: BootId::new(self.boots),
            generations: 0,
            journals: GenerationStore::new(Limits {
                generations_max: 16,
                tokens_max_bytes: 64 * 1024,
                hold: Span::from_s(10),
            }),
            parked: Vec::new(),
            paused_until: Time::ZERO,
        };
        // What still runs at the engine is taken over under its own identifier.
        for (id, first) in self
            .engines
            .get(endpoint)
            .map(FakeEngine::resumable)
            .unwrap_or_default()
        {
            let _ = agent.journals.open(self.now, &id, None, first);
        }
        if let Some(slot) = self.agents.get_mut(endpoint) {
            *slot = Some(agent);
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::EngineStep(endpoint) => self.on_engine_step(endpoint),
            Happening::AgentStep(endpoint) => self.on_agent_step(endpoint),
            Happening::CallerStep(caller) => self.on_caller_step(caller),
            Happening::Fault(number) => self.on_fault(number),
            Happening::AgentBack(endpoint) => self.start_agent(endpoint),
            Happening::EngineBack(endpoint) => {
                if let Some(engine) = self.engines.get_mut(endpoint) {
                    engine.alive = true;
                }
            }
            Happening::Pull {
                caller,
                attempt,
                endpoint,
                generation,
                from,
                most,
            } => {
                let parked = Parked {
                    caller,
                    attempt,
                    from,
                    most,
                };
                self.on_pull(endpoint, generation, parked);
            }
            Happening::Reply(caller, attempt, event) => self.on_reply(caller, attempt, event),
            Happening::PullTimeout(caller, attempt, pulls) => {
                self.on_pull_timeout(caller, attempt, pulls);
            }
            Happening::Cancel(endpoint, id) => self.on_cancel(endpoint, &id),
        }
    }

    fn on_engine_step(&mut self, endpoint: usize) {
        if let Some(engine) = self.engines.get_mut(endpoint) {
            engine.step();
        }
        self.after(STEP, Happening::EngineStep(endpoint));
    }

    /// The agent reads its engine and answers parked questions.
    fn on_agent_step(&mut self, endpoint: usize) {
        self.after(STEP, Happening::AgentStep(endpoint));
        let now = self.now;
        let stalled = self.plan.hits(FaultKind::EndpointStall, now, endpoint);
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
        for order in agent.journals.expire(now) {
            if let EngineCommand::Cancel(id) = order {
                engine.cancel(&id);
            }
        }
        self.answer_parked(endpoint);
    }

    fn answer_parked(&mut self, endpoint: usize) {
        let Some(Some(agent)) = self.agents.get_mut(endpoint) else {
            return;
        };
        let parked = std::mem::take(&mut agent.parked);
        let mut replies = Vec::new();
        for (id, question) in parked {
            match agent.answer(&id, &question) {
                Some(event) => {
                    agent.journals.detach_reader(self.now, &id);
                    replies.push((question, event));
                }
                None => agent.parked.push((id, question)),
            }
        }
        for (question, event) in replies {
            self.send_reply(endpoint, question.caller, question.attempt, event);
        }
    }

    fn send_reply(
        &mut self,
        endpoint: usize,
        caller: usize,
        attempt: AttemptId,
        event: StreamEvent,
    ) {
        let at = self.arrival(endpoint);
        let twin = self.plan.active(FaultKind::Duplicate, self.now).is_some();
        if twin && self.rng.random_bool(0.5) {
            let late = Span::from_us(self.rng.random_range(0..DELAY_MAX_US));
            self.at(at + late, Happening::Reply(caller, attempt, event.clone()));
        }
        self.at(at, Happening::Reply(caller, attempt, event));
    }

    fn on_pull(&mut self, endpoint: usize, generation: Option<GenerationId>, parked: Parked) {
        let (caller, attempt) = (parked.caller, parked.attempt);
        let paused = self
            .agents
            .get(endpoint)
            .and_then(Option::as_ref)
            .map(|agent| agent.paused_until)
            .filter(|until| *until > self.now);
        if let Some(until) = paused {
            let pull = Happening::Pull {
                caller,
                attempt,
                endpoint,
                generation,
                from: parked.from,
                most: parked.most,
            };
            return self.at(until, pull);
        }
        let Some(id) = self.find_or_begin(endpoint, generation, caller) else {
            return self.send_reply(endpoint, caller, attempt, StreamEvent::LinkBroken);
        };
        self.send_reply(endpoint, caller, attempt, StreamEvent::Accepted(id.clone()));
        if let Some(Some(agent)) = self.agents.get_mut(endpoint) {
            agent.journals.attach_reader(&id);
            agent.parked.push((id, parked));
        }
        self.answer_parked(endpoint);
    }

    /// The generation that is asked for, or a new one for a new request.
    fn find_or_begin(
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
        if let Ok(Some(id)) = agent.journals.find_by_key(&key, fingerprint) {
            return Some(id.clone());
        }
        let total = self.callers.get(caller)?.total;
        agent.generations += 1;
        let id = GenerationId {
            endpoint: CallSimulation::endpoint_id(endpoint),
            boot: agent.boot,
            number: agent.generations,
        };
        if !engine.begin(&id, caller, total) {
            return None;
        }
        let opened = agent
            .journals
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
        ) && agent.journals.cancel(now, id).is_some()
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
                self.at(fault.ends_at, Happening::AgentBack(endpoint));
            }
            FaultKind::AgentPause => {
                if let Some(Some(agent)) = self.agents.get_mut(endpoint) {
                    agent.paused_until = fault.ends_at;
                }
            }
            // The log plays no part here: its faults stand for the engine's death.
            FaultKind::LogOutage | FaultKind::LostLogAnswer => {
                if let Some(engine) = self.engines.get_mut(endpoint) {
                    engine.die();
                }
                self.at(fault.ends_at, Happening::EngineBack(endpoint));
            }
            FaultKind::EntryKill => self.cut_callers(fault.target),
            _ => {}
        }
    }

    fn arrival(&mut self, endpoint: usize) -> Time {
        let mut us = self.rng.random_range(1_000..2_000);
        if self.plan.active(FaultKind::Delay, self.now).is_some() && self.rng.random_bool(0.3) {
            us += self.rng.random_range(0..DELAY_MAX_US);
        }
        let from = self
            .plan
            .hits(FaultKind::LinkStall, self.now, endpoint)
            .unwrap_or(self.now);
        from + Span::from_us(us)
    }

    fn at(&mut self, at: Time, what: Happening) {
        self.made += 1;
        self.queue.push(Reverse((at.max(self.now), self.made)));
        self.events.insert(self.made, what);
    }

    fn after(&mut self, wait: Span, what: Happening) {
        self.at(self.now + wait, what);
    }

    fn finish(mut self) -> StreamReport {
        for caller in &self.callers {
            caller.count(&mut self.report);
        }
        let leaked: usize = self.engines.iter().map(FakeEngine::running).sum();
        self.report.leaked = u64::try_from(leaked).unwrap_or(u64::MAX);
        self.report
    }
}

impl FakeAgent {
    fn read_engine(&mut self, now: Time, engine: &FakeEngine) {
        for id in engine.known() {
            let Some(next) = self.journals.next(&id) else {
                continue;
            };
            for (index, text) in engine.tokens_from(&id, next) {
                let _ = self.journals.push(now, &id, index, &text);
            }
            if let Some(end) = engine.end(&id)
                && self
                    .journals
                    .read(&id, self.journals.next(&id).unwrap_or_default(), 1)
                    == ReadResult::Waiting
            {
                self.journals.finish(now, &id, end);
            }
        }
    }

    fn answer(&self, id: &GenerationId, question: &Parked) -> Option<StreamEvent> {
        match self.journals.read(id, question.from, question.most) {
            ReadResult::Tokens { first, texts } => Some(StreamEvent::Tokens { first, texts }),
            ReadResult::Waiting => None,
            ReadResult::Ended(end) => Some(StreamEvent::Ended {
                total: question.from,
                end,
            }),
            ReadResult::Gone => Some(StreamEvent::Gone),
        }
    }
}

fn caller_key(caller: usize) -> Option<RequestKey> {
    RequestKey::new("hebezeug".parse().ok()?, &format!("report-{caller}")).ok()
}

/// What token `index` of a generation says.
fn token_text(id: &GenerationId, caller: usize, index: u64) -> Arc<str> {
    Arc::from(format!("{id}/{caller}/{index}"))
}
