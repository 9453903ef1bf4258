//! A pool of HTTP connections to endpoints and to the platform's store.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::num::IntErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use http::{Request, Response};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use lentil_handoff::BodyFraming;
use socket2::{SockRef, TcpKeepalive};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::body::BodyInterrupted;
use crate::counted_stream::{CountedStream, InboundCounter};

/// Time that a connection must be idle before reuse. Unsolicited bytes after a
/// response arrive within this time and close the connection.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// Idle timeout if the peer does not state one.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_secs(2);
/// Longest time that a connection is kept idle, whatever timeout its peer states.
const IDLE_TIMEOUT_MAX: Duration = Duration::from_secs(60);
/// Margin below the idle timeout that a peer states.
const IDLE_MARGIN: Duration = Duration::from_millis(1_200);
/// Most idle connections to one peer.
const IDLE_CONNECTIONS_MAX: usize = 24;
/// Connect timeout. Hosts of a region are milliseconds apart, and a lost SYN is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Time without an acknowledgement after which a connection counts as dead.
/// Callers wait about as long for the next event of a stream, and a network
/// partition may end within this time.
const USER_TIMEOUT: Duration = Duration::from_secs(7);
/// Idle time before the first keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered keepalive probes after which a connection counts as dead.
const KEEPALIVE_PROBES_MAX: u32 = 6;

/// Largest head of a response, and largest piece of a body, in bytes. A faulty peer may
/// send a head without end.
const READ_BUFFER_MAX_BYTES: usize = 64 * 1024;
/// Most bytes that are read without a complete head or a piece of a body in between. A
/// head and a full read buffer fit; a chunk size or a list of trailers without end do not.
const WITHOUT_CONTENT_MAX_BYTES: usize = 256 * 1024;

/// Whether a request may use an idle connection, and whether its connection may
/// be reused afterwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// Any idle connection that the peer still keeps open.
    Any,
    /// A new connection, which is closed afterwards. If the peer has dropped an
    /// idle connection or the network is partitioned, it is unknown whether the
    /// request ran, and for a generation this shows only after a long wait for
    /// the first event.
    Never,
}

/// Why there is no response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum PoolError {
    /// Nothing was sent.
    #[error("connecting to {peer}: {reason}")]
    NotSent {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The connection broke after sending; the request may have arrived.
    #[error("connection to {peer} lost: {reason}")]
    ConnectionLost {
        /// The peer.
        peer: SocketAddr,
        /// The cause.
        reason: String,
    },
}

/// The head and the body of a response.
pub struct PoolResponse {
    /// The status and headers.
    pub head: http::response::Parts,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// The body. Dropping it before its end closes the connection.
    pub body: LocalBoxStream<'static, Result<Bytes, BodyInterrupted>>,
}

impl std::fmt::Debug for PoolResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.head.fmt(f)
    }
}

struct Connection {
    sender: SendRequest<Full<Bytes>>,
    inbound: InboundCounter,
    _task: ConnectionTask,
    idle_since: Instant,
    usable_until: Instant,
}

/// The task that drives a connection; aborted on drop.
struct ConnectionTask(JoinHandle<()>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Default)]
struct Shared {
    idle: RefCell<HashMap<SocketAddr, VecDeque<Connection>>>,
}

/// The connections of one thread.
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
    /// Sends a request and waits for the head of the response. Dropping the future
    /// closes the connection.
    ///
    /// # Errors
    /// The peer can't be reached, or the connection broke.
    pub async fn send(
        &self,
        peer: SocketAddr,
        request: Request<Full<Bytes>>,
        reuse: Reuse,
    ) -> Result<PoolResponse, PoolError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(peer, reuse) {
            match self.exchange(peer, connection, request, reuse).await {
                Ok(response) => return Ok(response),
                Err((error, Some(unsent))) => {
                    log::debug!(peer:% = peer; "idle connection was closed: {error}");
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

    /// Closes the idle connections to a peer.
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
        // The connection that has been idle longest is first.
        let oldest = connections.front()?;
        if now.saturating_duration_since(oldest.idle_since) < REUSE_DELAY {
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
        connection.inbound.reset();
        let response = connection.sender.try_send_request(request).await;
        let response = response.map_err(|mut error| {
            let unsent = error.take_message();
            let reason = error.into_error().to_string();
            (PoolError::ConnectionLost { peer, reason }, unsent)
        })?;
        Ok(self.receive(peer, connection, response, reuse))
    }

    fn receive(
        &self,
        peer: SocketAddr,
        connection: Connection,
        response: Response<Incoming>,
        reuse: Reuse,
    ) -> PoolResponse {
        let (head, body) = response.into_parts();
        // Peers limit their connections, so a connection that must not be reused is
        // closed.
        let usable_for = match reuse {
            Reuse::Any => idle_timeout(&head.headers),
            Reuse::Never => None,
        };
        let framing = body_framing(&head.headers, &body);
        let state = Some((body, connection, self.clone()));
        let body = futures_util::stream::unfold(state, move |state| async move {
            let (mut body, connection, pool) = state?;
            loop {
                match body.frame().await {
                    Some(Ok(frame)) => {
                        if let Ok(bytes) = frame.into_data() {
                            connection.inbound.reset();
                            return Some((Ok(bytes), Some((body, connection, pool))));
                        }
                    }
                    Some(Err(error)) => {
                        log::debug!(peer:% = peer; "response body interrupted: {error}");
                        return Some((Err(BodyInterrupted), None));
                    }
                    None => {
                        if let Some(usable_for) = usable_for {
                            pool.return_idle(peer, connection, usable_for);
                        }
                        return None;
                    }
                }
            }
        });
        PoolResponse {
            head,
            framing,
            body: body.boxed_local(),
        }
    }

    fn return_idle(&self, peer: SocketAddr, mut connection: Connection, usable_for: Duration) {
        let now = Instant::now();
        connection.idle_since = now;
        connection.usable_until = now + usable_for;
        let mut idle = self.shared.idle.borrow_mut();
        let connections = idle.entry(peer).or_default();
        if connections.len() < IDLE_CONNECTIONS_MAX {
            connections.push_back(connection);
        }
    }
}

/// Returns how the end of a body is marked. The rules are those of RFC 9112, section 6.3.
fn body_framing(headers: &http::HeaderMap, body: &Incoming) -> BodyFraming {
    let codings = headers.get_all(http::header::TRANSFER_ENCODING);
    let is_delimited = match codings.iter().next_back() {
        Some(last) => last
            .to_str()
            .is_ok_and(|text| text.trim_end().to_ascii_lowercase().ends_with("chunked")),
        None => headers.contains_key(http::header::CONTENT_LENGTH) || body.is_end_stream(),
    };
    if is_delimited {
        BodyFraming::Delimited
    } else {
        BodyFraming::UntilClose
    }
}

/// Returns how long a connection may stay idle after a response with these
/// headers; `None` if it must be closed.
fn idle_timeout(headers: &http::HeaderMap) -> Option<Duration> {
    let text = |name: http::HeaderName| headers.get(name).and_then(|value| value.to_str().ok());
    let closes = text(http::header::CONNECTION)
        .is_some_and(|value| value.to_ascii_lowercase().contains("close"));
    if closes {
        return None;
    }
    let stated = text(http::HeaderName::from_static("keep-alive")).and_then(|value| {
        value
            .split(',')
            .find_map(|part| part.trim().strip_prefix("timeout="))
            .and_then(parse_idle_timeout)
    });
    let usable_for = stated.map_or(IDLE_TIMEOUT_DEFAULT, |stated| {
        stated.saturating_sub(IDLE_MARGIN)
    });
    (!usable_for.is_zero()).then_some(usable_for)
}

/// Parses whole seconds, limited to [`IDLE_TIMEOUT_MAX`]. Returns `None` if the text is
/// not a number.
///
/// A peer may state any number, and adding one that is too large to a point in time
/// panics.
fn parse_idle_timeout(text: &str) -> Option<Duration> {
    let seconds = match text.trim().parse::<u64>() {
        Ok(seconds) => seconds,
        Err(error) if *error.kind() == IntErrorKind::PosOverflow => u64::MAX,
        Err(_) => return None,
    };
    let stated = Duration::from_secs(seconds);
    if stated > IDLE_TIMEOUT_MAX {
        log::debug!(stated_s = seconds; "limited the idle timeout that a peer stated");
    }
    Some(stated.min(IDLE_TIMEOUT_MAX))
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
    enable_keepalive(&stream).map_err(|error| failed(error.to_string()))?;
    let (counted, inbound) = CountedStream::new(stream, WITHOUT_CONTENT_MAX_BYTES);
    let (sender, task) = Builder::new()
        .max_buf_size(READ_BUFFER_MAX_BYTES)
        .handshake(TokioIo::new(counted))
        .await
        .map_err(|error| failed(error.to_string()))?;
    let task = tokio::task::spawn_local(async move {
        if let Err(error) = task.await {
            log::debug!(peer:% = peer; "connection failed: {error}");
        }
    });
    let now = Instant::now();
    Ok(Connection {
        sender,
        inbound,
        _task: ConnectionTask(task),
        idle_since: now,
        usable_until: now,
    })
}

/// Makes a connection fail if its peer stops responding.
pub(crate) fn enable_keepalive(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES_MAX);
    socket.set_tcp_keepalive(&probes)
}
