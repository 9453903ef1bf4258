//! The gRPC exchange with peers.

use std::net::TcpListener;

use lentil_config::{Digest, Exchange, Update};
use lentil_core::{ConfigVersion, Offset};
use lentil_shell::{BodyBudget, BoundedGrpc, BoundedSender, VerifyPeerKey};
use lentil_wire::v1;
use lentil_wire::v1::peer_server::{self, Peer};
use tokio::sync::{oneshot, watch};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::{Server, ServerTlsConfig};
use tonic::{Request, Response, Status};

use crate::control::Input;
use crate::error::ControlError;

/// Maximum message size in bytes. The largest message carries a whole configuration.
pub(crate) const MESSAGE_MAX_BYTES: usize = 16 << 20;

/// gRPC service that passes messages from peers to the control thread.
#[derive(Debug, Clone)]
pub struct PeerService {
    inputs: BoundedSender<Input>,
}

impl PeerService {
    pub(crate) const fn new(inputs: BoundedSender<Input>) -> Self {
        Self { inputs }
    }

    /// Wraps the service for a tonic server, with a check of the peer key.
    #[must_use]
    pub fn into_server(
        self,
        key: VerifyPeerKey,
    ) -> InterceptedService<peer_server::PeerServer<Self>, VerifyPeerKey> {
        let server = peer_server::PeerServer::new(self)
            .max_decoding_message_size(MESSAGE_MAX_BYTES)
            .max_encoding_message_size(MESSAGE_MAX_BYTES);
        InterceptedService::new(server, key)
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn exchange(
        &self,
        request: Request<v1::ExchangeRequest>,
    ) -> Result<Response<v1::ExchangeReply>, Status> {
        let exchange = to_exchange(&request.into_inner())
            .map_err(|error| Status::invalid_argument(error.to_string()))?;
        let (reply, answer) = oneshot::channel();
        self.inputs
            .try_send(Input::PeerMessage(exchange, reply))
            .map_err(|error| Status::resource_exhausted(error.to_string()))?;
        let answer = answer
            .await
            .map_err(|_| Status::unavailable("the process stops"))?;
        to_reply(answer)
            .map(Response::new)
            .map_err(|error| Status::internal(error.to_string()))
    }
}

/// gRPC server for peers, in a process that offers them no other service.
#[derive(Debug)]
pub struct PeerServer {
    /// The service that answers peers.
    pub service: PeerService,
    /// The check of the peer key.
    pub key: VerifyPeerKey,
    /// TLS settings, or `None` to serve without TLS.
    pub tls: Option<ServerTlsConfig>,
    /// The memory for requests that are being received.
    pub bodies: BodyBudget,
}

impl PeerServer {
    /// Serves peers until `stopping` becomes true.
    pub async fn serve(self, listener: TcpListener, stopping: watch::Receiver<bool>) {
        if let Err(error) = self.try_serve(listener, stopping).await {
            log::error!("peer server failed: {error}");
        }
    }

    async fn try_serve(
        self,
        listener: TcpListener,
        mut stopping: watch::Receiver<bool>,
    ) -> Result<(), ControlError> {
        let listener = tokio::net::TcpListener::from_std(listener)?;
        let mut server = Server::builder().tcp_nodelay(true);
        if let Some(tls) = self.tls {
            server = server.tls_config(tls)?;
        }
        server
            .add_service(BoundedGrpc::new(
                self.service.into_server(self.key),
                self.bodies,
            ))
            .serve_with_incoming_shutdown(TcpListenerStream::new(listener), async move {
                let _ = stopping.wait_for(|stop| *stop).await;
            })
            .await?;
        Ok(())
    }
}

fn update_bytes(update: Option<Update>) -> Result<Vec<u8>, ControlError> {
    match update {
        Some(update) => Ok(update.to_bytes()?),
        None => Ok(Vec::new()),
    }
}

/// Converts a request from its wire format.
///
/// # Errors
/// The sender or the update is invalid.
fn to_exchange(request: &v1::ExchangeRequest) -> Result<Exchange, ControlError> {
    Ok(Exchange {
        sender: request.sender.parse()?,
        digest: Digest {
            version: ConfigVersion::new(request.version),
            next: Offset::new(request.next_offset),
        },
        update: Update::from_bytes(&request.record)?,
        follow_up: request.follow_up,
    })
}

/// Converts a request to its wire format.
///
/// # Errors
/// The update can't be encoded.
pub(crate) fn to_request(exchange: Exchange) -> Result<v1::ExchangeRequest, ControlError> {
    Ok(v1::ExchangeRequest {
        sender: exchange.sender.to_string(),
        version: exchange.digest.version.get(),
        next_offset: exchange.digest.next.get(),
        record: update_bytes(exchange.update)?,
        follow_up: exchange.follow_up,
        suspects: Vec::new(),
    })
}

/// Converts a reply to its wire format.
///
/// # Errors
/// The update can't be encoded.
fn to_reply(exchange: Exchange) -> Result<v1::ExchangeReply, ControlError> {
    let request = to_request(exchange)?;
    Ok(v1::ExchangeReply {
        sender: request.sender,
        version: request.version,
        next_offset: request.next_offset,
        record: request.record,
        follow_up: request.follow_up,
        suspects: Vec::new(),
    })
}

/// Converts a reply from its wire format.
pub(crate) fn from_reply(reply: v1::ExchangeReply) -> Result<Exchange, ControlError> {
    to_exchange(&v1::ExchangeRequest {
        sender: reply.sender,
        version: reply.version,
        next_offset: reply.next_offset,
        record: reply.record,
        follow_up: reply.follow_up,
        suspects: Vec::new(),
    })
}
