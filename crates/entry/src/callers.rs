//! The HTTP server for callers.

use std::net::TcpListener;
use std::num::NonZeroU64;
use std::sync::Arc;

use lentil_core::{AttemptId, EndpointId, OrganisationId, Permille, Refusal, RefusalReason, Span};
use lentil_settings::Process;
use lentil_shell::{BodyBudget, BoundedSender, Clock, RequestTracker};
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::service::cfg::SharedCfg;
use ntex::time::Seconds;
use ntex::web::types::State;
use ntex::web::{App, HttpRequest, HttpResponse, HttpServer};
use ntex::{server::Server, web};
use tokio::sync::oneshot;

use crate::bounded_body::{BodyLimits, BoundedBody};
use crate::caller_policy::{CallerPolicy, bearer_key};
use crate::completions::{self, ApiKind};
use crate::counters::Counters;
use crate::generations;
use crate::open_request::OpenRequest;
use crate::problem::{self, never_sent};
use crate::routing::{AgentConnection, Command};
use crate::services;

/// Maximum wait for connections to close after the last request has finished.
const CLOSE_TIMEOUT: Seconds = Seconds(10);
/// Minimum rate, in bytes per second, at which a caller must send a request.
const READ_RATE_MIN: u32 = 256;
const US_PER_S: u64 = 1_000_000;

/// State shared by the request handlers.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) routing: BoundedSender<Command>,
    pub(crate) clock: Clock,
    pub(crate) caller_policy: Arc<dyn CallerPolicy + Send + Sync>,
    pub(crate) counters: Counters,
    pub(crate) drain: RequestTracker,
    pub(crate) send_timeout: Span,
    pub(crate) deadline_ms: u64,
    pub(crate) trace_sampling: Permille,
}

/// Limits of the HTTP server.
#[derive(Debug, Clone)]
pub(crate) struct ServerLimits {
    workers: usize,
    connections_per_worker: usize,
    body_max_bytes: usize,
    bodies: BodyBudget,
    head_max_bytes: usize,
    headers_max: usize,
    idle_timeout: Seconds,
    request_timeout: Seconds,
}

impl ServerLimits {
    pub(crate) fn new(process: &Process, workers: NonZeroU64, bodies: BodyBudget) -> Self {
        let limits = &process.limits;
        let per_worker = limits.connections_max.get().div_ceil(workers.get());
        Self {
            workers: to_usize(workers.get()),
            connections_per_worker: to_usize(per_worker),
            body_max_bytes: to_usize(limits.body_max.get()),
            bodies,
            head_max_bytes: to_usize(limits.head_max.get()),
            headers_max: to_usize(limits.headers_max.into()),
            idle_timeout: whole_seconds(limits.idle_timeout),
            request_timeout: whole_seconds(limits.request_timeout),
        }
    }

    fn http(&self) -> HttpServiceConfig {
        HttpServiceConfig::new()
            .set_max_headers(self.headers_max)
            .set_max_buf_size(self.head_max_bytes)
            .set_keepalive(KeepAlive::Timeout(self.idle_timeout))
            .set_headers_read_rate(self.request_timeout, self.request_timeout, READ_RATE_MIN)
            .set_payload_read_rate(self.request_timeout, self.request_timeout, READ_RATE_MIN)
    }
}

fn to_usize(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn whole_seconds(span: Span) -> Seconds {
    let seconds = span.as_us().div_ceil(US_PER_S).max(1);
    Seconds(u16::try_from(seconds).unwrap_or(u16::MAX))
}

impl Context {
    /// Returns the organisation of the caller that sent a request.
    pub(crate) fn organisation(&self, request: &HttpRequest) -> Result<OrganisationId, Refusal> {
        self.caller_policy
            .organisation(bearer_key(request))
            .ok_or_else(|| never_sent(RefusalReason::Unauthorised))
    }

    /// Counts a request, and keeps it registered as running until its response is sent.
    ///
    /// Refuses it if the entry is stopping.
    async fn track(
        &self,
        route: &'static str,
        request: &HttpRequest,
        answer: impl Future<Output = HttpResponse>,
    ) -> HttpResponse {
        let Some(open_request) = OpenRequest::begin(&self.drain, request, self.send_timeout) else {
            let refusal = never_sent(RefusalReason::Stopping).retry_after(Span::from_s(1));
            let response = problem::response(&refusal, None);
            self.counters.record_response(route, &response);
            return response;
        };
        let response = answer.await;
        self.counters.record_response(route, &response);
        open_request.hold_until_sent(response)
    }

    /// Returns a connection to the agent of one endpoint.
    pub(crate) async fn find_agent(&self, endpoint: EndpointId) -> Option<AgentConnection> {
        let (reply, answer) = oneshot::channel();
        self.routing
            .send(Command::FindAgent { endpoint, reply })
            .await
            .ok()?;
        answer.await.ok().flatten()
    }
}

/// Generates a random attempt ID.
pub(crate) fn new_attempt() -> AttemptId {
    AttemptId::new(rand::random())
}

/// Starts the HTTP server on the current runtime.
pub(crate) fn serve(
    context: Context,
    listener: TcpListener,
    server_limits: &ServerLimits,
    tls: Option<rustls::ServerConfig>,
) -> std::io::Result<Server> {
    let body_limits = BodyLimits {
        budget: server_limits.bodies.clone(),
        max_bytes: server_limits.body_max_bytes,
    };
    let app = async move || {
        App::new()
            .state(context.clone())
            .state(body_limits.clone())
            .service(web::resource("/v1/completions").route(web::post().to(complete)))
            .service(web::resource("/v1/chat/completions").route(web::post().to(chat)))
            .service(web::resource("/v1/generations/{generation}").route(web::get().to(resume)))
            .service(web::resource("/services/{service}/{path}*").to(call))
            .default_service(web::to(not_found))
    };
    let server = HttpServer::new(app)
        .workers(server_limits.workers)
        .maxconn(server_limits.connections_per_worker)
        .shutdown_timeout(CLOSE_TIMEOUT)
        .config(SharedCfg::new("CALLERS").add(server_limits.http()))
        .disable_signals();
    let server = match tls {
        Some(tls) => server.listen_rustls(listener, tls)?,
        None => server.listen(listener)?,
    };
    Ok(server.run())
}

async fn complete(
    request: HttpRequest,
    body: BoundedBody,
    context: State<Context>,
) -> HttpResponse {
    generate("completions", &request, &body, &context, ApiKind::Text).await
}

async fn chat(request: HttpRequest, body: BoundedBody, context: State<Context>) -> HttpResponse {
    generate("chat", &request, &body, &context, ApiKind::Chat).await
}

async fn generate(
    route: &'static str,
    request: &HttpRequest,
    body: &BoundedBody,
    context: &Context,
    api_kind: ApiKind,
) -> HttpResponse {
    let answer = async {
        match body.bytes() {
            Ok(bytes) => completions::complete(context, request, bytes, api_kind).await,
            Err(response) => response,
        }
    };
    context.track(route, request, answer).await
}

async fn resume(request: HttpRequest, context: State<Context>) -> HttpResponse {
    let answer = generations::resume(&context, &request);
    context.track("resume", &request, answer).await
}

async fn call(request: HttpRequest, body: BoundedBody, context: State<Context>) -> HttpResponse {
    let answer = async {
        match body.bytes() {
            Ok(bytes) => services::call(&context, &request, bytes).await,
            Err(response) => response,
        }
    };
    context.track("services", &request, answer).await
}

async fn not_found(request: HttpRequest, context: State<Context>) -> HttpResponse {
    let refusal = never_sent(RefusalReason::NotFound);
    let answer = std::future::ready(problem::response(&refusal, None));
    context.track("unknown", &request, answer).await
}
