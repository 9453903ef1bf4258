//! A stream that has begun goes on only at endpoints of the version that began it.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::fake_http::{ConnectionAction, ReceivedResponse, Request, chunk, response_with_length};
use crate::gateway_harness::{Replica, Site, request_head, signature_headers, write_response};

/// Number of events in a complete stream.
const EVENTS: u64 = 6;

/// Where the first stream of a test breaks off; later ones are complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreaksOff {
    /// After the head of the answer.
    AfterHead,
    /// After two events.
    AfterEvents,
}

/// Starts an engine that names itself in the head of its answers. The first stream of all
/// engines that share `begun` breaks off.
fn engine(name: &'static str, breaks_off: BreaksOff, begun: &Arc<AtomicBool>) -> Replica {
    let begun = Arc::clone(begun);
    Replica::start(name, move |request, stream| {
        if request.header("attempt-id").is_none() {
            return write_response(stream, &response_with_length(503, "", b""));
        }
        let first_event = request
            .header("last-event-id")
            .map_or(0, |last| last.parse::<u64>().unwrap() + 1);
        let events = match (begun.swap(true, Ordering::SeqCst), breaks_off) {
            (true, _) => first_event..EVENTS,
            (false, BreaksOff::AfterHead) => 0..0,
            (false, BreaksOff::AfterEvents) => 0..2,
        };
        let is_whole = events.end == EVENTS;
        write_events(name, request, stream, events);
        if is_whole {
            return write_response(stream, b"0\r\n\r\n");
        }
        // The gateway forwards what it has before the end.
        std::thread::sleep(Duration::from_millis(100));
        ConnectionAction::Close
    })
}

fn write_events(
    name: &str,
    request: &Request,
    stream: &mut TcpStream,
    events: std::ops::Range<u64>,
) {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Engine: {name}\r\nTransfer-Encoding: chunked\r\n\r\n",
        signature_headers(request)
    );
    write_response(stream, head.as_bytes());
    for number in events {
        let event = format!("id: {number}\ndata: {name}\n\n");
        write_response(stream, &chunk(&event));
    }
}

/// The ids of the events in a body.
fn event_ids(body: &str) -> Vec<u64> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("id: "));
    lines.map(|id| id.parse().unwrap()).collect()
}

/// The engines that wrote the events of a body, once each.
fn writers(body: &str) -> Vec<&str> {
    let lines = body.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut writers: Vec<_> = lines.collect();
    writers.dedup();
    writers
}

/// Starts a gateway without limits of roll-outs, and waits until it knows these engines.
fn site(test: &str, engines: &[(&Replica, &str)]) -> Site {
    let site = Site::start(test, &[]);
    for (engine, version) in engines {
        site.register_version(engine, "writers", version);
    }
    for _ in engines {
        site.gateway.wait_for_line("endpoint joined");
    }
    site
}

fn send(site: &Site) -> ReceivedResponse {
    let mut connection = site.connect();
    connection.send(&request_head("/note/a", "r1", ""), "hello");
    connection.receive().unwrap()
}

/// Guards against another run that goes on, inside one answer, at another version.
#[test]
fn rerun_other_version() {
    let begun = Arc::default();
    let engines = ["i-1", "i-2"].map(|name| engine(name, BreaksOff::AfterEvents, &begun));
    let site = site("rerun_other", &[(&engines[0], "v1"), (&engines[1], "v2")]);
    let response = send(&site);
    assert_eq!(event_ids(&response.body), [0, 1]);
    assert!(!response.complete);
    let requests = engines.each_ref().map(|engine| engine.requests().len());
    assert_eq!(requests.iter().sum::<usize>(), 1);
}

/// Guards against a stream that breaks off although an endpoint of its version serves.
#[test]
fn rerun_same_version() {
    let begun = Arc::default();
    let engines =
        ["i-1", "i-2", "i-3", "i-4"].map(|name| engine(name, BreaksOff::AfterEvents, &begun));
    let versions = ["v1", "v2", "v1", "v2"];
    let entries: Vec<_> = engines.iter().zip(versions).collect();
    let site = site("rerun_same", &entries);
    let response = send(&site);
    assert_eq!(event_ids(&response.body), (0..EVENTS).collect::<Vec<_>>());
    assert!(response.complete);
    let writers = writers(&response.body);
    assert!(
        [
            ["i-1", "i-3"],
            ["i-3", "i-1"],
            ["i-2", "i-4"],
            ["i-4", "i-2"]
        ]
        .contains(&[writers[0], writers[1]]),
        "{writers:?}"
    );
}

/// Guards against an answer with the head of an engine that wrote none of its events.
#[test]
fn head_of_events() {
    let begun = Arc::default();
    let engines = ["i-1", "i-2"].map(|name| engine(name, BreaksOff::AfterHead, &begun));
    let site = site(
        "head_of_events",
        &[(&engines[0], "v1"), (&engines[1], "v2")],
    );
    let response = send(&site);
    assert!(response.complete);
    let writers = writers(&response.body);
    assert_eq!(response.header("engine"), Some(writers[0]));
    let requests = engines.each_ref().map(|engine| engine.requests().len());
    assert_eq!(requests, [1, 1]);
}
