//! Agents that follow each other beside one engine, under faults.

use std::collections::BTreeMap;
use std::ops::Range;

use lentil_core::{BootId, EndpointId, ModelId, Offset, Span, Time};
use lentil_order::{
    Action, Bounds, ChangeRequest, CheckedOrder, ClaimHolder, EngineFencing, Event, Order, Record,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::engine::{Engine, assignment};
use super::guard::{Guard, LEASE, MARGIN, Tally};

const RUN: Span = Span::from_s(150);
const TICK_US: u64 = 500_000;
const POLL_US: u64 = 300_000;
const PAUSE_MAX_US: u64 = 40_000_000;
/// Largest difference of a clock's rate from true time, in parts per thousand.
const CLOCK_RATE_MAX: u64 = 4;
const ENDPOINT: &str = "engine-1";
const MODELS: [&str; 2] = ["a", "b"];

/// Runs the seeds `seed + number` for each number of the range.
pub(crate) fn run_all(guard: Guard, seed: u64, runs: Range<u64>) -> Tally {
    runs.filter_map(|number| Duel::new(guard, seed.wrapping_add(number)).ok())
        .map(Duel::run)
        .fold(Tally::default(), Tally::plus)
}

#[derive(Debug)]
enum Step {
    Start,
    Tick(usize),
    Poll(usize),
    Act(usize, Vec<Action>),
    Tell(usize, Event),
    Append(Record),
    Order {
        agent: usize,
        order: CheckedOrder,
        answered: bool,
    },
    Ask(usize),
    Loaded,
}

#[derive(Debug)]
struct Agent {
    holder: ClaimHolder,
    alive: bool,
    paused_until: u64,
    read: usize,
    /// Its clock's rate in thousandths of true time, and its origin.
    rate: u64,
    origin_us: u64,
}

#[derive(Debug)]
struct Duel {
    guard: Guard,
    rng: ChaCha8Rng,
    now_us: u64,
    steps: BTreeMap<(u64, u64), Step>,
    count: u64,
    agents: Vec<Agent>,
    log: Vec<Record>,
    outage_until: u64,
    engine: Engine,
    endpoint: EndpointId,
    models: Vec<ModelId>,
    tally: Tally,
}

impl Duel {
    fn new(guard: Guard, seed: u64) -> eyre::Result<Self> {
        let fencing = match guard {
            Guard::Refusing => EngineFencing::Enforced,
            _ => EngineFencing::Ignored,
        };
        let models = MODELS.into_iter().map(str::parse);
        Ok(Self {
            guard,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            steps: BTreeMap::new(),
            count: 0,
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
        self.after(0, Step::Start);
        while let Some(((at_us, _), step)) = self.steps.pop_first() {
            if at_us > RUN.as_us() {
                break;
            }
            self.now_us = at_us;
            self.step(step);
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

    fn after(&mut self, wait_us: u64, step: Step) {
        self.count += 1;
        self.steps.insert((self.now_us + wait_us, self.count), step);
    }

    fn chance(&mut self, percent: u32) -> bool {
        self.rng.random_ratio(percent, 100)
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Start => self.start(),
            Step::Tick(agent) => self.tick(agent),
            Step::Poll(agent) => self.poll(agent),
            Step::Act(agent, actions) => self.act(agent, actions),
            Step::Tell(agent, event) => self.tell(agent, event),
            Step::Append(record) => self.append(record),
            Step::Order {
                agent,
                order,
                answered,
            } => self.order(agent, order, answered),
            Step::Ask(agent) => {
                let status = self.engine.status();
                self.after(1_000, Step::Tell(agent, Event::Status(status)));
            }
            Step::Loaded => self.engine.finish(),
        }
    }

    /// A new agent starts; its predecessor ends, or lives on unnoticed.
    fn start(&mut self) {
        let index = self.agents.len();
        let boot = BootId::new(u64::try_from(index).unwrap_or(0) + 1);
        self.tally.takeovers += u64::from(index > 0);
        let ends = self.chance(40);
        if let Some(last) = self.agents.last_mut() {
            last.alive &= !ends;
        }
        let rate = 1_000 - CLOCK_RATE_MAX + self.rng.random_range(0..=2 * CLOCK_RATE_MAX);
        self.agents.push(Agent {
            holder: ClaimHolder::new(self.endpoint.clone(), boot, self.guard.settings()),
            alive: true,
            paused_until: 0,
            read: 0,
            rate,
            origin_us: self.rng.random_range(0..1_000_000_000),
        });
        self.after(0, Step::Poll(index));
        self.after(10_000, Step::Tick(index));
        let next = self.rng.random_range(5_000_000..60_000_000);
        self.after(next, Step::Start);
        if self.chance(20) {
            self.outage_until = self.now_us + self.rng.random_range(1_000_000..20_000_000);
        }
    }

    /// The step once more after the agent's pause, if it is paused.
    fn postponed(&mut self, agent: usize, step: Step) -> Option<Step> {
        let state = self.agents.get(agent).filter(|agent| agent.alive)?;
        if state.paused_until <= self.now_us {
            return Some(step);
        }
        self.after(state.paused_until - self.now_us, step);
        None
    }

    fn tick(&mut self, agent: usize) {
        if self.postponed(agent, Step::Tick(agent)).is_none() {
            return;
        }
        self.after(TICK_US, Step::Tick(agent));
        self.give(agent, Event::Tick);
        let idle = self.agents.get(agent).is_some_and(|a| a.holder.is_idle());
        if idle && self.chance(30) {
            self.want(agent);
        }
    }

    fn want(&mut self, agent: usize) {
        let index = self.rng.random_range(0..self.models.len());
        let Some(Ok(to)) = self.models.get(index).map(|model| assignment(model, "v1")) else {
            return;
        };
        let wanted = ChangeRequest {
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
        self.give(agent, Event::ChangeRequested(wanted));
    }

    fn poll(&mut self, agent: usize) {
        if self.postponed(agent, Step::Poll(agent)).is_none() {
            return;
        }
        while let Some(state) = self.agents.get_mut(agent) {
            let up = self.outage_until <= self.now_us && state.paused_until <= self.now_us;
            let Some(record) = self.log.get(state.read).filter(|_| up).cloned() else {
                break;
            };
            state.read += 1;
            let offset = Offset::new(u64::try_from(state.read).unwrap_or(u64::MAX));
            self.give(agent, Event::RecordRead { offset, record });
        }
        self.after(POLL_US, Step::Poll(agent));
    }

    fn tell(&mut self, agent: usize, event: Event) {
        if let Some(Step::Tell(_, event)) = self.postponed(agent, Step::Tell(agent, event)) {
            self.give(agent, event);
        }
    }

    /// Hands an event to the holder; the agent may be paused before it acts on it.
    fn give(&mut self, agent: usize, event: Event) {
        let now = self.local(agent);
        let Some(state) = self.agents.get_mut(agent) else {
            return;
        };
        let actions = state.holder.on(now, event);
        if actions.is_empty() {
            return;
        }
        if !self.chance(10) {
            self.act(agent, actions);
            return;
        }
        let pause_us = self.rng.random_range(1_000..PAUSE_MAX_US);
        self.tally.pauses += 1;
        if let Some(state) = self.agents.get_mut(agent) {
            state.paused_until = self.now_us + pause_us;
        }
        self.after(pause_us, Step::Act(agent, actions));
    }

    fn local(&self, agent: usize) -> Time {
        self.agents.get(agent).map_or(Time::ZERO, |agent| {
            Time::from_us(agent.origin_us + self.now_us * agent.rate / 1_000)
        })
    }

    fn act(&mut self, agent: usize, actions: Vec<Action>) {
        if !self.agents.get(agent).is_some_and(|agent| agent.alive) {
            return;
        }
        for action in actions {
            match action {
                Action::Append(record) => self.send_append(record),
                Action::QueryStatus if self.chance(97) => self.after(1_000, Step::Ask(agent)),
                Action::SendOrder(order) => self.send_order(agent, order),
                Action::QueryStatus
                | Action::ClaimRefused(_)
                | Action::Loaded(_)
                | Action::Superseded => {}
            }
        }
    }

    fn send_append(&mut self, record: Record) {
        if self.chance(5) {
            return;
        }
        let wait_us = match self.chance(4) {
            true => self.rng.random_range(1_000_000..30_000_000),
            false => self.rng.random_range(5_000..60_000),
        };
        self.after(wait_us, Step::Append(record));
    }

    fn append(&mut self, record: Record) {
        if self.outage_until <= self.now_us {
            self.log.push(record);
        }
    }

    fn send_order(&mut self, agent: usize, order: Order) {
        let number = order.number();
        let checked = match self.guard {
            Guard::NoCheck => Ok(order.without_check()),
            _ => order.check(self.local(agent)),
        };
        let Ok(order) = checked else {
            self.give(agent, Event::NotSent { number });
            return;
        };
        let answered = self.chance(90);
        let way_us = self.way_us();
        let step = Step::Order {
            agent,
            order,
            answered,
        };
        self.after(way_us, step);
        if !answered {
            let wait_us = self.rng.random_range(100_000..1_000_000);
            self.after(wait_us, Step::Tell(agent, Event::AnswerLost { number }));
        }
    }

    /// How long an order is on its way; below the margin on every clock.
    fn way_us(&mut self) -> u64 {
        let margin_us = MARGIN.as_us() * (1_000 - 2 * CLOCK_RATE_MAX) / 1_000;
        if self.guard == Guard::LateOrder && self.chance(10) {
            return self.rng.random_range(margin_us..3 * LEASE.as_us());
        }
        match self.chance(20) {
            true => self.rng.random_range(0..margin_us),
            false => 1_000,
        }
    }

    fn order(&mut self, agent: usize, order: CheckedOrder, answered: bool) {
        let number = order.number;
        let free = self.engine.loading.is_none();
        let answer = self.engine.order(order);
        if free && self.engine.loading.is_some() {
            let load_us = self.rng.random_range(500_000..8_000_000);
            self.after(load_us, Step::Loaded);
        }
        if answered {
            self.after(
                1_000,
                Step::Tell(agent, Event::OrderAnswered { number, answer }),
            );
        }
    }
}
