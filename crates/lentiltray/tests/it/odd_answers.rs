//! Endpoints that decline requests, break off responses or send invalid ones.

use std::time::Duration;

use crate::fake_http::{ConnectionAction, ReceivedResponse, Request, chunk, response_with_length};
use crate::gateway_harness::{
    Replica, Site, request_head, respond_ok, signature_headers, wait_until, write_response,
};

fn decline(request: &Request, stream: &mut std::net::TcpStream) -> ConnectionAction {
    let headers = format!("{}Not-Executed: 1\r\n", signature_headers(request));
    write_response(stream, &response_with_length(503, &headers, b""))
}

#[test]
fn declined_request_is_retried_elsewhere() {
    let (declining, free) = (
        Replica::start("i-1", decline),
        Replica::start("i-2", respond_ok),
    );
    let site = Site::start("declined", &[(&declining, "desk"), (&free, "desk")]);
    for number in 0..6 {
        let id = format!("r{number}");
        assert_eq!(site.call("/confirm/a", &id, "").unwrap().status, 200);
    }
    assert_eq!(free.requests().len(), 6);
}

/// When every endpoint declines, the caller gets a 503 with Retry-After: the request
/// has not run.
#[test]
fn declined_by_all_endpoints() {
    let declining = Replica::start("i-1", decline);
    let site = Site::start("all_declined", &[(&declining, "desk")]);
    let response = site.call("/confirm/a", "r1", "").unwrap();
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

/// A closed connection leaves open whether the request ran, so it is not retried and
/// the caller is not told that it did not run.
#[test]
fn closed_connection_is_not_retried() {
    let closing = Replica::start("i-1", |_, _| ConnectionAction::Close);
    let other = Replica::start("i-2", respond_ok);
    let site = Site::start("closed", &[(&closing, "desk"), (&other, "desk")]);
    let mut statuses = Vec::new();
    for number in 0..8 {
        let id = format!("r{number}");
        statuses.push(site.call("/confirm/a", &id, "").unwrap().status);
    }
    assert!(statuses.iter().all(|status| [200, 502].contains(status)));
    assert!(statuses.contains(&502), "{statuses:?}");
    let mut ids: Vec<_> = [closing.requests(), other.requests()]
        .concat()
        .iter()
        .map(|request| request.header("attempt-id").unwrap().to_owned())
        .collect();
    ids.sort();
    let sent = ids.len();
    ids.dedup();
    assert_eq!(ids.len(), sent, "a request was sent twice");
}

#[test]
fn idempotent_lookup_is_retried() {
    let closing = Replica::start("i-1", |_, _| ConnectionAction::Close);
    let other = Replica::start("i-2", respond_ok);
    let site = Site::start("lookup_repeated", &[(&closing, "desk"), (&other, "desk")]);
    for number in 0..4 {
        let id = format!("r{number}");
        assert_eq!(site.call("/lookup/a", &id, "").unwrap().status, 200);
    }
}

/// When a failed lookup can't be sent to a second endpoint, the caller gets the answer of
/// the first one.
#[test]
fn failed_answer_is_delivered() {
    let failing = Replica::start("i-1", |request, stream| {
        let headers = signature_headers(request);
        write_response(stream, &response_with_length(500, &headers, b"no"))
    });
    let site = Site::start("failed_delivered", &[(&failing, "desk")]);
    let response = site.call("/lookup/a", "r1", "").unwrap();
    assert_eq!((response.status, response.body.as_str()), (500, "no"));
    assert_eq!(failing.requests().len(), 1);
}

/// A lookup at a silent endpoint is sent to a second one instead of waiting until the
/// deadline.
#[test]
fn silent_endpoint_is_hedged() {
    let silent = Replica::start("i-1", |_, _| {
        std::thread::sleep(Duration::from_secs(8));
        ConnectionAction::Close
    });
    let other = Replica::start("i-2", respond_ok);
    let site = Site::start("hedged", &[(&silent, "desk"), (&other, "desk")]);
    for number in 0..4 {
        let id = format!("r{number}");
        assert_eq!(site.call("/lookup/a", &id, "").unwrap().status, 200);
    }
}

/// A failure at the first endpoint does not end the request while the second one is
/// still working on it.
#[test]
fn hedged_request_survives_failure() {
    let failing = Replica::start("i-1", |request, stream| {
        std::thread::sleep(Duration::from_millis(200));
        write_response(
            stream,
            &response_with_length(500, &signature_headers(request), b"no"),
        )
    });
    let slow = Replica::start("i-2", |request, stream| {
        std::thread::sleep(Duration::from_millis(400));
        respond_ok(request, stream)
    });
    let site = Site::start("hedge_failure", &[(&failing, "desk"), (&slow, "desk")]);
    for number in 0..3 {
        let id = format!("r{number}");
        assert_eq!(site.call("/lookup/a", &id, "").unwrap().status, 200);
    }
}

/// If one endpoint declines while the other may still run the request, the caller is
/// not told that it did not run.
#[test]
fn decline_during_hedge_is_not_final() {
    let declining = Replica::start("i-1", |request, stream| {
        std::thread::sleep(Duration::from_millis(300));
        decline(request, stream)
    });
    let silent = Replica::start("i-2", |_, _| {
        std::thread::sleep(Duration::from_secs(8));
        ConnectionAction::Close
    });
    let site = Site::start("hedge_decline", &[(&declining, "desk"), (&silent, "desk")]);
    for number in 0..2 {
        let id = format!("r{number}");
        assert_eq!(site.call("/lookup/a", &id, "").unwrap().status, 504);
    }
}

/// A second response to one request is discarded, even if it arrives where the
/// response to the next request is expected.
#[test]
fn extra_response_is_discarded() {
    let extra = Replica::start("i-1", |request, stream| {
        let response_bytes =
            response_with_length(200, &signature_headers(request), request.target.as_bytes());
        let action = write_response(
            stream,
            &[response_bytes.clone(), response_bytes.clone()].concat(),
        );
        std::thread::sleep(Duration::from_millis(20));
        write_response(stream, &response_bytes);
        action
    });
    let site = Site::start("extra_response", &[(&extra, "desk")]);
    let mut connection = site.connect();
    for number in 0..20 {
        let (target, id) = (format!("/lookup/{number}"), format!("r{number}"));
        connection.send(&request_head(&target, &id, ""), "");
        let response = connection.receive().unwrap();
        if response.status == 200 {
            assert_eq!(response.body, target);
            assert_eq!(response.header("attempt-id"), Some(id.as_str()));
        }
    }
}

/// A response with another request's Attempt-Id and one without a signature are both
/// rejected.
#[test]
fn mismatched_response() {
    let mismatched = Replica::start("i-1", |request, stream| {
        let headers = match request.target.as_str() {
            "/confirm/crossed" => "Attempt-Id: other\r\nResponse-Signature: s\r\n".to_owned(),
            _ => format!("Attempt-Id: {}\r\n", request.header("attempt-id").unwrap()),
        };
        write_response(stream, &response_with_length(200, &headers, b"secret"))
    });
    let site = Site::start("mismatched", &[(&mismatched, "desk")]);
    for target in ["/confirm/crossed", "/confirm/unsigned"] {
        let response = site.call(target, "r1", "").unwrap();
        assert_eq!(response.status, 502, "{target}");
        assert!(!response.body.contains("secret"));
    }
}

/// A response without a length ends when its connection closes.
#[test]
fn response_without_length() {
    let replica = Replica::start("i-1", |request, stream| {
        let response_head = format!(
            "HTTP/1.1 200 OK\r\n{}\r\nall of it",
            signature_headers(request)
        );
        write_response(stream, response_head.as_bytes());
        ConnectionAction::Close
    });
    let site = Site::start("no_length", &[(&replica, "desk")]);
    let response = site.call("/confirm/a", "r1", "").unwrap();
    assert_eq!(
        (response.status, response.body.as_str()),
        (200, "all of it")
    );
    assert!(response.complete);
}

/// Starts an engine whose streams have neither a length nor chunks, and returns what the
/// caller of a report gets.
fn report_without_length(test: &str, body: &'static str) -> ReceivedResponse {
    let engine = Replica::start("i-1", move |request, stream| {
        let response_head = format!("HTTP/1.1 200 OK\r\n{}\r\n", signature_headers(request));
        write_response(stream, response_head.as_bytes());
        write_response(stream, body.as_bytes());
        ConnectionAction::Close
    });
    let site = Site::start(test, &[(&engine, "writers")]);
    site.call("/report/a", "r1", "").unwrap()
}

#[test]
fn stream_without_length() {
    let events = "id: 0\ndata: a\n\nid: 1\ndata: b\n\n";
    let response = report_without_length("stream_no_length", events);
    assert_eq!((response.status, response.body.as_str()), (200, events));
    assert!(response.complete);
}

/// A stream without a length that ends inside an event has been broken off.
#[test]
fn stream_ends_inside_event() {
    for body in ["id: 0\ndata: a\n\nid: 1\ndata: b\n", "id: 0\ndata: a\n\ni"] {
        let response = report_without_length("stream_inside_event", body);
        assert_eq!(response.body, "id: 0\ndata: a\n\n");
        assert!(!response.complete);
    }
}

/// A stream that ends before its first event was broken off, whatever its framing. The
/// gateway goes on serving.
#[test]
fn stream_ends_before_event() {
    let engine = Replica::start("i-1", |request, stream| {
        let framing = match request.target.as_str() {
            "/report/unframed" => "",
            "/report/empty" => "Content-Length: 0\r\n",
            _ => "Transfer-Encoding: chunked\r\n",
        };
        let response_head = format!(
            "HTTP/1.1 200 OK\r\n{}{framing}\r\n",
            signature_headers(request)
        );
        write_response(stream, response_head.as_bytes());
        if request.target == "/report/chunked" {
            write_response(stream, b"0\r\n\r\n");
        }
        ConnectionAction::Close
    });
    let site = Site::start("stream_before_event", &[(&engine, "writers")]);
    for target in ["/report/unframed", "/report/empty", "/report/chunked"] {
        let response = site.call(target, "r1", "").unwrap();
        assert_eq!(response.status, 502, "{target}: {}", response.body);
    }
}

/// A resumed stream of which the caller has all events is complete.
#[test]
fn resumed_stream_without_events() {
    let engine = Replica::start("i-1", |request, stream| {
        write_response(
            stream,
            &response_with_length(200, &signature_headers(request), b""),
        )
    });
    let site = Site::start("resumed_at_end", &[(&engine, "writers")]);
    let response = site.call("/note/a", "r1", "\nLast-Event-Id: 7").unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, ""));
    assert!(response.complete);
}

#[test]
fn truncated_response() {
    let replica = Replica::start("i-1", |request, stream| {
        let response_head = format!(
            "HTTP/1.1 200 OK\r\n{}Content-Length: 50\r\n\r\n",
            signature_headers(request)
        );
        write_response(stream, response_head.as_bytes());
        write_response(stream, b"half");
        ConnectionAction::Close
    });
    let site = Site::start("truncated", &[(&replica, "desk")]);
    assert_eq!(site.call("/confirm/a", "r1", "").unwrap().status, 502);
}

/// A stream that breaks off is not ended as complete, and the caller gets no partial
/// event.
#[test]
fn broken_stream() {
    let engine = Replica::start("i-1", |request, stream| {
        if request.target == "/v1/report" {
            return write_response(stream, &response_with_length(503, "", b""));
        }
        let response_head = format!(
            "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
            signature_headers(request)
        );
        write_response(stream, response_head.as_bytes());
        write_response(stream, &chunk("id: 1\ndata: a\n\nid: 2\nda"));
        std::thread::sleep(Duration::from_millis(50));
        ConnectionAction::Close
    });
    let site = Site::start("broken_stream", &[(&engine, "writers")]);
    let response = site.call("/report/a", "r1", "").unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(response.body, "id: 1\ndata: a\n\n");
    assert!(!response.complete);
    assert_eq!(engine.requests().len(), 1);
}

/// A resumable stream continues at another endpoint after its last complete event.
#[test]
fn resumed_stream() {
    let engine = |name| {
        Replica::start(name, |request, stream| {
            if request.target == "/v1/report" {
                return write_response(stream, &response_with_length(503, "", b""));
            }
            let response_head = format!(
                "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
                signature_headers(request)
            );
            write_response(stream, response_head.as_bytes());
            match request.header("last-event-id") {
                None => {
                    write_response(stream, &chunk("id: 1\ndata: a\n\nid: 2\nda"));
                    std::thread::sleep(Duration::from_millis(50));
                }
                Some(last) => {
                    assert_eq!(last, "1");
                    write_response(stream, &chunk("id: 2\ndata: b\n\n"));
                    write_response(stream, b"0\r\n\r\n");
                }
            }
            ConnectionAction::Close
        })
    };
    let (one, two) = (engine("i-1"), engine("i-2"));
    let site = Site::start("resumed", &[(&one, "writers"), (&two, "writers")]);
    let response = site.call("/note/a", "r1", "").unwrap();
    assert_eq!(response.body, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    assert!(response.complete);
}

/// When the caller disconnects, the gateway cancels the request at the endpoint.
#[test]
fn caller_disconnect_cancels_request() {
    let disconnected = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let disconnect_flag = std::sync::Arc::clone(&disconnected);
    let engine = Replica::start("i-1", move |request, stream| {
        use std::io::Read;
        if request.target == "/v1/report" {
            return write_response(stream, &response_with_length(503, "", b""));
        }
        let mut rest = [0; 1];
        stream
            .set_read_timeout(Some(Duration::from_secs(10)))
            .unwrap();
        if matches!(stream.read(&mut rest), Ok(0)) {
            disconnect_flag.store(true, std::sync::atomic::Ordering::SeqCst);
        }
        ConnectionAction::Close
    });
    let site = Site::start("disconnected", &[(&engine, "writers")]);
    let mut connection = site.connect();
    connection.send(&request_head("/report/a", "r1", ""), "");
    wait_until("the request arrives", || engine.requests().len() == 1);
    drop(connection);
    wait_until("the engine sees the connection close", || {
        disconnected.load(std::sync::atomic::Ordering::SeqCst)
    });
}
