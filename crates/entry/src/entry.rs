//! Startup and shutdown of an entry.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use lentil_control::{Control, ControlOptions, PeerServer, announce};
use lentil_core::{ParseIdError, Span};
use lentil_settings::{Process, Role, Settings};
use lentil_shell::{
    BodyBudget, Clock, Metrics, OperationsListener, PeerConnector, Readiness, RequestTracker,
    VerifyPeerKey, WorkerThread, bounded_channel, listener_tls, peer_server_tls, spawn_http,
    spawn_io,
};
use ntex::server::Server;
use tokio::sync::{oneshot, watch};

use crate::caller_policy::ConfiguredPolicy;
use crate::callers::{self, Context, ServerLimits};
use crate::counters::Counters;
use crate::error::EntryError;
use crate::host_updates;
use crate::peers;
use crate::routing::{self, RoutingOptions};
use crate::status::EntryStatus;

/// Capacity of the routing thread's command queue.
const ROUTING_QUEUE_CAPACITY: usize = 4096;

/// A running entry.
#[derive(Debug)]
pub struct Entry {
    callers: WorkerThread,
    announcing: WorkerThread,
    control: Control,
    leaving: watch::Sender<bool>,
    operations: OperationsListener,
    readiness: Readiness,
    address: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl Entry {
    /// Starts the threads of an entry.
    ///
    /// # Errors
    /// Fails if the settings are incomplete, an address can't be bound or a thread can't be
    /// started.
    pub fn start(settings: &Settings) -> Result<Self, EntryError> {
        let process = Process::try_from(settings)?;
        let Role::Entry(section) = process.role.clone() else {
            return Err(EntryError::MissingSection);
        };
        let (listener, bound) = listen(process.listen.callers)?;
        let metrics = Metrics::new(&process);
        let counters = Counters::register(&metrics);
        let readiness = Readiness::default();
        let status = EntryStatus {
            name: section.id.clone(),
            zone: process.zone.clone(),
            readiness: readiness.clone(),
            counters: counters.clone(),
        };
        let operations =
            OperationsListener::start(&process, metrics, readiness.clone(), Arc::new(status))?;
        let (routing, inbox) = bounded_channel(ROUTING_QUEUE_CAPACITY);
        let commands = routing.clone();
        let clock = Clock::start();
        let options = RoutingOptions {
            entry: section.id,
            zone: process.zone.clone(),
            agents_max: usize::try_from(section.agents_max.get()).unwrap_or(usize::MAX),
            queue_max: usize::try_from(section.queue_max.get()).unwrap_or(usize::MAX),
            clock,
            linker: PeerConnector::new(&process.security)?,
        };
        spawn_io("routing", move || routing::run(options, inbox, commands))?;
        let (peer_listener, peer_address) = peers::listen(process.listen.peers)?;
        let control = Control::start(ControlOptions {
            local_peer: peers::peer(settings, peer_address)?,
            platform: process.platform.clone(),
            linker: PeerConnector::new(&process.security)?,
        })?;
        let leaving = watch::Sender::new(false);
        let bodies = BodyBudget::new(process.limits.body_memory);
        let server = PeerServer {
            service: control.peer_service(),
            key: VerifyPeerKey::new(process.security.peer_key.clone()),
            tls: peer_server_tls(&process.security)?,
            bodies: bodies.clone(),
        };
        spawn_io("peers", {
            let leaving = leaving.subscribe();
            move || server.serve(peer_listener, leaving)
        })?;
        let announcing = spawn_http("announce", {
            let record = peers::record(settings, peer_address, operations.address())?;
            let platform = process.platform.clone();
            let leaving = leaving.subscribe();
            move || announce(platform, record, leaving)
        })?;
        spawn_io("hosts", {
            let view = control.view();
            let routing = routing.clone();
            let readiness = readiness.clone();
            move || host_updates::run(view, routing, readiness)
        })?;
        let allow_anonymous = process.security.anonymous_callers;
        let caller_policy =
            ConfiguredPolicy::new(control.view(), allow_anonymous).map_err(invalid_name)?;
        let context = Context {
            routing,
            clock,
            caller_policy: Arc::new(caller_policy),
            counters,
            drain: RequestTracker::default(),
            send_timeout: process.limits.send_timeout,
            deadline_ms: section.deadline.as_ms(),
            trace_sampling: process.trace.sample,
        };
        let server_limits = ServerLimits::new(&process, section.workers, bodies);
        let tls = listener_tls(&process.security)?;
        let (stop, stopping) = oneshot::channel();
        let grace = process.grace;
        let callers = spawn_http("callers", move || async move {
            let drain = context.drain.clone();
            match callers::serve(context, listener, &server_limits, tls) {
                Ok(server) => drain_and_stop(server, &drain, stopping, grace).await,
                Err(error) => log::error!("failed to start the HTTP server for callers: {error}"),
            }
        })?;
        Ok(Self {
            callers,
            announcing,
            control,
            leaving,
            operations,
            readiness,
            address: bound,
            stop,
        })
    }

    /// The address of the callers' HTTP listener.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address of the operations listener.
    #[must_use]
    pub fn operations(&self) -> SocketAddr {
        self.operations.address()
    }

    /// Stops gracefully: accepts no new connections and waits, up to the grace period, for
    /// running requests to finish.
    ///
    /// # Errors
    /// Fails if a thread panicked.
    pub fn stop(self) -> Result<(), EntryError> {
        self.readiness.set_stopping();
        let _ = self.stop.send(());
        self.callers.join()?;
        self.leaving.send_replace(true);
        self.announcing.join()?;
        self.control.stop()?;
        self.operations.stop()?;
        Ok(())
    }
}

/// Waits for the stop signal, then for running requests to finish, and stops the server.
///
/// The HTTP server's own graceful shutdown does not wait once any connection has
/// ended, so running requests are counted separately.
async fn drain_and_stop(
    server: Server,
    drain: &RequestTracker,
    stopping: oneshot::Receiver<()>,
    grace: Span,
) {
    let _ = stopping.await;
    server.pause().await;
    drain.close();
    let emptied = tokio::time::timeout(grace.into(), drain.wait_idle()).await;
    if emptied.is_err() {
        log::warn!(running = drain.running(); "requests are still running after the grace period");
    }
    server.stop(true).await;
}

fn invalid_name(source: ParseIdError) -> EntryError {
    let field = "name";
    EntryError::InvalidId { field, source }
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), EntryError> {
    let failed = |source| EntryError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
