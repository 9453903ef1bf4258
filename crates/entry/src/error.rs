//! Errors of starting and stopping an entry.

use std::net::SocketAddr;

use lentil_control::ControlError;
use lentil_core::ParseIdError;
use lentil_settings::InvalidField;
use lentil_shell::{OperationsError, PeerConnectorError, ThreadError, TlsError};
use thiserror::Error;

/// An error while starting or stopping an entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings have no `entry` section.
    #[error("settings: section entry is missing")]
    MissingSection,
    /// A setting is invalid or contradicts another.
    #[error("settings: {0}")]
    Settings(#[from] InvalidField),
    /// Connections to other processes can't be set up.
    #[error(transparent)]
    Link(#[from] PeerConnectorError),
    /// The operations listener failed to start or to stop.
    #[error(transparent)]
    Operations(#[from] OperationsError),
    /// The TLS certificates can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// A setting is not a valid identifier.
    #[error("settings: {field}: {source}")]
    InvalidId {
        /// Name of the setting.
        field: &'static str,
        /// The parse error.
        source: ParseIdError,
    },
    /// Listening on an address failed.
    #[error("listening on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// A thread failed to start or panicked.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The configuration service failed to start or to stop.
    #[error(transparent)]
    Control(#[from] ControlError),
}
