//! The operations listener: metrics, health and status.

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

/// Media type of the OpenMetrics text form.
const OPENMETRICS: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";
/// Connections of operators.
const CONNECTIONS_MAX: usize = 256;
/// Time given to a running answer when the listener stops.
const SHUTDOWN_TIMEOUT: Seconds = Seconds(1);

/// The operations listener can't start or ended badly.
#[derive(Debug, Error)]
pub enum OperationsError {
    /// The address can't be had.
    #[error("listening to operators at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
    /// Its certificate can't be used.
    #[error(transparent)]
    Tls(#[from] TlsError),
    /// Its thread can't start, or panicked.
    #[error(transparent)]
    Thread(#[from] ThreadError),
}

/// Tells what a process does now.
pub trait StatusSource: Send + Sync {
    /// The present state, as operators read it.
    fn status(&self) -> Value;
}

/// What the pages show.
#[derive(Clone)]
struct Pages {
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
    /// Starts listening.
    ///
    /// # Errors
    /// The address, the certificate or the thread is not to be had.
    pub fn start(
        process: &Process,
        metrics: Metrics,
        readiness: Readiness,
        status: Arc<dyn StatusSource>,
    ) -> Result<Self, OperationsError> {
        let address = process.listen.operations;
        let listen = |source| OperationsError::Listen { address, source };
        let listener = TcpListener::bind(address).map_err(listen)?;
        let bound = listener.local_addr().map_err(listen)?;
        let tls = listener_tls(&process.security)?;
        let pages = Pages {
            metrics,
            readiness,
            status,
            key: process.security.operator_key.clone(),
        };
        let (stop, stopping) = oneshot::channel();
        let thread = spawn_http("operations", move || async move {
            if let Err(error) = serve(listener, tls, pages, stopping).await {
                log::error!("serving operators: {error}");
            }
        })?;
        Ok(Self {
            thread,
            address: bound,
            stop,
        })
    }

    /// Where operators reach the process.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening.
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
    pages: Pages,
    stopping: oneshot::Receiver<()>,
) -> std::io::Result<()> {
    let app = async move || App::new().state(pages.clone()).configure(routes);
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
    config.service(web::resource("/healthz").route(web::get().to(healthy)));
    config.service(web::resource("/readyz").route(web::get().to(ready)));
    config.service(web::resource("/metrics").route(web::get().to(metrics)));
    config.service(web::resource("/status").route(web::get().to(status)));
}

impl Pages {
    fn admits(&self, request: &HttpRequest) -> bool {
        let header = request.headers().get("authorization");
        keys::bearer_matches(
            header.and_then(|value| value.to_str().ok()),
            self.key.as_ref(),
        )
    }
}

async fn healthy() -> HttpResponse {
    HttpResponse::Ok().body("ok\n")
}

async fn ready(pages: State<Pages>) -> HttpResponse {
    if pages.readiness.is_ready() {
        HttpResponse::Ok().body("ready\n")
    } else {
        HttpResponse::ServiceUnavailable().body("not ready\n")
    }
}

async fn metrics(pages: State<Pages>, request: HttpRequest) -> HttpResponse {
    if !pages.admits(&request) {
        return HttpResponse::Unauthorized().finish();
    }
    match pages.metrics.encode() {
        Ok(text) => HttpResponse::Ok().content_type(OPENMETRICS).body(text),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

async fn status(pages: State<Pages>, request: HttpRequest) -> HttpResponse {
    if !pages.admits(&request) {
        return HttpResponse::Unauthorized().finish();
    }
    HttpResponse::Ok().json(&pages.status.status())
}
