//! The operations listener, which serves health, readiness, metrics and status.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use lentil_settings::{Process, Secret};
use ntex::time::Seconds;
use ntex::web::types::State;
use ntex::web::{self, App, HttpRequest, HttpResponse, HttpServer, ServiceConfig};
use serde_json::Value;
use thiserror::Error;
use tokio::sync::oneshot;

use crate::{
    Metrics, Readiness, ThreadError, TlsError, WorkerThread, keys, listener_tls, spawn_http,
};

/// Media type of the OpenMetrics text format.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Maximum number of concurrent connections to the operations listener.
const CONNECTIONS_MAX: usize = 256;
/// Time that a response in progress gets to complete when the listener stops.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// The operations listener failed to start or to stop.
#[derive(Debug, Error)]
pub enum OperationsError {
    /// The address can't be bound.
    #[error("binding the operations listener to {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// The certificate can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// The listener's thread can't start, or panicked.
    #[error(transparent)]
    Thread(#[from] ThreadError),
}

/// Provides the status document of a process.
pub trait StatusSource: Send + Sync {
    /// Returns the current state as JSON.
    fn status(&self) -> Value;
}

/// State shared by the request handlers.
#[derive(Clone)]
struct AppState {
    metrics: Metrics,
    readiness: Readiness,
    status: Arc<dyn StatusSource>,
    key: Option<Secret>,
}

/// A running operations listener.
#[derive(Debug)]
pub struct OperationsListener {
    thread: WorkerThread,
    address: SocketAddr,
    stop: oneshot::Sender<()>,
}

impl OperationsListener {
    /// Binds the listener and starts serving.
    ///
    /// # Errors
    /// The address can't be bound, the certificate can't be used, or the thread
    /// can't be created.
    pub fn start(
        process: &Process,
        metrics: Metrics,
        readiness: Readiness,
        status: Arc<dyn StatusSource>,
    ) -> Result<Self, OperationsError> {
        let address = process.listen.operations;
        let bind_error = |source| OperationsError::Listen { address, source };
        let listener = TcpListener::bind(address).map_err(bind_error)?;
        let bound = listener.local_addr().map_err(bind_error)?;
        let tls = listener_tls(&process.security)?;
        let state = AppState {
            metrics,
            readiness,
            status,
            key: process.security.operator_key.clone(),
        };
        let (stop, stopping) = oneshot::channel();
        let thread = spawn_http("operations", move || async move {
            if let Err(error) = serve(listener, tls, state, stopping).await {
                log::error!("operations listener: {error}");
            }
        })?;
        Ok(Self {
            thread,
            address: bound,
            stop,
        })
    }

    /// The bound address of the listener.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the listener.
    ///
    /// # Errors
    /// The thread panicked.
    pub fn stop(self) -> Result<(), OperationsError> {
        let _ = self.stop.send(());
        Ok(self.thread.join()?)
    }
}

async fn serve(
    listener: TcpListener,
    tls: Option<rustls::ServerConfig>,
    state: AppState,
    stopping: oneshot::Receiver<()>,
) -> std::io::Result<()> {
    let app = async move || App::new().state(state.clone()).configure(routes);
    let server = HttpServer::new(app)
        .workers(1)
        .maxconn(CONNECTIONS_MAX)
        .shutdown_timeout(SHUTDOWN_TIMEOUT)
        .disable_signals();
    let server = match tls {
        Some(tls) => server.listen_rustls(listener, tls)?,
        None => server.listen(listener)?,
    };
    let server = server.run();
    let _ = stopping.await;
    server.stop(true).await;
    Ok(())
}

fn routes(config: &mut ServiceConfig) {
    config.service(web::resource("/healthz").route(web::get().to(health)));
    config.service(web::resource("/readyz").route(web::get().to(ready)));
    config.service(web::resource("/metrics").route(web::get().to(metrics)));
    config.service(web::resource("/status").route(web::get().to(status)));
}

impl AppState {
    fn is_authorized(&self, request: &HttpRequest) -> bool {
        let header = request.headers().get("authorization");
        keys::bearer_matches(
            header.and_then(|value| value.to_str().ok()),
            self.key.as_ref(),
        )
    }
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(state: State<AppState>) -> HttpResponse {
    if state.readiness.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn metrics(state: State<AppState>, request: HttpRequest) -> HttpResponse {
    if !state.is_authorized(&request) {
        return HttpResponse::Unauthorized().finish();
    }
    match state.metrics.encode() {
        Ok(text) => HttpResponse::Ok().content_type(OPENMETRICS).body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn status(state: State<AppState>, request: HttpRequest) -> HttpResponse {
    if !state.is_authorized(&request) {
        return HttpResponse::Unauthorized().finish();
    }
    HttpResponse::Ok().json(&state.status.status())
}
