//! The HTTP listener and its connections.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use lentil_shell::{BodyBuffer, BodyRefused};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::LocalFuture;
use crate::body::ResponseBody;
use crate::counted_stream::CountedStream;
use crate::pool::enable_keepalive;
use crate::shutdown::ShutdownStage;

/// Longest request head, and the size of a connection's read buffer.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// How long connections are still accepted and read when the listener closes, so that
/// what had reached the host by then is noticed.
const CLOSE_DELAY: Duration = Duration::from_millis(60);
/// Delay after accepting a connection failed for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Responds to requests.
pub trait Handler {
    /// Responds to one request. The future is dropped when the caller disconnects.
    fn handle(&self, request: Request<Incoming>) -> LocalFuture<'static, Response<ResponseBody>>;
}

/// The count and limits of one listener's connections.
#[derive(Debug)]
pub struct Connections {
    open: Cell<usize>,
    max_open: usize,
    idle_timeout: Cell<Duration>,
}

impl Connections {
    /// Allows at most `max_open` connections, which are closed after `idle_timeout`
    /// without a request.
    #[must_use]
    pub const fn new(max_open: usize, idle_timeout: Duration) -> Self {
        Self {
            open: Cell::new(0),
            max_open,
            idle_timeout: Cell::new(idle_timeout),
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Sets the idle timeout of connections accepted from now on.
    pub fn set_idle_timeout(&self, idle_timeout: Duration) {
        self.idle_timeout.set(idle_timeout);
    }
}

/// Decrements the count of open connections when dropped.
struct OpenConnection(Rc<Connections>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

/// Accepts connections until [`ShutdownStage::Closing`], then waits for the open
/// ones to end.
pub async fn serve(
    listener: TcpListener,
    handler: Rc<dyn Handler>,
    connections: Rc<Connections>,
    mut stage: watch::Receiver<ShutdownStage>,
) {
    let mut tasks = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = tasks.join_next(), if !tasks.is_empty() => continue,
            changed = stage.changed() => {
                if changed.is_err() || *stage.borrow() == ShutdownStage::Closing {
                    break;
                }
                continue;
            }
        };
        match accepted {
            Ok((stream, _)) if connections.open() < connections.max_open => {
                connections.open.set(connections.open() + 1);
                let open = OpenConnection(Rc::clone(&connections));
                let idle = connections.idle_timeout.get();
                tasks.spawn_local(run_connection(
                    stream,
                    Rc::clone(&handler),
                    idle,
                    stage.clone(),
                    open,
                ));
            }
            Ok(_) => {
                log::warn!(open = connections.open(); "connection limit reached; closing a new connection");
            }
            Err(error) => {
                log::warn!("accepting a connection failed: {error}");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Callers whose connections wait in the backlog may have sent a request already.
    let backlog_until = Instant::now() + CLOSE_DELAY;
    while let Ok(Ok((stream, _))) = tokio::time::timeout_at(backlog_until, listener.accept()).await
    {
        connections.open.set(connections.open() + 1);
        tasks.spawn_local(run_connection(
            stream,
            Rc::clone(&handler),
            connections.idle_timeout.get(),
            stage.clone(),
            OpenConnection(Rc::clone(&connections)),
        ));
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn run_connection(
    stream: TcpStream,
    handler: Rc<dyn Handler>,
    idle: Duration,
    mut stage: watch::Receiver<ShutdownStage>,
    _open: OpenConnection,
) {
    if let Err(error) = enable_keepalive(&stream) {
        log::debug!("caller disconnected at once: {error}");
        return;
    }
    let (stream, inbound) = CountedStream::new(stream, usize::MAX);
    let current_stage = stage.clone();
    let sent_by_caller = inbound.clone();
    let service = service_fn(move |request| {
        let response = handler.handle(request);
        let current_stage = current_stage.clone();
        let sent_by_caller = sent_by_caller.clone();
        async move {
            let mut response = response.await;
            sent_by_caller.reset();
            if *current_stage.borrow() != ShutdownStage::Serving {
                response
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(HEAD_MAX_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    loop {
        let closing = tokio::select! {
            ended = connection.as_mut() => {
                if let Err(error) = ended {
                    log::debug!("caller's connection failed: {error}");
                }
                return;
            }
            changed = stage.changed() => changed.is_err() || *stage.borrow() == ShutdownStage::Closing,
        };
        if closing {
            let ended = tokio::time::timeout(CLOSE_DELAY, connection.as_mut()).await;
            if ended.is_ok() {
                return;
            }
            // A request of which a part has arrived is answered, and the response closes
            // the connection.
            if inbound.is_zero() {
                connection.as_mut().graceful_shutdown();
            }
            if let Err(error) = connection.await {
                log::debug!("caller's connection failed: {error}");
            }
            return;
        }
    }
}

/// Why a request body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// The body did not arrive in time.
    #[error("the body did not arrive in time")]
    TimedOut,
    /// The caller disconnected.
    #[error("the body was interrupted")]
    Interrupted,
    /// There is no memory for the body.
    #[error("there is no memory for the body")]
    NoMemory,
}

impl From<BodyRefused> for BodyError {
    fn from(refused: BodyRefused) -> Self {
        match refused {
            BodyRefused::TooLong => Self::TooLong,
            BodyRefused::NoMemory => Self::NoMemory,
        }
    }
}

/// Reads a request body to its end. Nothing more is read of a body that is refused.
///
/// # Errors
/// The body is too long, late or interrupted, or there is no memory for it.
pub async fn read_body(
    mut body: Incoming,
    mut buffer: BodyBuffer,
    until: Instant,
) -> Result<Bytes, BodyError> {
    buffer.check_announced(body.size_hint().lower())?;
    loop {
        let frame = tokio::select! {
            frame = tokio::time::timeout_at(until, body.frame()) => frame,
            () = buffer.evicted() => return Err(BodyError::NoMemory),
        };
        let Some(frame) = frame.map_err(|_| BodyError::TimedOut)? else {
            return Ok(buffer.finish()?);
        };
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        if let Ok(chunk) = frame.into_data() {
            buffer.push(&chunk).await?;
        }
    }
}
