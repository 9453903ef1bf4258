//! gRPC channels to other processes of the system.

use lentil_settings::Security;
use thiserror::Error;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};

use crate::peer_key::{AttachPeerKey, PeerKeyError};
use crate::tls::{TlsError, peer_client_tls};

/// Flow-control window of one stream: the bytes a peer may send before the
/// reader consumes them.
const STREAM_WINDOW_BYTES: u32 = 32 * 1_024;
/// Flow-control window of a connection. It holds the windows of 8192 streams,
/// so that slow readers of some streams don't block the others.
const CONNECTION_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * 8_192;

/// A gRPC channel that attaches the peer key to every request.
pub type PeerChannel = InterceptedService<Channel, AttachPeerKey>;

/// The settings don't allow connections to peers.
#[derive(Debug, Error)]
pub enum PeerConnectorError {
    /// The certificates can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The peer key can't be used.
    #[error(transparent)]
    Key(#[from] PeerKeyError),
}

/// Creates channels that use the process's peer key and certificate.
#[derive(Debug, Clone)]
pub struct PeerConnector {
    key: AttachPeerKey,
    tls: Option<ClientTlsConfig>,
}

impl PeerConnector {
    /// Loads the key and the certificates.
    ///
    /// # Errors
    /// A file can't be read, or the key is not a valid header value.
    pub fn new(security: &Security) -> Result<Self, PeerConnectorError> {
        Ok(Self {
            key: AttachPeerKey::new(security.peer_key.as_ref())?,
            tls: peer_client_tls(security)?,
        })
    }

    /// Creates a channel to `address` (IP:PORT) that connects on first use.
    ///
    /// # Errors
    /// The address or the certificates can't be used.
    pub fn channel(&self, address: &str) -> Result<PeerChannel, tonic::transport::Error> {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))?
            .tcp_nodelay(true)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let endpoint = match &self.tls {
            Some(tls) => endpoint.tls_config(tls.clone())?,
            None => endpoint,
        };
        Ok(InterceptedService::new(
            endpoint.connect_lazy(),
            self.key.clone(),
        ))
    }
}
