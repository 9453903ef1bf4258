//! An endpoint writes an earlier refusal once more where the answer to a later request is
//! expected, although it runs that request.

use std::collections::HashSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde_json::json;

use crate::caller::{Caller, block_on, start_beside};
use crate::fake_http::{ConnectionAction, Framing, Request, Server, response_with_length};
use crate::gateway_harness::{
    Replica, Site, request_head, respond_ok, signature_headers, write_response,
};
use crate::keyed_calls::confirm;

/// Refusals, by status and headers. Each says that the request has not run; one of them
/// does not say which request.
const REFUSALS: [(u16, &str); 4] = [
    (503, "Attempt-Id: first\r\nNot-Executed: 1\r\n"),
    (429, "Attempt-Id: first\r\nNot-Executed: 1\r\n"),
    (421, "Attempt-Id: first\r\nReplica-Id: i-9\r\n"),
    (503, "Not-Executed: 1\r\nRetry-After: 1\r\n"),
];

/// Pause between two requests, in which a connection becomes usable again.
const IDLE_TIME: Duration = Duration::from_millis(8);
/// Most requests that are sent until the endpoint has written a refusal.
const REQUESTS_MAX: usize = 40;

fn refusal(framing: Framing, (status, headers): (u16, &str)) -> Vec<u8> {
    framing.response(status, headers, "full")
}

/// Sends the right answer: for generations, a stream of one event.
fn answer(request: &Request, stream: &mut TcpStream) -> ConnectionAction {
    if request.target.starts_with("/report/") || request.target.starts_with("/note/") {
        let headers = signature_headers(request);
        let body = b"id: 0\ndata: 0\n\n";
        return write_response(stream, &response_with_length(200, &headers, body));
    }
    respond_ok(request, stream)
}

/// When an endpoint writes the refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Moment {
    /// Before the first answer on a connection.
    First,
    /// Before the second answer on a connection.
    Second,
}

/// An endpoint that runs each request and writes an earlier refusal before an answer.
struct StaleReplica {
    replica: Replica,
    refusals: Arc<AtomicUsize>,
}

impl StaleReplica {
    fn start(moment: Moment, framing: Framing, kind: (u16, &'static str)) -> Self {
        let refusals = Arc::new(AtomicUsize::new(0));
        let (written, used) = (Arc::clone(&refusals), Mutex::new(HashSet::new()));
        let replica = Replica::start("i-1", move |request, stream| {
            if request.target == "/v1/report" {
                return write_response(stream, &response_with_length(503, "", b""));
            }
            let is_first = used.lock().unwrap().insert(stream.peer_addr().unwrap());
            if is_first != (moment == Moment::First) {
                return answer(request, stream);
            }
            written.fetch_add(1, Ordering::SeqCst);
            write_response(stream, &refusal(framing, kind));
            match framing {
                Framing::Length | Framing::Chunks => answer(request, stream),
                Framing::Neither => ConnectionAction::Close,
            }
        });
        Self { replica, refusals }
    }
}

/// Sends requests on one connection until the faulty endpoint has written a refusal, and
/// checks each status against the number of endpoints that ran the request.
fn check(path: &str, service: &str, moment: Moment, is_right: impl Fn(u16, usize) -> bool) {
    for framing in Framing::ALL {
        for (number, kind) in REFUSALS.into_iter().enumerate() {
            let stale = StaleReplica::start(moment, framing, kind);
            let sound = Replica::start("i-2", answer);
            let test = format!("stale_{path}_{moment:?}_{framing:?}_{number}");
            let site = Site::start(&test, &[(&stale.replica, service), (&sound, service)]);
            let mut connection = site.connect();
            for number in 0..REQUESTS_MAX {
                if stale.refusals.load(Ordering::SeqCst) > 0 {
                    break;
                }
                let id = format!("r{number}");
                connection.send(&request_head(&format!("/{path}/a"), &id, ""), "");
                let response = connection.receive().unwrap();
                let is_this = |request: &&Request| request.header("attempt-id") == Some(&id);
                let requests = [stale.replica.requests(), sound.requests()].concat();
                let runs = requests.iter().filter(is_this).count();
                let status = response.status;
                assert!(is_right(status, runs), "{test}: {status} after {runs} runs");
                std::thread::sleep(IDLE_TIME);
            }
            assert!(stale.refusals.load(Ordering::SeqCst) > 0, "{test}");
        }
    }
}

/// A request that may run once is neither said not to have run, nor sent again.
#[test]
fn confirmation_is_not_refused() {
    check("confirm", "desk", Moment::First, |status, runs| {
        runs == 1 && (status == 200 || status == 502)
    });
}

#[test]
fn report_is_not_refused() {
    check("report", "writers", Moment::First, |status, runs| {
        runs == 1 && (status == 200 || status == 502)
    });
}

/// A request that may be repeated is answered by the other endpoint.
#[test]
fn note_is_repeated() {
    check("note", "writers", Moment::First, |status, runs| {
        (1..=2).contains(&runs) && status == 200
    });
}

/// Lookups use kept connections, where the refusal comes late.
#[test]
fn lookup_is_repeated() {
    for moment in [Moment::First, Moment::Second] {
        check("lookup", "desk", moment, |status, runs| {
            (1..=2).contains(&runs) && status == 200
        });
    }
}

/// Requests that may run once never share a connection, on which an earlier answer could
/// come late.
#[test]
fn single_runs_share_no_connection() {
    for (path, service) in [
        ("confirm", "desk"),
        ("report", "writers"),
        ("note", "writers"),
    ] {
        let kind = REFUSALS[0];
        let stale = StaleReplica::start(Moment::Second, Framing::Length, kind);
        let site = Site::start(&format!("shared_{path}"), &[(&stale.replica, service)]);
        for number in 0..6 {
            let id = format!("r{number}");
            let status = site.call(&format!("/{path}/a"), &id, "").unwrap().status;
            assert_eq!(status, 200, "{path}");
            std::thread::sleep(IDLE_TIME);
        }
        assert_eq!(stale.refusals.load(Ordering::SeqCst), 0, "{path}");
    }
}

/// The endpoint beside an agent does not name its callers' requests, so a refusal that it
/// repeats on a kept connection was delivered to the next call, which had run.
#[test]
fn call_through_agent_is_not_refused() {
    for framing in [Framing::Length, Framing::Chunks] {
        let used = Mutex::new(HashSet::new());
        let endpoint = Server::start(Arc::new(
            move |request: &Request, stream: &mut TcpStream| {
                let is_first = used.lock().unwrap().insert(stream.peer_addr().unwrap());
                if !is_first {
                    write_response(stream, &refusal(framing, REFUSALS[3]));
                }
                let body = String::from_utf8_lossy(&request.body);
                let answer = json!({ "done": body }).to_string();
                write_response(stream, &response_with_length(200, "", answer.as_bytes()))
            },
        ));
        let (site, agent) = start_beside(endpoint.address);
        let entry = site.entries[0].address();
        block_on(async move {
            let caller = Caller::new().await;
            for number in 0..8 {
                let (key, body) = (format!("pickup-{number}"), format!("bin {number}"));
                let answer = confirm(&caller, entry, &key, &body).await;
                assert_eq!(answer.status, 200, "{framing:?}: {answer:?}");
                assert_eq!(answer.body["done"], json!(body), "{framing:?}");
                tokio::time::sleep(IDLE_TIME).await;
            }
        });
        agent.stop().unwrap();
        site.stop().unwrap();
    }
}
