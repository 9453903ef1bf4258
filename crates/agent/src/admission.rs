//! The thread that decides which request starts at the endpoint, and when.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::ControlFlow;
use std::sync::mpsc::SyncSender;

use lentil_core::{AttemptId, EndpointState, GenerationId, RefusalReason, Span, Time, TokenCount};
use lentil_settings::{AgentSettings, EndpointKind};
use lentil_shell::{BoundedReceiver, BoundedSender};
use lentil_wire::v1;
use tokio::sync::{oneshot, watch};

use crate::agent::Identity;
use crate::endpoint::Task;
use crate::engine::EngineLoad;
use crate::gate::{Ask, Gate, GenerationAsk, Verdict, gate};
use crate::work::{
    GenerationRequest, Reading, ServiceCall, Sink, not_handed_on, refused_call, refused_event,
};

/// Time between two load reports to entries; replies carry the load between them.
const PUSH_INTERVAL: Span = Span::from_s(4);
/// Time between two turns of the timer.
const TICK: Span = Span::from_ms(50);

/// What other threads tell the admission thread.
#[derive(Debug)]
pub(crate) enum Command {
    /// A request to generate came in.
    Run {
        request: Box<GenerationRequest>,
        sink: Sink,
    },
    /// A call of the plain service came in.
    Call {
        call: ServiceCall,
        reply: oneshot::Sender<v1::CallReply>,
    },
    /// Somebody reads a held generation.
    Read(Reading),
    /// Nobody waits for a generation any more.
    Cancel {
        generation: GenerationId,
        known: oneshot::Sender<bool>,
    },
    /// A generation has made this many tokens.
    Progress {
        attempt: AttemptId,
        generated: TokenCount,
    },
    /// The endpoint finished a piece of work, well or not.
    Finished { attempt: AttemptId, well: bool },
    /// News of the engine.
    Engine(EngineNews),
    /// An entry wants load reports.
    Watch {
        reports: oneshot::Sender<watch::Receiver<v1::LoadReport>>,
    },
    /// The process stops: take nothing new, say when all has finished.
    Drain { done: SyncSender<()> },
}

/// What the endpoint thread sees of the engine.
#[derive(Debug, Clone, Copy)]
pub(crate) enum EngineNews {
    /// It told its load.
    Told(EngineLoad),
    /// It answers without telling its load.
    Answers,
    /// It can't be reached.
    Gone,
}

/// A piece of work that waits for a place.
#[derive(Debug)]
enum Waiting {
    Generation(Box<GenerationRequest>, Sink),
    Call(ServiceCall, oneshot::Sender<v1::CallReply>),
}

impl Waiting {
    fn attempt(&self) -> AttemptId {
        match self {
            Self::Generation(request, _) => request.attempt,
            Self::Call(call, _) => call.attempt,
        }
    }

    fn ask(&self) -> Ask {
        match self {
            Self::Generation(request, _) => Ask {
                attempt: request.attempt,
                deadline_us: request.deadline_us,
                generation: Some(GenerationAsk {
                    organisation: request.organisation.clone(),
                    model: request.model.clone(),
                    priority: request.priority,
                    prompt_bytes: request.prompt.len(),
                    tokens_max: request.tokens_max,
                }),
            },
            Self::Call(call, _) => Ask {
                attempt: call.attempt,
                deadline_us: call.deadline_us,
                generation: None,
            },
        }
    }

    /// Whether nobody waits for it any more.
    fn is_abandoned(&self) -> bool {
        match self {
            Self::Generation(_, sink) => sink.is_closed(),
            Self::Call(_, reply) => reply.is_closed(),
        }
    }

    fn refuse(self, reason: RefusalReason, retry_after: Option<Span>) {
        let attempt = self.attempt();
        let refusal = not_handed_on(attempt, reason);
        let refusal = retry_after.map_or(refusal, |span| refusal.retry_after(span));
        match self {
            Self::Generation(_, sink) => {
                let _ = sink.try_send(refused_event(attempt, refusal));
            }
            Self::Call(_, reply) => {
                let _ = reply.send(refused_call(attempt, refusal));
            }
        }
    }
}

struct Admission {
    identity: Identity,
    gate: Box<dyn Gate>,
    /// The engine's boot, once it answered.
    engine_boot: Option<u64>,
    tasks: BoundedSender<Task>,
    running: BTreeSet<AttemptId>,
    waiting: BTreeMap<AttemptId, Waiting>,
    generations: u64,
    draining: Option<SyncSender<()>>,
    /// The load at this moment; replies carry it.
    current: watch::Sender<v1::LoadReport>,
    /// The load as pushed to entries, now and then.
    reports: watch::Sender<v1::LoadReport>,
    push_at: Time,
}

/// Runs the admission thread until its ring closes.
pub(crate) async fn run(
    identity: Identity,
    settings: AgentSettings,
    inbox: BoundedReceiver<Command>,
    tasks: BoundedSender<Task>,
    current: watch::Sender<v1::LoadReport>,
) {
    let mut admission = Admission {
        reports: watch::Sender::new(v1::LoadReport::default()),
        current,
        push_at: Time::ZERO,
        gate: gate(&settings, identity.boot),
        engine_boot: None,
        identity,
        tasks,
        running: BTreeSet::new(),
        waiting: BTreeMap::new(),
        generations: 0,
        draining: None,
    };
    if settings.kind == EndpointKind::Service {
        let now = admission.identity.clock.now();
        admission.gate.up(now, 0);
    }
    admission.report();
    let mut ticks = tokio::time::interval(TICK.into());
    loop {
        tokio::select! {
            command = inbox.recv() => {
                let Some(command) = command else { return };
                if admission.on(command).is_break() {
                    return;
                }
            }
            _ = ticks.tick() => admission.tick(),
        }
    }
}

impl Admission {
    fn on(&mut self, command: Command) -> ControlFlow<()> {
        let now = self.identity.clock.now();
        match command {
            Command::Progress { attempt, generated } => {
                self.gate.progress(now, attempt, generated);
                return ControlFlow::Continue(());
            }
            Command::Run { request, sink } => self.arrive(Waiting::Generation(request, sink)),
            Command::Call { call, reply } => self.arrive(Waiting::Call(call, reply)),
            Command::Read(reading) => self.hand(Task::Read(reading)),
            Command::Cancel { generation, known } => {
                self.hand(Task::Cancel { generation, known });
            }
            Command::Finished { attempt, well } => {
                self.running.remove(&attempt);
                let verdicts = self.gate.ended(now, attempt, well);
                self.obey(now, verdicts);
            }
            Command::Engine(news) => self.engine(now, news),
            Command::Watch { reports } => {
                let _ = reports.send(self.reports.subscribe());
            }
            Command::Drain { done } => {
                self.draining = Some(done);
                let verdicts = self.gate.withdrawn(now, true);
                self.obey(now, verdicts);
            }
        }
        self.report();
        self.drained()
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
            let verdicts = self.gate.ended(now, attempt, false);
            self.obey(now, verdicts);
        }
        let verdicts = self.gate.tick(now);
        self.obey(now, verdicts);
        self.report();
    }

    fn engine(&mut self, now: Time, news: EngineNews) {
        let (boot, load) = match news {
            EngineNews::Told(load) => (load.boot, Some(load)),
            EngineNews::Answers => (self.engine_boot.unwrap_or_default(), None),
            EngineNews::Gone => {
                if self.engine_boot.take().is_some() {
                    log::warn!(endpoint:% = self.identity.endpoint; "the endpoint is gone");
                }
                let verdicts = self.gate.down(now);
                return self.obey(now, verdicts);
            }
        };
        if self.engine_boot.replace(boot) != Some(boot) {
            log::info!(endpoint:% = self.identity.endpoint; "the endpoint answers");
            let foreign = load.map_or(0, EngineLoad::side_by_side);
            let verdicts = self.gate.up(now, foreign);
            self.obey(now, verdicts);
        } else if let Some(load) = load {
            let verdicts = self.gate.told(now, load);
            self.obey(now, verdicts);
        }
    }

    fn drained(&mut self) -> ControlFlow<()> {
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

    fn arrive(&mut self, work: Waiting) {
        if self.draining.is_some() {
            return work.refuse(RefusalReason::Stopping, None);
        }
        let attempt = work.attempt();
        if self.running.contains(&attempt) || self.waiting.contains_key(&attempt) {
            log::warn!(attempt:% = attempt; "an attempt came twice");
            return;
        }
        let now = self.identity.clock.now();
        let ask = work.ask();
        self.waiting.insert(attempt, work);
        let verdicts = self.gate.arrived(now, ask);
        self.obey(now, verdicts);
    }

    fn obey(&mut self, now: Time, verdicts: Vec<Verdict>) {
        for verdict in verdicts {
            match verdict {
                Verdict::Start(attempt) => {
                    if let Some(work) = self.waiting.remove(&attempt) {
                        self.start(work);
                    }
                }
                Verdict::Refuse {
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

    fn start(&mut self, work: Waiting) {
        self.running.insert(work.attempt());
        match work {
            Waiting::Generation(request, sink) => {
                self.generations += 1;
                let generation = GenerationId {
                    endpoint: self.identity.endpoint.clone(),
                    boot: self.identity.boot,
                    number: self.generations,
                };
                self.hand(Task::Generate {
                    generation,
                    request,
                    sink,
                });
            }
            Waiting::Call(call, reply) => self.hand(Task::Call { call, reply }),
        }
    }

    fn hand(&self, task: Task) {
        if let Err(error) = self.tasks.try_send(task) {
            log::error!("the endpoint thread takes no task: {error}");
        }
    }

    fn report(&mut self) {
        let now = self.identity.clock.now();
        let load = self.gate.load(now);
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
        self.push(now, &report);
        self.current.send_replace(report);
    }

    /// Pushes a new state or boot at once; figures can wait, as replies carry them too.
    fn push(&mut self, now: Time, report: &v1::LoadReport) {
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
