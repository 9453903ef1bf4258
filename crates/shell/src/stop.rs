//! Signal handling of a process.

use std::io;

use lentil_core::Span;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::{ThreadError, WorkerThread, spawn};

/// Exit code of a process that exits before its work has finished.
const ENDED_EARLY: i32 = 3;

/// The action that a signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SignalAction {
    /// Stop the process.
    Stop,
    /// Reload the settings.
    Reload,
}

/// Handler of SIGTERM, SIGINT and SIGHUP.
///
/// Each of these signals terminates a process that has no handler installed,
/// so create it before anything else.
#[derive(Debug)]
pub struct StopSignals {
    runtime: Runtime,
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

impl StopSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    /// The handlers can't be installed.
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

    /// Waits for SIGTERM or SIGINT; SIGHUP is logged and otherwise ignored.
    pub fn wait(&mut self) {
        while self.wait_any() == SignalAction::Reload {
            log::info!("SIGHUP: changed settings are applied at the next start");
        }
    }

    /// Exits the process at a second signal, or once `grace` has elapsed.
    ///
    /// # Errors
    /// The thread can't be created.
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
            log::error!("exiting before all work has finished, because of {reason}");
            std::process::exit(ENDED_EARLY);
        })
    }
}
