//! Idle connections that the endpoint has closed without notice or that a network
//! failure has cut off.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use crate::fake_http::{ConnectionAction, Request, response_with_length};
use crate::gateway_harness::{
    Replica, Site, respond_ok, signature_headers, wait_until, write_response,
};

/// Idle time of a connection between two requests.
const IDLE_TIME: Duration = Duration::from_millis(40);

/// How long an endpoint sends nothing on a connection that is cut off.
const SILENT_PERIOD: Duration = Duration::from_secs(5);

/// How the second request on a connection fails.
#[derive(Debug, Clone, Copy)]
enum ReuseFailure {
    /// The endpoint had dropped the idle connection, so the request meets a closed one.
    Reset,
    /// No data arrives any more.
    Silent,
}

/// Starts an endpoint that serves only one request on each connection.
fn single_use_replica(name: &str, failure: ReuseFailure) -> Replica {
    let used_connections: Mutex<HashSet<SocketAddr>> = Mutex::default();
    Replica::start(name, move |request: &Request, stream: &mut TcpStream| {
        if request.target.starts_with("/v1/") {
            return ConnectionAction::Close;
        }
        let peer = stream.peer_addr().unwrap();
        if used_connections.lock().unwrap().insert(peer) {
            return respond(request, stream);
        }
        if matches!(failure, ReuseFailure::Silent) {
            std::thread::sleep(SILENT_PERIOD);
        }
        ConnectionAction::Close
    })
}

/// Sends a complete response; for generations it is a stream of one event.
fn respond(request: &Request, stream: &mut TcpStream) -> ConnectionAction {
    let target = &request.target;
    if target.starts_with("/report/") || target.starts_with("/note/") {
        let body = b"id: 0\ndata: 0\n\n";
        write_response(
            stream,
            &response_with_length(200, &signature_headers(request), body),
        )
    } else {
        respond_ok(request, stream)
    }
}

fn statuses(test: &str, target: &str, service: &str, failure: ReuseFailure) -> Vec<u16> {
    let replica = single_use_replica("i-1", failure);
    let site = Site::start(test, &[(&replica, service)]);
    let call = |number: u32| {
        std::thread::sleep(IDLE_TIME);
        let response = site.call(target, &format!("r{number}"), "").unwrap();
        response.status
    };
    (0..5).map(call).collect()
}

#[test]
fn confirmations_succeed_after_reset() {
    let statuses = statuses("idle_confirm", "/confirm/a", "desk", ReuseFailure::Reset);
    assert_eq!(statuses, [200; 5]);
}

#[test]
fn reports_succeed_after_reset() {
    let statuses = statuses("idle_report", "/report/a", "writers", ReuseFailure::Reset);
    assert_eq!(statuses, [200; 5]);
}

/// A note may be sent again, but its caller would have to wait until the gateway
/// detects the silent connection.
#[test]
fn notes_succeed_after_silence() {
    let statuses = statuses("idle_note", "/note/a", "writers", ReuseFailure::Silent);
    assert_eq!(statuses, [200; 5]);
}

/// Each endpoint has a connection limit that all gateways share, so a gateway closes
/// connections that it no longer needs.
#[test]
fn gateway_closes_idle_connections() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start("idle_closed", &[(&replica, "desk")]);
    for number in 0..5 {
        let response = site.call("/confirm/a", &format!("r{number}"), "").unwrap();
        assert_eq!(response.status, 200);
    }
    wait_until("the connections are closed", || {
        replica.open_connections() == 0
    });
}
