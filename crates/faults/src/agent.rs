//! Agents of a run: the product's machine with a fake shell around it.

use std::collections::HashMap;

use lentil_core::{AttemptId, Offset, Span, Time};
use lentil_once::{
    Action, Answer, AppendResult, Batch, Call, ClaimStateMachine, EndpointResult, Event, Executor,
    Limits, Record,
};
use rand::RngExt as _;

use crate::event::{EndpointCall, Happening, ProcessId, ToAgent, ToEntry};
use crate::plan::{FaultKind, KillPoint};
use crate::world::CallSimulation;

/// How long a process waits for the log.
const LOG_TIMEOUT: Span = Span::from_ms(600);
/// How long a process waits for its endpoint.
const ENDPOINT_TIMEOUT: Span = Span::from_s(3);
/// How long a killed process stays away in the window tests.
const WINDOW_BACK: Span = Span::from_ms(300);
/// How late a batch lands that is to land behind the successor's start.
const BEHIND: Span = Span::from_s(2);

/// One process beside an endpoint.
#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) claims: ClaimStateMachine,
    pub(crate) paused_until: Time,
    log: usize,
    arrived: HashMap<AttemptId, (Call, Time)>,
    tick_at: Time,
}

impl Process {
    pub(crate) fn new(now: Time, id: ProcessId, log: usize, limits: Limits) -> Self {
        let executor = Executor {
            endpoint: CallSimulation::endpoint_id(id.endpoint),
            boot: id.boot,
        };
        Self {
            claims: ClaimStateMachine::new(now, executor, limits, Offset::new(0)),
            paused_until: Time::ZERO,
            log,
            arrived: HashMap::new(),
            tick_at: Time::NEVER,
        }
    }
}

impl CallSimulation {
    pub(crate) fn deliver_endpoint(&mut self, endpoint: usize, message: ToAgent) {
        match self.current.get(endpoint).copied().flatten() {
            Some(id) => self.deliver_process(id, message),
            None => self.break_links(endpoint),
        }
    }

    pub(crate) fn deliver_process(&mut self, id: ProcessId, message: ToAgent) {
        let now = self.now;
        let Some(process) = self.processes.get_mut(&id) else {
            return;
        };
        if process.paused_until > now {
            let until = process.paused_until;
            self.at(until, Happening::Process(id, message));
            return;
        }
        let (event, records) = into_event(process, now, message);
        let actions = process.claims.handle(now, event);
        self.act(id, actions);
        self.after_event(id, &records);
        self.wake(id);
    }

    /// Makes sure that the process is woken when it asks to be.
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
        self.at(at, Happening::Process(id, ToAgent::Tick));
    }

    fn act(&mut self, id: ProcessId, actions: Vec<Action>) {
        for action in actions {
            if !self.processes.contains_key(&id) {
                return;
            }
            match action {
                Action::Append(batch) => self.append(id, batch),
                Action::Read { from } => {
                    let way = self.latency() + self.scene.log_latency;
                    self.after(way, Happening::LogRead(id, from));
                }
                Action::Run { claim, attempt } => self.run_at_endpoint(id, claim, attempt),
                Action::Reply { attempt, reply } => {
                    self.answer_requester(id, attempt, ToEntry::Reply(reply));
                }
                Action::Settled { attempt, outcome } => {
                    self.answer_requester(id, attempt, ToEntry::Settled(outcome));
                }
                Action::Fenced => {}
            }
        }
    }

    fn answer_requester(&mut self, id: ProcessId, attempt: AttemptId, message: ToEntry) {
        let found = self
            .requests
            .iter()
            .position(|r| r.attempts.contains(&attempt));
        if let Some(number) = found {
            let at = self.link_arrival(id.endpoint);
            self.at(at, Happening::Entry(number, attempt, message));
        }
    }

    fn append(&mut self, id: ProcessId, batch: Batch) {
        let claims = batch
            .records
            .iter()
            .any(|r| matches!(r, Record::Claim { .. }));
        let way = self.latency() + self.scene.log_latency;
        if claims && self.in_window(id, KillPoint::BeforeClaimAppend) {
            return self.kill_in_window(id);
        }
        if claims && self.in_window(id, KillPoint::ClaimStoredBeforeRestart) {
            self.at(self.now, Happening::LogAppend(id, batch));
            return self.kill_in_window(id);
        }
        if claims && self.in_window(id, KillPoint::ClaimStoredAfterRestart) {
            self.after(BEHIND, Happening::LogAppend(id, batch));
            return self.kill_in_window(id);
        }
        if claims && self.in_window(id, KillPoint::AfterRelease) {
            self.settle_first_claim(id, &batch);
        }
        if let Some(process) = self.processes.get_mut(&id)
            && process.log < self.logs.len()
        {
            self.after(way, Happening::LogAppend(id, batch));
        }
    }

    fn settle_first_claim(&mut self, id: ProcessId, batch: &Batch) {
        let claim = batch.records.iter().find_map(|record| match record {
            Record::Claim { claim, key, .. } => Some((*claim, *key)),
            _ => None,
        });
        if let Some((attempt, key)) = claim {
            let boot = id.boot;
            let settle = ToAgent::Settle { attempt, key, boot };
            self.at(self.now, Happening::Process(id, settle));
        }
    }

    fn run_at_endpoint(&mut self, id: ProcessId, claim: AttemptId, attempt: AttemptId) {
        if self.in_window(id, KillPoint::BeforeSend) {
            return self.kill_in_window(id);
        }
        let known = self
            .processes
            .get(&id)
            .and_then(|process| process.arrived.get(&attempt).copied());
        let Some((call, arrived)) = known else {
            return;
        };
        self.report.claim_latencies.push(self.now.since(arrived));
        let way = self.latency();
        let endpoint_call = EndpointCall {
            from: id,
            claim,
            attempt,
            key: call.key,
            fingerprint: call.fingerprint,
        };
        self.after(way, Happening::EndpointRun(endpoint_call));
        let result = EndpointResult::ConnectionBroken;
        let timeout = Happening::Process(id, ToAgent::Finished { claim, result });
        self.after(ENDPOINT_TIMEOUT, timeout);
        if self.in_window(id, KillPoint::BeforeAnswer) {
            self.kill_in_window(id);
        }
    }

    pub(crate) fn on_endpoint_done(&mut self, call: EndpointCall, answer: Answer) {
        let way = self.latency();
        let result = EndpointResult::Answered(answer);
        let claim = call.claim;
        self.after(
            way,
            Happening::Process(call.from, ToAgent::Finished { claim, result }),
        );
    }

    fn log_of(&self, id: ProcessId) -> Option<usize> {
        self.processes.get(&id).map(|process| process.log)
    }

    pub(crate) fn on_log_append(&mut self, id: ProcessId, batch: Batch) {
        // A batch lands even when its sender died meanwhile.
        let log = self.log_of(id).unwrap_or(0);
        let sequence = batch.sequence;
        let out = self.plan.active(FaultKind::LogOutage, self.now).is_some();
        let lossy = self
            .plan
            .active(FaultKind::LostLogAnswer, self.now)
            .is_some();
        let twin = self.plan.active(FaultKind::Duplicate, self.now).is_some();
        if out && self.rng.random_bool(0.8) {
            let refused = self.rng.random_bool(0.3);
            let result = if refused {
                AppendResult::Refused
            } else {
                AppendResult::NoAnswer
            };
            return self.answer_append(id, sequence, result, LOG_TIMEOUT);
        }
        let no_answer = out || (lossy && self.rng.random_bool(0.7));
        if no_answer && self.rng.random_bool(0.3) {
            let late = Span::from_us(self.rng.random_range(700_000..3_000_000));
            self.after(late, Happening::LogAppend(id, batch));
            return self.answer_append(id, sequence, AppendResult::NoAnswer, LOG_TIMEOUT);
        }
        if twin && self.rng.random_bool(0.3) {
            let late = Span::from_us(self.rng.random_range(1_000..2_000_000));
            self.after(late, Happening::LogAppend(id, batch.clone()));
        }
        let Some(stream) = self.logs.get_mut(log) else {
            return;
        };
        self.report.appends += 1;
        let offset = stream.append(batch);
        if no_answer {
            self.answer_append(id, sequence, AppendResult::NoAnswer, LOG_TIMEOUT);
        } else {
            let way = self.latency() + self.scene.log_latency;
            self.answer_append(id, sequence, AppendResult::Stored(offset), way);
        }
    }

    fn answer_append(&mut self, id: ProcessId, sequence: u64, result: AppendResult, way: Span) {
        let message = ToAgent::Appended { sequence, result };
        self.after(way, Happening::Process(id, message));
    }

    pub(crate) fn on_log_read(&mut self, id: ProcessId, from: Offset) {
        let Some(log) = self.log_of(id) else {
            return;
        };
        let way = self.latency() + self.scene.log_latency;
        if self.plan.active(FaultKind::LogOutage, self.now).is_some() {
            return self.after(LOG_TIMEOUT, Happening::Process(id, ToAgent::ReadFailed));
        }
        let Some(stream) = self.logs.get(log) else {
            return;
        };
        let message = ToAgent::Read {
            from,
            batches: stream.read(from),
            next: stream.next(),
        };
        self.after(way, Happening::Process(id, message));
    }

    fn in_window(&self, id: ProcessId, window: KillPoint) -> bool {
        // The first process of endpoint 0 is the victim.
        self.plan.kill_point == Some(window)
            && !self.window_done
            && id.endpoint == 0
            && id.boot.get() == 1000
    }

    fn kill_in_window(&mut self, id: ProcessId) {
        self.window_done = true;
        self.kill(id, self.now + WINDOW_BACK);
    }

    /// Kills after an event that closes a window.
    fn after_event(&mut self, id: ProcessId, seen: &Seen) {
        let record = seen.finished && self.in_window(id, KillPoint::BeforeOutcomeRecord);
        let recorded = seen.done_read && self.in_window(id, KillPoint::AfterOutcomeRecord);
        let released = seen.release_read && self.in_window(id, KillPoint::AfterRelease);
        if record || recorded || released {
            self.kill_in_window(id);
        }
    }
}

/// What an event showed to the process.
#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    finished: bool,
    done_read: bool,
    release_read: bool,
}

fn into_event(process: &mut Process, now: Time, message: ToAgent) -> (Event, Seen) {
    let mut seen = Seen::default();
    let event = match message {
        ToAgent::Call(call) => {
            process.arrived.insert(call.attempt, (call, now));
            Event::Call(call)
        }
        ToAgent::Settle { attempt, key, boot } => Event::Settle { attempt, key, boot },
        ToAgent::Appended { sequence, result } => Event::Appended { sequence, result },
        ToAgent::Read {
            from,
            batches,
            next,
        } => {
            let records = || batches.iter().flat_map(|(_, batch)| batch.records.iter());
            seen.done_read = records().any(|r| matches!(r, Record::Done { .. }));
            seen.release_read = records().any(|r| matches!(r, Record::Release { .. }));
            Event::Read {
                from,
                batches,
                next,
                first: Offset::new(0),
            }
        }
        ToAgent::ReadFailed => Event::ReadFailed,
        ToAgent::Finished { claim, result } => {
            seen.finished = matches!(result, EndpointResult::Answered(_));
            Event::Finished { claim, result }
        }
        ToAgent::Tick => Event::Tick,
    };
    (event, seen)
}
