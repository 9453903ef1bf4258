//! A part of a prompt that crashes every engine that begins to answer it, in requests that
//! have nothing else in common.

use std::net::{Ipv4Addr, TcpStream};
use std::time::Duration;

use serde_json::json;

use crate::daemon_process::DaemonProcess;
use crate::fake_http::{
    ClientConnection, ConnectionAction, ReceivedResponse, Request, chunk, response_with_length,
};
use crate::gateway_harness::{
    Replica, Site, free_port, request_head, signature_headers, start_observer, write_response,
};

/// Number of engines, more than may crash.
const ENGINES: usize = 20;
/// Number of crashes after which the part must be known.
const CRASHES_KNOWN: usize = 5;
/// Number of requests with the part that may reach engines afterwards.
const LATE_REQUESTS_MAX: usize = 3;
/// Time after which all gateways must know of the part.
const EXCHANGE_TIME: Duration = Duration::from_secs(3);
/// The part that crashes engines.
const CRASHING: &str = "e3b295008493";

fn is_crashing(request: &Request) -> bool {
    let parts = request.header("prompt-prefix").unwrap_or("");
    parts.contains(CRASHING)
}

/// An engine that crashes when it begins to answer a request with the part.
fn engine(request: &Request, stream: &mut TcpStream) -> ConnectionAction {
    if request.target == "/v1/report" {
        return write_response(stream, &response_with_length(503, "", b""));
    }
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        signature_headers(request)
    );
    write_response(stream, head.as_bytes());
    if is_crashing(request) {
        std::thread::sleep(Duration::from_millis(30));
        return ConnectionAction::Crash;
    }
    write_response(stream, &chunk("id: 0\ndata: 0\n\n"));
    write_response(stream, b"0\r\n\r\n")
}

fn engines() -> Vec<Replica> {
    let names = (0..ENGINES).map(|number| format!("i-{number}"));
    names.map(|name| Replica::start(&name, engine)).collect()
}

fn listed(engines: &[Replica]) -> Vec<(&Replica, &str)> {
    engines.iter().map(|engine| (engine, "writers")).collect()
}

/// Number of requests with the part that reached engines.
fn reached(engines: &[Replica]) -> usize {
    let requests = engines.iter().flat_map(Replica::requests);
    requests.filter(is_crashing).count()
}

/// Sends a report whose prompt has these shared parts, and a last part and path of its own.
fn send(gateway: &DaemonProcess, number: usize, shared: &str) -> Option<ReceivedResponse> {
    let mut connection = ClientConnection::open(gateway.address("callers"));
    let parts = format!("\nPrompt-Prefix: {shared},{number:x}f00:250");
    let target = format!("/report/{number}");
    connection.send(&request_head(&target, &format!("r{number}"), &parts), "hi");
    connection.receive()
}

fn check_served(gateway: &DaemonProcess, number: usize, shared: &str) {
    let response = send(gateway, number, shared).unwrap();
    assert_eq!(response.status, 200, "{shared}: {}", response.body);
    assert!(response.complete);
}

/// Requests that have nothing but the part in common stop reaching engines. Requests with
/// the same key and the other parts are served.
#[test]
fn crashes_engine_after_engine() {
    let engines = engines();
    let site = Site::start("part_crashes", &listed(&engines));
    let sound = ["7f624e07b580:800,28681a1d7a63:410", "7f624e07b580:800"];
    for number in 0..CRASHES_KNOWN + 2 * LATE_REQUESTS_MAX {
        let shared = format!("{},{CRASHING}:60", sound[0]);
        let response = send(&site.gateway, number, &shared);
        assert!(response.is_some_and(|response| [502, 503].contains(&response.status)));
    }
    assert!(reached(&engines) <= CRASHES_KNOWN + LATE_REQUESTS_MAX);
    // No repeat within the caller's time can help.
    let refused = send(&site.gateway, 99, &format!("{},{CRASHING}:60", sound[0])).unwrap();
    assert_eq!(refused.status, 503);
    let retry_after_s: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    assert!(retry_after_s > 60.0, "{retry_after_s}");
    for number in 100..106 {
        check_served(&site.gateway, number, sound[number % 2]);
    }
}

/// The part is recognised wherever it stands and whatever stands beside it.
#[test]
fn crashes_beside_other_parts() {
    let engines = engines();
    let site = Site::start("part_beside_others", &listed(&engines));
    for number in 0..CRASHES_KNOWN + 2 * LATE_REQUESTS_MAX {
        let shared = match number % 3 {
            0 => format!("a{number}:800,{CRASHING}:60"),
            1 => format!("{CRASHING}:60,b{number}:90"),
            _ => format!("a1:800,{CRASHING}:60,c{number}:90"),
        };
        send(&site.gateway, number, &shared);
    }
    assert!(reached(&engines) <= CRASHES_KNOWN + LATE_REQUESTS_MAX);
    for (number, shared) in [(100, "a1:800"), (101, "a0:800,b1:90"), (102, "c2:90")] {
        check_served(&site.gateway, number, shared);
    }
}

/// A gateway that saw none of the crashes learns of the part in time.
#[test]
fn other_gateways_learn() {
    let port = free_port(Ipv4Addr::LOCALHOST);
    let observed = Replica::start("i-observed", |_, stream| {
        let report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
            "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 34000, "handles": 0,
            "state": "ready", "born": 7});
        write_response(
            stream,
            &response_with_length(200, "", report.to_string().as_bytes()),
        )
    });
    let _observer = start_observer("part_learned", &observed, port, None);
    let engines = engines();
    let site = Site::start_observed("part_learned", &listed(&engines), port);
    let other = site.start_gateway("part_learned_other", port, ENGINES);
    let shared = format!("7f624e07b580:800,{CRASHING}:60");
    for number in 0..CRASHES_KNOWN {
        send(&site.gateway, number, &shared);
    }
    std::thread::sleep(EXCHANGE_TIME);
    let before = reached(&engines);
    for number in 100..100 + 2 * LATE_REQUESTS_MAX {
        send(&other, number, &shared);
    }
    assert!(reached(&engines) - before <= LATE_REQUESTS_MAX);
    check_served(&other, 200, "7f624e07b580:800");
    // So does a gateway that starts afterwards.
    let late = site.start_gateway("part_learned_late", port, ENGINES);
    std::thread::sleep(EXCHANGE_TIME);
    let before = reached(&engines);
    for number in 300..300 + 2 * LATE_REQUESTS_MAX {
        send(&late, number, &shared);
    }
    assert!(reached(&engines) - before <= LATE_REQUESTS_MAX);
}
