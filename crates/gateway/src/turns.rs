//! Turns on the link of an engine that several gateways copy memory from.

use std::net::SocketAddr;
use std::time::Duration;

use lentil_core::{Span, Time};
use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use tonic::transport::{Channel, Endpoint};

use crate::gateway::Gateway;

/// Time before an engine's end at which a run is rather moved out of turn than
/// not at all. Those that give up earlier would only crowd the link.
const LAST_CHANCE: Span = Span::from_ms(250);
/// Shortest wait for a turn.
const WAIT_LEAST: Span = Span::from_ms(30);
/// Longest wait for a connection to an observer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Asks the observer of one engine for turns.
#[derive(Debug)]
pub(crate) struct Turns {
    client: Option<ObserverClient<Channel>>,
    engine: SocketAddr,
}

/// A turn; it ends when this is dropped.
#[derive(Debug)]
pub(crate) struct Turn {
    _held: tonic::Streaming<v1::LinkGranted>,
}

impl Turns {
    pub(crate) fn new(engine: SocketAddr, observer: SocketAddr) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{observer}"));
        let client = match endpoint {
            Ok(endpoint) => {
                let endpoint = endpoint.connect_timeout(CONNECT_TIMEOUT).tcp_nodelay(true);
                Some(ObserverClient::new(endpoint.connect_lazy()))
            }
            Err(error) => {
                log::error!(engine:% = engine; "no turns on its link: {error}");
                None
            }
        };
        Self { client, engine }
    }

    /// Waits for a turn while the engine is there; `None` where none is to be had
    /// in time.
    pub(crate) async fn hold(&mut self, gateway: &Gateway, gone_at: Time) -> Option<Turn> {
        let until = (gone_at - LAST_CHANCE).max(gateway.now() + WAIT_LEAST);
        self.hold_until(gateway, until).await
    }

    /// Takes a turn that is to be had soon.
    pub(crate) async fn hold_soon(&mut self, gateway: &Gateway) -> Option<Turn> {
        self.hold_until(
            gateway,
            gateway.now() + gateway.bounds.receiver_link_timeout,
        )
        .await
    }

    async fn hold_until(&mut self, gateway: &Gateway, until: Time) -> Option<Turn> {
        let client = self.client.as_mut()?;
        let request = v1::HoldLinkRequest {
            entry: gateway.name().to_owned(),
        };
        let granted = async {
            let mut held = client.hold_link(request).await?.into_inner();
            held.message().await?;
            Ok::<_, tonic::Status>(Turn { _held: held })
        };
        match tokio::time::timeout_at(gateway.instant(until), granted).await {
            Ok(Ok(turn)) => Some(turn),
            Ok(Err(status)) => {
                log::info!(engine:% = self.engine; "no turn on its link: {status}");
                self.client = None;
                None
            }
            Err(_) => {
                log::info!(engine:% = self.engine; "no turn on its link in time");
                None
            }
        }
    }
}
