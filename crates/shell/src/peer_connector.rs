//! Links to other processes of the system.

use lentil_settings::Security;
use thiserror::Error;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Channel, ClientTlsConfig, Endpoint};

use crate::peer_key::{AttachPeerKey, PeerKeyError};
use crate::tls::{TlsError, peer_client_tls};

/// Bytes of one stream that a peer may send ahead of its reader.
const STREAM_WINDOW_BYTES: u32 = 32 * 1_024;
/// Bytes of a whole link sent ahead: so many streams that slow readers among
/// them never stop the others.
const LINK_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * 8_192;

/// A link over which the peer key is shown.
pub type PeerChannel = InterceptedService<Channel, AttachPeerKey>;

/// Links can't be made by these settings.
#[derive(Debug, Error)]
pub enum PeerConnectorError {
    /// The certificates can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The peer key can't be used.
    #[error(transparent)]
    Key(#[from] PeerKeyError),
}

/// Makes links with the process's key and certificate.
#[derive(Debug, Clone)]
pub struct PeerConnector {
    key: AttachPeerKey,
    tls: Option<ClientTlsConfig>,
}

impl PeerConnector {
    /// Reads key and certificates.
    ///
    /// # Errors
    /// A file can't be read, or the key can't stand in a header.
    pub fn new(security: &Security) -> Result<Self, PeerConnectorError> {
        Ok(Self {
            key: AttachPeerKey::new(security.peer_key.as_ref())?,
            tls: peer_client_tls(security)?,
        })
    }

    /// A link that connects when it is first used; `address` is IP:PORT.
    ///
    /// # Errors
    /// The address or the certificates can't be used.
    pub fn channel(&self, address: &str) -> Result<PeerChannel, tonic::transport::Error> {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))?
            .tcp_nodelay(true)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(LINK_WINDOW_BYTES);
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
