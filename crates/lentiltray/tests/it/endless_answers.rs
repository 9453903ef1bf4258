//! Endpoints that send bytes without end, in each part of a response.

use std::net::TcpStream;

use crate::fake_http::{ConnectionAction, Request, chunk};
use crate::gateway_harness::{
    Replica, Site, request_head, respond_ok, signature_headers, wait_until, write_response,
};

/// Number of requests at the same time.
const REQUESTS: usize = 64;
/// Bound on the gateway's memory. A small entry host has 88 MB.
const MEMORY_MAX_KB: u64 = 64 * 1024;
/// Bytes that the gateway and the network between them take in at most before the
/// gateway closes the connection.
const SENT_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Sends `head` and then `piece` over and over until the gateway closes the connection.
fn send_without_end(stream: &mut TcpStream, head: &str, piece: &[u8]) -> ConnectionAction {
    write_response(stream, head.as_bytes());
    let block = piece.repeat(16 * 1024 / piece.len() + 1);
    for _ in 0..SENT_MAX_BYTES / block.len() {
        if write_response(stream, &block) == ConnectionAction::Close {
            return ConnectionAction::Close;
        }
    }
    panic!("the gateway reads without end");
}

fn head(request: &Request, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n{}{framing}\r\n",
        signature_headers(request)
    )
}

/// Sends many requests at once to an endpoint that sends bytes without end. Each caller
/// gets a failure or an incomplete response, the endpoint's connections are closed, and
/// the gateway's memory stays bounded and free for other requests.
fn check(
    test: &str,
    route: &str,
    endless: impl Fn(&Request, &mut TcpStream) -> ConnectionAction + Send + Sync + 'static,
) {
    let (service, other_service) = if route == "/report/a" {
        ("writers", "desk")
    } else {
        ("desk", "writers")
    };
    let faulty = Replica::start("i-1", endless);
    let sound = Replica::start("i-2", respond_ok);
    let site = Site::start(test, &[(&faulty, service), (&sound, other_service)]);
    std::thread::scope(|scope| {
        for number in 0..REQUESTS {
            let mut connection = site.connect();
            scope.spawn(move || {
                connection.send(&request_head(route, &format!("r{number}"), ""), "hello");
                let response = connection.receive();
                let served =
                    response.is_some_and(|response| response.status == 200 && response.complete);
                assert!(!served, "an endless response looks complete");
            });
        }
    });
    wait_until("the endless connections are closed", || {
        faulty.open_connections() == 0
    });
    let peak_kb = site.gateway.peak_memory_kb();
    assert!(peak_kb < MEMORY_MAX_KB, "the gateway used {peak_kb} KB");
}

#[test]
fn status_line() {
    check("endless_status", "/confirm/a", |_, stream| {
        send_without_end(stream, "HTTP/1.1 200 O", b"K")
    });
}

#[test]
fn interim_answers() {
    for status in ["100 Continue", "103 Early Hints"] {
        let head = format!("HTTP/1.1 {status}\r\n\r\n");
        check("endless_interim", "/confirm/a", move |_, stream| {
            send_without_end(stream, "", head.as_bytes())
        });
    }
}

#[test]
fn header() {
    check("endless_header", "/confirm/a", |request, stream| {
        let head = format!("HTTP/1.1 200 OK\r\n{}X: ", signature_headers(request));
        send_without_end(stream, &head, b"x")
    });
}

#[test]
fn many_headers() {
    check("endless_headers", "/report/a", |request, stream| {
        let head = format!("HTTP/1.1 200 OK\r\n{}", signature_headers(request));
        send_without_end(stream, &head, b"X: y\r\n")
    });
}

#[test]
fn body_without_length() {
    check("endless_body", "/confirm/a", |request, stream| {
        let head = head(request, "Connection: close\r\n");
        send_without_end(stream, &head, b"x")
    });
}

#[test]
fn body_longer_than_any() {
    check("endless_length", "/lookup/a", |request, stream| {
        let head = head(request, "Content-Length: 99999999999999\r\n");
        send_without_end(stream, &head, b"x")
    });
}

#[test]
fn chunk_size() {
    check("endless_chunk_size", "/confirm/a", |request, stream| {
        let head = head(request, "Transfer-Encoding: chunked\r\n");
        send_without_end(stream, &head, b"0")
    });
}

#[test]
fn trailer() {
    check("endless_trailer", "/confirm/a", |request, stream| {
        let head = head(request, "Transfer-Encoding: chunked\r\n");
        send_without_end(stream, &format!("{head}0\r\n"), b"X: y\r\n")
    });
}

#[test]
fn event() {
    check("endless_event", "/report/a", |request, stream| {
        let head = head(request, "Transfer-Encoding: chunked\r\n");
        let first = String::from_utf8(chunk("id: 0\ndata: 0\n\ndata: ")).unwrap();
        send_without_end(stream, &format!("{head}{first}"), &chunk("xxxxxxxx"))
    });
}

/// Bytes that follow a complete response belong to no request.
#[test]
fn after_response() {
    let faulty = Replica::start("i-1", |request, stream| {
        respond_ok(request, stream);
        send_without_end(stream, "", b"HTTP/1.1 200 OK\r\n")
    });
    let site = Site::start("endless_rest", &[(&faulty, "desk")]);
    for number in 0..8 {
        let response = site.call("/lookup/a", &format!("r{number}"), "").unwrap();
        assert_eq!((response.status, response.body.as_str()), (200, "done"));
    }
    wait_until("the endless connections are closed", || {
        faulty.open_connections() == 0
    });
    assert!(site.gateway.peak_memory_kb() < MEMORY_MAX_KB);
}
