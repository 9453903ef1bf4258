//! The call simulation: virtual clock, event queue, and messages between the components.

use std::collections::{BTreeMap, BinaryHeap};

use lentil_core::{AttemptId, BootId, EndpointId, Fingerprint, Outcome, Span, Time};
use lentil_once::{KeyDigest, KeyShare, Limits};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::agent::Process;
use crate::entry::Request;
use crate::event::{EndpointCall, ProcessId, RequestIndex, ScheduledEvent, SimulationEvent};
use crate::log::FakeLog;
use crate::plan::{FaultKind, FaultPlan, Guard};
use crate::report::{CallReport, CallResult, RequestSummary};
use crate::service::{FakeService, expected_body};

/// Minimum latency of a message between hosts; the maximum is twice that.
const LATENCY_MIN_US: u64 = 1_000;
/// Upper bound of the extra latency of a message under [`FaultKind::Delay`].
const DELAY_MAX_US: u64 = 3_000_000;

/// Parameters of a call simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of endpoints of the service; each has an agent.
    pub endpoints: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of idempotency keys in use.
    pub keys: usize,
    /// Number of concurrent callers per key.
    pub callers_per_key: usize,
    /// Maximum number of times a caller retries a call that wasn't answered.
    pub retries_max: u32,
    /// Time window in which the first call of each key is sent.
    pub start_window: Span,
    /// On average one call in this many reuses the key for a different request; 0 disables this.
    pub conflicts_one_in: u32,
    /// Endpoint that all calls try first. If `None`, it is derived from the key.
    pub first_endpoint: Option<usize>,
    /// Limits of the agents.
    pub limits: Limits,
    /// Upper bound of the execution time at the service.
    pub service_time_max: Span,
    /// Time after which a caller gives up.
    pub caller_timeout: Span,
    /// Time that an entry waits for an agent's reply after it sent the agent one attempt at a
    /// call.
    pub attempt_timeout: Span,
    /// Processing time of the log, added to the network latency of each request and reply.
    pub log_latency: Span,
    /// Share of the keys that this system handles.
    pub key_share: KeyShare,
    /// Virtual time at which the simulation ends.
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

/// A seeded simulation of calls with idempotency keys.
#[derive(Debug)]
pub struct CallSimulation {
    pub(crate) scenario: Scenario,
    pub(crate) plan: FaultPlan,
    pub(crate) guard: Guard,
    pub(crate) now: Time,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) logs: Vec<FakeLog>,
    pub(crate) service: FakeService,
    pub(crate) processes: BTreeMap<ProcessId, Process>,
    pub(crate) current_processes: Vec<Option<ProcessId>>,
    pub(crate) dead_entries: Vec<bool>,
    pub(crate) requests: Vec<Request>,
    pub(crate) report: CallReport,
    pub(crate) kill_done: bool,
    queue: BinaryHeap<ScheduledEvent>,
    events_scheduled: u64,
    boots: u64,
    attempts_started: u128,
}

impl CallSimulation {
    /// Creates a simulation; all random choices derive from `seed`.
    #[must_use]
    pub fn new(seed: u64, scenario: Scenario, plan: FaultPlan, guard: Guard) -> Self {
        let mut simulation = Self {
            now: Time::ZERO,
            rng: ChaCha8Rng::seed_from_u64(seed),
            logs: vec![FakeLog::default()],
            service: FakeService::default(),
            processes: BTreeMap::new(),
            current_processes: vec![None; scenario.endpoints],
            dead_entries: vec![false; scenario.entries],
            requests: Vec::new(),
            report: CallReport::default(),
            kill_done: false,
            queue: BinaryHeap::new(),
            events_scheduled: 0,
            boots: 0,
            attempts_started: 0,
            scenario,
            plan,
            guard,
        };
        simulation.set_up();
        simulation
    }

    /// Runs the simulation to its end and returns the counts.
    #[must_use]
    pub fn run(mut self) -> CallReport {
        while let Some(due) = self.queue.pop() {
            if due.at > self.scenario.ends_at {
                break;
            }
            self.now = due.at;
            self.handle_event(due.event);
        }
        self.finish()
    }

    fn set_up(&mut self) {
        for endpoint in 0..self.scenario.endpoints {
            self.start_process(endpoint);
        }
        for key in 0..self.scenario.keys {
            self.add_callers(key);
        }
        for (number, fault) in self.plan.faults.clone().into_iter().enumerate() {
            self.schedule_at(fault.starts_at, SimulationEvent::StartFault(number));
        }
    }

    fn add_callers(&mut self, key: usize) {
        let digest = KeyDigest::new(u128::try_from(key).unwrap_or(0));
        let base = self.rng.random_range(0..self.scenario.start_window.as_us());
        for _ in 0..self.scenario.callers_per_key {
            let one_in = self.scenario.conflicts_one_in;
            let conflict = one_in > 0 && self.rng.random_range(0..one_in) == 0;
            let fingerprint = Fingerprint::new(u128::from(conflict));
            let entry = self.rng.random_range(0..self.scenario.entries);
            let offset = self.rng.random_range(0..400_000);
            let repeats = self.scenario.retries_max;
            let at = Time::from_us(base + offset);
            self.add_request(digest, fingerprint, entry, repeats, at);
        }
    }

    /// Starts an agent process at an endpoint; entries use it from now on.
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
        let process = Process::new(self.now, id, log, self.scenario.limits);
        self.processes.insert(id, process);
        if let Some(current) = self.current_processes.get_mut(endpoint) {
            *current = Some(id);
        }
        self.wake(id);
    }

    fn handle_event(&mut self, event: SimulationEvent) {
        match event {
            SimulationEvent::DeliverToEndpoint(endpoint, message) => {
                self.deliver_endpoint(endpoint, message);
            }
            SimulationEvent::DeliverToProcess(id, message) => self.deliver_process(id, message),
            SimulationEvent::DeliverToEntry(number, attempt, message) => {
                self.deliver_entry(number, attempt, message);
            }
            SimulationEvent::CallerTimeout(number) => self.on_caller_timeout(number),
            SimulationEvent::SendAttempt(number) => self.on_send_attempt(number),
            SimulationEvent::LogAppend(id, batch) => self.on_log_append(id, batch),
            SimulationEvent::LogRead(id, from) => self.on_log_read(id, from),
            SimulationEvent::EndpointExecute(call) => self.on_endpoint_execute(call),
            SimulationEvent::EndpointRespond(call, answer) => {
                self.on_endpoint_respond(call, answer);
            }
            SimulationEvent::StartFault(number) => self.on_fault(number),
            SimulationEvent::RestartProcess(endpoint) => self.start_process(endpoint),
        }
    }

    fn on_endpoint_execute(&mut self, call: EndpointCall) {
        if let Some(stall_end) = self.endpoint_stalled_until(call.from.endpoint) {
            self.schedule_at(stall_end, SimulationEvent::EndpointExecute(call));
            return;
        }
        let answer = self.service.run(call.key, call.fingerprint, call.attempt);
        let wait = self
            .rng
            .random_range(1_000..self.scenario.service_time_max.as_us());
        self.schedule_after(
            Span::from_us(wait),
            SimulationEvent::EndpointRespond(call, answer),
        );
    }

    fn endpoint_stalled_until(&self, endpoint: usize) -> Option<Time> {
        self.plan
            .active_until(FaultKind::EndpointStall, self.now, endpoint)
    }

    fn on_fault(&mut self, number: usize) {
        let Some(fault) = self.plan.faults.get(number).copied() else {
            return;
        };
        match fault.kind {
            FaultKind::AgentKill => {
                let endpoint = fault.target % self.scenario.endpoints;
                if let Some(Some(id)) = self.current_processes.get(endpoint).copied() {
                    self.kill(id, fault.ends_at);
                }
            }
            FaultKind::AgentPause => self.pause(fault.target, fault.ends_at),
            FaultKind::PausedAndReplaced => {
                self.pause(fault.target, fault.ends_at);
                self.start_process(fault.target % self.scenario.endpoints);
            }
            FaultKind::EntryKill => self.kill_entry(fault.target),
            _ => {}
        }
    }

    fn pause(&mut self, target: usize, until: Time) {
        let endpoint = target % self.scenario.endpoints;
        let id = self.current_processes.get(endpoint).copied().flatten();
        if let Some(process) = id.and_then(|id| self.processes.get_mut(&id)) {
            process.paused_until = until;
        }
    }

    /// Kills a process; its replacement starts at `restart_at`.
    pub(crate) fn kill(&mut self, id: ProcessId, restart_at: Time) {
        self.processes.remove(&id);
        if self.current_processes.get(id.endpoint) != Some(&Some(id)) {
            return;
        }
        if let Some(current) = self.current_processes.get_mut(id.endpoint) {
            *current = None;
        }
        self.schedule_at(restart_at, SimulationEvent::RestartProcess(id.endpoint));
        self.close_links(id.endpoint);
    }

    pub(crate) fn new_attempt(&mut self) -> AttemptId {
        self.attempts_started += 1;
        AttemptId::new(self.attempts_started)
    }

    pub(crate) fn schedule_at(&mut self, at: Time, event: SimulationEvent) {
        self.events_scheduled += 1;
        let sequence = self.events_scheduled;
        let at = at.max(self.now);
        self.queue.push(ScheduledEvent {
            at,
            sequence,
            event,
        });
    }

    pub(crate) fn schedule_after(&mut self, wait: Span, event: SimulationEvent) {
        self.schedule_at(self.now + wait, event);
    }

    /// Draws the latency of a message between two hosts.
    pub(crate) fn draw_latency(&mut self) -> Span {
        let mut us = self.rng.random_range(LATENCY_MIN_US..LATENCY_MIN_US * 2);
        if self.plan.active(FaultKind::Delay, self.now).is_some() && self.rng.random_bool(0.3) {
            us += self.rng.random_range(0..DELAY_MAX_US);
        }
        Span::from_us(us)
    }

    /// Draws the arrival time of a message between an entry and an agent. A stalled link delivers
    /// it after the stall ends.
    pub(crate) fn link_arrival_time(&mut self, endpoint: usize) -> Time {
        let latency = self.draw_latency();
        match self
            .plan
            .active_until(FaultKind::LinkStall, self.now, endpoint)
        {
            Some(stall_end) => stall_end + latency,
            None => self.now + latency,
        }
    }

    pub(crate) fn endpoint_id(endpoint: usize) -> EndpointId {
        match format!("certdesk-{endpoint}").parse() {
            Ok(id) => id,
            Err(_) => unreachable!("an endpoint name of letters, digits and a hyphen is valid"),
        }
    }

    fn finish(mut self) -> CallReport {
        let executed: Vec<AttemptId> = self.service.runs.values().flatten().copied().collect();
        self.report.executions = u64::try_from(executed.len()).unwrap_or(u64::MAX);
        let repeated = self.service.runs.values().filter(|runs| runs.len() > 1);
        self.report.double_runs = u64::try_from(repeated.count()).unwrap_or(u64::MAX);
        self.report.false_not_run = self.count_false_not_run(&executed);
        for request in &self.requests {
            self.report.calls += 1;
            self.report.record(request.result(), request.duration());
        }
        self.report.crossed = self.count_mismatched_answers();
        self.report
    }

    fn count_mismatched_answers(&self) -> u64 {
        let crossed = self.requests.iter().filter(|request| {
            request
                .answer
                .as_ref()
                .is_some_and(|body| body != &expected_body(request.key, request.fingerprint))
        });
        u64::try_from(crossed.count()).unwrap_or(u64::MAX)
    }

    /// Counts requests refused with `not_run` of which an attempt ran, and executed keys whose
    /// requests were all refused with `not_run`.
    fn count_false_not_run(&self, executed: &[AttemptId]) -> u64 {
        let not_run = CallResult::Refused(Outcome::NotRun);
        let summary: Vec<(KeyDigest, RequestSummary)> = self
            .requests
            .iter()
            .map(|request| (request.key, request.summary()))
            .collect();
        let by_attempt = summary.iter().filter(|(_, summary)| {
            summary.result == not_run && executed.iter().any(|run| summary.attempts.contains(run))
        });
        let by_key = self.service.runs.keys().filter(|key| {
            summary
                .iter()
                .filter(|(known, _)| known == *key)
                .all(|(_, summary)| summary.result == not_run)
        });
        u64::try_from(by_attempt.count() + by_key.count()).unwrap_or(u64::MAX)
    }

    pub(crate) fn request_mut(&mut self, number: RequestIndex) -> Option<&mut Request> {
        self.requests.get_mut(number)
    }
}
