//! The run itself: clock, queue of events and messages between the parts.

use std::collections::{BTreeMap, BinaryHeap};

use lentil_core::{AttemptId, BootId, EndpointId, Fingerprint, Outcome, Span, Time};
use lentil_once::{KeyDigest, KeyShare, Limits};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::agent::Process;
use crate::entry::Request;
use crate::event::{Due, EndpointCall, Happening, ProcessId, RequestNumber};
use crate::log::FakeLog;
use crate::plan::{FaultKind, FaultPlan, Guard};
use crate::report::{CallReport, CallResult, Heard};
use crate::service::{FakeService, mark};

/// Least latency of a message between hosts.
const LATENCY_MIN_US: u64 = 1_000;
/// Longest extra wait of a delayed message.
const DELAY_MAX_US: u64 = 3_000_000;

/// Who calls what.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Endpoints of the service, an agent each.
    pub endpoints: usize,
    /// Entries.
    pub entries: usize,
    /// Keys in use.
    pub keys: usize,
    /// Callers that use each key at the same time.
    pub callers_per_key: usize,
    /// How often a caller repeats a call that got no answer.
    pub retries_max: u32,
    /// The span over which the calls begin.
    pub start_window: Span,
    /// One call in so many uses the key for another request; 0 is none.
    pub conflicts_one_in: u32,
    /// The endpoint that all calls try first; otherwise the key decides.
    pub first_endpoint: Option<usize>,
    /// Bounds of the agents.
    pub limits: Limits,
    /// Longest execution at the service.
    pub service_time_max: Span,
    /// How long a caller waits.
    pub caller_timeout: Span,
    /// How long an entry waits for one attempt.
    pub attempt_timeout: Span,
    /// One-way latency to the log, with its own work.
    pub log_latency: Span,
    /// The share of keys that belongs here.
    pub key_share: KeyShare,
    /// When the run ends.
    pub ends_at: Time,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            endpoints: 3,
            entries: 3,
            keys: 4,
            callers_per_key: 2,
            retries_max: 2,
            start_window: Span::from_s(6),
            conflicts_one_in: 9,
            first_endpoint: None,
            limits: Limits {
                attempts_max: 12,
                poll_interval: Span::from_ms(500),
                ..Limits::default()
            },
            service_time_max: Span::from_ms(60),
            caller_timeout: Span::from_s(8),
            attempt_timeout: Span::from_ms(1500),
            log_latency: Span::from_ms(3),
            key_share: KeyShare::ALL,
            ends_at: Time::from_us(60_000_000),
        }
    }
}

/// One seeded run.
#[derive(Debug)]
pub struct CallSimulation {
    pub(crate) scene: Scenario,
    pub(crate) plan: FaultPlan,
    pub(crate) guard: Guard,
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) logs: Vec<FakeLog>,
    pub(crate) service: FakeService,
    pub(crate) processes: BTreeMap<ProcessId, Process>,
    pub(crate) current: Vec<Option<ProcessId>>,
    pub(crate) dead_entries: Vec<bool>,
    pub(crate) requests: Vec<Request>,
    pub(crate) report: CallReport,
    pub(crate) window_done: bool,
    queue: BinaryHeap<Due>,
    made: u64,
    boots: u64,
    attempts: u128,
}

impl CallSimulation {
    /// Sets a run up.
    #[must_use]
    pub fn new(seed: u64, scene: Scenario, plan: FaultPlan, guard: Guard) -> Self {
        let mut world = Self {
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            logs: vec![FakeLog::default()],
            service: FakeService::default(),
            processes: BTreeMap::new(),
            current: vec![None; scene.endpoints],
            dead_entries: vec![false; scene.entries],
            requests: Vec::new(),
            report: CallReport::default(),
            window_done: false,
            queue: BinaryHeap::new(),
            made: 0,
            boots: 0,
            attempts: 0,
            scene,
            plan,
            guard,
        };
        world.set_up();
        world
    }

    /// Runs to the end and says what happened.
    #[must_use]
    pub fn run(mut self) -> CallReport {
        while let Some(due) = self.queue.pop() {
            if due.at > self.scene.ends_at {
                break;
            }
            self.now = due.at;
            self.happen(due.what);
        }
        self.finish()
    }

    fn set_up(&mut self) {
        for endpoint in 0..self.scene.endpoints {
            self.start_process(endpoint);
        }
        for key in 0..self.scene.keys {
            self.make_callers(key);
        }
        for (number, fault) in self.plan.faults.clone().into_iter().enumerate() {
            self.at(fault.starts_at, Happening::Fault(number));
        }
    }

    fn make_callers(&mut self, key: usize) {
        let digest = KeyDigest::new(u128::try_from(key).unwrap_or(0));
        let begins = self.rng.random_range(0..self.scene.start_window.as_us());
        for _ in 0..self.scene.callers_per_key {
            let one_in = self.scene.conflicts_one_in;
            let conflict = one_in > 0 && self.rng.random_range(0..one_in) == 0;
            let fingerprint = Fingerprint::new(u128::from(conflict));
            let entry = self.rng.random_range(0..self.scene.entries);
            let later = self.rng.random_range(0..400_000);
            let repeats = self.scene.retries_max;
            let at = Time::from_us(begins + later);
            self.add_request(digest, fingerprint, entry, repeats, at);
        }
    }

    /// Begins a process beside an endpoint; entries use it from now on.
    pub(crate) fn start_process(&mut self, endpoint: usize) {
        self.boots += 1;
        let id = ProcessId {
            endpoint,
            boot: BootId::new(self.boots * 1000),
        };
        let log = match self.guard {
            Guard::On => 0,
            Guard::Off => {
                self.logs.push(FakeLog::default());
                self.logs.len() - 1
            }
        };
        let process = Process::new(self.now, id, log, self.scene.limits);
        self.processes.insert(id, process);
        if let Some(slot) = self.current.get_mut(endpoint) {
            *slot = Some(id);
        }
        self.wake(id);
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Endpoint(endpoint, message) => self.deliver_endpoint(endpoint, message),
            Happening::Process(id, message) => self.deliver_process(id, message),
            Happening::Entry(number, attempt, message) => {
                self.deliver_entry(number, attempt, message);
            }
            Happening::Deadline(number) => self.on_deadline(number),
            Happening::Send(number) => self.on_send(number),
            Happening::LogAppend(id, batch) => self.on_log_append(id, batch),
            Happening::LogRead(id, from) => self.on_log_read(id, from),
            Happening::EndpointRun(call) => self.on_endpoint_run(call),
            Happening::EndpointDone(call, answer) => self.on_endpoint_done(call, answer),
            Happening::Fault(number) => self.on_fault(number),
            Happening::Restart(endpoint) => self.start_process(endpoint),
        }
    }

    fn on_endpoint_run(&mut self, call: EndpointCall) {
        if let Some(ends) = self.stalled_endpoint(call.from.endpoint) {
            self.at(ends, Happening::EndpointRun(call));
            return;
        }
        let answer = self.service.run(call.key, call.fingerprint, call.attempt);
        let wait = self
            .rng
            .random_range(1_000..self.scene.service_time_max.as_us());
        self.after(Span::from_us(wait), Happening::EndpointDone(call, answer));
    }

    fn stalled_endpoint(&self, endpoint: usize) -> Option<Time> {
        self.plan.hits(FaultKind::EndpointStall, self.now, endpoint)
    }

    fn on_fault(&mut self, number: usize) {
        let Some(fault) = self.plan.faults.get(number).copied() else {
            return;
        };
        match fault.kind {
            FaultKind::AgentKill => {
                let endpoint = fault.target % self.scene.endpoints;
                if let Some(Some(id)) = self.current.get(endpoint).copied() {
                    self.kill(id, fault.ends_at);
                }
            }
            FaultKind::AgentPause => self.pause(fault.target, fault.ends_at),
            FaultKind::PausedAndReplaced => {
                self.pause(fault.target, fault.ends_at);
                self.start_process(fault.target % self.scene.endpoints);
            }
            FaultKind::EntryKill => self.kill_entry(fault.target),
            _ => {}
        }
    }

    fn pause(&mut self, victim: usize, until: Time) {
        let endpoint = victim % self.scene.endpoints;
        let id = self.current.get(endpoint).copied().flatten();
        if let Some(process) = id.and_then(|id| self.processes.get_mut(&id)) {
            process.paused_until = until;
        }
    }

    /// Kills a process; another takes its place at `back`.
    pub(crate) fn kill(&mut self, id: ProcessId, back: Time) {
        self.processes.remove(&id);
        if self.current.get(id.endpoint) != Some(&Some(id)) {
            return;
        }
        if let Some(slot) = self.current.get_mut(id.endpoint) {
            *slot = None;
        }
        self.at(back, Happening::Restart(id.endpoint));
        self.break_links(id.endpoint);
    }

    pub(crate) fn new_attempt(&mut self) -> AttemptId {
        self.attempts += 1;
        AttemptId::new(self.attempts)
    }

    pub(crate) fn at(&mut self, at: Time, what: Happening) {
        self.made += 1;
        let number = self.made;
        let at = at.max(self.now);
        self.queue.push(Due { at, number, what });
    }

    pub(crate) fn after(&mut self, wait: Span, what: Happening) {
        self.at(self.now + wait, what);
    }

    /// The way of a message between two hosts.
    pub(crate) fn latency(&mut self) -> Span {
        let mut us = self.rng.random_range(LATENCY_MIN_US..LATENCY_MIN_US * 2);
        if self.plan.active(FaultKind::Delay, self.now).is_some() && self.rng.random_bool(0.3) {
            us += self.rng.random_range(0..DELAY_MAX_US);
        }
        Span::from_us(us)
    }

    /// When a message between entry and agent arrives; a stalled link holds it.
    pub(crate) fn link_arrival(&mut self, endpoint: usize) -> Time {
        let way = self.latency();
        match self.plan.hits(FaultKind::LinkStall, self.now, endpoint) {
            Some(ends) => ends + way,
            None => self.now + way,
        }
    }

    pub(crate) fn endpoint_id(endpoint: usize) -> EndpointId {
        match format!("certdesk-{endpoint}").parse() {
            Ok(id) => id,
            Err(_) => unreachable!("the name is made of letters and digits"),
        }
    }

    fn finish(mut self) -> CallReport {
        let executed: Vec<AttemptId> = self.service.runs.values().flatten().copied().collect();
        self.report.executions = u64::try_from(executed.len()).unwrap_or(u64::MAX);
        let doubles = self.service.runs.values().filter(|runs| runs.len() > 1);
        self.report.double_runs = u64::try_from(doubles.count()).unwrap_or(u64::MAX);
        self.report.false_not_run = self.false_refusals(&executed);
        for request in &self.requests {
            self.report.calls += 1;
            self.report.note(request.told(), request.wait());
        }
        self.report.crossed = self.crossed();
        self.report
    }

    fn crossed(&self) -> u64 {
        let crossed = self.requests.iter().filter(|request| {
            request
                .answer
                .as_ref()
                .is_some_and(|body| body != &mark(request.key, request.fingerprint))
        });
        u64::try_from(crossed.count()).unwrap_or(u64::MAX)
    }

    /// Calls told `not_run` that ran, and keys told nothing else that ran.
    fn false_refusals(&self, executed: &[AttemptId]) -> u64 {
        let not_run = CallResult::Refused(Outcome::NotRun);
        let heard: Vec<(KeyDigest, Heard)> = self
            .requests
            .iter()
            .map(|request| (request.key, request.heard()))
            .collect();
        let by_attempt = heard.iter().filter(|(_, heard)| {
            heard.told == not_run && executed.iter().any(|run| heard.attempts.contains(run))
        });
        let by_key = self.service.runs.keys().filter(|key| {
            heard
                .iter()
                .filter(|(known, _)| known == *key)
                .all(|(_, heard)| heard.told == not_run)
        });
        u64::try_from(by_attempt.count() + by_key.count()).unwrap_or(u64::MAX)
    }

    pub(crate) fn request(&mut self, number: RequestNumber) -> Option<&mut Request> {
        self.requests.get_mut(number)
    }
}
