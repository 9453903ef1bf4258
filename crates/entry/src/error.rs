//! Errors of starting and stopping an entry.

use std::net::SocketAddr;

use lentil_control::ControlError;
use lentil_core::ParseIdError;
use lentil_settings::WrongField;
use lentil_shell::{DutyError, LinkError, OperationsError, TlsError};
use thiserror::Error;

/// An error while starting or stopping an entry.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings have no `entry` section.
    #[error("settings: section entry is missing")]
    MissingSection,
    /// A setting is invalid or contradicts another.
    #[error("settings: {0}")]
    Settings(#[from] WrongField),
    /// Connections to other processes can't be set up.
    #[error(transparent)]
    Link(#[from] LinkError),
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
    Duty(#[from] DutyError),
    /// The configuration service failed to start or to stop.
    #[error(transparent)]
    Control(#[from] ControlError),
}
