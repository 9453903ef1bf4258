//! Simulates one workload under one policy in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use lentil_core::{Span, Time};

use super::baseline::Baseline;
use super::engine::{Engine, Job};
use super::policy::Policy;
use super::product::Product;
use super::stats::{RequestStatus, RunStats, is_measured};
use super::workload::{ENGINES, ENTRIES, Incident, SampledRequest, WARM_UP, Workload, ZONES};

/// One-way delay between two processes.
pub(crate) const LINK_DELAY: Span = Span::from_us(1_500);
/// Interval of the processes' timers.
const TICK_INTERVAL: Span = Span::from_ms(20);
/// Interval at which engine loads are sampled, which bounds the age of what baselines see.
const SAMPLE_INTERVAL: Span = Span::from_ms(100);
/// Delay of prefix cache events.
pub(crate) const CACHE_DELAY: Span = Span::from_ms(500);
/// Time at which the simulation stops, even if requests are open.
const END_TIME: Time = Time::from_us(200_000_000);

/// A scheduled event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    /// A request reaches its entry.
    Arrival(usize),
    /// A request reaches an engine's host.
    RequestDelivered { engine: usize, request: usize },
    /// A message from an engine's host reaches an entry.
    Reply {
        request: usize,
        engine: usize,
        reply: Reply,
    },
    /// An engine step ends.
    StepEnd { engine: usize, incarnation: u32 },
    /// The caller leaves if it has received no token.
    Deadline(usize),
    /// The processes' timers fire.
    Tick,
    /// Engine loads are sampled.
    LoadsSampled,
    /// Sampled loads reach the entries.
    LoadsDelivered,
    /// A pushed load report reaches the entries.
    PushDelivered { engine: usize },
    /// An incident of the workload, by its index.
    Incident(usize),
    /// A crashed engine starts again.
    Restart(usize),
}

/// Message from an engine's host to an entry about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reply {
    Accepted,
    Refused,
    FirstToken,
    Finished,
    Failed,
    /// The engine has computed the request's prompt prefix and caches it.
    Cached,
}

/// The decisions of entries and agents under one of the compared policies.
pub(crate) trait Scheduler {
    /// A request reached its entry.
    fn request_arrived(&mut self, sim: &mut Simulation, request: usize);
    /// A request reached an engine's host.
    fn request_delivered(&mut self, sim: &mut Simulation, engine: usize, request: usize);
    /// A reply reached the entry.
    fn reply_arrived(&mut self, sim: &mut Simulation, engine: usize, request: usize, reply: Reply);
    /// An engine completed a step; `tokens` holds each request with its tokens so far.
    fn step_ended(&mut self, _sim: &mut Simulation, _engine: usize, _tokens: &[(usize, u32)]) {}
    /// An engine finished a request.
    fn request_finished(&mut self, _sim: &mut Simulation, _engine: usize, _request: usize) {}
    /// The engine itself preempted a request.
    fn request_preempted(&mut self, _sim: &mut Simulation, _engine: usize, _request: usize) {}
    /// The caller of a request left before the first token.
    fn caller_left(&mut self, sim: &mut Simulation, request: usize);
    /// The processes' timers fired.
    fn tick(&mut self, _sim: &mut Simulation) {}
    /// Engine loads are sampled; they reach the entries after the link delay.
    fn sample_loads(&mut self, sim: &mut Simulation);
    /// Sampled loads reached the entries.
    fn loads_delivered(&mut self, sim: &mut Simulation);
    /// A pushed load report reached the entries.
    fn push_delivered(&mut self, _sim: &mut Simulation, _engine: usize) {}
    /// An engine crashed.
    fn engine_crashed(&mut self, _sim: &mut Simulation, _engine: usize) {}
    /// An engine started.
    fn engine_started(&mut self, _sim: &mut Simulation, _engine: usize) {}
    /// An availability zone was withdrawn from service or returned to it.
    fn zone_changed(&mut self, sim: &mut Simulation, zone: usize, withdrawn: bool);
}

/// State of the simulation, shared by all policies.
pub(crate) struct Simulation {
    pub(crate) now: Time,
    pub(crate) requests: Vec<SampledRequest>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) stats: RunStats,
    /// Engine that runs each request.
    pub(crate) running_on: Vec<Option<usize>>,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    sequence: u64,
}

impl Simulation {
    pub(crate) fn schedule(&mut self, at: Time, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Sends a request to an engine's host.
    pub(crate) fn send(&mut self, engine: usize, request: usize) {
        self.stats.attempts += 1;
        self.schedule(
            self.now + LINK_DELAY,
            Event::RequestDelivered { engine, request },
        );
    }

    pub(crate) fn reply(&mut self, engine: usize, request: usize, reply: Reply) {
        let event = Event::Reply {
            request,
            engine,
            reply,
        };
        self.schedule(self.now + LINK_DELAY, event);
    }

    /// Adds a request to an engine's queue.
    pub(crate) fn start(&mut self, engine: usize, request: usize, generated: u32) {
        let (Some(sampled), Some(target)) =
            (self.requests.get(request), self.engines.get_mut(engine))
        else {
            return;
        };
        target.push(Job::new(
            request,
            sampled.priority,
            sampled.prompt,
            sampled.length,
            generated,
            sampled.prefix,
        ));
        if let Some(running_on) = self.running_on.get_mut(request) {
            *running_on = Some(engine);
        }
        self.step(engine);
    }

    /// Begins a step, unless one is running or there is no work.
    pub(crate) fn step(&mut self, engine: usize) {
        let now = self.now;
        let Some(target) = self.engines.get_mut(engine) else {
            return;
        };
        if !target.up || target.stepping || target.is_idle() {
            return;
        }
        let Some(span) = target.begin_step() else {
            return;
        };
        let (warm_up_load, incarnation) = (target.warm_up_load(), target.incarnation);
        self.stats.warm_up_peak_load = self
            .stats
            .warm_up_peak_load
            .max(warm_up_load.unwrap_or(0.0));
        self.schedule(
            now + span,
            Event::StepEnd {
                engine,
                incarnation,
            },
        );
    }

    pub(crate) fn is_open(&self, request: usize) -> bool {
        self.stats
            .records
            .get(request)
            .is_some_and(|record| record.status == RequestStatus::Open)
    }

    pub(crate) fn has_token(&self, request: usize) -> bool {
        self.stats
            .records
            .get(request)
            .is_some_and(|record| record.first.is_some())
    }

    /// Sets the final status of a request, unless it already has one.
    pub(crate) fn set_status(&mut self, request: usize, status: RequestStatus) {
        if let Some(record) = self.stats.records.get_mut(request)
            && record.status == RequestStatus::Open
        {
            record.status = status;
        }
    }

    fn is_measured(&self, request: usize) -> bool {
        self.requests.get(request).is_some_and(is_measured)
    }
}

/// Returns the entry that receives a request.
pub(crate) const fn entry_of_request(request: usize) -> usize {
    request % ENTRIES
}

/// Returns the availability zone of an engine.
pub(crate) const fn zone_of_engine(engine: usize) -> usize {
    engine % ZONES
}

/// Runs one workload under one policy; returns the statistics and the requests.
pub(crate) fn simulate(
    workload: &Workload,
    policy: Policy,
    requests: Vec<SampledRequest>,
    seed: u64,
) -> eyre::Result<(RunStats, Vec<SampledRequest>)> {
    let count = requests.len();
    let mut sim = Simulation {
        now: Time::ZERO,
        requests,
        engines: (0..ENGINES).map(|_| Engine::warm()).collect(),
        stats: RunStats::new(count)?,
        running_on: vec![None; count],
        events: BinaryHeap::new(),
        sequence: 0,
    };
    let mut scheduler: Box<dyn Scheduler> = if policy.uses_decision_crates() {
        Box::new(Product::new(policy, &sim.requests, seed)?)
    } else {
        Box::new(Baseline::new(policy, seed))
    };
    schedule_initial_events(&mut sim, workload);
    while let Some(Reverse((at, _, event))) = sim.events.pop() {
        if at > END_TIME {
            break;
        }
        sim.now = at;
        handle_event(&mut sim, scheduler.as_mut(), workload, event);
    }
    Ok((sim.stats, sim.requests))
}

fn schedule_initial_events(sim: &mut Simulation, workload: &Workload) {
    for request in 0..sim.requests.len() {
        let Some(sampled) = sim.requests.get(request) else {
            continue;
        };
        let (at, deadline) = (sampled.at, sampled.deadline);
        sim.schedule(at, Event::Arrival(request));
        sim.schedule(deadline, Event::Deadline(request));
    }
    for (number, (second, _)) in workload.incidents.iter().enumerate() {
        sim.schedule(Time::ZERO + Span::from_s(*second), Event::Incident(number));
    }
    sim.schedule(Time::ZERO, Event::LoadsSampled);
    sim.schedule(Time::ZERO, Event::Tick);
}

fn handle_event(
    sim: &mut Simulation,
    scheduler: &mut dyn Scheduler,
    workload: &Workload,
    event: Event,
) {
    match event {
        Event::Arrival(request) => scheduler.request_arrived(sim, request),
        Event::RequestDelivered { engine, request } => {
            scheduler.request_delivered(sim, engine, request);
        }
        Event::Reply {
            request,
            engine,
            reply,
        } => {
            if reply == Reply::Finished {
                sim.set_status(request, RequestStatus::Finished);
            }
            scheduler.reply_arrived(sim, engine, request, reply);
        }
        Event::StepEnd {
            engine,
            incarnation,
        } => end_step(sim, scheduler, engine, incarnation),
        Event::Deadline(request) => {
            if sim.is_open(request) && !sim.has_token(request) {
                sim.set_status(request, RequestStatus::Late);
                scheduler.caller_left(sim, request);
            }
        }
        Event::Tick => {
            scheduler.tick(sim);
            sim.schedule(sim.now + TICK_INTERVAL, Event::Tick);
        }
        Event::LoadsSampled => {
            scheduler.sample_loads(sim);
            sim.schedule(sim.now + LINK_DELAY, Event::LoadsDelivered);
            sim.schedule(sim.now + SAMPLE_INTERVAL, Event::LoadsSampled);
        }
        Event::LoadsDelivered => scheduler.loads_delivered(sim),
        Event::PushDelivered { engine } => scheduler.push_delivered(sim, engine),
        Event::Incident(number) => {
            if let Some((_, incident)) = workload.incidents.get(number) {
                apply_incident(sim, scheduler, *incident);
            }
        }
        Event::Restart(engine) => restart_engine(sim, scheduler, engine),
    }
}

fn end_step(sim: &mut Simulation, scheduler: &mut dyn Scheduler, engine: usize, incarnation: u32) {
    let now = sim.now;
    let Some(target) = sim.engines.get_mut(engine) else {
        return;
    };
    if target.incarnation != incarnation {
        return;
    }
    let stepped = target.end_step();
    if target.is_overloaded() {
        sim.stats.overload_crashes += 1;
        crash_engine(sim, scheduler, engine);
        sim.schedule(now + Span::from_s(5), Event::Restart(engine));
        return;
    }
    for (request, _) in &stepped.tokens {
        let measured = sim.is_measured(*request) && now >= Time::ZERO + WARM_UP;
        if !sim.has_token(*request) {
            sim.reply(engine, *request, Reply::FirstToken);
        }
        sim.stats.record_token(now, *request, measured);
    }
    scheduler.step_ended(sim, engine, &stepped.tokens);
    for request in stepped.finished {
        if let Some(running_on) = sim.running_on.get_mut(request) {
            *running_on = None;
        }
        sim.reply(engine, request, Reply::Finished);
        scheduler.request_finished(sim, engine, request);
    }
    let preempted = sim
        .engines
        .get_mut(engine)
        .map(|target| std::mem::take(&mut target.preempted))
        .unwrap_or_default();
    for request in preempted {
        sim.stats.preemptions += u64::from(sim.is_measured(request));
        scheduler.request_preempted(sim, engine, request);
    }
    sim.step(engine);
}

fn apply_incident(sim: &mut Simulation, scheduler: &mut dyn Scheduler, incident: Incident) {
    match incident {
        Incident::ZoneOut(zone) => scheduler.zone_changed(sim, zone, true),
        Incident::ZoneReturns(zone) => {
            for engine in (0..ENGINES).filter(|engine| zone_of_engine(*engine) == zone) {
                crash_engine(sim, scheduler, engine);
                restart_engine(sim, scheduler, engine);
            }
            scheduler.zone_changed(sim, zone, false);
        }
        Incident::BecomesCold(engine) => {
            if let Some(target) = sim.engines.get_mut(engine) {
                target.become_cold();
            }
        }
        Incident::BecomesSlow(engine) => {
            if let Some(target) = sim.engines.get_mut(engine) {
                target.slowdown = 3.0;
            }
        }
        Incident::Crashes(engine) => crash_engine(sim, scheduler, engine),
    }
}

fn crash_engine(sim: &mut Simulation, scheduler: &mut dyn Scheduler, engine: usize) {
    let Some(target) = sim.engines.get_mut(engine) else {
        return;
    };
    let lost = target.crash();
    scheduler.engine_crashed(sim, engine);
    for request in lost {
        if let Some(running_on) = sim.running_on.get_mut(request) {
            *running_on = None;
        }
        if sim.has_token(request) {
            sim.set_status(request, RequestStatus::Failed);
        }
        sim.reply(engine, request, Reply::Failed);
    }
}

fn restart_engine(sim: &mut Simulation, scheduler: &mut dyn Scheduler, engine: usize) {
    if let Some(target) = sim.engines.get_mut(engine) {
        target.restart();
    }
    scheduler.engine_started(sim, engine);
}
