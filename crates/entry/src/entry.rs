//! Starting and stopping an entry.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use lentil_control::{Control, ControlOptions, PeerServer, announce};
use lentil_core::{ParseIdError, Span};
use lentil_settings::{Process, Role, Settings};
use lentil_shell::{
    Clock, Metrics, OperationsListener, PeerConnector, Readiness, RequestTracker, VerifyPeerKey,
    WorkerThread, bounded_channel, listener_tls, peer_server_tls, spawn_http, spawn_io,
};
use ntex::server::Server;
use tokio::sync::{oneshot, watch};

use crate::auth::Configured;
use crate::callers::{self, Bounds, Context};
use crate::counters::Counters;
use crate::error::EntryError;
use crate::hosts;
use crate::peers;
use crate::routing::{self, RoutingOptions};
use crate::status::EntryStatus;

/// Places in the ring before the routing thread.
const RING_PLACES: usize = 4096;

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
    /// The settings are incomplete, or an address or thread is not to be had.
    pub fn start(settings: &Settings) -> Result<Self, EntryError> {
        let process = Process::try_from(settings)?;
        let Role::Entry(section) = process.role.clone() else {
            return Err(EntryError::NoSection);
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
        let (routing, inbox) = bounded_channel(RING_PLACES);
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
        let server = PeerServer {
            service: control.peer_service(),
            key: VerifyPeerKey::new(process.security.peer_key.clone()),
            tls: peer_server_tls(&process.security)?,
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
            move || hosts::run(view, routing, readiness)
        })?;
        let allowed = process.security.anonymous_callers;
        let keyring = Configured::new(control.view(), allowed).map_err(name)?;
        let context = Context {
            routing,
            clock,
            keyring: Arc::new(keyring),
            counters,
            drain: RequestTracker::default(),
            send_timeout: process.limits.send_timeout,
            deadline_ms: section.deadline.as_ms(),
            sample: process.trace.sample,
        };
        let bounds = Bounds::new(&process, section.workers);
        let tls = listener_tls(&process.security)?;
        let (stop, stopping) = oneshot::channel();
        let grace = process.grace;
        let callers = spawn_http("callers", move || async move {
            let drain = context.drain.clone();
            match callers::serve(context, listener, &bounds, tls) {
                Ok(server) => drain_and_stop(server, &drain, stopping, grace).await,
                Err(error) => log::error!("serving callers: {error}"),
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

    /// Where callers reach this entry.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Where operators reach this entry.
    #[must_use]
    pub fn operations(&self) -> SocketAddr {
        self.operations.address()
    }

    /// Accepts no new connection, lets running requests finish and returns
    /// once they have.
    ///
    /// # Errors
    /// A thread panicked.
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

/// Waits until told to stop, then until no request runs.
///
/// The server's own graceful stop waits only as long as no connection has
/// ended before, so requests are counted here.
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
        log::warn!(running = drain.running(); "requests outlast the stop");
    }
    server.stop(true).await;
}

fn name(source: ParseIdError) -> EntryError {
    let field = "name";
    EntryError::Id { field, source }
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), EntryError> {
    let failed = |source| EntryError::Listen { address, source };
    let listener = TcpListener::bind(address).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}
