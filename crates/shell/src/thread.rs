//! Named worker threads, with or without an async runtime.

use std::future::Future;
use std::io;
use std::thread::{Builder, JoinHandle};

use thiserror::Error;

/// A worker thread could not be started, or it panicked.
#[derive(Debug, Error)]
pub enum ThreadError {
    /// The operating system could not create the thread or its runtime.
    #[error("starting thread {name}: {source}")]
    Start {
        /// Name of the thread.
        name: &'static str,
        /// The underlying I/O error.
        source: io::Error,
    },
    /// The thread panicked.
    #[error("thread {name} panicked")]
    Panicked {
        /// Name of the thread.
        name: &'static str,
    },
}

/// Handle of a running worker thread.
#[derive(Debug)]
pub struct WorkerThread {
    name: &'static str,
    thread: JoinHandle<()>,
}

impl WorkerThread {
    /// Waits for the thread to finish.
    ///
    /// # Errors
    /// The thread panicked.
    pub fn join(self) -> Result<(), ThreadError> {
        self.thread
            .join()
            .map_err(|_| ThreadError::Panicked { name: self.name })
    }
}

/// Runs a blocking function on a new thread.
///
/// # Errors
/// The thread can't be created.
pub fn spawn(
    name: &'static str,
    run: impl FnOnce() + Send + 'static,
) -> Result<WorkerThread, ThreadError> {
    let thread = Builder::new()
        .name(name.to_owned())
        .spawn(run)
        .map_err(|source| ThreadError::Start { name, source })?;
    Ok(WorkerThread { name, thread })
}

/// Runs a future on a new thread with its own single-threaded Tokio runtime.
///
/// # Errors
/// The thread or its runtime can't be created.
pub fn spawn_io<F>(
    name: &'static str,
    make: impl FnOnce() -> F + Send + 'static,
) -> Result<WorkerThread, ThreadError>
where
    F: Future<Output = ()> + 'static,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|source| ThreadError::Start { name, source })?;
    spawn(name, move || {
        let local = tokio::task::LocalSet::new();
        local.block_on(&runtime, make());
    })
}

/// Runs a future on a new thread with its own ntex runtime.
///
/// # Errors
/// The thread can't be created.
pub fn spawn_http<F>(
    name: &'static str,
    make: impl FnOnce() -> F + Send + 'static,
) -> Result<WorkerThread, ThreadError>
where
    F: Future<Output = ()> + 'static,
{
    spawn(name, move || {
        ntex::rt::System::build()
            .name(name)
            .disable_signals()
            .build(ntex::rt::DefaultRuntime)
            .block_on(make());
    })
}
