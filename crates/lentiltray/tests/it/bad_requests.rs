//! Malformed, oversized and truncated requests, and callers that disconnect or pause.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::caller::{Caller, block_on, completion, read_events, texts};
use crate::daemon_process::{ANONYMOUS_CALLERS, DaemonPair};

/// Maximum wait for a response to raw bytes.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends raw bytes, closes the write half, and returns everything that is received.
fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).unwrap();
    let _ = stream.write_all(bytes);
    let _ = stream.shutdown(std::net::Shutdown::Write);
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

fn post(body: &[u8], length: usize, extra: &str) -> Vec<u8> {
    let mut bytes = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n{extra}\r\n"
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

fn settings() -> String {
    format!(
        "{ANONYMOUS_CALLERS}limits: {{body_max_bytes: 2000, head_max_bytes: 4096, headers_max: 16, \
         request_timeout_ms: 1000}}\n"
    )
}

#[test]
fn invalid_requests_run_nothing() {
    let daemons = DaemonPair::start("bad-bytes", &settings());
    let callers = daemons.entry.address("callers");
    let header_flood: String = (0..100).map(|n| format!("x-{n}: y\r\n")).collect();
    let long_header = format!("x-long: {}\r\n", "y".repeat(100_000));
    let large_body = format!("{{\"model\":\"m\",\"prompt\":\"{}\"}}", "p".repeat(5_000));
    let cases: Vec<(&str, Vec<u8>)> = vec![
        ("no JSON", post(b"{", 1, "")),
        ("wrong type", post(b"[1, 2]", 6, "")),
        ("broken UTF-8", post(b"{\"model\":\"\xff\xfe\"}", 14, "")),
        (
            "missing prompt",
            post(b"{\"model\":\"lentil-small\"}", 24, ""),
        ),
        (
            "large body",
            post(large_body.as_bytes(), large_body.len(), ""),
        ),
        ("truncated body", post(b"{\"model\":", 500, "")),
        ("header flood", post(b"{}", 2, &header_flood)),
        ("long header", post(b"{}", 2, &long_header)),
        (
            "no HTTP",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec(),
        ),
        (
            "wrong method",
            b"DELETE /v1/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
        ),
        (
            "unknown path",
            b"GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n".to_vec(),
        ),
    ];
    for (name, bytes) in cases {
        let answer = send_raw(callers, &bytes);
        assert!(!answer.starts_with("HTTP/1.1 200"), "{name}: {answer}");
    }
    assert_eq!(daemons.engine.stats().begun, 0);
    let expected = daemons.engine.expected_tokens("a report", Some(4));
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("a report", 4, true);
        let mut response = caller.complete(callers, &body).await;
        let events = read_events(&mut response, usize::MAX).await;
        assert_eq!(texts(&events), expected);
    });
    drop(daemons);
}

#[test]
fn disconnected_callers_block_nobody() {
    let daemons = DaemonPair::start("disconnected-callers", ANONYMOUS_CALLERS);
    let callers = daemons.entry.address("callers");
    let expected = daemons.engine.expected_tokens("a report", Some(30));
    block_on(async move {
        let caller = Caller::new().await;
        caller
            .complete(callers, &completion("ready", 1, false))
            .await;
        for _ in 0..10 {
            let body = completion("tokens=100000", 100_000, true);
            let mut response = caller.complete(callers, &body).await;
            read_events(&mut response, 2).await;
            drop(response);
        }
        let body = completion("a report", 30, true);
        let mut response = caller.complete(callers, &body).await;
        let events = read_events(&mut response, usize::MAX).await;
        assert_eq!(texts(&events), expected);
    });
    drop(daemons);
}

#[test]
fn paused_reader_gets_complete_stream() {
    let extra = format!("{ANONYMOUS_CALLERS}limits: {{send_timeout_ms: 500}}\n");
    let daemons = DaemonPair::start("paused-reader", &extra);
    let callers = daemons.entry.address("callers");
    let expected = daemons.engine.expected_tokens("a report", Some(30));
    block_on(async move {
        let caller = Caller::new().await;
        caller
            .complete(callers, &completion("ready", 1, false))
            .await;
        let body = completion("a report", 30, true);
        let mut response = caller.complete(callers, &body).await;
        let mut events = read_events(&mut response, 3).await;
        // The rest stays in the socket buffers while this caller does not read.
        tokio::time::sleep(Duration::from_millis(900)).await;
        events.extend(read_events(&mut response, usize::MAX).await);
        assert_eq!(texts(&events), expected);
    });
    drop(daemons);
}
