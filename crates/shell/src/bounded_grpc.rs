//! A gRPC service whose requests share a limited memory while they are received.

use std::task::{Context, Poll};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{BoxStream, unfold};
use http::Request;
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use tonic::Status;
use tonic::body::Body;
use tonic::codegen::Service;
use tonic::server::NamedService;

use crate::body_budget::{BodyBudget, MessageMemory};

/// Refuses requests that find no memory beside the others of `budget`.
#[derive(Debug, Clone)]
pub struct BoundedGrpc<S> {
    service: S,
    budget: BodyBudget,
}

impl<S> BoundedGrpc<S> {
    /// Wraps a service.
    #[must_use]
    pub const fn new(service: S, budget: BodyBudget) -> Self {
        Self { service, budget }
    }
}

impl<S: NamedService> NamedService for BoundedGrpc<S> {
    const NAME: &'static str = S::NAME;
}

impl<S: Service<Request<Body>>> Service<Request<Body>> for BoundedGrpc<S> {
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.service.poll_ready(context)
    }

    fn call(&mut self, request: Request<Body>) -> S::Future {
        let memory = self.budget.message();
        self.service
            .call(request.map(|body| Body::new(StreamBody::new(bounded(body, memory)))))
    }
}

/// Returns the frames of a body as long as there is memory for all of them.
fn bounded(body: Body, memory: MessageMemory) -> BoxStream<'static, Result<Frame<Bytes>, Status>> {
    let frames = unfold(Some((body, memory)), |state| async move {
        let (mut body, mut memory) = state?;
        let frame = tokio::select! {
            frame = body.frame() => frame?,
            () = memory.evicted() => return Some((Err(no_memory()), None)),
        };
        let frame = match frame {
            Ok(frame) => frame,
            Err(status) => return Some((Err(status), None)),
        };
        let bytes = frame.data_ref().map_or(0, Bytes::len);
        if memory.add(bytes).await.is_err() {
            return Some((Err(no_memory()), None));
        }
        Some((Ok(frame), Some((body, memory))))
    });
    frames.boxed()
}

fn no_memory() -> Status {
    Status::resource_exhausted("there is no memory for the request")
}
