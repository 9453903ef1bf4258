//! Authentication between processes by a shared peer key.

use lentil_settings::Secret;
use thiserror::Error;
use tonic::metadata::{Ascii, MetadataValue};
use tonic::service::Interceptor;
use tonic::{Request, Status};

use crate::keys;

/// Header that carries the key.
const AUTHORIZATION: &str = "authorization";

/// The peer key is not a valid header value.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("the peer key is not a valid header value")]
pub struct PeerKeyError;

/// Client interceptor that attaches the peer key to every request.
#[derive(Debug, Clone)]
pub struct AttachPeerKey(Option<MetadataValue<Ascii>>);

impl AttachPeerKey {
    /// Creates an interceptor that attaches `key`, if there is one.
    ///
    /// # Errors
    /// The key is not a valid header value.
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

/// Server interceptor that rejects requests without the peer key.
#[derive(Debug, Clone)]
pub struct VerifyPeerKey(Option<Secret>);

impl VerifyPeerKey {
    /// Creates an interceptor that requires `key`, or accepts every request
    /// without one.
    #[must_use]
    pub const fn new(key: Option<Secret>) -> Self {
        Self(key)
    }
}

impl Interceptor for VerifyPeerKey {
    fn call(&mut self, request: Request<()>) -> Result<Request<()>, Status> {
        let presented = request.metadata().get(AUTHORIZATION);
        let presented = presented.and_then(|value| value.to_str().ok());
        if keys::bearer_matches(presented, self.0.as_ref()) {
            Ok(request)
        } else {
            Err(Status::unauthenticated("the peer key is missing or wrong"))
        }
    }
}
