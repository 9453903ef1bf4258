//! Errors of starting and stopping an agent.

use std::net::SocketAddr;

use lentil_control::ControlError;
use lentil_core::ParseIdError;
use lentil_settings::InvalidField;
use lentil_shell::{OperationsError, PeerConnectorError, ThreadError, TlsError};
use thiserror::Error;

/// An agent failed to start or to stop.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The settings have no `agent` section.
    #[error("settings: section agent is missing")]
    MissingSection,
    /// The settings contradict each other.
    #[error("settings: {0}")]
    Settings(#[from] InvalidField),
    /// The operations listener failed to start or to stop.
    #[error(transparent)]
    Operations(#[from] OperationsError),
    /// The certificates can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The gRPC server for peers rejects the TLS configuration.
    #[error("listener for peers: {0}")]
    Peers(#[from] tonic::transport::Error),
    /// A setting is not a valid identifier.
    #[error("settings: {field}: {source}")]
    Id {
        /// Name of the setting.
        field: &'static str,
        /// Why the value was rejected.
        source: ParseIdError,
    },
    /// An address can't be listened on.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A thread can't start, or panicked.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The settings don't allow connections to peers.
    #[error(transparent)]
    PeerChannel(#[from] PeerConnectorError),
    /// The configuration thread failed.
    #[error(transparent)]
    Control(#[from] ControlError),
}
