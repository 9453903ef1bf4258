//! Endpoints of an agent that send bytes without end, in each part of a response.

use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lentil_site::{MODEL, SERVICE};
use serde_json::json;

use crate::daemon_process::{ANONYMOUS_CALLERS, start_pair};
use crate::fake_http::{
    ClientConnection, ConnectionAction, Request, Server, chunk, response_with_length,
};
use crate::gateway_harness::{wait_until, write_response};

/// Number of requests at the same time.
const REQUESTS: usize = 64;
/// Number of them that reach the endpoint at least.
const REACHED_MIN: usize = REQUESTS / 2;
/// Memory of a small host.
const MEMORY_MAX_KB: u64 = 88 * 1024;
/// Bytes that the processes and the network between them take in at most from one answer.
const SENT_MAX_BYTES: usize = 32 * 1024 * 1024;

/// How long a caller repeats a request that was refused.
const ASKING_TIME: Duration = Duration::from_secs(5);

/// What the endpoint sends: a head, and what follows it over and over.
#[derive(Debug, Clone)]
struct Endless {
    head: String,
    piece: Vec<u8>,
}

impl Endless {
    fn new(head: &str, piece: &[u8]) -> Self {
        Self {
            head: head.to_owned(),
            piece: piece.to_vec(),
        }
    }

    /// Answers questions about the load, and sends everybody else bytes without end until the
    /// connection is closed.
    fn respond(&self, request: &Request, stream: &mut TcpStream) -> ConnectionAction {
        if request.target == "/load" {
            let load = json!({"boot": 1, "running": 0}).to_string();
            return write_response(stream, &response_with_length(200, "", load.as_bytes()));
        }
        write_response(stream, self.head.as_bytes());
        let block = self.piece.repeat(16 * 1024 / self.piece.len() + 1);
        for _ in 0..SENT_MAX_BYTES / block.len() {
            if write_response(stream, &block) == ConnectionAction::Close {
                return ConnectionAction::Close;
            }
        }
        // Read without end: the connection stays open, which the test notices.
        std::thread::sleep(Duration::from_secs(60));
        ConnectionAction::Close
    }
}

fn call_head(number: usize) -> String {
    format!("POST /services/{SERVICE}/confirm HTTP/1.1\nHost: x\nIdempotency-Key: key-{number}")
}

fn completion_head(_: usize) -> String {
    "POST /v1/completions HTTP/1.1\nHost: x\nContent-Type: application/json".to_owned()
}

/// Sends a request until the entry knows an endpoint, and returns whether its answer is a
/// complete success.
fn is_served(entry: SocketAddr, head: &str, body: &str) -> bool {
    let until = Instant::now() + ASKING_TIME;
    while Instant::now() < until {
        let mut connection = ClientConnection::open(entry);
        connection.send(head, body);
        let Some(response) = connection.receive() else {
            return false;
        };
        if ![429, 503].contains(&response.status) {
            return response.status == 200 && response.complete;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    false
}

/// Sends many requests at once to an endpoint that sends bytes without end. None of them is
/// served, the endpoint's connections are closed, and agent and entry stay within the memory of
/// their hosts.
fn check(test: &str, kind: &str, endless: Endless) {
    let reached = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&reached);
    let respond = move |request: &Request, stream: &mut TcpStream| {
        count.fetch_add(usize::from(request.target != "/load"), Ordering::SeqCst);
        endless.respond(request, stream)
    };
    let endpoint = Server::start(Arc::new(respond));
    let settings = format!(
        "{kind}, endpoint_url: 'http://{}', slots: {REQUESTS}, cold_slots: {REQUESTS}",
        endpoint.address
    );
    let (entry, agent, _platform) = start_pair(test, ANONYMOUS_CALLERS, &settings);
    let is_engine = kind.contains("engine");
    let body = json!({"model": MODEL, "prompt": "p", "max_tokens": 64, "stream": false});
    std::thread::scope(|scope| {
        for number in 0..REQUESTS {
            let address = entry.address("callers");
            let body = body.to_string();
            scope.spawn(move || {
                let head = if is_engine {
                    completion_head(number)
                } else {
                    call_head(number)
                };
                let is_served = is_served(address, &head, &body);
                assert!(!is_served, "an endless answer looks complete");
            });
        }
    });
    let reached = reached.load(Ordering::SeqCst);
    assert!(
        reached >= REACHED_MIN,
        "{reached} requests reached the endpoint"
    );
    // The agent goes on asking engines for their load.
    wait_until("the endless connections are closed", || {
        endpoint.open_connections() <= usize::from(is_engine)
    });
    for (name, process) in [("agent", &agent), ("entry", &entry)] {
        let peak_kb = process.peak_memory_kb();
        assert!(peak_kb < MEMORY_MAX_KB, "the {name} used {peak_kb} KB");
    }
}

fn check_call(test: &str, endless: Endless) {
    check(test, &format!("kind: service, service: {SERVICE}"), endless);
}

fn check_generation(test: &str, endless: Endless) {
    check(test, &format!("kind: engine, models: [{MODEL}]"), endless);
}

#[test]
fn status_line() {
    let endless = Endless::new("HTTP/1.1 200 O", b"K");
    check_call("agent_endless_status", endless);
}

#[test]
fn interim_answers() {
    let endless = Endless::new("", b"HTTP/1.1 100 Continue\r\n\r\n");
    check_call("agent_endless_interim", endless);
}

#[test]
fn header() {
    let endless = Endless::new("HTTP/1.1 200 OK\r\nX: ", b"x");
    check_call("agent_endless_header", endless);
}

#[test]
fn many_headers() {
    let endless = Endless::new("HTTP/1.1 200 OK\r\n", b"X: y\r\n");
    check_call("agent_endless_headers", endless);
}

#[test]
fn body_without_length() {
    let endless = Endless::new("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", b"x");
    check_call("agent_endless_body", endless);
}

#[test]
fn body_in_chunks() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    check_call(
        "agent_endless_chunks",
        Endless::new(head, &chunk("xxxxxxxx")),
    );
}

#[test]
fn trailer() {
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    check_call("agent_endless_trailer", Endless::new(head, b"X: y\r\n"));
}

const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn event() {
    let head = format!("{CHUNKED_HEAD}6\r\ndata: \r\n");
    check_generation(
        "agent_endless_event",
        Endless::new(&head, &chunk("xxxxxxxx")),
    );
}

#[test]
fn comments() {
    let comment = chunk(": still here\n\n");
    check_generation(
        "agent_endless_comments",
        Endless::new(CHUNKED_HEAD, &comment),
    );
}

#[test]
fn tokens() {
    let token = chunk(&format!(
        "data: {}\n\n",
        json!({"choices": [{"text": "tok"}]})
    ));
    check_generation("agent_endless_tokens", Endless::new(CHUNKED_HEAD, &token));
}
