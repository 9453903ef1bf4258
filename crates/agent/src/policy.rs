//! Admission policies for engines and for plain services, behind one trait.

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

/// Estimated prompt bytes per token, for engines that don't report the count.
const BYTES_PER_TOKEN: usize = 4;

/// The properties of a request that admission depends on.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionRequest {
    pub(crate) attempt: AttemptId,
    pub(crate) deadline: Time,
    /// Properties of a generation; `None` for a call of a plain service.
    pub(crate) generation: Option<GenerationDemand>,
}

/// The properties of a generation that are known before it runs.
#[derive(Debug, Clone)]
pub(crate) struct GenerationDemand {
    pub(crate) organisation: OrganisationId,
    pub(crate) model: ModelId,
    pub(crate) priority: Priority,
    pub(crate) prompt_bytes: usize,
    pub(crate) tokens_max: TokenCount,
}

/// An admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    Start(AttemptId),
    Refuse {
        attempt: AttemptId,
        reason: RefusalReason,
        retry_at: Option<Time>,
    },
}

/// Decides which request starts at the endpoint and when.
pub(crate) trait AdmissionPolicy {
    /// The endpoint became reachable; `foreign` is the number of generations on
    /// it that this agent did not start.
    fn on_endpoint_up(&mut self, now: Time, foreign: u32) -> Vec<Decision>;
    /// The endpoint became unreachable.
    fn on_endpoint_down(&mut self, now: Time) -> Vec<Decision>;
    /// Withdraws the endpoint from new work, or makes it available again.
    fn set_withdrawn(&mut self, now: Time, withdrawn: bool) -> Vec<Decision>;
    /// A request arrived.
    fn on_request(&mut self, now: Time, request: AdmissionRequest) -> Vec<Decision>;
    /// A generation has produced this many tokens.
    fn on_progress(&mut self, now: Time, attempt: AttemptId, generated: TokenCount);
    /// A request ended, successfully or not.
    fn on_ended(&mut self, now: Time, attempt: AttemptId, succeeded: bool) -> Vec<Decision>;
    /// The engine reported its load.
    fn on_engine_load(&mut self, now: Time, load: EngineLoad) -> Vec<Decision>;
    /// The timer ticked.
    fn on_tick(&mut self, now: Time) -> Vec<Decision>;
    /// The load to report.
    fn load(&mut self, now: Time) -> EndpointLoad;
}

/// Creates the admission policy for the configured kind of endpoint.
pub(crate) fn admission_policy(settings: &AgentSettings, boot: BootId) -> Box<dyn AdmissionPolicy> {
    match settings.kind {
        EndpointKind::Engine => Box::new(EnginePolicy(Admission::new(
            engine_config(settings),
            boot,
            Box::new(LearnedLengths::new()),
        ))),
        EndpointKind::Service => Box::new(ServicePolicy(ServiceAdmission::new(
            service_config(settings),
            boot,
        ))),
    }
}

fn engine_config(settings: &AgentSettings) -> EngineConfig {
    EngineConfig {
        slots: settings.slots.get(),
        cold_slots: settings.cold_slots.get(),
        blocks: Blocks::new(settings.blocks.get()),
        block_tokens: TokenCount::new(settings.block_tokens.get()),
        waiting_max: settings.waiting_max,
        agent_preempts: false,
    }
}

fn service_config(settings: &AgentSettings) -> ServiceConfig {
    ServiceConfig {
        slots: settings.slots.get(),
        cold_slots: settings.cold_slots.get(),
        waiting_max: settings.waiting_max,
    }
}

struct EnginePolicy(Admission);

impl EnginePolicy {
    fn on(&mut self, now: Time, event: Event) -> Vec<Decision> {
        let actions = self.0.on(now, event);
        actions.iter().filter_map(engine_decision).collect()
    }
}

fn engine_decision(action: &Action) -> Option<Decision> {
    match *action {
        Action::Start { attempt, .. } => Some(Decision::Start(attempt)),
        Action::Refuse {
            attempt,
            reason,
            retry_at,
        } => Some(Decision::Refuse {
            attempt,
            reason,
            retry_at: Some(retry_at),
        }),
        // `agent_preempts` is false: only the engine preempts.
        Action::Preempt { .. } => None,
    }
}

impl AdmissionPolicy for EnginePolicy {
    fn on_endpoint_up(&mut self, now: Time, foreign: u32) -> Vec<Decision> {
        self.on(now, Event::EndpointStarted { foreign })
    }

    fn on_endpoint_down(&mut self, now: Time) -> Vec<Decision> {
        self.on(now, Event::EndpointDown)
    }

    fn set_withdrawn(&mut self, now: Time, withdrawn: bool) -> Vec<Decision> {
        self.on(now, Event::Withdrawn(withdrawn))
    }

    fn on_request(&mut self, now: Time, request: AdmissionRequest) -> Vec<Decision> {
        let Some(generation) = request.generation else {
            return vec![Decision::Refuse {
                attempt: request.attempt,
                reason: RefusalReason::NotFound,
                retry_at: None,
            }];
        };
        let prompt = u32::try_from(generation.prompt_bytes.div_ceil(BYTES_PER_TOKEN));
        let work = GenerationSpec {
            attempt: request.attempt,
            organisation: generation.organisation,
            model: generation.model,
            priority: generation.priority,
            prompt: TokenCount::new(prompt.unwrap_or(u32::MAX)),
            max_tokens: generation.tokens_max,
            deadline: request.deadline,
            suspect: false,
        };
        self.on(now, Event::Arrived(work))
    }

    fn on_progress(&mut self, now: Time, attempt: AttemptId, generated: TokenCount) {
        self.on(now, Event::Progress { attempt, generated });
    }

    fn on_ended(&mut self, now: Time, attempt: AttemptId, succeeded: bool) -> Vec<Decision> {
        self.on(
            now,
            if succeeded {
                Event::Finished { attempt }
            } else {
                Event::Dropped { attempt }
            },
        )
    }

    fn on_engine_load(&mut self, now: Time, load: EngineLoad) -> Vec<Decision> {
        let event = Event::EngineLoad {
            running: load.total(),
            blocks_used: Blocks::new(load.blocks_used),
        };
        self.on(now, event)
    }

    fn on_tick(&mut self, now: Time) -> Vec<Decision> {
        self.on(now, Event::Tick)
    }

    fn load(&mut self, now: Time) -> EndpointLoad {
        self.0.load(now)
    }
}

struct ServicePolicy(ServiceAdmission);

impl ServicePolicy {
    fn on(&mut self, now: Time, event: ServiceEvent) -> Vec<Decision> {
        let actions = self.0.on(now, event);
        actions.into_iter().map(service_decision).collect()
    }
}

fn service_decision(action: ServiceAction) -> Decision {
    match action {
        ServiceAction::Start { attempt } => Decision::Start(attempt),
        ServiceAction::Refuse { attempt, reason } => Decision::Refuse {
            attempt,
            reason,
            retry_at: None,
        },
    }
}

impl AdmissionPolicy for ServicePolicy {
    fn on_endpoint_up(&mut self, now: Time, _foreign: u32) -> Vec<Decision> {
        self.on(now, ServiceEvent::Started)
    }

    fn on_endpoint_down(&mut self, now: Time) -> Vec<Decision> {
        self.on(now, ServiceEvent::Down)
    }

    fn set_withdrawn(&mut self, now: Time, withdrawn: bool) -> Vec<Decision> {
        self.on(now, ServiceEvent::Withdrawn(withdrawn))
    }

    fn on_request(&mut self, now: Time, request: AdmissionRequest) -> Vec<Decision> {
        let call = ServiceCall {
            attempt: request.attempt,
            deadline: request.deadline,
        };
        self.on(now, ServiceEvent::Arrived(call))
    }

    fn on_progress(&mut self, _now: Time, _attempt: AttemptId, _generated: TokenCount) {}

    fn on_ended(&mut self, now: Time, attempt: AttemptId, succeeded: bool) -> Vec<Decision> {
        self.on(
            now,
            if succeeded {
                ServiceEvent::Answered {
                    attempt,
                    overloaded: false,
                }
            } else {
                ServiceEvent::Dropped { attempt }
            },
        )
    }

    fn on_engine_load(&mut self, _now: Time, _load: EngineLoad) -> Vec<Decision> {
        Vec::new()
    }

    fn on_tick(&mut self, now: Time) -> Vec<Decision> {
        self.on(now, ServiceEvent::Tick)
    }

    fn load(&mut self, _now: Time) -> EndpointLoad {
        self.0.load()
    }
}
