//! The gRPC service for entries.

use std::net::TcpListener;
use std::pin::Pin;

use futures_util::{Stream, StreamExt};
use lentil_control::{ControlView, PeerService};
use lentil_core::{AttemptId, BootId, Outcome, Refusal, RefusalReason, TokenIndex, ZoneId};
use lentil_shell::{
    BodyBudget, BoundedGrpc, BoundedReceiver, BoundedSender, SendError, VerifyPeerKey,
    bounded_channel,
};
use lentil_wire::v1::agent_server::{Agent, AgentServer};
use lentil_wire::{WireError, v1};
use tokio::sync::{oneshot, watch};
use tokio_stream::wrappers::WatchStream;
use tonic::transport::server::TcpIncoming;
use tonic::transport::{Server, ServerTlsConfig};
use tonic::{Request, Response, Status};

use crate::admission::Command;
use crate::agent::Identity;
use crate::claims::ClaimCommand;
use crate::request::{
    GenerationRequest, ReadRequest, ServiceCall, not_dispatched, parse_settle, refusal_event,
    refusal_reply,
};

/// Capacity of the event channel to one reader.
const EVENT_BUFFER: usize = 64;

/// Maximum number of concurrent requests on one connection from an entry.
const STREAMS_MAX: u32 = 8_192;

type Events = Pin<Box<dyn Stream<Item = Result<v1::RunEvent, Status>> + Send>>;
type Reports = Pin<Box<dyn Stream<Item = Result<v1::LoadReport, Status>> + Send>>;

/// The operators' configuration for this endpoint.
#[derive(Debug, Clone)]
pub(crate) struct OperatorOrders {
    pub(crate) zone: ZoneId,
    pub(crate) view: ControlView,
}

/// Channels to the threads that process requests.
pub(crate) struct WorkSenders {
    pub(crate) commands: BoundedSender<Command>,
    pub(crate) claims: Option<BoundedSender<ClaimCommand>>,
}

/// The gRPC server with its key check and configuration service.
pub(crate) struct PeerListener {
    pub(crate) server: Server,
    pub(crate) key: VerifyPeerKey,
    pub(crate) service: PeerService,
    /// The memory for requests that are being received.
    pub(crate) bodies: BodyBudget,
}

struct Service {
    identity: Identity,
    commands: BoundedSender<Command>,
    claims: Option<BoundedSender<ClaimCommand>>,
    orders: OperatorOrders,
}

impl Service {
    /// Refuses new work while operators have taken this endpoint out of service;
    /// an entry may not have received that change yet.
    fn refuse_out_of_service(&self, attempt: AttemptId) -> Option<Refusal> {
        let OperatorOrders { zone, view } = &self.orders;
        let permits = view.permits(zone, &self.identity.endpoint);
        (!permits).then(|| not_dispatched(attempt, RefusalReason::Stopping))
    }
}

/// Creates the gRPC server for peers, with TLS if certificates are configured.
pub(crate) fn server(tls: Option<ServerTlsConfig>) -> Result<Server, tonic::transport::Error> {
    let server = Server::builder().max_concurrent_streams(STREAMS_MAX);
    match tls {
        Some(tls) => server.tls_config(tls),
        None => Ok(server),
    }
}

/// Serves entries until `stopping` becomes true.
pub(crate) async fn run(
    identity: Identity,
    peers: PeerListener,
    orders: OperatorOrders,
    listener: TcpListener,
    work: WorkSenders,
    mut stopping: watch::Receiver<bool>,
) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("peer listener: {error}");
            return;
        }
    };
    let service = Service {
        identity,
        commands: work.commands,
        claims: work.claims,
        orders,
    };
    // `Server::tcp_nodelay` has no effect on connections of a listener that is
    // passed in, so the option is set on the incoming stream.
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let mut server = peers.server;
    let served = server
        .add_service(BoundedGrpc::new(
            AgentServer::with_interceptor(service, peers.key.clone()),
            peers.bodies.clone(),
        ))
        .add_service(BoundedGrpc::new(
            peers.service.into_server(peers.key),
            peers.bodies,
        ))
        .serve_with_incoming_shutdown(incoming, async move {
            let _ = stopping.wait_for(|stop| *stop).await;
        })
        .await;
    if let Err(error) = served {
        log::error!("peer server: {error}");
    }
}

fn malformed(error: &WireError) -> Status {
    Status::invalid_argument(error.to_string())
}

fn busy(error: SendError) -> Status {
    Status::resource_exhausted(error.to_string())
}

fn events(inbox: BoundedReceiver<v1::RunEvent>) -> Response<Events> {
    Response::new(Box::pin(inbox.into_stream().map(Ok)))
}

#[tonic::async_trait]
impl Agent for Service {
    type RunStream = Events;
    type ResumeStream = Events;
    type WatchStream = Reports;

    async fn run(&self, request: Request<v1::RunRequest>) -> Result<Response<Events>, Status> {
        let now = self.identity.clock.now();
        let request = GenerationRequest::from_wire(now, request.into_inner())
            .map_err(|error| malformed(&error))?;
        let (sink, inbox) = bounded_channel(EVENT_BUFFER);
        if let Some(refusal) = self.refuse_out_of_service(request.attempt) {
            sink.try_send(refusal_event(request.attempt, refusal))
                .map_err(busy)?;
            return Ok(events(inbox));
        }
        self.commands
            .try_send(Command::Run {
                request: Box::new(request),
                sink,
            })
            .map_err(busy)?;
        Ok(events(inbox))
    }

    async fn resume(
        &self,
        request: Request<v1::ResumeRequest>,
    ) -> Result<Response<Events>, Status> {
        let request = request.into_inner();
        let field = |field| move |source| malformed(&WireError::InvalidId { field, source });
        let (sink, inbox) = bounded_channel(EVENT_BUFFER);
        let read_request = ReadRequest {
            generation: request.generation.parse().map_err(field("generation"))?,
            next_index: TokenIndex::new(request.next_index),
            organisation: request
                .organisation
                .parse()
                .map_err(field("organisation"))?,
            sink,
        };
        self.commands
            .try_send(Command::Read(read_request))
            .map_err(busy)?;
        Ok(events(inbox))
    }

    async fn cancel(
        &self,
        request: Request<v1::CancelRequest>,
    ) -> Result<Response<v1::CancelReply>, Status> {
        let generation = request.into_inner().generation.parse().map_err(|source| {
            malformed(&WireError::InvalidId {
                field: "generation",
                source,
            })
        })?;
        let (known, answer) = oneshot::channel();
        self.commands
            .try_send(Command::Cancel { generation, known })
            .map_err(busy)?;
        let known = answer.await.unwrap_or(false);
        Ok(Response::new(v1::CancelReply { known }))
    }

    async fn call(
        &self,
        request: Request<v1::CallRequest>,
    ) -> Result<Response<v1::CallReply>, Status> {
        let now = self.identity.clock.now();
        let request = request.into_inner();
        let boot = BootId::new(request.boot);
        let call = ServiceCall::from_wire(now, request).map_err(|error| malformed(&error))?;
        if let Some(refusal) = self.refuse_out_of_service(call.attempt) {
            return Ok(Response::new(refusal_reply(call.attempt, refusal)));
        }
        let (reply, answer) = oneshot::channel();
        match (call.key.clone(), &self.claims) {
            (None, _) => self.commands.try_send(Command::Call { call, reply }),
            (Some(key), Some(claims)) => claims.try_send(ClaimCommand::Call {
                call,
                key,
                boot,
                reply,
            }),
            (Some(_), None) => return Err(Status::unimplemented("no plain service stands here")),
        }
        .map_err(busy)?;
        answer
            .await
            .map(Response::new)
            .map_err(|_| Status::unavailable("the agent stops"))
    }

    async fn settle(
        &self,
        request: Request<v1::SettleRequest>,
    ) -> Result<Response<v1::SettleReply>, Status> {
        let request = request.into_inner();
        let (attempt, key) = parse_settle(&request).map_err(|error| malformed(&error))?;
        let outcome = match (key, &self.claims) {
            (Some(key), Some(claims)) => {
                let (reply, answer) = oneshot::channel();
                let boot = BootId::new(request.boot);
                claims
                    .try_send(ClaimCommand::Settle {
                        attempt,
                        key,
                        boot,
                        reply,
                    })
                    .map_err(busy)?;
                answer.await.unwrap_or(Outcome::Unknown)
            }
            _ => Outcome::Unknown,
        };
        Ok(Response::new(v1::SettleReply {
            attempt: attempt.to_string(),
            outcome: v1::Outcome::from(outcome).into(),
            boot: self.identity.epoch().get(),
        }))
    }

    async fn watch(
        &self,
        _request: Request<v1::WatchRequest>,
    ) -> Result<Response<Reports>, Status> {
        let (reports, receiver) = oneshot::channel();
        self.commands
            .try_send(Command::Watch { reports })
            .map_err(busy)?;
        let receiver = receiver
            .await
            .map_err(|_| Status::unavailable("the agent stops"))?;
        Ok(Response::new(Box::pin(WatchStream::new(receiver).map(Ok))))
    }
}
