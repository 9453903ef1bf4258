//! Why the duty can't run.

use lentil_config::ExchangeError;
use lentil_core::ParseIdError;
use lentil_platform::RequestError;
use lentil_shell::ThreadError;
use thiserror::Error;

/// A failure of the configuration duty.
#[derive(Debug, Error)]
pub enum ControlError {
    /// A thread is not to be had.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// A client of the platform can't be built.
    #[error("client of the platform: {0}")]
    Platform(#[from] RequestError),
    /// The listener for peers can't be used.
    #[error("listening to peers: {0}")]
    Listen(#[from] std::io::Error),
    /// A peer can't be reached.
    #[error("reaching a peer: {0}")]
    Connect(#[from] tonic::transport::Error),
    /// A peer refused a message.
    #[error("asking a peer: {0}")]
    Peer(#[from] Box<tonic::Status>),
    /// A peer didn't answer in time.
    #[error("a peer did not answer in time")]
    PeerTimeout,
    /// The log gave no configuration in time.
    #[error("the log service gave no configuration in time")]
    LogTimeout,
    /// A peer's message names nothing valid.
    #[error("message of a peer: {0}")]
    Name(#[from] ParseIdError),
    /// A peer's message holds no usable update.
    #[error(transparent)]
    Exchange(#[from] ExchangeError),
}

impl From<tonic::Status> for ControlError {
    fn from(status: tonic::Status) -> Self {
        Self::Peer(Box::new(status))
    }
}
