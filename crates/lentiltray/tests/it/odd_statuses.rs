//! Endpoints whose answers have a status that no answer can have.

use std::net::TcpStream;
use std::sync::{Arc, Mutex};

use lentil_site::SERVICE;

use crate::caller::{Caller, block_on, start_beside};
use crate::fake_http::{ConnectionAction, Framing, Request, Server, response_with_length};
use crate::gateway_harness::{Replica, Site, service_of, signature_headers, write_response};
use crate::keyed_calls::confirm;

/// Statuses that are no numbers, out of range, or interim ones without a final answer.
const STATUSES: [&str; 14] = [
    "000", "001", "099", "100", "101", "102", "103", "199", "600", "999", "1000", "20", "2x0", "-1",
];

/// Encodes a whole answer with this status, which looks sound otherwise.
fn odd_answer(framing: Framing, status: &str, headers: &str, body: &str) -> Vec<u8> {
    let answer = framing.response(200, headers, body);
    let rest = answer.strip_prefix(b"HTTP/1.1 200").unwrap();
    [b"HTTP/1.1 ", status.as_bytes(), rest].concat()
}

/// Each status with one of the framings.
fn cases() -> impl Iterator<Item = (&'static str, Framing)> {
    STATUSES.into_iter().zip(Framing::ALL.into_iter().cycle())
}

/// Callers of a gateway got the answer with a signed status 101 that nobody had asked for.
#[test]
fn gateway_passes_on_no_odd_status() {
    for target in ["/confirm/a", "/lookup/a", "/report/a", "/note/a"] {
        for (status, framing) in cases() {
            let endpoint = Replica::start("i-1", move |request, stream| {
                if request.target == "/v1/report" {
                    return write_response(stream, &response_with_length(503, "", b""));
                }
                let headers = signature_headers(request);
                let event = "id: 0\ndata: secret\n\n";
                write_response(stream, &odd_answer(framing, status, &headers, event));
                ConnectionAction::Close
            });
            let site = Site::start("odd_status", &[(&endpoint, service_of(target))]);
            let response = site.call(target, "r1", "").unwrap();
            let what = format!("{framing:?} {target} {status}: {response:?}");
            assert_eq!(response.status, 502, "{what}");
            assert_eq!(response.header("response-signature"), None, "{what}");
            assert!(!response.body.contains("secret"), "{what}");
        }
    }
}

/// The same through an entry and an agent.
#[test]
fn agent_passes_on_no_odd_status() {
    let answer = Arc::new(Mutex::new(Vec::new()));
    let known = Arc::clone(&answer);
    let endpoint = Server::start(Arc::new(move |_: &Request, stream: &mut TcpStream| {
        write_response(stream, &known.lock().unwrap());
        ConnectionAction::Close
    }));
    let (site, agent) = start_beside(endpoint.address);
    let entry = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        let sound = Framing::Length.response(200, "", "{}");
        *answer.lock().unwrap() = sound;
        assert_eq!(confirm(&caller, entry, "first", "bin").await.status, 200);
        for (number, (status, framing)) in cases().enumerate() {
            *answer.lock().unwrap() = odd_answer(framing, status, "", "\"secret\"");
            let response = caller
                .client
                .post(format!("http://{entry}/services/{SERVICE}/confirm"))
                .header("idempotency-key", format!("key-{number}"))
                .send_body("bin")
                .await
                .unwrap();
            let body = response.body().await.unwrap();
            let what = format!("{framing:?} {status}: {} {body:?}", response.status());
            assert_eq!(response.status().as_u16(), 502, "{what}");
            assert!(!body.windows(6).any(|part| part == b"secret"), "{what}");
        }
    });
    agent.stop().unwrap();
    site.stop().unwrap();
}

/// Interim answers come before the final one, which is passed on.
#[test]
fn interim_answers_before_final_one() {
    let endpoint = Replica::start("i-1", |request, stream| {
        write_response(stream, b"HTTP/1.1 100 Continue\r\n\r\n");
        write_response(stream, b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
        let headers = signature_headers(request);
        write_response(stream, &response_with_length(200, &headers, b"done"))
    });
    let site = Site::start("interim", &[(&endpoint, "desk")]);
    for number in 0..4 {
        let response = site.call("/confirm/a", &format!("r{number}"), "").unwrap();
        assert_eq!((response.status, response.body.as_str()), (200, "done"));
    }
}
