//! A request reaches no more endpoints than its route allows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::fake_http::{ConnectionAction, Request, response_with_length};
use crate::gateway_harness::{Replica, Site, request_head, signature_headers, write_response};

/// The limit that endpoints name, in requests per second: the gateway counts on seven others,
/// so that a second request to an endpoint waits for longer than the hedge delay.
const LIMIT_PER_S: &str = "64.0";
/// Begins the ids of requests that endpoints fail.
const FAILING: &str = "fails";
/// Time that an endpoint works on a request.
const WORK_TIME: Duration = Duration::from_millis(30);
/// Requests that are sent at the same time: one to each endpoint.
const BURST: usize = 3;
/// Number of bursts.
const BURSTS: usize = 10;
/// Time between two bursts, in which all capacity returns.
const BURST_INTERVAL: Duration = Duration::from_millis(600);
/// Endpoints that the route of lookups allows.
const ENDPOINTS_MAX: usize = 2;

/// Fails the requests whose id says so.
fn respond(request: &Request, stream: &mut std::net::TcpStream) -> ConnectionAction {
    let Some(id) = request.header("attempt-id") else {
        return write_response(stream, &response_with_length(200, "", b""));
    };
    std::thread::sleep(WORK_TIME);
    let status = if id.starts_with(FAILING) { 500 } else { 200 };
    let headers = format!(
        "{}Server-Limit: {LIMIT_PER_S}\r\n",
        signature_headers(request)
    );
    write_response(stream, &response_with_length(status, &headers, b"done"))
}

/// A lookup ran at three endpoints where two are allowed: its retry waited for capacity, and
/// meanwhile a hedge was granted as well.
#[test]
fn retry_and_hedge_wait_together() {
    let desks = ["i-1", "i-2", "i-3"].map(|name| Replica::start(name, respond));
    let listed = desks.each_ref().map(|desk| (desk, "desk"));
    let site = Site::start_bounded("attempt_limit", &listed, 1, "retry_slack: 500");
    for desk in &desks {
        site.send_until_reached("/lookup/a", desk);
    }
    for burst in 0..BURSTS {
        std::thread::sleep(BURST_INTERVAL);
        let mut connections: Vec<_> = (0..BURST).map(|_| site.connect()).collect();
        for (number, connection) in connections.iter_mut().enumerate() {
            let kind = if number == 0 { FAILING } else { "works" };
            let id = format!("{kind}{burst}-{number}");
            connection.send(&request_head("/lookup/a", &id, ""), "hello");
        }
        for connection in &mut connections {
            connection.receive();
        }
    }
    let mut reached: BTreeMap<String, BTreeSet<&str>> = BTreeMap::new();
    for desk in &desks {
        for request in desk.requests() {
            let id = request.header("attempt-id").unwrap().to_owned();
            // Ids are used once in the bursts only.
            if id.starts_with(FAILING) {
                reached.entry(id).or_default().insert(&desk.name);
            }
        }
    }
    let retried = reached.values().filter(|desks| desks.len() > 1).count();
    assert!(retried > 0, "no request was retried");
    let beyond: Vec<_> = reached
        .iter()
        .filter(|(_, desks)| desks.len() > ENDPOINTS_MAX)
        .collect();
    assert!(beyond.is_empty(), "{beyond:?}");
}
