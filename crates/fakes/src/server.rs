//! One server on threads of its own, which can die and come back.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::JoinHandle;

use async_channel::{Receiver, Sender};
use ntex::rt::{DefaultRuntime, System};
use ntex::web::types::PayloadConfig;
use ntex::web::{App, HttpServer, ServiceConfig};
use thiserror::Error;

/// Longest request body a stand-in reads, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Commands that wait for a server.
const COMMANDS_MAX: usize = 8;

/// Why a stand-in can't start.
#[derive(Debug, Error)]
pub enum FakeError {
    /// The address can't be bound, or a thread not started.
    #[error("starting a stand-in: {0}")]
    Start(#[from] io::Error),
    /// The server's thread ended before it listened.
    #[error("a stand-in ended before it listened")]
    Ended,
}

/// What a server is told.
#[derive(Debug)]
enum Command {
    /// Cut all connections and refuse new ones.
    Die,
    /// Listen again at the same address.
    Revive,
    /// End the thread.
    Stop,
}

/// Lets a handler end its own server.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    commands: Sender<Command>,
}

impl Control {
    /// Cuts all connections and refuses new ones.
    pub(crate) fn die(&self) {
        let _ = self.commands.try_send(Command::Die);
    }
}

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    control: Control,
    thread: Option<JoinHandle<()>>,
}

/// A new control and the end that its server reads.
pub(crate) fn control() -> (Control, Commands) {
    let (sender, receiver) = async_channel::bounded(COMMANDS_MAX);
    (Control { commands: sender }, Commands(receiver))
}

/// The end of a [`Control`] that its server reads.
#[derive(Debug)]
pub(crate) struct Commands(Receiver<Command>);

impl Server {
    /// Starts a server on 127.0.0.1 whose handlers get `state`.
    pub(crate) fn start<S>(
        name: &'static str,
        (control, Commands(commands)): (Control, Commands),
        state: S,
        routes: fn(&mut ServiceConfig),
    ) -> Result<Self, FakeError>
    where
        S: Clone + Send + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let (ready, listening) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let run = run(address, listener, commands, state, routes, ready);
                if let Err(error) = System::new(name, DefaultRuntime).block_on(run) {
                    log::warn!("stand-in {name} ended: {error}");
                }
            })?;
        listening.recv().map_err(|_| FakeError::Ended)?;
        Ok(Self {
            address,
            control,
            thread: Some(thread),
        })
    }

    /// Where the server listens.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Cuts all connections and refuses new ones.
    pub(crate) fn die(&self) {
        self.control.die();
    }

    /// Listens again at the same address after [`Self::crash`].
    pub(crate) fn revive(&self) {
        let _ = self.control.commands.send_blocking(Command::Revive);
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.control.commands.send_blocking(Command::Stop);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn run<S>(
    address: SocketAddr,
    first: TcpListener,
    commands: Receiver<Command>,
    state: S,
    routes: fn(&mut ServiceConfig),
    ready: mpsc::Sender<()>,
) -> io::Result<()>
where
    S: Clone + Send + 'static,
{
    let mut listener = Some(first);
    loop {
        let bound = match listener.take() {
            Some(bound) => bound,
            None => TcpListener::bind(address)?,
        };
        let state = state.clone();
        let server = HttpServer::new(async move || {
            App::new()
                .state(state.clone())
                .state(PayloadConfig::new(BODY_MAX_BYTES))
                .configure(routes)
        })
        .workers(1)
        .disable_signals()
        .listen(bound)?
        .run();
        let _ = ready.send(());
        let stopped = !matches!(commands.recv().await, Ok(Command::Die));
        server.stop(false).await;
        if stopped || !wait_for_revival(&commands).await {
            return Ok(());
        }
    }
}

async fn wait_for_revival(commands: &Receiver<Command>) -> bool {
    loop {
        match commands.recv().await {
            Ok(Command::Revive) => return true,
            Ok(Command::Die) => {}
            Ok(Command::Stop) | Err(_) => return false,
        }
    }
}

/// Locks a stand-in's state; a panic elsewhere doesn't spoil it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
