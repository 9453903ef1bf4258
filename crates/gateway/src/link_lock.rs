//! A lock on an engine's link, shared by the gateways that copy KV caches over it.

use std::net::SocketAddr;
use std::time::Duration;

use lentil_core::{Span, Time};
use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use tonic::transport::{Channel, Endpoint};

use crate::gateway::Gateway;

/// Time before an engine's shutdown at which a gateway stops waiting for the lock
/// and moves a run without it rather than not at all. With a larger margin,
/// gateways that give up early would only congest the link.
const UNLOCKED_MOVE_MARGIN: Span = Span::from_ms(250);
/// Shortest wait for the lock.
const WAIT_MIN: Span = Span::from_ms(30);
/// Longest wait for a connection to an observer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The lock on one engine's link, granted by the engine's observer.
#[derive(Debug)]
pub(crate) struct LinkLock {
    client: Option<ObserverClient<Channel>>,
    engine: SocketAddr,
}

/// Holds the lock until dropped.
#[derive(Debug)]
pub(crate) struct LinkGuard {
    _grant_stream: tonic::Streaming<v1::LinkGranted>,
}

impl LinkLock {
    pub(crate) fn new(engine: SocketAddr, observer: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{observer}"));
        let client = match endpoint {
            Ok(endpoint) => {
                let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
                Some(ObserverClient::new(endpoint.connect_lazy()))
            }
            Err(error) => {
                log::error!(engine:% = engine; "link lock unavailable: {error}");
                None
            }
        };
        Self { client, engine }
    }

    /// Waits for the lock until shortly before the engine's shutdown. Returns
    /// `None` if it is not granted in time.
    pub(crate) async fn acquire(
        &mut self,
        gateway: &Gateway,
        terminates_at: Time,
    ) -> Option<LinkGuard> {
        let until = (terminates_at - UNLOCKED_MOVE_MARGIN).max(gateway.now() + WAIT_MIN);
        self.acquire_until(gateway, until).await
    }

    /// Waits for the lock for a short time only.
    pub(crate) async fn acquire_soon(&mut self, gateway: &Gateway) -> Option<LinkGuard> {
        self.acquire_until(
            gateway,
            gateway.now() + gateway.bounds.receiver_link_timeout,
        )
        .await
    }

    async fn acquire_until(&mut self, gateway: &Gateway, until: Time) -> Option<LinkGuard> {
        let client = self.client.as_mut()?;
        let request = v1::HoldLinkRequest {
            entry: gateway.name().to_owned(),
        };
        let granted = async {
            let mut grant_stream = client.hold_link(request).await?.into_inner();
            grant_stream.message().await?;
            Ok::<_, tonic::Status>(LinkGuard {
                _grant_stream: grant_stream,
            })
        };
        match tokio::time::timeout_at(gateway.instant(until), granted).await {
            Ok(Ok(guard)) => Some(guard),
            Ok(Err(status)) => {
                log::info!(engine:% = self.engine; "link lock not granted: {status}");
                self.client = None;
                None
            }
            Err(_) => {
                log::info!(engine:% = self.engine; "link lock not granted in time");
                None
            }
        }
    }
}
