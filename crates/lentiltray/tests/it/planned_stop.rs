//! A gateway that is told to stop answers every request that has reached its host.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::fake_http::{ClientConnection, Request, chunk};
use crate::gateway_harness::{
    Replica, Site, request_head, respond_ok, signature_headers, wait_until, write_response,
};

/// Number of requests in each state.
const REQUESTS: usize = 12;
/// Longer than the time for which a stopping gateway still accepts connections.
const PAUSE: Duration = Duration::from_millis(3_200);

fn full_head(id: &str) -> String {
    let head = request_head("/confirm/a", id, "").replace('\n', "\r\n");
    format!("{head}\r\nContent-Length: 5\r\n\r\n")
}

/// Pauses the gateway while it is stopping, so that it finds all that happens meanwhile
/// at the moment at which it stops accepting connections.
fn stop_and_pause(site: &Site) {
    site.gateway.terminate();
    site.gateway.wait_for_line("gateway is stopping");
    site.gateway.signal("-STOP");
    // On a busy host the signal takes effect later, and a gateway that reads requests before
    // it can't answer them in their time after the pause.
    wait_until("the gateway is paused", || site.gateway.is_paused());
}

fn resume(site: &Site) {
    std::thread::sleep(PAUSE);
    site.gateway.signal("-CONT");
}

fn check_answered(connections: impl IntoIterator<Item = ClientConnection>) {
    for (number, mut connection) in connections.into_iter().enumerate() {
        let response = connection.receive();
        let response = response.unwrap_or_else(|| panic!("request {number} was cut"));
        assert_eq!(response.status, 200);
        assert_eq!(response.header("connection"), Some("close"));
        assert!(connection.receive().is_none());
    }
}

/// Each request ran once.
fn check_ran_once(replica: &Replica, count: usize) {
    let ids: BTreeSet<_> = replica
        .requests()
        .iter()
        .map(|request| request.header("attempt-id").unwrap().to_owned())
        .collect();
    assert_eq!((ids.len(), replica.requests().len()), (count, count));
}

/// The connections wait in the backlog of the listening socket.
#[test]
fn backlog_is_answered() {
    let desk = Replica::start("i-1", respond_ok);
    let mut site = Site::start("stop_backlog", &[(&desk, "desk")]);
    stop_and_pause(&site);
    let connections: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let mut connection = site.connect();
            connection.send_bytes(format!("{}hello", full_head(&format!("r{number}"))).as_bytes());
            connection
        })
        .collect();
    resume(&site);
    check_answered(connections);
    assert_eq!(site.gateway.wait().code(), Some(0));
    check_ran_once(&desk, REQUESTS);
}

/// A part of the head has arrived, on a new connection or on one that was in use before.
#[test]
fn partial_head_is_answered() {
    let desk = Replica::start("i-1", respond_ok);
    let mut site = Site::start("stop_partial_head", &[(&desk, "desk")]);
    let mut connections: Vec<_> = (0..REQUESTS).map(|_| site.connect()).collect();
    let used = REQUESTS / 2;
    for (number, connection) in connections.iter_mut().take(used).enumerate() {
        connection.send_bytes(format!("{}hello", full_head(&format!("u{number}"))).as_bytes());
        assert_eq!(connection.receive().unwrap().status, 200);
    }
    stop_and_pause(&site);
    for (number, connection) in connections.iter_mut().enumerate() {
        let head = full_head(&format!("r{number}"));
        connection.send_bytes(&head.as_bytes()[..40]);
    }
    resume(&site);
    std::thread::sleep(Duration::from_millis(300));
    for (number, connection) in connections.iter_mut().enumerate() {
        let rest = format!("{}hello", full_head(&format!("r{number}")));
        connection.send_bytes(&rest.as_bytes()[40..]);
    }
    check_answered(connections);
    assert_eq!(site.gateway.wait().code(), Some(0));
    check_ran_once(&desk, REQUESTS + used);
}

#[test]
fn partial_body_is_answered() {
    let desk = Replica::start("i-1", respond_ok);
    let mut site = Site::start("stop_partial_body", &[(&desk, "desk")]);
    let mut connections: Vec<_> = (0..REQUESTS).map(|_| site.connect()).collect();
    stop_and_pause(&site);
    for (number, connection) in connections.iter_mut().enumerate() {
        connection.send_bytes(format!("{}hel", full_head(&format!("r{number}"))).as_bytes());
    }
    resume(&site);
    std::thread::sleep(Duration::from_millis(300));
    for connection in &mut connections {
        connection.send_bytes(b"lo");
    }
    check_answered(connections);
    assert_eq!(site.gateway.wait().code(), Some(0));
    check_ran_once(&desk, REQUESTS);
}

/// The requests were sent to an endpoint that is still at work.
#[test]
fn sent_request_is_answered() {
    let desk = Replica::start("i-1", |request, stream| {
        std::thread::sleep(Duration::from_millis(1_500));
        respond_ok(request, stream)
    });
    let mut site = Site::start("stop_sent", &[(&desk, "desk")]);
    let mut connections: Vec<_> = (0..REQUESTS).map(|_| site.connect()).collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        connection.send_bytes(format!("{}hello", full_head(&format!("r{number}"))).as_bytes());
    }
    wait_until("the endpoint has the requests", || {
        desk.requests().len() == REQUESTS
    });
    site.gateway.terminate();
    check_answered(connections);
    assert_eq!(site.gateway.wait().code(), Some(0));
    check_ran_once(&desk, REQUESTS);
}

/// The engine has room for one generation only, so the others wait in the gateway.
#[test]
fn queued_request_is_answered() {
    fn generate(
        request: &Request,
        stream: &mut std::net::TcpStream,
    ) -> crate::fake_http::ConnectionAction {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            signature_headers(request)
        );
        write_response(stream, head.as_bytes());
        std::thread::sleep(Duration::from_millis(250));
        write_response(stream, &chunk("id: 0\ndata: 0\n\n"));
        write_response(stream, b"0\r\n\r\n")
    }
    let engine = Replica::start("i-1", generate);
    let mut site = Site::start("stop_queued", &[(&engine, "writers")]);
    let mut connections: Vec<_> = (0..3).map(|_| site.connect()).collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        let head = request_head("/note/a", &format!("r{number}"), "");
        connection.send(&head.replace("300,40", "20000,40"), "hello");
    }
    wait_until("the engine has a request", || !engine.requests().is_empty());
    site.gateway.terminate();
    for mut connection in connections {
        let response = connection.receive().expect("a request was cut");
        // Those that found no place in time were not run.
        assert!([200, 503].contains(&response.status));
        assert!(response.complete);
    }
    assert_eq!(site.gateway.wait().code(), Some(0));
}

/// Time for which a gateway may run after it was told to stop.
const SHORT_GRACE_MS: u64 = 4_000;

/// A request that comes before the gateway closes its listener, to an endpoint that is not
/// done with it when the grace time ends, still gets an answer.
#[test]
fn late_request_is_answered() {
    let desk = Replica::start("i-1", |_, _| {
        std::thread::sleep(Duration::from_secs(20));
        crate::fake_http::ConnectionAction::Close
    });
    let bounds = format!("grace_ms: {SHORT_GRACE_MS}");
    let mut site = Site::start_bounded("stop_late", &[(&desk, "desk")], 1, &bounds);
    site.gateway.terminate();
    site.gateway.wait_for_line("gateway is stopping");
    std::thread::sleep(Duration::from_millis(1_800));
    let mut connections = ["/confirm/a", "/lookup/a"].map(|target| {
        let mut connection = site.connect();
        let head = request_head(target, target, "");
        connection.send(&head, "hello");
        connection
    });
    for connection in &mut connections {
        let response = connection.receive().expect("the request was cut");
        assert!(response.complete);
        // An endpoint has it, so nothing is promised.
        assert_eq!(response.status, 502);
    }
    assert_eq!(site.gateway.wait().code(), Some(0));
}

/// A request whose end arrives late in the grace time is refused, and does not run, if it
/// can't be expected to end before the gateway does.
#[test]
fn late_end_of_request_is_refused() {
    let desk = Replica::start("i-1", respond_ok);
    let engine = Replica::start("i-2", respond_ok);
    let endpoints = [(&desk, "desk"), (&engine, "writers")];
    let bounds = format!("grace_ms: {SHORT_GRACE_MS}");
    let mut site = Site::start_bounded("stop_late_end", &endpoints, 1, &bounds);
    let mut connections = ["/patient/a", "/report/a"].map(|target| {
        let mut connection = site.connect();
        let head = request_head(target, target, "").replace('\n', "\r\n");
        let head = head.replace("Deadline-Ms: 2500", "Deadline-Ms: 60000");
        connection.send_bytes(format!("{head}\r\nContent-Length: 5\r\n\r\nhel").as_bytes());
        connection
    });
    site.gateway.terminate();
    site.gateway.wait_for_line("gateway is stopping");
    std::thread::sleep(Duration::from_millis(2_700));
    for connection in &mut connections {
        connection.send_bytes(b"lo");
        let response = connection.receive().expect("the request was cut");
        assert_eq!(response.status, 503);
        assert!(response.header("retry-after").is_some());
    }
    assert_eq!(site.gateway.wait().code(), Some(0));
    assert!(engine.requests().is_empty());
}
