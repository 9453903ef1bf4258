//! Errors of the control thread and of the calls to peers and the log.

use lentil_config::ExchangeError;
use lentil_core::ParseIdError;
use lentil_platform::RequestError;
use lentil_shell::ThreadError;
use thiserror::Error;

/// An error of the control thread, or of a call to a peer or the log.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The control thread could not be started or panicked.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// A client of a platform service could not be created.
    #[error("failed to create a platform client: {0}")]
    Platform(#[from] RequestError),
    /// The listener for peers could not be used.
    #[error("failed to listen for peers: {0}")]
    Listen(#[from] std::io::Error),
    /// A connection to a peer failed.
    #[error("failed to connect to a peer: {0}")]
    Connect(#[from] tonic::transport::Error),
    /// A peer rejected a message.
    #[error("peer rejected the message: {0}")]
    Peer(#[from] Box<tonic::Status>),
    /// A peer did not answer before the timeout.
    #[error("a peer did not answer in time")]
    PeerTimeout,
    /// The log service returned no configuration before the timeout.
    #[error("the log service returned no configuration in time")]
    LogTimeout,
    /// A peer's message contains an invalid identifier.
    #[error("invalid identifier in a peer message: {0}")]
    InvalidId(#[from] ParseIdError),
    /// A peer's message contains an invalid update.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

impl From<tonic::Status> for ControlError {
    fn from(status: tonic::Status) -> Self {
        Self::Peer(Box::new(status))
    }
}
