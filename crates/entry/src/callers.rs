//! The HTTP service for callers.

use std::net::TcpListener;
use std::num::NonZeroU64;
use std::sync::Arc;

use lentil_core::{AttemptId, EndpointId, OrganisationId, Permille, Refusal, RefusalReason, Span};
use lentil_settings::Process;
use lentil_shell::{BoundedSender, Clock, RequestTracker};
use ntex::http::{HttpServiceConfig, KeepAlive};
use ntex::service::cfg::SharedCfg;
use ntex::time::Seconds;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{App, HttpRequest, HttpResponse, HttpServer};
use ntex::{server::Server, web};
use tokio::sync::oneshot;

use crate::auth::{Keyring, bearer};
use crate::completions::{self, Form};
use crate::counters::Counters;
use crate::generations;
use crate::open::Open;
use crate::problem::{self, never_sent};
use crate::routing::{Command, Picked};
use crate::services;

/// Longest wait for connections to close once no request runs.
const CLOSE_TIMEOUT: Seconds = Seconds(10);
/// Bytes a second that a caller must send at least.
const READ_RATE: u32 = 256;
/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// What the handlers of callers' requests share.
#[derive(Clone)]
pub(crate) struct Context {
    pub(crate) routing: BoundedSender<Command>,
    pub(crate) clock: Clock,
    pub(crate) keyring: Arc<dyn Keyring + Send + Sync>,
    pub(crate) counters: Counters,
    pub(crate) drain: RequestTracker,
    pub(crate) send_timeout: Span,
    pub(crate) deadline_ms: u64,
    pub(crate) sample: Permille,
}

/// Bounds on callers and their requests.
#[derive(Debug, Clone)]
pub(crate) struct Bounds {
    workers: usize,
    connections_per_worker: usize,
    body_max_bytes: usize,
    head_max_bytes: usize,
    headers_max: usize,
    idle_timeout: Seconds,
    request_timeout: Seconds,
}

impl Bounds {
    pub(crate) fn new(process: &Process, workers: NonZeroU64) -> Self {
        let limits = &process.limits;
        let share = limits.connections_max.get().div_ceil(workers.get());
        Self {
            workers: size(workers.get()),
            connections_per_worker: size(share),
            body_max_bytes: size(limits.body_max.get()),
            head_max_bytes: size(limits.head_max.get()),
            headers_max: size(limits.headers_max.into()),
            idle_timeout: whole_seconds(limits.idle_timeout),
            request_timeout: whole_seconds(limits.request_timeout),
        }
    }

    fn http(&self) -> HttpServiceConfig {
        HttpServiceConfig::new()
            .set_max_headers(self.headers_max)
            .set_max_buf_size(self.head_max_bytes)
            .set_keepalive(KeepAlive::Timeout(self.idle_timeout))
            .set_headers_read_rate(self.request_timeout, self.request_timeout, READ_RATE)
            .set_payload_read_rate(self.request_timeout, self.request_timeout, READ_RATE)
    }
}

fn size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}

fn whole_seconds(span: Span) -> Seconds {
    let seconds = span.as_us().div_ceil(US_PER_S).max(1);
    Seconds(u16::try_from(seconds).unwrap_or(u16::MAX))
}

impl Context {
    /// The organisation of a request's caller.
    pub(crate) fn organisation(&self, request: &HttpRequest) -> Result<OrganisationId, Refusal> {
        self.keyring
            .organisation(bearer(request))
            .ok_or_else(|| never_sent(RefusalReason::Unauthorised))
    }

    /// Counts a request and holds the process until its answer is sent.
    async fn serve(
        &self,
        route: &'static str,
        request: &HttpRequest,
        answer: impl Future<Output = HttpResponse>,
    ) -> HttpResponse {
        let Some(open) = Open::begin(&self.drain, request, self.send_timeout) else {
            let refusal = never_sent(RefusalReason::Stopping).retry_after(Span::from_s(1));
            let response = problem::response(&refusal, None);
            self.counters.answered(route, &response);
            return response;
        };
        let response = answer.await;
        self.counters.answered(route, &response);
        open.until_sent(response)
    }

    /// The agent of one endpoint.
    pub(crate) async fn find(&self, endpoint: EndpointId) -> Option<Picked> {
        let (reply, answer) = oneshot::channel();
        self.routing
            .send(Command::Find { endpoint, reply })
            .await
            .ok()?;
        answer.await.ok().flatten()
    }
}

/// Draws the identifier of a new attempt.
pub(crate) fn new_attempt() -> AttemptId {
    AttemptId::new(rand::random())
}

/// Starts the HTTP server on the current runtime.
pub(crate) fn serve(
    context: Context,
    listener: TcpListener,
    bounds: &Bounds,
    tls: Option<rustls::ServerConfig>,
) -> std::io::Result<Server> {
    let body_max_bytes = bounds.body_max_bytes;
    let app = async move || {
        App::new()
            .state(context.clone())
            .state(web::types::PayloadConfig::new(body_max_bytes))
            .service(web::resource("/v1/completions").route(web::post().to(complete)))
            .service(web::resource("/v1/chat/completions").route(web::post().to(chat)))
            .service(web::resource("/v1/generations/{generation}").route(web::get().to(resume)))
            .service(web::resource("/services/{service}/{path}*").to(call))
            .default_service(web::to(not_found))
    };
    let server = HttpServer::new(app)
        .workers(bounds.workers)
        .maxconn(bounds.connections_per_worker)
        .shutdown_timeout(CLOSE_TIMEOUT)
        .config(SharedCfg::new("CALLERS").add(bounds.http()))
        .disable_signals();
    let server = match tls {
        Some(tls) => server.listen_rustls(listener, tls)?,
        None => server.listen(listener)?,
    };
    Ok(server.run())
}

async fn complete(request: HttpRequest, body: Bytes, context: State<Context>) -> HttpResponse {
    let answer = completions::run(&context, &request, &body, Form::Text);
    context.serve("completions", &request, answer).await
}

async fn chat(request: HttpRequest, body: Bytes, context: State<Context>) -> HttpResponse {
    let answer = completions::run(&context, &request, &body, Form::Chat);
    context.serve("chat", &request, answer).await
}

async fn resume(request: HttpRequest, context: State<Context>) -> HttpResponse {
    let answer = generations::resume(&context, &request);
    context.serve("resume", &request, answer).await
}

async fn call(request: HttpRequest, body: Bytes, context: State<Context>) -> HttpResponse {
    let answer = services::call(&context, &request, &body);
    context.serve("services", &request, answer).await
}

async fn not_found(request: HttpRequest, context: State<Context>) -> HttpResponse {
    let refusal = never_sent(RefusalReason::NotFound);
    let answer = std::future::ready(problem::response(&refusal, None));
    context.serve("unknown", &request, answer).await
}
