//! Endpoints that turn requests away and name a time in which they want none.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use crate::caller::{Caller, block_on, start_beside};
use crate::fake_http::{ConnectionAction, Framing, Request, Server};
use crate::gateway_harness::{
    Replica, Site, request_head, respond_ok, service_of, signature_headers, wait_until,
    write_response,
};
use crate::keyed_calls::{confirm, confirm_once};

/// Number of requests sent after an endpoint has asked for none.
const REQUESTS: usize = 20;
/// Longer than any of the tests takes.
const LONG_S: f64 = 600.0;

/// What a refusal proves about its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Proof {
    NotRun,
    Signed,
    Nothing,
}

impl Proof {
    fn headers(self, request: &Request) -> String {
        let id = request.header("attempt-id").unwrap_or("");
        match self {
            Self::NotRun => format!("Attempt-Id: {id}\r\nNot-Executed: 1\r\n"),
            Self::Signed => signature_headers(request),
            Self::Nothing => format!("Attempt-Id: {id}\r\n"),
        }
    }
}

fn refuse(
    proof: Proof,
    framing: Framing,
    retry_after: &str,
    request: &Request,
    stream: &mut TcpStream,
) -> ConnectionAction {
    let headers = format!("{}Retry-After: {retry_after}\r\n", proof.headers(request));
    write_response(stream, &framing.response(503, &headers, "busy"));
    match framing {
        Framing::Neither => ConnectionAction::Close,
        Framing::Length | Framing::Chunks => ConnectionAction::KeepOpen,
    }
}

/// An endpoint that turns requests away while `resting` is set.
struct RestingReplica {
    replica: Replica,
    resting: Arc<AtomicBool>,
}

impl RestingReplica {
    fn start(proof: Proof, framing: Framing, retry_after: &str) -> Self {
        let resting = Arc::new(AtomicBool::new(true));
        let flag = Arc::clone(&resting);
        let retry_after = retry_after.to_owned();
        let replica = Replica::start("i-1", move |request, stream| {
            if request.target != "/v1/report" && flag.load(Ordering::SeqCst) {
                return refuse(proof, framing, &retry_after, request, stream);
            }
            serve(request, stream)
        });
        Self { replica, resting }
    }

    fn for_long() -> Self {
        Self::start(Proof::NotRun, Framing::Length, &LONG_S.to_string())
    }

    fn received(&self) -> usize {
        self.replica.requests().len()
    }
}

fn serve(request: &Request, stream: &mut TcpStream) -> ConnectionAction {
    if request.target == "/v1/report" {
        return write_response(stream, &Framing::Length.response(503, "", ""));
    }
    let body = "id: 0\ndata: a\n\n";
    let headers = signature_headers(request);
    write_response(stream, &Framing::Length.response(200, &headers, body))
}

fn check_rests(test: &str, proof: Proof, framing: Framing, target: &str) {
    let resting = RestingReplica::start(proof, framing, &LONG_S.to_string());
    let other = Replica::start("i-2", serve);
    let service = service_of(target);
    let site = Site::start(test, &[(&resting.replica, service), (&other, service)]);
    site.send_until_reached(target, &resting.replica);
    let sent = resting.received();
    for number in 0..REQUESTS {
        let id = format!("later{number}");
        assert_eq!(site.call(target, &id, "").unwrap().status, 200, "{target}");
    }
    assert_eq!(resting.received(), sent, "{proof:?} {framing:?} {target}");
}

/// An endpoint that wants no requests gets none, whatever its refusal looks like.
#[test]
fn resting_endpoint_gets_calls() {
    for proof in [Proof::NotRun, Proof::Signed, Proof::Nothing] {
        for target in ["/lookup/a", "/confirm/a"] {
            check_rests("rest_calls", proof, Framing::Length, target);
        }
    }
    for framing in Framing::ALL {
        check_rests("rest_calls", Proof::NotRun, framing, "/confirm/a");
    }
}

#[test]
fn resting_endpoint_gets_streams() {
    for proof in [Proof::NotRun, Proof::Signed, Proof::Nothing] {
        check_rests("rest_streams", proof, Framing::Length, "/note/a");
    }
    for framing in Framing::ALL {
        check_rests("rest_streams", Proof::NotRun, framing, "/report/a");
    }
}

/// Requests that were under way when the endpoint asked for rest are not followed by others.
#[test]
fn refusals_of_concurrent_requests() {
    let refused = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&refused);
    let resting = Replica::start("i-1", move |request, stream| {
        count.fetch_add(1, Ordering::SeqCst);
        std::thread::sleep(Duration::from_millis(50));
        refuse(Proof::NotRun, Framing::Length, "600", request, stream)
    });
    let other = Replica::start("i-2", serve);
    let site = Site::start("rest_concurrent", &[(&resting, "desk"), (&other, "desk")]);
    std::thread::scope(|scope| {
        for number in 0..REQUESTS {
            let mut connection = site.connect();
            scope.spawn(move || {
                let head = request_head("/confirm/a", &format!("first{number}"), "");
                connection.send(&head, "hello");
                connection.receive()
            });
        }
    });
    let sent = refused.load(Ordering::SeqCst);
    assert!(sent > 0);
    for number in 0..REQUESTS {
        let response = site.call("/confirm/a", &format!("later{number}"), "");
        assert_eq!(response.unwrap().status, 200);
    }
    assert_eq!(refused.load(Ordering::SeqCst), sent);
}

/// When the only endpoint wants no requests, callers are refused at once, without a run, and
/// told when to come back.
#[test]
fn only_endpoint_rests() {
    for target in ["/lookup/a", "/confirm/a", "/report/a"] {
        let resting = RestingReplica::for_long();
        let site = Site::start("rest_only", &[(&resting.replica, service_of(target))]);
        for number in 0..REQUESTS {
            let response = site.call(target, &format!("r{number}"), "").unwrap();
            assert_eq!(response.status, 503, "{target}");
            let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
            assert!(retry_after > LONG_S / 2.0, "{target}: {retry_after} s");
        }
        assert_eq!(resting.received(), 1);
    }
}

/// The endpoint gets requests again when the time is over.
#[test]
fn rested_endpoint_returns() {
    let resting = RestingReplica::start(Proof::NotRun, Framing::Length, "0.5");
    let other = Replica::start("i-2", serve);
    let endpoints = [(&resting.replica, "desk"), (&other, "desk")];
    let site = Site::start("rest_over", &endpoints);
    site.send_until_reached("/confirm/a", &resting.replica);
    resting.resting.store(false, Ordering::SeqCst);
    let sent = resting.received();
    let mut number = 0;
    wait_until("the endpoint gets its part again", || {
        number += 1;
        site.call("/confirm/a", &format!("again{number}"), "");
        resting.received() > sent + REQUESTS
    });
}

/// Spoiled values end no process. Those that name no time are ignored, those that are too
/// long are limited.
#[test]
fn spoiled_retry_after() {
    for (value, is_time) in [
        ("-1", false),
        ("NaN", false),
        ("soon", false),
        ("", false),
        ("Fri, 31 Dec 2032 23:59:59 GMT", false),
        ("1e300", true),
        ("inf", true),
        ("99999999999999999999999999", true),
    ] {
        let resting = RestingReplica::start(Proof::NotRun, Framing::Length, value);
        let site = Site::start("rest_spoiled", &[(&resting.replica, "desk")]);
        let mut connection = site.connect();
        connection.send(&request_head("/confirm/a", "first", ""), "hello");
        assert_eq!(connection.receive().unwrap().status, 503);
        resting.resting.store(false, Ordering::SeqCst);
        let status = site.call("/confirm/a", "later", "").unwrap().status;
        assert_eq!(status == 503, is_time, "{value}");
        assert_eq!(site.readiness(), 200);
    }
}

/// A refusal with another status, or of another request, names no time.
#[test]
fn retry_after_without_meaning() {
    let requests = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&requests);
    let endpoint = Replica::start("i-1", move |request, stream| {
        let signature = signature_headers(request);
        let (status, headers) = match count.fetch_add(1, Ordering::SeqCst) {
            0 => (200, format!("{signature}Retry-After: 600\r\n")),
            1 => (500, format!("{signature}Retry-After: 600\r\n")),
            2 => (
                503,
                "Attempt-Id: other\r\nNot-Executed: 1\r\nRetry-After: 600\r\n".to_owned(),
            ),
            _ => return respond_ok(request, stream),
        };
        write_response(stream, &Framing::Length.response(status, &headers, "x"))
    });
    let site = Site::start("rest_no_meaning", &[(&endpoint, "desk")]);
    let statuses: Vec<_> = (0..6)
        .map(|number| {
            site.call("/confirm/a", &format!("r{number}"), "")
                .unwrap()
                .status
        })
        .collect();
    assert_eq!(statuses, [200, 500, 502, 200, 200, 200]);
}

/// A request that waits for a place is refused as soon as its only endpoint asks for rest.
#[test]
fn waiting_request_is_refused() {
    let resting = Replica::start("i-1", |request, stream| {
        if request.target == "/v1/report" {
            return write_response(stream, &Framing::Length.response(503, "", ""));
        }
        std::thread::sleep(Duration::from_millis(300));
        refuse(Proof::NotRun, Framing::Length, "600", request, stream)
    });
    let site = Site::start("rest_waiting", &[(&resting, "writers")]);
    let mut connections: Vec<_> = (0..3).map(|_| site.connect()).collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        // The engine's memory has room for one of them.
        let head = request_head("/patient/a", &format!("r{number}"), "");
        let head = head.replace("300,40", "20000,40");
        connection.send(
            &head.replace("Deadline-Ms: 2500", "Deadline-Ms: 60000"),
            "hello",
        );
    }
    for mut connection in connections {
        let response = connection
            .receive()
            .expect("an answer before the wait ends");
        assert_eq!(response.status, 503);
        let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
        assert!(retry_after > LONG_S / 2.0, "{retry_after} s");
    }
    assert_eq!(resting.requests().len(), 1);
}

/// The endpoint beside an agent wants no calls for a while, and gets none.
#[test]
fn endpoint_beside_agent_rests() {
    let received = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&received);
    let endpoint = Server::start(Arc::new(move |_: &Request, stream: &mut TcpStream| {
        count.fetch_add(1, Ordering::SeqCst);
        write_response(
            stream,
            &Framing::Length.response(503, "Retry-After: 600\r\n", "{}"),
        )
    }));
    let (site, agent) = start_beside(endpoint.address);
    let entry = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        let first = confirm(&caller, entry, "pickup-first", "bin").await;
        assert_eq!(first.status, 503, "{first:?}");
        for number in 0..REQUESTS {
            let key = format!("pickup-{number}");
            let answer = confirm_once(&caller, entry, &key, "bin").await;
            assert_eq!(answer.body["outcome"], "not_run", "{answer:?}");
        }
    });
    assert_eq!(received.load(Ordering::SeqCst), 1);
    agent.stop().unwrap();
    site.stop().unwrap();
}
