//! The stages of a graceful shutdown.

/// A stage of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// The process serves normally.
    Serving,
    /// The process reports that it is not ready, but still serves callers. Each
    /// response closes its connection.
    Draining,
    /// The process accepts no new connections and closes idle ones.
    Closing,
}
