//! The stages of a planned stop.

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownStage {
    /// The process serves.
    Serving,
    /// It tells that no more callers should come, and serves those that do;
    /// each answer closes its connection.
    Draining,
    /// It takes no new connection and closes those without a request.
    Closing,
}
