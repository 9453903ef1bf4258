//! Connections of callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HeaderValue};
use http::{Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::LocalFuture;
use crate::body::{Joiner, ResponseBody};
use crate::pool::watch_peer;
use crate::shutdown::ShutdownStage;

/// Longest head of a request, and the size of a connection's read buffer.
const HEAD_MAX_BYTES: usize = 64 * 1024;
/// Pause after a connection could not be accepted, for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers requests.
pub trait Handler {
    /// Answers one request; the future is dropped when its caller leaves.
    fn handle(&self, request: Request<Incoming>) -> LocalFuture<'static, Response<ResponseBody>>;
}

/// What the connections of one listener share.
#[derive(Debug)]
pub struct Connections {
    open: Cell<usize>,
    open_max: usize,
    idle_timeout: Cell<Duration>,
}

impl Connections {
    /// At most `open_max` connections, closed after `idle_timeout` without a
    /// request.
    #[must_use]
    pub const fn new(open_max: usize, idle_timeout: Duration) -> Self {
        Self {
            open: Cell::new(0),
            open_max,
            idle_timeout: Cell::new(idle_timeout),
        }
    }

    /// Connections that are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// Sets the idle time of connections that come from now on.
    pub fn set_idle_timeout(&self, idle_timeout: Duration) {
        self.idle_timeout.set(idle_timeout);
    }
}

/// Counts a connection while it is open.
struct Open(Rc<Connections>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get().saturating_sub(1));
    }
}

/// Accepts connections until the process closes, and waits for their end.
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
            Ok((stream, _)) if connections.open() < connections.open_max => {
                connections.open.set(connections.open() + 1);
                let open = Open(Rc::clone(&connections));
                let idle = connections.idle_timeout.get();
                tasks.spawn_local(converse(
                    stream,
                    Rc::clone(&handler),
                    idle,
                    stage.clone(),
                    open,
                ));
            }
            Ok(_) => {
                log::warn!(open = connections.open(); "a connection beyond the limit is closed");
            }
            Err(error) => {
                log::warn!("a connection was not accepted: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    while tasks.join_next().await.is_some() {}
}

async fn converse(
    stream: TcpStream,
    handler: Rc<dyn Handler>,
    idle: Duration,
    mut stage: watch::Receiver<ShutdownStage>,
    _open: Open,
) {
    if let Err(error) = watch_peer(&stream) {
        log::debug!("a caller left at once: {error}");
        return;
    }
    let seen = stage.clone();
    let service = service_fn(move |request| {
        let answer = handler.handle(request);
        let seen = seen.clone();
        async move {
            let mut answer = answer.await;
            if *seen.borrow() != ShutdownStage::Serving {
                answer
                    .headers_mut()
                    .insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(answer)
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
                    log::debug!("a caller's connection ended: {error}");
                }
                return;
            }
            changed = stage.changed() => changed.is_err() || *stage.borrow() == ShutdownStage::Closing,
        };
        if closing {
            connection.as_mut().graceful_shutdown();
            if let Err(error) = connection.await {
                log::debug!("a caller's connection ended: {error}");
            }
            return;
        }
    }
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It is longer than allowed.
    #[error("the body is longer than allowed")]
    TooLong,
    /// It did not come in time.
    #[error("the body did not come in time")]
    TimedOut,
    /// The caller left.
    #[error("the body broke off")]
    Interrupted,
}

/// Reads a whole body.
///
/// # Errors
/// It is too long, late or broken off.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
    until: Instant,
) -> Result<Bytes, BodyError> {
    let mut whole = Joiner::default();
    loop {
        let frame = tokio::time::timeout_at(until, body.frame())
            .await
            .map_err(|_| BodyError::TimedOut)?;
        let Some(frame) = frame else {
            return Ok(whole.into_bytes());
        };
        let frame = frame.map_err(|_| BodyError::Interrupted)?;
        let Ok(piece) = frame.into_data() else {
            continue;
        };
        if whole.len() + piece.len() > max_bytes {
            return Err(BodyError::TooLong);
        }
        whole.push(piece);
    }
}
