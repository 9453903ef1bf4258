//! The admission decisions in the form that the admission thread uses.

use lentil_admit::{
    Action, Admission, EngineConfig, Event, GenerationSpec, LearnedLengths, ServiceAction,
    ServiceAdmission, ServiceCall, ServiceConfig, ServiceEvent,
};
use lentil_core::{
    AttemptId, Blocks, BootId, EndpointLoad, ModelId, OrganisationId, Priority, RefusalReason,
    Time, TokenCount,
};
use lentil_settings::{AgentSettings, EndpointKind};

use crate::engine::EngineLoad;

/// Bytes of a prompt that make a token, where the engine doesn't say.
const TOKEN_BYTES: usize = 4;

/// What a gate needs to know of a request.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) attempt: AttemptId,
    pub(crate) deadline_us: Time,
    /// What a generation adds to that; none for a plain call.
    pub(crate) generation: Option<GenerationAsk>,
}

/// What is known of a generation before it runs.
#[derive(Debug, Clone)]
pub(crate) struct GenerationAsk {
    pub(crate) organisation: OrganisationId,
    pub(crate) model: ModelId,
    pub(crate) priority: Priority,
    pub(crate) prompt_bytes: usize,
    pub(crate) tokens_max: TokenCount,
}

/// What a gate decided.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    Start(AttemptId),
    Refuse {
        attempt: AttemptId,
        reason: RefusalReason,
        retry_at: Option<Time>,
    },
}

/// Decides which request starts at the endpoint, and when.
pub(crate) trait Gate {
    /// The endpoint answers again, with this much work that is not ours.
    fn up(&mut self, now: Time, foreign: u32) -> Vec<Verdict>;
    /// The endpoint is gone.
    fn down(&mut self, now: Time) -> Vec<Verdict>;
    /// The endpoint takes nothing new, or takes work again.
    fn withdrawn(&mut self, now: Time, withdrawn: bool) -> Vec<Verdict>;
    /// A request came.
    fn arrived(&mut self, now: Time, ask: Ask) -> Vec<Verdict>;
    /// A generation has made this many tokens.
    fn progress(&mut self, now: Time, attempt: AttemptId, generated: TokenCount);
    /// A request ended, well or not.
    fn ended(&mut self, now: Time, attempt: AttemptId, well: bool) -> Vec<Verdict>;
    /// The engine told its load.
    fn told(&mut self, now: Time, load: EngineLoad) -> Vec<Verdict>;
    /// Time passed.
    fn tick(&mut self, now: Time) -> Vec<Verdict>;
    /// The load to report.
    fn load(&mut self, now: Time) -> EndpointLoad;
}

/// The gate of an endpoint.
pub(crate) fn gate(settings: &AgentSettings, boot: BootId) -> Box<dyn Gate> {
    match settings.kind {
        EndpointKind::Engine => Box::new(EngineGate(Admission::new(
            engine_shape(settings),
            boot,
            Box::new(LearnedLengths::new()),
        ))),
        EndpointKind::Service => Box::new(ServiceGate(ServiceAdmission::new(
            service_shape(settings),
            boot,
        ))),
    }
}

fn engine_shape(settings: &AgentSettings) -> EngineConfig {
    EngineConfig {
        slots: settings.slots.get(),
        cold_slots: settings.cold_slots.get(),
        blocks: Blocks::new(settings.blocks.get()),
        block_tokens: TokenCount::new(settings.block_tokens.get()),
        waiting_max: settings.waiting_max,
        agent_preempts: false,
    }
}

fn service_shape(settings: &AgentSettings) -> ServiceConfig {
    ServiceConfig {
        slots: settings.slots.get(),
        cold_slots: settings.cold_slots.get(),
        waiting_max: settings.waiting_max,
    }
}

struct EngineGate(Admission);

impl EngineGate {
    fn on(&mut self, now: Time, event: Event) -> Vec<Verdict> {
        let actions = self.0.on(now, event);
        actions.iter().filter_map(engine_verdict).collect()
    }
}

fn engine_verdict(action: &Action) -> Option<Verdict> {
    match *action {
        Action::Start { attempt, .. } => Some(Verdict::Start(attempt)),
        Action::Refuse {
            attempt,
            reason,
            retry_at,
        } => Some(Verdict::Refuse {
            attempt,
            reason,
            retry_at: Some(retry_at),
        }),
        // The shape says that the engine alone preempts.
        Action::Preempt { .. } => None,
    }
}

impl Gate for EngineGate {
    fn up(&mut self, now: Time, foreign: u32) -> Vec<Verdict> {
        self.on(now, Event::EndpointStarted { foreign })
    }

    fn down(&mut self, now: Time) -> Vec<Verdict> {
        self.on(now, Event::EndpointDown)
    }

    fn withdrawn(&mut self, now: Time, withdrawn: bool) -> Vec<Verdict> {
        self.on(now, Event::Withdrawn(withdrawn))
    }

    fn arrived(&mut self, now: Time, ask: Ask) -> Vec<Verdict> {
        let Some(generation) = ask.generation else {
            return vec![Verdict::Refuse {
                attempt: ask.attempt,
                reason: RefusalReason::NotFound,
                retry_at: None,
            }];
        };
        let prompt = u32::try_from(generation.prompt_bytes.div_ceil(TOKEN_BYTES));
        let work = GenerationSpec {
            attempt: ask.attempt,
            organisation: generation.organisation,
            model: generation.model,
            priority: generation.priority,
            prompt: TokenCount::new(prompt.unwrap_or(u32::MAX)),
            max_tokens: generation.tokens_max,
            deadline: ask.deadline_us,
            suspect: false,
        };
        self.on(now, Event::Arrived(work))
    }

    fn progress(&mut self, now: Time, attempt: AttemptId, generated: TokenCount) {
        self.on(now, Event::Progress { attempt, generated });
    }

    fn ended(&mut self, now: Time, attempt: AttemptId, well: bool) -> Vec<Verdict> {
        self.on(
            now,
            if well {
                Event::Finished { attempt }
            } else {
                Event::Dropped { attempt }
            },
        )
    }

    fn told(&mut self, now: Time, load: EngineLoad) -> Vec<Verdict> {
        let event = Event::EngineLoad {
            running: load.side_by_side(),
            blocks_used: Blocks::new(load.blocks_used),
        };
        self.on(now, event)
    }

    fn tick(&mut self, now: Time) -> Vec<Verdict> {
        self.on(now, Event::Tick)
    }

    fn load(&mut self, now: Time) -> EndpointLoad {
        self.0.load(now)
    }
}

struct ServiceGate(ServiceAdmission);

impl ServiceGate {
    fn on(&mut self, now: Time, event: ServiceEvent) -> Vec<Verdict> {
        let actions = self.0.on(now, event);
        actions.into_iter().map(service_verdict).collect()
    }
}

fn service_verdict(action: ServiceAction) -> Verdict {
    match action {
        ServiceAction::Start { attempt } => Verdict::Start(attempt),
        ServiceAction::Refuse { attempt, reason } => Verdict::Refuse {
            attempt,
            reason,
            retry_at: None,
        },
    }
}

impl Gate for ServiceGate {
    fn up(&mut self, now: Time, _foreign: u32) -> Vec<Verdict> {
        self.on(now, ServiceEvent::Started)
    }

    fn down(&mut self, now: Time) -> Vec<Verdict> {
        self.on(now, ServiceEvent::Down)
    }

    fn withdrawn(&mut self, now: Time, withdrawn: bool) -> Vec<Verdict> {
        self.on(now, ServiceEvent::Withdrawn(withdrawn))
    }

    fn arrived(&mut self, now: Time, ask: Ask) -> Vec<Verdict> {
        let call = ServiceCall {
            attempt: ask.attempt,
            deadline: ask.deadline_us,
        };
        self.on(now, ServiceEvent::Arrived(call))
    }

    fn progress(&mut self, _now: Time, _attempt: AttemptId, _generated: TokenCount) {}

    fn ended(&mut self, now: Time, attempt: AttemptId, well: bool) -> Vec<Verdict> {
        self.on(
            now,
            if well {
                ServiceEvent::Answered {
                    attempt,
                    overloaded: false,
                }
            } else {
                ServiceEvent::Dropped { attempt }
            },
        )
    }

    fn told(&mut self, _now: Time, _load: EngineLoad) -> Vec<Verdict> {
        Vec::new()
    }

    fn tick(&mut self, now: Time) -> Vec<Verdict> {
        self.on(now, ServiceEvent::Tick)
    }

    fn load(&mut self, _now: Time) -> EndpointLoad {
        self.0.load()
    }
}
