//! The admission thread, which decides which request starts at the endpoint and when.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::ControlFlow;
use std::sync::mpsc::SyncSender;

use lentil_core::{
    AttemptId, EndpointState, GenerationId, RefusalReason, RetryAfter, Span, Time, TokenCount,
};
use lentil_settings::{AgentSettings, EndpointKind};
use lentil_shell::{BoundedReceiver, BoundedSender};
use lentil_wire::v1;
use tokio::sync::{oneshot, watch};

use crate::agent::Identity;
use crate::endpoint::Task;
use crate::engine::EngineLoad;
use crate::policy::{
    AdmissionPolicy, AdmissionRequest, Decision, GenerationDemand, admission_policy,
};
use crate::request::{
    EventSender, GenerationRequest, ReadRequest, ServiceCall, not_dispatched, refusal_event,
    refusal_reply,
};

/// Interval between load reports pushed to entries; replies carry the load in
/// the meantime.
const PUSH_INTERVAL: Span = Span::from_s(4);
/// Interval between timer ticks.
const TICK_INTERVAL: Span = Span::from_ms(50);

/// Commands to the admission thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// A generation request arrived.
    Run {
        request: Box<GenerationRequest>,
        sink: EventSender,
    },
    /// A call of the plain service arrived.
    Call {
        call: ServiceCall,
        reply: oneshot::Sender<v1::CallReply>,
    },
    /// A caller wants to read a held generation.
    Read(ReadRequest),
    /// A caller cancels a generation.
    Cancel {
        generation: GenerationId,
        known: oneshot::Sender<bool>,
    },
    /// A generation has produced this many tokens.
    Progress {
        attempt: AttemptId,
        generated: TokenCount,
    },
    /// The endpoint finished a request, successfully or not.
    Finished { attempt: AttemptId, succeeded: bool },
    /// The endpoint turned a call away and wants no more for a while.
    Rest { retry_after: RetryAfter },
    /// The state of the engine changed or was refreshed.
    Engine(EngineUpdate),
    /// An entry subscribes to load reports.
    Watch {
        reports: oneshot::Sender<watch::Receiver<v1::LoadReport>>,
    },
    /// The process is stopping: refuse new requests and signal `done` once all
    /// accepted ones have finished.
    Drain { done: SyncSender<()> },
}

/// Result of a load query to the engine.
#[derive(Debug, Clone, Copy)]
pub(crate) enum EngineUpdate {
    /// The engine reported its load.
    Load(EngineLoad),
    /// The engine responds without reporting its load.
    Reachable,
    /// The engine can't be reached.
    Unreachable,
}

/// A request that waits for admission.
#[derive(Debug)]
enum QueuedWork {
    Generation(Box<GenerationRequest>, EventSender),
    Call(ServiceCall, oneshot::Sender<v1::CallReply>),
}

impl QueuedWork {
    fn attempt(&self) -> AttemptId {
        match self {
            Self::Generation(request, _) => request.attempt,
            Self::Call(call, _) => call.attempt,
        }
    }

    fn admission_request(&self) -> AdmissionRequest {
        match self {
            Self::Generation(request, _) => AdmissionRequest {
                attempt: request.attempt,
                deadline: request.deadline,
                generation: Some(GenerationDemand {
                    organisation: request.organisation.clone(),
                    model: request.model.clone(),
                    priority: request.priority,
                    prompt_bytes: request.prompt.len(),
                    tokens_max: request.tokens_max,
                }),
            },
            Self::Call(call, _) => AdmissionRequest {
                attempt: call.attempt,
                deadline: call.deadline,
                generation: None,
            },
        }
    }

    /// Whether the caller no longer waits for the result.
    fn is_abandoned(&self) -> bool {
        match self {
            Self::Generation(_, sink) => sink.is_closed(),
            Self::Call(_, reply) => reply.is_closed(),
        }
    }

    fn refuse(self, reason: RefusalReason, retry_after: Option<Span>) {
        let attempt = self.attempt();
        let refusal = not_dispatched(attempt, reason);
        let refusal = retry_after.map_or(refusal, |span| refusal.retry_after(span));
        match self {
            Self::Generation(_, sink) => {
                let _ = sink.try_send(refusal_event(attempt, refusal));
            }
            Self::Call(_, reply) => {
                let _ = reply.send(refusal_reply(attempt, refusal));
            }
        }
    }
}

struct Admission {
    identity: Identity,
    policy: Box<dyn AdmissionPolicy>,
    /// Start counter of the engine while it is reachable.
    engine_boot: Option<u64>,
    tasks: BoundedSender<Task>,
    running: BTreeSet<AttemptId>,
    waiting: BTreeMap<AttemptId, QueuedWork>,
    generations: u64,
    draining: Option<SyncSender<()>>,
    /// Until when the endpoint wants no requests.
    rest_until: Time,
    /// The current load, which replies carry.
    current: watch::Sender<v1::LoadReport>,
    /// The load as last pushed to entries.
    reports: watch::Sender<v1::LoadReport>,
    push_at: Time,
}

/// Runs the admission thread until its command channel closes or it has drained.
pub(crate) async fn run(
    identity: Identity,
    settings: AgentSettings,
    commands: BoundedReceiver<Command>,
    tasks: BoundedSender<Task>,
    current: watch::Sender<v1::LoadReport>,
) {
    let mut admission = Admission {
        reports: watch::Sender::new(v1::LoadReport::default()),
        current,
        push_at: Time::ZERO,
        policy: admission_policy(&settings, identity.boot),
        engine_boot: None,
        identity,
        tasks,
        running: BTreeSet::new(),
        waiting: BTreeMap::new(),
        generations: 0,
        draining: None,
        rest_until: Time::ZERO,
    };
    if settings.kind == EndpointKind::Service {
        let now = admission.identity.clock.now();
        admission.policy.on_endpoint_up(now, 0);
    }
    admission.update_report();
    let mut ticks = tokio::time::interval(TICK_INTERVAL.into());
    loop {
        tokio::select! {
            command = commands.recv() => {
                let Some(command) = command else { return };
                if admission.on_command(command).is_break() {
                    return;
                }
            }
            _ = ticks.tick() => admission.tick(),
        }
    }
}

impl Admission {
    fn on_command(&mut self, command: Command) -> ControlFlow<()> {
        let now = self.identity.clock.now();
        match command {
            Command::Progress { attempt, generated } => {
                self.policy.on_progress(now, attempt, generated);
                return ControlFlow::Continue(());
            }
            Command::Run { request, sink } => self.enqueue(QueuedWork::Generation(request, sink)),
            Command::Call { call, reply } => self.enqueue(QueuedWork::Call(call, reply)),
            Command::Read(read_request) => self.send_task(Task::Read(read_request)),
            Command::Cancel { generation, known } => {
                self.send_task(Task::Cancel { generation, known });
            }
            Command::Finished { attempt, succeeded } => {
                self.running.remove(&attempt);
                let decisions = self.policy.on_ended(now, attempt, succeeded);
                self.apply_decisions(now, decisions);
            }
            Command::Rest { retry_after } => {
                log::info!(endpoint:% = self.identity.endpoint, retry_after:% = retry_after; "endpoint asked for no requests");
                self.rest_until = self.rest_until.max(now + retry_after.span());
            }
            Command::Engine(update) => self.on_engine_update(now, update),
            Command::Watch { reports } => {
                let _ = reports.send(self.reports.subscribe());
            }
            Command::Drain { done } => {
                self.draining = Some(done);
                let decisions = self.policy.set_withdrawn(now, true);
                self.apply_decisions(now, decisions);
            }
        }
        self.update_report();
        self.check_drained()
    }

    fn tick(&mut self) {
        let now = self.identity.clock.now();
        let abandoned: Vec<AttemptId> = self
            .waiting
            .iter()
            .filter(|(_, work)| work.is_abandoned())
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in abandoned {
            self.waiting.remove(&attempt);
            let decisions = self.policy.on_ended(now, attempt, false);
            self.apply_decisions(now, decisions);
        }
        let decisions = self.policy.on_tick(now);
        self.apply_decisions(now, decisions);
        self.update_report();
    }

    fn on_engine_update(&mut self, now: Time, update: EngineUpdate) {
        let (boot, load) = match update {
            EngineUpdate::Load(load) => (load.boot, Some(load)),
            EngineUpdate::Reachable => (self.engine_boot.unwrap_or_default(), None),
            EngineUpdate::Unreachable => {
                if self.engine_boot.take().is_some() {
                    log::warn!(endpoint:% = self.identity.endpoint; "the endpoint is unreachable");
                }
                let decisions = self.policy.on_endpoint_down(now);
                return self.apply_decisions(now, decisions);
            }
        };
        if self.engine_boot.replace(boot) != Some(boot) {
            log::info!(endpoint:% = self.identity.endpoint; "the endpoint is reachable");
            let foreign = load.map_or(0, EngineLoad::total);
            let decisions = self.policy.on_endpoint_up(now, foreign);
            self.apply_decisions(now, decisions);
        } else if let Some(load) = load {
            let decisions = self.policy.on_engine_load(now, load);
            self.apply_decisions(now, decisions);
        }
    }

    fn check_drained(&mut self) -> ControlFlow<()> {
        let idle = self.running.is_empty() && self.waiting.is_empty();
        match self.draining.take() {
            Some(done) if idle => {
                let _ = done.send(());
                ControlFlow::Break(())
            }
            draining => {
                self.draining = draining;
                ControlFlow::Continue(())
            }
        }
    }

    fn enqueue(&mut self, work: QueuedWork) {
        if self.draining.is_some() {
            return work.refuse(RefusalReason::Stopping, None);
        }
        let attempt = work.attempt();
        if self.running.contains(&attempt) || self.waiting.contains_key(&attempt) {
            log::warn!(attempt:% = attempt; "ignoring a duplicate attempt");
            return;
        }
        let now = self.identity.clock.now();
        let admission_request = work.admission_request();
        self.waiting.insert(attempt, work);
        let decisions = self.policy.on_request(now, admission_request);
        self.apply_decisions(now, decisions);
    }

    fn apply_decisions(&mut self, now: Time, decisions: Vec<Decision>) {
        let mut decisions = VecDeque::from(decisions);
        while let Some(decision) = decisions.pop_front() {
            match decision {
                Decision::Start(attempt) => {
                    let Some(work) = self.waiting.remove(&attempt) else {
                        continue;
                    };
                    if self.rest_until.has_passed(now) {
                        self.start(work);
                        continue;
                    }
                    let rest = self.rest_until.since(now);
                    work.refuse(RefusalReason::Overloaded, Some(rest));
                    decisions.extend(self.policy.on_ended(now, attempt, false));
                }
                Decision::Refuse {
                    attempt,
                    reason,
                    retry_at,
                } => {
                    if let Some(work) = self.waiting.remove(&attempt) {
                        work.refuse(reason, retry_at.map(|at| at.since(now)));
                    }
                }
            }
        }
    }

    fn start(&mut self, work: QueuedWork) {
        self.running.insert(work.attempt());
        match work {
            QueuedWork::Generation(request, sink) => {
                self.generations += 1;
                let generation = GenerationId {
                    endpoint: self.identity.endpoint.clone(),
                    boot: self.identity.boot,
                    number: self.generations,
                };
                self.send_task(Task::Generate {
                    generation,
                    request,
                    sink,
                });
            }
            QueuedWork::Call(call, reply) => self.send_task(Task::Call { call, reply }),
        }
    }

    fn send_task(&self, task: Task) {
        if let Err(error) = self.tasks.try_send(task) {
            log::error!("sending a task to the endpoint thread: {error}");
        }
    }

    fn update_report(&mut self) {
        let now = self.identity.clock.now();
        let load = self.policy.load(now);
        let state = if self.draining.is_some() {
            EndpointState::Leaving
        } else {
            load.state
        };
        let report = v1::LoadReport {
            endpoint: self.identity.endpoint.to_string(),
            boot: load.boot.get(),
            sequence: load.sequence,
            state: v1::EndpointState::from(state).into(),
            running: load.running,
            waiting: load.waiting,
            free_slots: load.free_slots,
            blocks_used: load.blocks_used.get(),
            blocks_total: load.blocks_total.get(),
            wait_ms: load.wait.as_ms(),
            models: self.identity.models.clone(),
            epoch: self.identity.epoch().get(),
        };
        self.push_report(now, &report);
        self.current.send_replace(report);
    }

    /// Pushes a changed state, boot or epoch at once. Load figures wait for the
    /// push interval, because replies carry them too.
    fn push_report(&mut self, now: Time, report: &v1::LoadReport) {
        let pushed = self.reports.borrow().clone();
        let urgent = pushed.state != report.state
            || pushed.boot != report.boot
            || pushed.epoch != report.epoch;
        if urgent || self.push_at.has_passed(now) {
            self.push_at = now + PUSH_INTERVAL;
            self.reports.send_replace(report.clone());
        }
    }
}
