//! An HTTP server on its own threads that can crash and restart.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, MutexGuard, PoisonError, mpsc};
use std::thread::JoinHandle;

use async_channel::{Receiver, Sender};
use ntex::rt::{DefaultRuntime, System};
use ntex::web::types::PayloadConfig;
use ntex::web::{App, HttpServer, ServiceConfig};
use thiserror::Error;

/// Maximum size of a request body, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024 * 1024;
/// Capacity of a server's command queue.
const COMMAND_QUEUE_MAX: usize = 8;

/// Error of starting a fake server.
#[derive(Debug, Error)]
pub enum FakeError {
    /// Binding the address or starting a thread failed.
    #[error("failed to start a fake server: {0}")]
    Start(#[from] io::Error),
    /// The server's thread ended before it listened.
    #[error("the thread of a fake server ended before it listened")]
    Ended,
}

/// A command to a server.
#[derive(Debug)]
enum Command {
    /// Close all connections and refuse new ones.
    Crash,
    /// Listen again at the same address.
    Restart,
    /// Stop the server and end its thread.
    Stop,
}

/// Lets a handler crash its own server.
#[derive(Debug, Clone)]
pub(crate) struct Control {
    commands: Sender<Command>,
}

impl Control {
    /// Closes all connections and refuses new ones.
    pub(crate) fn crash(&self) {
        let _ = self.commands.try_send(Command::Crash);
    }
}

/// A running server.
#[derive(Debug)]
pub(crate) struct Server {
    address: SocketAddr,
    control: Control,
    thread: Option<JoinHandle<()>>,
}

/// Creates a control and the receiver of its commands.
pub(crate) fn control() -> (Control, CommandReceiver) {
    let (sender, receiver) = async_channel::bounded(COMMAND_QUEUE_MAX);
    (Control { commands: sender }, CommandReceiver(receiver))
}

/// Receives the commands of a [`Control`].
#[derive(Debug)]
pub(crate) struct CommandReceiver(Receiver<Command>);

impl Server {
    /// Starts a server at a free port of 127.0.0.1 whose handlers share `state`.
    pub(crate) fn start<S>(
        name: &'static str,
        (control, CommandReceiver(commands)): (Control, CommandReceiver),
        state: S,
        routes: fn(&mut ServiceConfig),
    ) -> Result<Self, FakeError>
    where
        S: Clone + Send + 'static,
    {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let address = listener.local_addr()?;
        let (listening_sender, listening) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let serve = serve(address, listener, commands, state, routes, listening_sender);
                if let Err(error) = System::new(name, DefaultRuntime).block_on(serve) {
                    log::warn!("fake server {name} ended: {error}");
                }
            })?;
        listening.recv().map_err(|_| FakeError::Ended)?;
        Ok(Self {
            address,
            control,
            thread: Some(thread),
        })
    }

    /// The address at which the server listens.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and refuses new ones.
    pub(crate) fn crash(&self) {
        self.control.crash();
    }

    /// Listens again at the same address after [`Self::crash`].
    pub(crate) fn restart(&self) {
        let _ = self.control.commands.send_blocking(Command::Restart);
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

async fn serve<S>(
    address: SocketAddr,
    first_listener: TcpListener,
    commands: Receiver<Command>,
    state: S,
    routes: fn(&mut ServiceConfig),
    listening_sender: mpsc::Sender<()>,
) -> io::Result<()>
where
    S: Clone + Send + 'static,
{
    let mut listener = Some(first_listener);
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
        let _ = listening_sender.send(());
        let stopped = !matches!(commands.recv().await, Ok(Command::Crash));
        server.stop(false).await;
        if stopped || !wait_for_restart(&commands).await {
            return Ok(());
        }
    }
}

async fn wait_for_restart(commands: &Receiver<Command>) -> bool {
    loop {
        match commands.recv().await {
            Ok(Command::Restart) => return true,
            Ok(Command::Crash) => {}
            Ok(Command::Stop) | Err(_) => return false,
        }
    }
}

/// Locks a fake's state, even if a thread panicked while it held the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
