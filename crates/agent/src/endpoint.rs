//! The thread that speaks HTTP with the endpoint.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use lentil_core::{GenerationId, Span};
use lentil_settings::{AgentSettings, EndpointKind};
use lentil_shell::{BoundedReceiver, BoundedSender};
use lentil_wire::v1;
use ntex::client::{Client, Connector};
use ntex::service::cfg::SharedCfg;
use tokio::sync::{oneshot, watch};

use crate::admission::{Command, EngineNews};
use crate::agent::Identity;
use crate::call;
use crate::counters::Counters;
use crate::engine::{Engine, EngineError, HttpEngine};
use crate::generation;
use crate::journal::Journal;
use crate::work::{GenerationRequest, Reading, ServiceCall, Sink};

/// Most connections to the endpoint.
const CONNECTIONS_MAX: usize = 1024;

/// Time between two readings of the engine's load.
const LOAD_INTERVAL: Span = Span::from_ms(100);
/// Readings that fail in a row until the engine counts as gone.
const LOAD_FAILURES_MAX: u32 = 3;

/// What the admission thread asks of the endpoint thread.
#[derive(Debug)]
pub(crate) enum Task {
    /// Begin a generation.
    Generate {
        generation: GenerationId,
        request: Box<GenerationRequest>,
        sink: Sink,
    },
    /// Serve one more reader.
    Read(Reading),
    /// End a generation.
    Cancel {
        generation: GenerationId,
        known: oneshot::Sender<bool>,
    },
    /// Make a call of the plain service.
    Call {
        call: ServiceCall,
        reply: oneshot::Sender<v1::CallReply>,
    },
}

/// The endpoint as its thread knows it.
pub(crate) struct Endpoint {
    pub(crate) engine: Box<dyn Engine>,
    pub(crate) client: Client,
    pub(crate) base_url: String,
    pub(crate) commands: BoundedSender<Command>,
    load: watch::Receiver<v1::LoadReport>,
    pub(crate) counters: Counters,
    hold: Span,
    journals: RefCell<HashMap<GenerationId, Rc<Journal>>>,
}

impl Endpoint {
    /// The load that a reply carries.
    pub(crate) fn load(&self) -> Option<v1::LoadReport> {
        Some(self.load.borrow().clone())
    }

    pub(crate) fn keep(&self, generation: GenerationId, journal: Rc<Journal>) {
        self.journals.borrow_mut().insert(generation, journal);
        self.counters.held.inc();
    }

    pub(crate) fn journal(&self, generation: &GenerationId) -> Option<Rc<Journal>> {
        self.journals.borrow().get(generation).cloned()
    }

    pub(crate) fn forget(&self, generation: &GenerationId) {
        if self.journals.borrow_mut().remove(generation).is_some() {
            self.counters.held.dec();
        }
    }

    /// Waits as long as a generation is held for a caller that comes back.
    pub(crate) async fn hold(&self) {
        tokio::time::sleep(self.hold.into()).await;
    }
}

/// Runs the endpoint thread until its ring closes.
pub(crate) async fn run(
    identity: Identity,
    settings: AgentSettings,
    counters: Counters,
    inbox: BoundedReceiver<Task>,
    commands: BoundedSender<Command>,
    load: watch::Receiver<v1::LoadReport>,
) {
    let client = Client::builder()
        .connector::<()>(Connector::default().limit(CONNECTIONS_MAX))
        .disable_timeout()
        .disable_redirects()
        .build(SharedCfg::new("ENDPOINT"))
        .await;
    let client = match client {
        Ok(client) => client,
        Err(error) => {
            log::error!(endpoint:% = identity.endpoint; "no HTTP client: {error}");
            return;
        }
    };
    let base_url = settings.endpoint_url.trim_end_matches('/').to_owned();
    let endpoint = Rc::new(Endpoint {
        engine: Box::new(HttpEngine::new(client.clone(), base_url.clone())),
        client,
        base_url,
        commands,
        load,
        counters,
        hold: Span::from_ms(settings.hold_ms.get()),
        journals: RefCell::default(),
    });
    if settings.kind == EndpointKind::Engine {
        ntex::rt::spawn(watch_load(Rc::clone(&endpoint)));
    }
    while let Some(task) = inbox.recv().await {
        endpoint.on(task);
    }
}

/// Tells the admission thread the engine's load, again and again.
async fn watch_load(endpoint: Rc<Endpoint>) {
    let mut failures = 0;
    loop {
        let told = match endpoint.engine.load().await {
            Ok(load) => Some(EngineNews::Told(load)),
            // It answers, though it doesn't tell its load.
            Err(EngineError::Status(_) | EngineError::Broken(_)) => Some(EngineNews::Answers),
            Err(EngineError::Connect(_)) => {
                failures += 1;
                (failures >= LOAD_FAILURES_MAX).then_some(EngineNews::Gone)
            }
        };
        if !matches!(told, None | Some(EngineNews::Gone)) {
            failures = 0;
        }
        if let Some(news) = told
            && endpoint.commands.send(Command::Engine(news)).await.is_err()
        {
            return;
        }
        tokio::time::sleep(LOAD_INTERVAL.into()).await;
    }
}

impl Endpoint {
    fn on(self: &Rc<Self>, task: Task) {
        match task {
            Task::Generate {
                generation,
                request,
                sink,
            } => generation::start(self, generation, *request, sink),
            Task::Read(reading) => generation::read(self, reading),
            Task::Cancel { generation, known } => self.cancel(generation, known),
            Task::Call { call, reply } => call::start(self, call, reply),
        }
    }

    fn cancel(self: &Rc<Self>, generation: GenerationId, known: oneshot::Sender<bool>) {
        let journal = self.journal(&generation);
        let _ = known.send(journal.is_some());
        if let Some(journal) = journal {
            let endpoint = Rc::clone(self);
            ntex::rt::spawn(async move {
                generation::cancel(&endpoint, &generation, &journal).await;
            });
        }
    }
}
