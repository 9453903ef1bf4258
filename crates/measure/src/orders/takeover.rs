//! Agents that take over from each other at one engine, under faults: pauses, lost messages, log
//! outages and drifting clocks.

use std::collections::BTreeMap;
use std::ops::Range;

use lentil_core::{BootId, EndpointId, ModelId, Offset, Span, Time};
use lentil_order::{
    Action, Bounds, ChangeRequest, CheckedOrder, ClaimHolder, EngineFencing, Event, Order, Record,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, assignment};
use super::guard::{GuardSet, LEASE, SEND_MARGIN, Tally};

const RUN_DURATION: Span = Span::from_s(150);
const TICK_INTERVAL_US: u64 = 500_000;
const POLL_INTERVAL_US: u64 = 300_000;
const PAUSE_MAX_US: u64 = 40_000_000;
/// Maximum deviation of a clock's rate from true time, in thousandths.
const CLOCK_RATE_MAX: u64 = 4;
const ENDPOINT: &str = "engine-1";
const MODELS: [&str; 2] = ["a", "b"];

/// Runs one simulation with the seed `seed + number` for each number of the range, and sums the
/// counters.
pub(crate) fn run_all(guard: GuardSet, seed: u64, runs: Range<u64>) -> Tally {
    runs.filter_map(|number| TakeoverSimulation::new(guard, seed.wrapping_add(number)).ok())
        .map(TakeoverSimulation::run)
        .fold(Tally::default(), Tally::plus)
}

/// Scheduled step of the simulation.
#[derive(Debug)]
enum Step {
    StartAgent,
    Tick(usize),
    Poll(usize),
    Perform(usize, Vec<Action>),
    Deliver(usize, Event),
    Append(Record),
    DeliverOrder {
        agent: usize,
        order: CheckedOrder,
        answered: bool,
    },
    Query(usize),
    FinishLoading,
}

/// Simulated agent, which may be one of several that believe they control the engine.
#[derive(Debug)]
struct Agent {
    holder: ClaimHolder,
    alive: bool,
    paused_until: u64,
    records_read: usize,
    /// Rate of the agent's clock in thousandths of true time.
    clock_rate: u64,
    /// Reading of the agent's clock at the start of the run.
    clock_origin_us: u64,
}

/// Simulation of one engine and its successive agents.
#[derive(Debug)]
struct TakeoverSimulation {
    guard: GuardSet,
    rng: ChaCha8Rng,
    now_us: u64,
    /// Pending steps by time and, at the same time, in the order of scheduling.
    pending: BTreeMap<(u64, u64), Step>,
    /// Number of steps scheduled so far.
    scheduled: u64,
    agents: Vec<Agent>,
    log: Vec<Record>,
    outage_until: u64,
    engine: Engine,
    endpoint: EndpointId,
    models: Vec<ModelId>,
    tally: Tally,
}

impl TakeoverSimulation {
    fn new(guard: GuardSet, seed: u64) -> eyre::Result<Self> {
        let fencing = match guard {
            GuardSet::EngineRefusesOld => EngineFencing::Enforced,
            _ => EngineFencing::Ignored,
        };
        let models = MODELS.into_iter().map(str::parse);
        Ok(Self {
            guard,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            pending: BTreeMap::new(),
            scheduled: 0,
            agents: Vec::new(),
            log: Vec::new(),
            outage_until: 0,
            engine: Engine::new(fencing, None),
            endpoint: ENDPOINT.parse()?,
            models: models.collect::<Result<_, _>>()?,
            tally: Tally {
                runs: 1,
                ..Tally::default()
            },
        })
    }

    fn run(mut self) -> Tally {
        self.schedule(0, Step::StartAgent);
        while let Some(((at_us, _), step)) = self.pending.pop_first() {
            if at_us > RUN_DURATION.as_us() {
                break;
            }
            self.now_us = at_us;
            self.run_step(step);
        }
        for agent in &self.agents {
            let counters = agent.holder.counters();
            self.tally.lapsed += counters.lapsed;
            self.tally.answers_lost += counters.answers_lost;
        }
        Tally {
            orders: self.engine.orders,
            conflicts: self.engine.conflicts,
            refused: self.engine.refused,
            ..self.tally
        }
    }

    /// Schedules a step `wait_us` after the current time.
    fn schedule(&mut self, wait_us: u64, step: Step) {
        self.scheduled += 1;
        self.pending
            .insert((self.now_us + wait_us, self.scheduled), step);
    }

    /// Draws whether an event of the given probability occurs.
    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    fn run_step(&mut self, step: Step) {
        match step {
            Step::StartAgent => self.start_agent(),
            Step::Tick(agent) => self.tick(agent),
            Step::Poll(agent) => self.poll(agent),
            Step::Perform(agent, actions) => self.perform(agent, actions),
            Step::Deliver(agent, event) => self.deliver(agent, event),
            Step::Append(record) => self.append(record),
            Step::DeliverOrder {
                agent,
                order,
                answered,
            } => self.deliver_order(agent, order, answered),
            Step::Query(agent) => {
                let status = self.engine.status();
                self.schedule(1_000, Step::Deliver(agent, Event::Status(status)));
            }
            Step::FinishLoading => self.engine.finish_loading(),
        }
    }

    /// Starts a new agent. Its predecessor terminates, or keeps running and is not noticed.
    fn start_agent(&mut self) {
        let index = self.agents.len();
        let boot = BootId::new(u64::try_from(index).unwrap_or(0) + 1);
        self.tally.takeovers += u64::from(index > 0);
        let terminates = self.chance(40);
        if let Some(last) = self.agents.last_mut() {
            last.alive &= !terminates;
        }
        let clock_rate = 1_000 - CLOCK_RATE_MAX + self.rng.random_range(0..=2 * CLOCK_RATE_MAX);
        self.agents.push(Agent {
            holder: ClaimHolder::new(self.endpoint.clone(), boot, self.guard.settings()),
            alive: true,
            paused_until: 0,
            records_read: 0,
            clock_rate,
            clock_origin_us: self.rng.random_range(0..1_000_000_000),
        });
        self.schedule(0, Step::Poll(index));
        self.schedule(10_000, Step::Tick(index));
        let next = self.rng.random_range(5_000_000..60_000_000);
        self.schedule(next, Step::StartAgent);
        if self.chance(20) {
            self.outage_until = self.now_us + self.rng.random_range(1_000_000..20_000_000);
        }
    }

    /// Returns the step if the agent can run it now. Schedules it for the end of the pause if the
    /// agent is paused, and drops it if the agent has terminated.
    fn unless_paused(&mut self, agent: usize, step: Step) -> Option<Step> {
        let state = self.agents.get(agent).filter(|agent| agent.alive)?;
        if state.paused_until <= self.now_us {
            return Some(step);
        }
        self.schedule(state.paused_until - self.now_us, step);
        None
    }

    fn tick(&mut self, agent: usize) {
        if self.unless_paused(agent, Step::Tick(agent)).is_none() {
            return;
        }
        self.schedule(TICK_INTERVAL_US, Step::Tick(agent));
        self.handle_event(agent, Event::Tick);
        let idle = self.agents.get(agent).is_some_and(|a| a.holder.is_idle());
        if idle && self.chance(30) {
            self.request_change(agent);
        }
    }

    /// Requests a change to a model drawn at random.
    fn request_change(&mut self, agent: usize) {
        let index = self.rng.random_range(0..self.models.len());
        let Some(Ok(to)) = self.models.get(index).map(|model| assignment(model, "v1")) else {
            return;
        };
        let request = ChangeRequest {
            from: None,
            to,
            from_live: 0,
            to_live: 0,
            bounds: Bounds {
                changing_max: 1,
                replicas_min: 0,
                fetching_max: 1,
            },
        };
        self.handle_event(agent, Event::ChangeRequested(request));
    }

    /// Passes new log records to the agent, unless the log is unavailable.
    fn poll(&mut self, agent: usize) {
        if self.unless_paused(agent, Step::Poll(agent)).is_none() {
            return;
        }
        while let Some(state) = self.agents.get_mut(agent) {
            let can_read = self.outage_until <= self.now_us && state.paused_until <= self.now_us;
            let Some(record) = self
                .log
                .get(state.records_read)
                .filter(|_| can_read)
                .cloned()
            else {
                break;
            };
            state.records_read += 1;
            let offset = Offset::new(u64::try_from(state.records_read).unwrap_or(u64::MAX));
            self.handle_event(agent, Event::RecordRead { offset, record });
        }
        self.schedule(POLL_INTERVAL_US, Step::Poll(agent));
    }

    fn deliver(&mut self, agent: usize, event: Event) {
        if let Some(Step::Deliver(_, event)) =
            self.unless_paused(agent, Step::Deliver(agent, event))
        {
            self.handle_event(agent, event);
        }
    }

    /// Passes an event to the claim holder. The agent may pause before it performs the resulting
    /// actions.
    fn handle_event(&mut self, agent: usize, event: Event) {
        let now = self.local_time(agent);
        let Some(state) = self.agents.get_mut(agent) else {
            return;
        };
        let actions = state.holder.on(now, event);
        if actions.is_empty() {
            return;
        }
        if !self.chance(10) {
            self.perform(agent, actions);
            return;
        }
        let pause_us = self.rng.random_range(1_000..PAUSE_MAX_US);
        self.tally.pauses += 1;
        if let Some(state) = self.agents.get_mut(agent) {
            state.paused_until = self.now_us + pause_us;
        }
        self.schedule(pause_us, Step::Perform(agent, actions));
    }

    /// Returns the time on the agent's clock.
    fn local_time(&self, agent: usize) -> Time {
        self.agents.get(agent).map_or(Time::ZERO, |agent| {
            Time::from_us(agent.clock_origin_us + self.now_us * agent.clock_rate / 1_000)
        })
    }

    /// Performs the actions, unless the agent has terminated. A status query may be lost.
    fn perform(&mut self, agent: usize, actions: Vec<Action>) {
        if !self.agents.get(agent).is_some_and(|agent| agent.alive) {
            return;
        }
        for action in actions {
            match action {
                Action::Append(record) => self.send_append(record),
                Action::QueryStatus if self.chance(97) => self.schedule(1_000, Step::Query(agent)),
                Action::SendOrder(order) => self.send_order(agent, order),
                Action::QueryStatus
                | Action::ClaimRefused(_)
                | Action::Loaded(_)
                | Action::Superseded => {}
            }
        }
    }

    /// Sends a record to the log; the record may be lost or arrive late.
    fn send_append(&mut self, record: Record) {
        if self.chance(5) {
            return;
        }
        let wait_us = match self.chance(4) {
            true => self.rng.random_range(1_000_000..30_000_000),
            false => self.rng.random_range(5_000..60_000),
        };
        self.schedule(wait_us, Step::Append(record));
    }

    /// Appends a record, unless the log is unavailable.
    fn append(&mut self, record: Record) {
        if self.outage_until <= self.now_us {
            self.log.push(record);
        }
    }

    /// Sends an order after the lease check; its answer may be lost.
    fn send_order(&mut self, agent: usize, order: Order) {
        let number = order.number();
        let checked = match self.guard {
            GuardSet::NoLeaseCheck => Ok(order.without_check()),
            _ => order.check(self.local_time(agent)),
        };
        let Ok(order) = checked else {
            self.handle_event(agent, Event::NotSent { number });
            return;
        };
        let answered = self.chance(90);
        let delay_us = self.delivery_delay_us();
        let step = Step::DeliverOrder {
            agent,
            order,
            answered,
        };
        self.schedule(delay_us, step);
        if !answered {
            let wait_us = self.rng.random_range(100_000..1_000_000);
            self.schedule(wait_us, Step::Deliver(agent, Event::AnswerLost { number }));
        }
    }

    /// Draws the time for the delivery of an order. It is below the send margin on every clock,
    /// except with [`GuardSet::LateOrders`].
    fn delivery_delay_us(&mut self) -> u64 {
        let send_margin_us = SEND_MARGIN.as_us() * (1_000 - 2 * CLOCK_RATE_MAX) / 1_000;
        if self.guard == GuardSet::LateOrders && self.chance(10) {
            return self.rng.random_range(send_margin_us..3 * LEASE.as_us());
        }
        match self.chance(20) {
            true => self.rng.random_range(0..send_margin_us),
            false => 1_000,
        }
    }

    /// Delivers an order to the engine and schedules the end of the load and the answer.
    fn deliver_order(&mut self, agent: usize, order: CheckedOrder, answered: bool) {
        let number = order.number;
        let was_idle = self.engine.loading.is_none();
        let answer = self.engine.handle_order(order);
        if was_idle && self.engine.loading.is_some() {
            let load_us = self.rng.random_range(500_000..8_000_000);
            self.schedule(load_us, Step::FinishLoading);
        }
        if answered {
            self.schedule(
                1_000,
                Step::Deliver(agent, Event::OrderAnswered { number, answer }),
            );
        }
    }
}
