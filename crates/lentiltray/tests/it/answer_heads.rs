//! Endpoints that stop in the middle of the head of an answer and close.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::caller::{Caller, block_on, start_beside};
use crate::fake_http::{ConnectionAction, Framing, Request, Server, response_with_length};
use crate::gateway_harness::{Replica, Site, service_of, signature_headers, write_response};
use crate::keyed_calls::confirm;

/// Numbers of bytes after which an endpoint stops; the last one is all but the end.
const STOPS: [usize; 9] = [0, 1, 9, 14, 17, 40, 60, 90, usize::MAX];

/// Callers of a gateway get no success and no part of the answer.
#[test]
fn gateway_answer_stops_in_head() {
    for framing in Framing::ALL {
        for target in ["/confirm/a", "/lookup/a", "/report/a", "/note/a"] {
            let stop_after = Arc::new(AtomicUsize::new(0));
            let stop = Arc::clone(&stop_after);
            let endpoint = Replica::start("i-1", move |request, stream| {
                if request.target == "/v1/report" {
                    return write_response(stream, &response_with_length(503, "", b""));
                }
                let head = framing.head(200, &signature_headers(request), 4);
                let end = stop.load(Ordering::SeqCst).min(head.len() - 1);
                write_response(stream, &head[..end]);
                ConnectionAction::Close
            });
            let site = Site::start("stops_in_head", &[(&endpoint, service_of(target))]);
            for bytes in STOPS {
                stop_after.store(bytes, Ordering::SeqCst);
                let response = site.call(target, &format!("r{bytes}"), "").unwrap();
                let what = format!("{framing:?} {target} after {bytes} bytes");
                assert_ne!(response.status, 200, "{what}: {:?}", response.body);
                assert!(response.complete, "{what}");
            }
        }
    }
}

/// The same through an entry and an agent.
#[test]
fn agent_answer_stops_in_head() {
    for framing in Framing::ALL {
        let stop_after = Arc::new(AtomicUsize::new(0));
        let stop = Arc::clone(&stop_after);
        let endpoint = Server::start(Arc::new(
            move |_: &Request, stream: &mut std::net::TcpStream| {
                let head = framing.head(200, "", 4);
                let end = stop.load(Ordering::SeqCst).min(head.len() - 1);
                write_response(stream, &head[..end]);
                ConnectionAction::Close
            },
        ));
        let (site, agent) = start_beside(endpoint.address);
        let entry = site.entries[0].address();
        block_on(async move {
            let caller = Caller::new().await;
            for bytes in STOPS {
                stop_after.store(bytes, Ordering::SeqCst);
                let answer = confirm(&caller, entry, &format!("key-{bytes}"), "bin").await;
                assert_ne!(answer.status, 200, "{framing:?} after {bytes}: {answer:?}");
            }
        });
        agent.stop().unwrap();
        site.stop().unwrap();
    }
}

/// The body of an answer with neither a length nor chunks reached callers of an entry as an
/// empty one, with the status of the answer. Other framings are passed on.
#[test]
fn agent_answer_without_length() {
    for framing in Framing::ALL {
        let endpoint = Server::start(Arc::new(
            move |_: &Request, stream: &mut std::net::TcpStream| {
                write_response(stream, &framing.response(200, "", "\"done\""));
                ConnectionAction::Close
            },
        ));
        let (site, agent) = start_beside(endpoint.address);
        let entry = site.entries[0].address();
        let is_delimited = framing != Framing::Neither;
        block_on(async move {
            let caller = Caller::new().await;
            let answer = confirm(&caller, entry, "key", "bin").await;
            if is_delimited {
                assert_eq!((answer.status, answer.body), (200, "done".into()));
            } else {
                assert_eq!(answer.status, 502, "{answer:?}");
                assert_eq!(answer.body["outcome"], "unknown", "{answer:?}");
            }
        });
        agent.stop().unwrap();
        site.stop().unwrap();
    }
}
