//! Connections to endpoints and to the platform's store.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::body::BodyInterrupted;

/// Rest before a connection is used again: bytes that follow an answer
/// unasked arrive within it and close the connection.
const REST: Duration = Duration::from_millis(5);
/// How long a connection may idle where its peer names no time.
const IDLE: Duration = Duration::from_secs(2);
/// Margin below the idle time that a peer names.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Idle connections kept to one peer.
const IDLE_MAX: usize = 24;
/// Longest wait for a connection: hosts of a region are milliseconds apart, and
/// a lost opening packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time without an acknowledgement after which a connection is dead. Callers
/// wait for the next event of a stream about as long, and a cut may heal.
const USER_TIMEOUT: Duration = Duration::from_secs(7);
/// Idle time before a connection is probed, and the pause between probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const PROBES_MAX: u32 = 6;

/// Whether an idle connection may carry a request, and its connection others
/// after it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any that its peer still keeps.
    Any,
    /// None. On a connection that its peer has dropped, or whose way is cut,
    /// nobody can tell whether a request ran, and a generation waits long for
    /// its first event before that shows.
    Never,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PoolError {
    /// Nothing was sent.
    #[error("connecting to {peer}: {reason}")]
    NotSent {
        /// The peer.
        peer: SocketAddr,
        /// What happened.
        reason: String,
    },
    /// The request may have arrived.
    #[error("waiting for {peer}: {reason}")]
    ConnectionLost {
        /// The peer.
        peer: SocketAddr,
        /// What happened.
        reason: String,
    },
}

/// The head of an answer and its body.
pub struct PoolResponse {
    /// The head.
    pub head: http::response::Parts,
    /// The body; dropping it before its end closes the connection.
    pub body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>,
}

impl std::fmt::Debug for PoolResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.head.fmt(f)
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    _driver: Driver,
    idle_since: Instant,
    usable_until: Instant,
}

/// Ends the connection when it is dropped.
struct Driver(JoinHandle<()>);

impl Drop for Driver {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Default)]
struct Shared {
    idle: RefCell<HashMap<SocketAddr, VecDeque<Connection>>>,
}

/// Connections of one thread.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    shared: Rc<Shared>,
}

impl std::fmt::Debug for ConnectionPool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Pool(..)")
    }
}

impl ConnectionPool {
    /// Sends a request and waits for the head of its answer. Dropping the
    /// future closes the connection.
    ///
    /// # Errors
    /// There is no connection, or it broke.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<PoolResponse, PoolError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(peer, reuse) {
            match self.exchange(peer, connection, request, reuse).await {
                Ok(taken) => return Ok(taken),
                Err((error, Some(unsent))) => {
                    log::debug!(peer:% = peer; "an idle connection was closed: {error}");
                    request = unsent;
                }
                Err((error, None)) => return Err(error),
            }
        }
        let connection = connect(peer).await.inspect_err(|_| self.close_idle(peer))?;
        self.exchange(peer, connection, request, reuse)
            .await
            .map_err(|(error, unsent)| match (error, unsent) {
                (PoolError::ConnectionLost { peer, reason }, Some(_)) => {
                    PoolError::NotSent { peer, reason }
                }
                (error, _) => error,
            })
    }

    /// Closes idle connections to a peer.
    pub fn close_idle(&self, peer: SocketAddr) {
        self.shared.idle.borrow_mut().remove(&peer);
    }

    fn take_idle(&self, peer: SocketAddr, reuse: Reuse) -> Option<Connection> {
        if reuse == Reuse::Never {
            return None;
        }
        let mut idle = self.shared.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        let now = Instant::now();
        connections
            .retain(|connection| connection.usable_until > now && connection.sender.is_ready());
        // The longest rested one is first.
        let first = connections.front()?;
        if now.saturating_duration_since(first.idle_since) < REST {
            return None;
        }
        connections.pop_front()
    }

    async fn exchange(
        &self,
        peer: SocketAddr,
        mut connection: Connection,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<PoolResponse, (PoolError, Option<Request<Full<Bytes>>>)> {
        let answer = connection.sender.try_send_request(request).await;
        let answer = answer.map_err(|mut error| {
            let unsent = error.take_message();
            let reason = error.into_error().to_string();
            (PoolError::ConnectionLost { peer, reason }, unsent)
        })?;
        Ok(self.receive(peer, connection, answer, reuse))
    }

    fn receive(
        &self,
        peer: SocketAddr,
        connection: Connection,
        answer: Response<Incoming>,
        reuse: Reuse,
    ) -> PoolResponse {
        let (head, body) = answer.into_parts();
        // Peers bear a number of connections; one that nobody would choose
        // among the idle ones is closed.
        let keep = match reuse {
            Reuse::Any => keep_for(&head.headers),
            Reuse::Never => None,
        };
        let state = Some((body, connection, self.clone()));
        let body = futures_util::stream::unfold(state, move |state| async move {
            let (mut body, connection, pool) = state?;
            loop {
                match body.frame().await {
                    Some(Ok(frame)) => {
                        if let Ok(bytes) = frame.into_data() {
                            return Some((Ok(bytes), Some((body, connection, pool))));
                        }
                    }
                    Some(Err(error)) => {
                        log::debug!(peer:% = peer; "an answer broke off: {error}");
                        return Some((Err(BodyInterrupted), None));
                    }
                    None => {
                        if let Some(keep) = keep {
                            pool.keep(peer, connection, keep);
                        }
                        return None;
                    }
                }
            }
        });
        PoolResponse {
            head,
            body: body.boxed_local(),
        }
    }

    fn keep(&self, peer: SocketAddr, mut connection: Connection, keep: Duration) {
        let now = Instant::now();
        connection.idle_since = now;
        connection.usable_until = now + keep;
        let mut idle = self.shared.idle.borrow_mut();
        let connections = idle.entry(peer).or_default();
        if connections.len() < IDLE_MAX {
            connections.push_back(connection);
        }
    }
}

/// How long a connection may idle after this answer; `None` closes it.
fn keep_for(headers: &http::HeaderMap) -> Option<Duration> {
    let text = |name: http::HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(http::header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let named = text(http::HeaderName::from_static("keep-alive")).and_then(|value| {
        value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))
            .and_then(|seconds| seconds.trim().parse().ok())
    });
    let keep = named.map_or(IDLE, |seconds| {
        Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN)
    });
    (!keep.is_zero()).then_some(keep)
}

async fn connect(peer: SocketAddr) -> Result<Connection, PoolError> {
    let failed = |reason: String| PoolError::NotSent { peer, reason };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
        .await
        .map_err(|_| {
            failed(format!(
                "no connection within {} ms",
                CONNECT_TIMEOUT.as_millis()
            ))
        })?
        .map_err(|error| failed(error.to_string()))?;
    watch_peer(&stream).map_err(|error| failed(error.to_string()))?;
    let (sender, driver) = Builder::new()
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    let driver = tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!(peer:% = peer; "a connection ended: {error}");
        }
    });
    let now = Instant::now();
    Ok(Connection {
        sender,
        _driver: Driver(driver),
        idle_since: now,
        usable_until: now,
    })
}

/// Makes a connection fail whose peer has gone silent.
pub(crate) fn watch_peer(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PAUSE)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES_MAX);
    socket.set_tcp_keepalive(&probes)
}
