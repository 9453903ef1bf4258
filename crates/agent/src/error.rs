//! Why an agent can't start.

use std::net::SocketAddr;

use lentil_control::ControlError;
use lentil_core::ParseIdError;
use lentil_settings::InvalidField;
use lentil_shell::{OperationsError, PeerConnectorError, ThreadError, TlsError};
use thiserror::Error;

/// An agent can't start.
#[derive(Debug, Error)]
pub enum AgentError {
    /// The settings have no `agent` section.
    #[error("settings: section agent is missing")]
    MissingSection,
    /// The settings contradict each other.
    #[error("settings: {0}")]
    Settings(#[from] InvalidField),
    /// The operations listener can't start or ended badly.
    #[error(transparent)]
    Operations(#[from] OperationsError),
    /// The certificates can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The certificates don't fit the listener for peers.
    #[error("listener for peers: {0}")]
    Peers(#[from] tonic::transport::Error),
    /// A setting holds no valid identifier.
    #[error("settings: {field}: {source}")]
    Id {
        /// The setting.
        field: &'static str,
        /// What is wrong.
        source: ParseIdError,
    },
    /// An address can't be listened on.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// A thread can't start.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// Links to peers can't be made.
    #[error(transparent)]
    PeerChannel(#[from] PeerConnectorError),
    /// The configuration can't be kept up to date.
    #[error(transparent)]
    Control(#[from] ControlError),
}
