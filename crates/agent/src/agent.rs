//! Startup and shutdown of an agent.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use lentil_control::{Control, ControlOptions};
use lentil_core::{BootId, EndpointId};
use lentil_settings::{AgentSettings, Process, Role, Settings};
use lentil_shell::{
    BodyBudget, BoundedSender, Clock, Metrics, OperationsListener, PeerConnector, Readiness,
    SendError, VerifyPeerKey, WorkerThread, bounded_channel, peer_server_tls, spawn_http, spawn_io,
};
use lentil_wire::v1::LoadReport;
use tokio::sync::watch;

use crate::admission::{self, Command};
use crate::announce;
use crate::claims::{self, ClaimCommand};
use crate::counters::Counters;
use crate::endpoint;
use crate::error::AgentError;
use crate::orders;
use crate::peer::{self, OperatorOrders};
use crate::status::AgentStatus;

/// Capacity of the channels between an agent's threads.
const CHANNEL_CAPACITY: usize = 1024;

/// A running agent.
#[derive(Debug)]
pub struct Agent {
    threads: Vec<WorkerThread>,
    operations: OperationsListener,
    readiness: Readiness,
    control: Control,
    peers: SocketAddr,
    commands: BoundedSender<Command>,
    claims: Option<BoundedSender<ClaimCommand>>,
    leaving: watch::Sender<bool>,
    stop: watch::Sender<bool>,
}

/// The agent's identity, shared by its threads.
#[derive(Debug, Clone)]
pub(crate) struct Identity {
    pub(crate) endpoint: EndpointId,
    pub(crate) boot: BootId,
    pub(crate) models: Vec<String>,
    pub(crate) clock: Clock,
    epoch: Arc<AtomicU64>,
}

impl Identity {
    /// The boot number that entries must name. It rises whenever the agent
    /// forgets attempts, so that a forgotten attempt can't start.
    pub(crate) fn epoch(&self) -> BootId {
        BootId::new(self.epoch.load(Ordering::Acquire))
    }

    pub(crate) fn set_epoch(&self, epoch: BootId) {
        self.epoch.store(epoch.get(), Ordering::Release);
    }
}

/// Returns a boot number that increases from one start to the next.
fn new_boot() -> BootId {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    BootId::new(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}

impl Agent {
    /// Starts the threads of an agent.
    ///
    /// # Errors
    /// The settings are incomplete or invalid, an address can't be bound, or a
    /// thread can't be created.
    pub fn start(settings: &Settings) -> Result<Self, AgentError> {
        let section = settings.agent.clone().ok_or(AgentError::MissingSection)?;
        let boot = new_boot();
        let process = Process::try_from(settings)?;
        let Role::Agent(checked) = &process.role else {
            return Err(AgentError::MissingSection);
        };
        let identity = Identity {
            endpoint: checked.endpoint.clone(),
            boot,
            epoch: Arc::new(AtomicU64::new(boot.get())),
            models: section.models.clone(),
            clock: Clock::start(),
        };
        let (listener, peers) = listen(process.listen.peers)?;
        let metrics = Metrics::new(&process);
        let counters = Counters::register(&metrics);
        let readiness = Readiness::default();
        let status = AgentStatus {
            endpoint: identity.endpoint.clone(),
            zone: process.zone.clone(),
            boot: identity.boot,
            readiness: readiness.clone(),
            counters: counters.clone(),
        };
        let operations =
            OperationsListener::start(&process, metrics, readiness.clone(), Arc::new(status))?;
        let server = peer::server(peer_server_tls(&process.security)?)?;
        let key = VerifyPeerKey::new(process.security.peer_key.clone());
        let control = Control::start(ControlOptions {
            local_peer: announce::peer(settings, peers)?,
            platform: process.platform.clone(),
            linker: PeerConnector::new(&process.security)?,
        })?;
        let (commands, command_receiver) = bounded_channel(CHANNEL_CAPACITY);
        let (tasks, task_receiver) = bounded_channel(CHANNEL_CAPACITY);
        let (stop, stopping) = watch::channel(false);
        let leaving = watch::Sender::new(false);
        let (current, load) = watch::channel(LoadReport::default());
        let (claims, claims_thread) = match section.service.clone() {
            Some(service) => {
                let (claims, thread) = start_claims(&identity, service, settings, &commands)?;
                (Some(claims), Some(thread))
            }
            None => (None, None),
        };
        let orders_thread =
            start_orders(&identity, settings, &section, &counters, stop.subscribe())?;
        let mut threads = vec![
            spawn_io("admission", {
                let identity = identity.clone();
                let section = section.clone();
                move || admission::run(identity, section, command_receiver, tasks, current)
            })?,
            spawn_http("endpoint", {
                let identity = identity.clone();
                let commands = commands.clone();
                let section = section.clone();
                move || endpoint::run(identity, section, counters, task_receiver, commands, load)
            })?,
            spawn_http("announce", {
                let record = announce::record(settings, &section, peers, operations.address())?;
                let platform = process.platform.clone();
                let leaving = leaving.subscribe();
                move || lentil_control::announce(platform, record, leaving)
            })?,
            spawn_io("peers", {
                let orders = OperatorOrders {
                    zone: process.zone.clone(),
                    view: control.view(),
                };
                let service = control.peer_service();
                let peers = peer::PeerListener {
                    server,
                    key,
                    service,
                    bodies: BodyBudget::new(process.limits.body_memory),
                };
                let work = peer::WorkSenders {
                    commands: commands.clone(),
                    claims: claims.clone(),
                };
                move || peer::run(identity, peers, orders, listener, work, stopping)
            })?,
        ];
        threads.extend(claims_thread);
        threads.extend(orders_thread);
        readiness.set_ready();
        Ok(Self {
            threads,
            operations,
            readiness,
            control,
            peers,
            commands,
            claims,
            leaving,
            stop,
        })
    }

    /// The bound address of the listener for entries.
    #[must_use]
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// The bound address of the operations listener.
    #[must_use]
    pub fn operations(&self) -> SocketAddr {
        self.operations.address()
    }

    /// Refuses new work, waits for running work to finish, and stops all threads.
    ///
    /// # Errors
    /// A thread panicked.
    pub fn stop(self) -> Result<(), AgentError> {
        self.readiness.set_stopping();
        self.leaving.send_replace(true);
        // Drain keyed calls first, because they still need the admission thread.
        if let Some(claims) = &self.claims {
            wait_drained(|done| claims.try_send(ClaimCommand::Drain { done }));
        }
        wait_drained(|done| self.commands.try_send(Command::Drain { done }));
        self.stop.send_replace(true);
        drop(self.commands);
        drop(self.claims);
        for thread in self.threads {
            thread.join()?;
        }
        self.control.stop()?;
        self.operations.stop()?;
        Ok(())
    }
}

/// Asks a thread to drain and waits until it has, unless it has already ended.
fn wait_drained(
    request_drain: impl FnOnce(std::sync::mpsc::SyncSender<()>) -> Result<(), SendError>,
) {
    let (done, drained) = std::sync::mpsc::sync_channel(1);
    if request_drain(done).is_ok() {
        let _ = drained.recv();
    }
}

/// Starts the thread that serves keyed calls of a plain service.
fn start_claims(
    identity: &Identity,
    service: String,
    settings: &Settings,
    commands: &BoundedSender<Command>,
) -> Result<(BoundedSender<ClaimCommand>, WorkerThread), AgentError> {
    let (claims, receiver) = bounded_channel(CHANNEL_CAPACITY);
    let thread = spawn_http("claims", {
        let identity = identity.clone();
        let platform = settings.platform();
        let self_sender = claims.clone();
        let commands = commands.clone();
        move || claims::run(identity, service, platform, receiver, self_sender, commands)
    })?;
    Ok((claims, thread))
}

/// Starts the thread that sends load orders to the engine, if the settings
/// configure one.
fn start_orders(
    identity: &Identity,
    settings: &Settings,
    section: &AgentSettings,
    counters: &Counters,
    stopping: watch::Receiver<bool>,
) -> Result<Option<WorkerThread>, AgentError> {
    let Some(config) = orders::order_config(settings, section)? else {
        return Ok(None);
    };
    let identity = identity.clone();
    let counters = counters.clone();
    let run = move || orders::run(identity, config, counters, stopping);
    Ok(Some(spawn_http("orders", run)?))
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), AgentError> {
    let failed = |source| AgentError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    listener.set_nonblocking(true).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
