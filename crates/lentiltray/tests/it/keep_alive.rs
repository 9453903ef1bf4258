//! Idle timeouts that peers state in `Keep-Alive`.

use std::time::Duration;

use serde_json::json;

use crate::fake_http::{ConnectionAction, Request, chunk, response_with_length};
use crate::gateway_harness::{
    Replica, Site, free_port, request_head, signature_headers, start_observer, wait_until,
    write_response,
};

/// Idle time of a connection between two requests, so that it may be used again.
const IDLE_TIME: Duration = Duration::from_millis(20);

/// Numbers of seconds that no clock can add, and texts that are no number.
const SPOILED_TIMEOUTS: [&str; 7] = [
    "9223372036854775807",
    "9999999999999999999",
    "18446744073709551615",
    "184467440737095516150",
    "-1",
    "1e30",
    "",
];

/// Responds with a body of known length or in chunks, as the path asks.
fn respond(request: &Request, stream: &mut std::net::TcpStream) -> ConnectionAction {
    let mut parts = request.target.split('/').skip(2);
    let (framing, timeout) = (parts.next().unwrap(), parts.next().unwrap());
    let headers = format!(
        "{}Keep-Alive: timeout={timeout}\r\n",
        signature_headers(request)
    );
    if framing == "length" {
        return write_response(stream, &response_with_length(200, &headers, b"done"));
    }
    let head = format!("HTTP/1.1 200 X\r\n{headers}Transfer-Encoding: chunked\r\n\r\n");
    let body = [chunk("done"), b"0\r\n\r\n".to_vec()].concat();
    write_response(stream, &[head.into_bytes(), body].concat())
}

/// One answer of an endpoint with a timeout beyond any clock ended the gateway, and with
/// it the connections of all callers.
#[test]
fn spoiled_timeout_of_endpoint() {
    let replica = Replica::start("i-1", respond);
    let site = Site::start("spoiled_timeout", &[(&replica, "desk")]);
    let mut connection = site.connect();
    for framing in ["length", "chunks"] {
        for timeout in SPOILED_TIMEOUTS {
            let target = format!("/lookup/{framing}/{timeout}");
            connection.send(&request_head(&target, "r1", ""), "hello");
            let response = connection.receive();
            let response = response.unwrap_or_else(|| panic!("{target}: no answer"));
            assert_eq!(
                (response.status, response.body.as_str()),
                (200, "done"),
                "{target}"
            );
            std::thread::sleep(IDLE_TIME);
        }
    }
    assert_eq!(site.readiness(), 200);
}

/// A connection is used again after a timeout that is longer than the gateway keeps any.
#[test]
fn long_timeout_allows_reuse() {
    let replica = Replica::start("i-1", respond);
    let site = Site::start("long_timeout", &[(&replica, "desk")]);
    for timeout in ["5", "3600", "9999999999999999999"] {
        let target = format!("/lookup/length/{timeout}");
        assert_eq!(site.call(&target, "r1", "").unwrap().status, 200);
        std::thread::sleep(IDLE_TIME);
        assert_eq!(replica.open_connections(), 1, "{timeout}");
    }
}

/// An engine's report with such a timeout does not end the observer beside it.
#[test]
fn spoiled_timeout_of_engine() {
    let engine = Replica::start("i-1", |request, stream| {
        if request.target != "/v1/report" {
            return ConnectionAction::Close;
        }
        let report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
            "waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 34000, "handles": 0});
        let headers = "Keep-Alive: timeout=9223372036854775807\r\n";
        let body = report.to_string();
        write_response(stream, &response_with_length(200, headers, body.as_bytes()))
    });
    let port = free_port(std::net::Ipv4Addr::LOCALHOST);
    let observer = start_observer("spoiled_report", &engine, port, None);
    wait_until("the engine is asked again", || engine.report_count() > 2);
    assert_eq!(observer.stop(), Some(0));
}
