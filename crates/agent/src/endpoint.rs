//! The endpoint thread, which sends HTTP requests to the endpoint.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use lentil_core::{ByteCount, GenerationId, Span};
use lentil_settings::{AgentSettings, EndpointKind};
use lentil_shell::{BodyBudget, BoundedReceiver, BoundedSender};
use lentil_wire::v1;
use ntex::client::error::ClientBuilderError;
use ntex::client::{Client, Connector};
use ntex::service::cfg::SharedCfg;
use tokio::sync::{oneshot, watch};

use crate::admission::{Command, EngineUpdate};
use crate::agent::Identity;
use crate::call;
use crate::counters::Counters;
use crate::engine::{Engine, EngineError, HttpEngine};
use crate::generation;
use crate::request::{EventSender, GenerationRequest, ReadRequest, ServiceCall};
use crate::token_buffer::TokenBuffer;

/// Maximum number of connections to the endpoint.
const CONNECTIONS_MAX: usize = 1024;

/// Memory for all answers to calls that are being received. A faulty endpoint may send
/// bytes without end on every connection.
const ANSWERS_MAX: ByteCount = ByteCount::new(16 * 1024 * 1024);
/// Interval between load queries to the engine.
const LOAD_INTERVAL: Span = Span::from_ms(100);
/// Consecutive failed load queries after which the engine counts as unreachable.
const LOAD_FAILURES_MAX: u32 = 3;

/// Tasks that the admission thread sends to the endpoint thread.
#[derive(Debug)]
pub(crate) enum Task {
    /// Start a generation.
    Generate {
        generation: GenerationId,
        request: Box<GenerationRequest>,
        sink: EventSender,
    },
    /// Serve another reader of a generation.
    Read(ReadRequest),
    /// Cancel a generation.
    Cancel {
        generation: GenerationId,
        known: oneshot::Sender<bool>,
    },
    /// Call the plain service.
    Call {
        call: ServiceCall,
        reply: oneshot::Sender<v1::CallReply>,
    },
}

/// State of the endpoint thread.
pub(crate) struct Endpoint {
    pub(crate) engine: Box<dyn Engine>,
    /// Sends callers' requests, each on a connection of its own.
    pub(crate) client: Client,
    pub(crate) base_url: String,
    /// The memory for the answers to calls while they are received.
    pub(crate) answers: BodyBudget,
    pub(crate) commands: BoundedSender<Command>,
    load: watch::Receiver<v1::LoadReport>,
    pub(crate) counters: Counters,
    hold_time: Span,
    buffers: RefCell<HashMap<GenerationId, Rc<TokenBuffer>>>,
}

impl Endpoint {
    /// The current load, for inclusion in a reply.
    pub(crate) fn load(&self) -> Option<v1::LoadReport> {
        Some(self.load.borrow().clone())
    }

    pub(crate) fn insert_buffer(&self, generation: GenerationId, buffer: Rc<TokenBuffer>) {
        self.buffers.borrow_mut().insert(generation, buffer);
        self.counters.held.inc();
    }

    pub(crate) fn buffer(&self, generation: &GenerationId) -> Option<Rc<TokenBuffer>> {
        self.buffers.borrow().get(generation).cloned()
    }

    pub(crate) fn remove_buffer(&self, generation: &GenerationId) {
        if self.buffers.borrow_mut().remove(generation).is_some() {
            self.counters.held.dec();
        }
    }

    /// Waits for the time that a generation is held for a returning caller.
    pub(crate) async fn wait_hold(&self) {
        tokio::time::sleep(self.hold_time.into()).await;
    }
}

/// Runs the endpoint thread until its task channel closes.
pub(crate) async fn run(
    identity: Identity,
    settings: AgentSettings,
    counters: Counters,
    tasks: BoundedReceiver<Task>,
    commands: BoundedSender<Command>,
    load: watch::Receiver<v1::LoadReport>,
) {
    let (client, status_client) = match (build_client().await, build_client().await) {
        (Ok(client), Ok(status_client)) => (client, status_client),
        (Err(error), _) | (_, Err(error)) => {
            log::error!(endpoint:% = identity.endpoint; "creating the HTTP client failed: {error}");
            return;
        }
    };
    let base_url = settings.endpoint_url.trim_end_matches('/').to_owned();
    let endpoint = Rc::new(Endpoint {
        engine: Box::new(HttpEngine::new(
            client.clone(),
            status_client,
            base_url.clone(),
        )),
        client,
        base_url,
        answers: BodyBudget::new(ANSWERS_MAX),
        commands,
        load,
        counters,
        hold_time: Span::from_ms(settings.hold_ms.get()),
        buffers: RefCell::default(),
    });
    if settings.kind == EndpointKind::Engine {
        ntex::rt::spawn(watch_load(Rc::clone(&endpoint)));
    }
    while let Some(task) = tasks.recv().await {
        endpoint.run_task(task);
    }
}

async fn build_client() -> Result<Client, ClientBuilderError> {
    Client::builder()
        .connector::<()>(Connector::default().limit(CONNECTIONS_MAX))
        .disable_timeout()
        .disable_redirects()
        .build(SharedCfg::new("ENDPOINT"))
        .await
}

/// Polls the engine's load and reports it to the admission thread.
async fn watch_load(endpoint: Rc<Endpoint>) {
    let mut failures = 0;
    loop {
        let update = match endpoint.engine.load().await {
            Ok(load) => Some(EngineUpdate::Load(load)),
            // The engine responds, but without usable load data.
            Err(EngineError::Status(_) | EngineError::Broken(_)) => Some(EngineUpdate::Reachable),
            Err(EngineError::Connect(_)) => {
                failures += 1;
                (failures >= LOAD_FAILURES_MAX).then_some(EngineUpdate::Unreachable)
            }
        };
        if !matches!(update, None | Some(EngineUpdate::Unreachable)) {
            failures = 0;
        }
        if let Some(update) = update
            && endpoint
                .commands
                .send(Command::Engine(update))
                .await
                .is_err()
        {
            return;
        }
        tokio::time::sleep(LOAD_INTERVAL.into()).await;
    }
}

impl Endpoint {
    fn run_task(self: &Rc<Self>, task: Task) {
        match task {
            Task::Generate {
                generation,
                request,
                sink,
            } => generation::start(self, generation, *request, sink),
            Task::Read(read_request) => generation::start_reader(self, read_request),
            Task::Cancel { generation, known } => self.cancel(generation, known),
            Task::Call { call, reply } => call::start(self, call, reply),
        }
    }

    fn cancel(self: &Rc<Self>, generation: GenerationId, known: oneshot::Sender<bool>) {
        let buffer = self.buffer(&generation);
        let _ = known.send(buffer.is_some());
        if let Some(buffer) = buffer {
            let endpoint = Rc::clone(self);
            ntex::rt::spawn(async move {
                generation::cancel(&endpoint, &generation, &buffer).await;
            });
        }
    }
}
