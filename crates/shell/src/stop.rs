//! Signals that a process listens to.

use std::io;

use lentil_core::Span;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{ThreadError, WorkerThread, spawn};

/// Exit code of a process that was ended before its work had finished.
const ENDED_EARLY: i32 = 3;

/// What a signal asks of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// To stop.
    Stop,
    /// To read its settings again.
    Reload,
}

/// Listens to SIGTERM, SIGINT and SIGHUP. Without it each of them ends the
/// process, so it is made before anything else.
#[derive(Debug)]
pub struct StopSignals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    /// Listens from now on.
    ///
    /// # Errors
    /// The system gives no signals.
    pub fn listen() -> io::Result<Self> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let (terminate, interrupt, hangup) = {
            let _guard = runtime.enter();
            (
                signal(SignalKind::terminate())?,
                signal(SignalKind::interrupt())?,
                signal(SignalKind::hangup())?,
            )
        };
        Ok(Self {
            runtime,
            terminate,
            interrupt,
            hangup,
        })
    }

    /// Waits for a signal.
    pub fn wait_any(&mut self) -> SignalAction {
        let (terminate, interrupt) = (&mut self.terminate, &mut self.interrupt);
        let hangup = &mut self.hangup;
        self.runtime.block_on(async {
            tokio::select! {
                _ = terminate.recv() => SignalAction::Stop,
                _ = interrupt.recv() => SignalAction::Stop,
                _ = hangup.recv() => SignalAction::Reload,
            }
        })
    }

    /// Waits for a signal that stops the process.
    pub fn wait(&mut self) {
        while self.wait_any() == SignalAction::Reload {
            log::info!("SIGHUP: changed settings are applied at the next start");
        }
    }

    /// Ends the process at a second signal, or when `grace` has passed.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn enforce(mut self, grace: Span) -> Result<WorkerThread, ThreadError> {
        spawn("stop", move || {
            let (terminate, interrupt) = (&mut self.terminate, &mut self.interrupt);
            let reason = self.runtime.block_on(async {
                tokio::select! {
                    _ = terminate.recv() => "a second signal",
                    _ = interrupt.recv() => "a second signal",
                    () = tokio::time::sleep(grace.into()) => "the end of the grace time",
                }
            });
            log::error!("ended by {reason} before all work had finished");
            std::process::exit(ENDED_EARLY);
        })
    }
}
