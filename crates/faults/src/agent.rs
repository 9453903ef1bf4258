//! Simulated agents: the production claim state machine with fake I/O.

use std::collections::HashMap;

use lentil_core::{AttemptId, Offset, Span, Time};
use lentil_once::{
    Action, Answer, AppendResult, Batch, Call, ClaimStateMachine, EndpointResult, Event, Executor,
    Limits, Record,
};
use rand::RngExt as _;

use crate::event::{AgentMessage, EndpointCall, EntryMessage, ProcessId, SimulationEvent};
use crate::plan::{FaultKind, KillPoint};
use crate::simulation::CallSimulation;

/// Time after which an agent treats a log request as unanswered.
const LOG_TIMEOUT: Span = Span::from_ms(600);
/// Time an agent waits for the answer of its endpoint.
const ENDPOINT_TIMEOUT: Span = Span::from_s(3);
/// Time until the replacement of an agent killed at a [`KillPoint`] starts.
const KILL_RESTART_DELAY: Span = Span::from_ms(300);
/// Delay of an append that must be stored after the replacement has started. It exceeds
/// [`KILL_RESTART_DELAY`].
const LATE_APPEND_DELAY: Span = Span::from_s(2);

/// An agent process.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) claims: ClaimStateMachine,
    pub(crate) paused_until: Time,
    log_index: usize,
    arrived: HashMap<AttemptId, (Call, Time)>,
    tick_at: Time,
}

impl Process {
    pub(crate) fn new(now: Time, id: ProcessId, log_index: usize, limits: Limits) -> Self {
        let executor = Executor {
            endpoint: CallSimulation::endpoint_id(id.endpoint),
            boot: id.boot,
        };
        Self {
            claims: ClaimStateMachine::new(now, executor, limits, Offset::new(0)),
            paused_until: Time::ZERO,
            log_index,
            arrived: HashMap::new(),
            tick_at: Time::NEVER,
        }
    }
}

impl CallSimulation {
    pub(crate) fn deliver_endpoint(&mut self, endpoint: usize, message: AgentMessage) {
        match self.current_processes.get(endpoint).copied().flatten() {
            Some(id) => self.deliver_process(id, message),
            None => self.close_links(endpoint),
        }
    }

    pub(crate) fn deliver_process(&mut self, id: ProcessId, message: AgentMessage) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&id) else {
            return;
        };
        if process.paused_until > now {
            let until = process.paused_until;
            self.schedule_at(until, SimulationEvent::DeliverToProcess(id, message));
            return;
        }
        let (event, records) = into_event(process, now, message);
        let actions = process.claims.handle(now, event);
        self.perform(id, actions);
        self.kill_after_event(id, &records);
        self.wake(id);
    }

    /// Schedules the next tick that the process asked for, unless an earlier one is scheduled.
    pub(crate) fn wake(&mut self, id: ProcessId) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&id) else {
            return;
        };
        let at = process.claims.next_wake().max(now + Span::from_us(100));
        if process.tick_at > now && process.tick_at <= at {
            return;
        }
        process.tick_at = at;
        self.schedule_at(
            at,
            SimulationEvent::DeliverToProcess(id, AgentMessage::Tick),
        );
    }

    fn perform(&mut self, id: ProcessId, actions: Vec<Action>) {
        for action in actions {
            if !self.processes.contains_key(&id) {
                return;
            }
            match action {
                Action::Append(batch) => self.append(id, batch),
                Action::Read { from } => {
                    let latency = self.draw_latency() + self.scenario.log_latency;
                    self.schedule_after(latency, SimulationEvent::LogRead(id, from));
                }
                Action::Run { claim, attempt } => self.send_to_endpoint(id, claim, attempt),
                Action::Reply { attempt, reply } => {
                    self.send_to_entry(id, attempt, EntryMessage::Reply(reply));
                }
                Action::Settled { attempt, outcome } => {
                    self.send_to_entry(id, attempt, EntryMessage::Settled(outcome));
                }
                Action::Fenced => {}
            }
        }
    }

    fn send_to_entry(&mut self, id: ProcessId, attempt: AttemptId, message: EntryMessage) {
        let found = self
            .requests
            .iter()
            .position(|r| r.attempts.contains(&attempt));
        if let Some(number) = found {
            let at = self.link_arrival_time(id.endpoint);
            self.schedule_at(
                at,
                SimulationEvent::DeliverToEntry(number, attempt, message),
            );
        }
    }

    fn append(&mut self, id: ProcessId, batch: Batch) {
        let claims = batch
            .records
            .iter()
            .any(|r| matches!(r, Record::Claim { .. }));
        let latency = self.draw_latency() + self.scenario.log_latency;
        if claims && self.at_kill_point(id, KillPoint::BeforeClaimAppend) {
            return self.kill_for_plan(id);
        }
        if claims && self.at_kill_point(id, KillPoint::ClaimStoredBeforeRestart) {
            self.schedule_at(self.now, SimulationEvent::LogAppend(id, batch));
            return self.kill_for_plan(id);
        }
        if claims && self.at_kill_point(id, KillPoint::ClaimStoredAfterRestart) {
            self.schedule_after(LATE_APPEND_DELAY, SimulationEvent::LogAppend(id, batch));
            return self.kill_for_plan(id);
        }
        if claims && self.at_kill_point(id, KillPoint::AfterRelease) {
            self.settle_first_claim(id, &batch);
        }
        if let Some(process) = self.processes.get_mut(&id)
            && process.log_index < self.logs.len()
        {
            self.schedule_after(latency, SimulationEvent::LogAppend(id, batch));
        }
    }

    fn settle_first_claim(&mut self, id: ProcessId, batch: &Batch) {
        let claim = batch.records.iter().find_map(|record| match record {
            Record::Claim { claim, key, .. } => Some((*claim, *key)),
            _ => None,
        });
        if let Some((attempt, key)) = claim {
            let boot = id.boot;
            let settle = AgentMessage::Settle { attempt, key, boot };
            self.schedule_at(self.now, SimulationEvent::DeliverToProcess(id, settle));
        }
    }

    fn send_to_endpoint(&mut self, id: ProcessId, claim: AttemptId, attempt: AttemptId) {
        if self.at_kill_point(id, KillPoint::BeforeSend) {
            return self.kill_for_plan(id);
        }
        let known = self
            .processes
            .get(&id)
            .and_then(|process| process.arrived.get(&attempt).copied());
        let Some((call, arrived)) = known else {
            return;
        };
        self.report.claim_latencies.push(self.now.since(arrived));
        let latency = self.draw_latency();
        let endpoint_call = EndpointCall {
            from: id,
            claim,
            attempt,
            key: call.key,
            fingerprint: call.fingerprint,
        };
        self.schedule_after(latency, SimulationEvent::EndpointExecute(endpoint_call));
        let result = EndpointResult::ConnectionBroken;
        let timeout =
            SimulationEvent::DeliverToProcess(id, AgentMessage::Finished { claim, result });
        self.schedule_after(ENDPOINT_TIMEOUT, timeout);
        if self.at_kill_point(id, KillPoint::BeforeAnswer) {
            self.kill_for_plan(id);
        }
    }

    pub(crate) fn on_endpoint_respond(&mut self, call: EndpointCall, answer: Answer) {
        let latency = self.draw_latency();
        let result = EndpointResult::Answered(answer);
        let claim = call.claim;
        self.schedule_after(
            latency,
            SimulationEvent::DeliverToProcess(call.from, AgentMessage::Finished { claim, result }),
        );
    }

    fn log_index(&self, id: ProcessId) -> Option<usize> {
        self.processes.get(&id).map(|process| process.log_index)
    }

    pub(crate) fn on_log_append(&mut self, id: ProcessId, batch: Batch) {
        // An append in flight is stored even if its sender has died since.
        let log = self.log_index(id).unwrap_or(0);
        let sequence = batch.sequence;
        let outage = self.plan.active(FaultKind::LogOutage, self.now).is_some();
        let loses_answers = self
            .plan
            .active(FaultKind::LostLogAnswer, self.now)
            .is_some();
        let duplicate = self.plan.active(FaultKind::Duplicate, self.now).is_some();
        if outage && self.rng.random_bool(0.8) {
            let refused = self.rng.random_bool(0.3);
            let result = if refused {
                AppendResult::Refused
            } else {
                AppendResult::NoAnswer
            };
            return self.answer_append(id, sequence, result, LOG_TIMEOUT);
        }
        let no_answer = outage || (loses_answers && self.rng.random_bool(0.7));
        if no_answer && self.rng.random_bool(0.3) {
            let delay = Span::from_us(self.rng.random_range(700_000..3_000_000));
            self.schedule_after(delay, SimulationEvent::LogAppend(id, batch));
            return self.answer_append(id, sequence, AppendResult::NoAnswer, LOG_TIMEOUT);
        }
        if duplicate && self.rng.random_bool(0.3) {
            let delay = Span::from_us(self.rng.random_range(1_000..2_000_000));
            self.schedule_after(delay, SimulationEvent::LogAppend(id, batch.clone()));
        }
        let Some(stream) = self.logs.get_mut(log) else {
            return;
        };
        self.report.appends += 1;
        let offset = stream.append(batch);
        if no_answer {
            self.answer_append(id, sequence, AppendResult::NoAnswer, LOG_TIMEOUT);
        } else {
            let latency = self.draw_latency() + self.scenario.log_latency;
            self.answer_append(id, sequence, AppendResult::Stored(offset), latency);
        }
    }

    fn answer_append(&mut self, id: ProcessId, sequence: u64, result: AppendResult, latency: Span) {
        let message = AgentMessage::Appended { sequence, result };
        self.schedule_after(latency, SimulationEvent::DeliverToProcess(id, message));
    }

    pub(crate) fn on_log_read(&mut self, id: ProcessId, from: Offset) {
        let Some(log) = self.log_index(id) else {
            return;
        };
        let latency = self.draw_latency() + self.scenario.log_latency;
        if self.plan.active(FaultKind::LogOutage, self.now).is_some() {
            return self.schedule_after(
                LOG_TIMEOUT,
                SimulationEvent::DeliverToProcess(id, AgentMessage::ReadFailed),
            );
        }
        let Some(stream) = self.logs.get(log) else {
            return;
        };
        let message = AgentMessage::Read {
            from,
            batches: stream.read(from),
            next: stream.next(),
        };
        self.schedule_after(latency, SimulationEvent::DeliverToProcess(id, message));
    }

    fn at_kill_point(&self, id: ProcessId, point: KillPoint) -> bool {
        // Only the first process of endpoint 0 is killed at the planned point.
        self.plan.kill_point == Some(point)
            && !self.kill_done
            && id.endpoint == 0
            && id.boot.get() == 1000
    }

    fn kill_for_plan(&mut self, id: ProcessId) {
        self.kill_done = true;
        self.kill(id, self.now + KILL_RESTART_DELAY);
    }

    /// Kills the process if the event it just handled reaches the planned kill point.
    fn kill_after_event(&mut self, id: ProcessId, observed: &Observed) {
        let record =
            observed.endpoint_answered && self.at_kill_point(id, KillPoint::BeforeOutcomeRecord);
        let recorded = observed.done_read && self.at_kill_point(id, KillPoint::AfterOutcomeRecord);
        let released = observed.release_read && self.at_kill_point(id, KillPoint::AfterRelease);
        if record || recorded || released {
            self.kill_for_plan(id);
        }
    }
}

/// Facts about a handled event that decide whether a kill point is reached.
#[derive(Debug, Default, Clone, Copy)]
struct Observed {
    endpoint_answered: bool,
    done_read: bool,
    release_read: bool,
}

fn into_event(process: &mut Process, now: Time, message: AgentMessage) -> (Event, Observed) {
    let mut observed = Observed::default();
    let event = match message {
        AgentMessage::Call(call) => {
            process.arrived.insert(call.attempt, (call, now));
            Event::Call(call)
        }
        AgentMessage::Settle { attempt, key, boot } => Event::Settle { attempt, key, boot },
        AgentMessage::Appended { sequence, result } => Event::Appended { sequence, result },
        AgentMessage::Read {
            from,
            batches,
            next,
        } => {
            let records = || batches.iter().flat_map(|(_, batch)| batch.records.iter());
            observed.done_read = records().any(|r| matches!(r, Record::Done { .. }));
            observed.release_read = records().any(|r| matches!(r, Record::Release { .. }));
            Event::Read {
                from,
                batches,
                next,
                first: Offset::new(0),
            }
        }
        AgentMessage::ReadFailed => Event::ReadFailed,
        AgentMessage::Finished { claim, result } => {
            observed.endpoint_answered = matches!(result, EndpointResult::Answered(_));
            Event::Finished { claim, result }
        }
        AgentMessage::Tick => Event::Tick,
    };
    (event, observed)
}
