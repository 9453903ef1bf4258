//! The key that the system's processes show each other.

use lentil_settings::Secret;
use thiserror::Error;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::{Request, Status};

use crate::keys;

/// Name of the header that carries a key.
const AUTHORIZATION: &str = "authorization";

/// A key that can't stand in a header.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the peer key can't stand in a header")]
pub struct PeerKeyError;

/// Shows the key on every message to a peer.
#[derive(Debug, Clone)]
pub struct AttachPeerKey(Option<MetadataValue<Ascii>>);

impl AttachPeerKey {
    /// Shows `key`, or nothing.
    ///
    /// # Errors
    /// The key can't stand in a header.
    pub fn new(key: Option<&Secret>) -> Result<Self, PeerKeyError> {
        let Some(key) = key else {
            return Ok(Self(None));
        };
        let mut value: MetadataValue<Ascii> =
            keys::bearer_value(key).parse().map_err(|_| PeerKeyError)?;
        value.set_sensitive(true);
        Ok(Self(Some(value)))
    }
}

impl Interceptor for AttachPeerKey {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        if let Some(value) = &self.0 {
            request.metadata_mut().insert(AUTHORIZATION, value.clone());
        }
        Ok(request)
    }
}

/// Refuses messages that don't show the key.
#[derive(Debug, Clone)]
pub struct VerifyPeerKey(Option<Secret>);

impl VerifyPeerKey {
    /// Expects `key`, or nothing.
    #[must_use]
    pub const fn new(key: Option<Secret>) -> Self {
        Self(key)
    }
}

impl Interceptor for VerifyPeerKey {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let shown = request.metadata().get(AUTHORIZATION);
        let shown = shown.and_then(|value| value.to_str().ok());
        if keys::bearer_matches(shown, self.0.as_ref()) {
            Ok(request)
        } else {
            Err(Status::unauthenticated("the peer key is missing or wrong"))
        }
    }
}
