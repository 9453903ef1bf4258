//! Why an entry can't start.

use std::net::SocketAddr;

use lentil_control::ControlError;
use lentil_core::ParseIdError;
use lentil_settings::InvalidField;
use lentil_shell::{OperationsError, PeerConnectorError, ThreadError, TlsError};
use thiserror::Error;

/// An entry can't start.
#[derive(Debug, Error)]
pub enum EntryError {
    /// The settings have no section `entry`.
    #[error("settings: section entry is missing")]
    NoSection,
    /// The settings contradict each other.
    #[error("settings: {0}")]
    Settings(#[from] InvalidField),
    /// Links to agents can't be made.
    #[error(transparent)]
    Link(#[from] PeerConnectorError),
    /// The operations listener can't start or ended badly.
    #[error(transparent)]
    Operations(#[from] OperationsError),
    /// The certificates can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
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
    /// The configuration can't be kept up to date.
    #[error(transparent)]
    Control(#[from] ControlError),
}
