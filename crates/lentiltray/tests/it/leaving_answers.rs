//! Endpoints that say in their answers that they are leaving.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::json;

use crate::fake_http::{ConnectionAction, Framing, Request};
use crate::fake_store::StoreMode;
use crate::gateway_harness::{
    Replica, Site, respond_ok, service_of, signature_headers, wait_until, write_response,
};

/// Number of requests sent after an endpoint has said that it leaves.
const REQUESTS: usize = 20;

/// What an endpoint answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Answer {
    Served,
    Failed,
    Declined,
}

impl Answer {
    fn write(
        self,
        framing: Framing,
        notice: &str,
        request: &Request,
        stream: &mut TcpStream,
    ) -> ConnectionAction {
        if request.target == "/v1/report" {
            return write_response(stream, &Framing::Length.response(503, "", ""));
        }
        let (status, proof) = match self {
            Self::Served => (200, ""),
            Self::Failed => (500, ""),
            Self::Declined => (503, "Not-Executed: 1\r\n"),
        };
        let headers = format!("{}{proof}{notice}", signature_headers(request));
        let body = "id: 0\ndata: a\n\n";
        write_response(stream, &framing.response(status, &headers, body));
        match framing {
            Framing::Neither => ConnectionAction::Close,
            Framing::Length | Framing::Chunks => ConnectionAction::KeepOpen,
        }
    }
}

/// An endpoint whose answers bear `notice` while `says_so` is set.
struct NoticeReplica {
    replica: Replica,
    says_so: Arc<AtomicBool>,
}

impl NoticeReplica {
    fn start(name: &str, answer: Answer, framing: Framing, notice: &'static str) -> Self {
        let says_so = Arc::new(AtomicBool::new(true));
        let flag = Arc::clone(&says_so);
        let replica = Replica::start(name, move |request, stream| {
            let notice = if flag.load(Ordering::SeqCst) {
                notice
            } else {
                ""
            };
            answer.write(framing, notice, request, stream)
        });
        Self { replica, says_so }
    }

    fn leaving(name: &str) -> Self {
        let notice = "Server-Leaving: 1\r\n";
        Self::start(name, Answer::Served, Framing::Length, notice)
    }

    fn received(&self) -> usize {
        self.replica.requests().len()
    }
}

fn sound(name: &str) -> Replica {
    Replica::start(name, |request, stream| {
        Answer::Served.write(Framing::Length, "", request, stream)
    })
}

/// Sends requests one after the other, all of which must be served.
fn send_served(site: &Site, target: &str) {
    for number in 0..REQUESTS {
        let response = site.call(target, &format!("later{number}"), "").unwrap();
        assert_eq!(response.status, 200, "{target}: {}", response.body);
    }
}

/// One endpoint of two says in an answer that it leaves, and gets nothing from then on.
fn check_left(test: &str, answer: Answer, framing: Framing, target: &str) {
    let leaving = NoticeReplica::start("i-1", answer, framing, "Server-Leaving: 1\r\n");
    let other = sound("i-2");
    let service = service_of(target);
    let site = Site::start(test, &[(&leaving.replica, service), (&other, service)]);
    site.send_until_reached(target, &leaving.replica);
    let sent = leaving.received();
    send_served(&site, target);
    assert_eq!(leaving.received(), sent, "{answer:?} {framing:?} {target}");
}

#[test]
fn leaving_endpoint_gets_calls() {
    for framing in Framing::ALL {
        for target in ["/lookup/a", "/confirm/a"] {
            check_left("leaving_calls", Answer::Served, framing, target);
        }
    }
}

#[test]
fn leaving_endpoint_gets_streams() {
    for framing in Framing::ALL {
        check_left("leaving_streams", Answer::Served, framing, "/report/a");
    }
    check_left(
        "leaving_streams",
        Answer::Served,
        Framing::Chunks,
        "/note/a",
    );
}

/// Failures and refusals say so too.
#[test]
fn leaving_endpoint_gets_retries() {
    for answer in [Answer::Failed, Answer::Declined] {
        for target in ["/lookup/a", "/confirm/a", "/note/a"] {
            check_left("leaving_failures", answer, Framing::Length, target);
        }
    }
}

/// While the store is away, and when the list contradicts after it is back, the endpoint's
/// own word holds.
#[test]
fn list_contradicts_leaving_endpoint() {
    let leaving = NoticeReplica::leaving("i-1");
    leaving.says_so.store(false, Ordering::SeqCst);
    let other = sound("i-2");
    let endpoints = [(&leaving.replica, "desk"), (&other, "desk")];
    let site = Site::start_bounded("leaving_store_away", &endpoints, 1, "revoke_ms: 60000");
    site.store.set_mode(StoreMode::Refusing(503));
    leaving.says_so.store(true, Ordering::SeqCst);
    site.send_until_reached("/confirm/a", &leaving.replica);
    let sent = leaving.received();
    send_served(&site, "/confirm/a");
    site.store.set_mode(StoreMode::Serving);
    let third = sound("i-3");
    site.register_endpoint(&leaving.replica, "desk", "ready");
    site.register_endpoint(&third, "desk", "ready");
    while site.gateway.wait_for_line("endpoint joined")["kvs"]["endpoint"] != "i-3" {}
    send_served(&site, "/confirm/a");
    assert_eq!(leaving.received(), sent);
}

/// A record of the same lifetime that is written late doesn't bring back an endpoint that
/// said that it leaves and whose record was removed since.
#[test]
fn late_record_of_leaving_endpoint() {
    let leaving = NoticeReplica::leaving("i-1");
    let other = sound("i-2");
    let endpoints = [(&leaving.replica, "desk"), (&other, "desk")];
    let site = Site::start_bounded("leaving_late", &endpoints, 1, "drain_ms: 200");
    site.send_until_reached("/confirm/a", &leaving.replica);
    let sent = leaving.received();
    site.store.put("keyed.servers", "i-1", None);
    // Longer than the endpoint list is read and the endpoint is expected to serve.
    std::thread::sleep(Duration::from_millis(2_000));
    let third = sound("i-3");
    site.register_endpoint(&leaving.replica, "desk", "ready");
    site.register_endpoint(&third, "desk", "ready");
    while site.gateway.wait_for_line("endpoint joined")["kvs"]["endpoint"] != "i-3" {}
    send_served(&site, "/confirm/a");
    assert_eq!(leaving.received(), sent);
}

/// A new lifetime under the same name gets requests again.
#[test]
fn restarted_endpoint_returns() {
    let leaving = NoticeReplica::leaving("i-1");
    let other = sound("i-2");
    let site = Site::start(
        "leaving_restarted",
        &[(&leaving.replica, "desk"), (&other, "desk")],
    );
    site.send_until_reached("/confirm/a", &leaving.replica);
    leaving.says_so.store(false, Ordering::SeqCst);
    let entry = json!({"service": "desk", "address": leaving.replica.address().to_string(),
        "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
        "sequence": 1, "born": 8});
    site.store.put("keyed.servers", "i-1", Some(&entry));
    let sent = leaving.received();
    let mut number = 0;
    wait_until("the new lifetime gets requests", || {
        number += 1;
        site.call("/confirm/a", &format!("again{number}"), "");
        leaving.received() > sent
    });
}

/// Other values of the header, and the answer to another request, say nothing.
#[test]
fn notice_without_meaning() {
    for notice in [
        "Server-Leaving: 0\r\n",
        "Server-Leaving:\r\n",
        "Server-Leaving: no\r\n",
    ] {
        let endpoint = NoticeReplica::start("i-1", Answer::Served, Framing::Length, notice);
        let site = Site::start("leaving_values", &[(&endpoint.replica, "desk")]);
        send_served(&site, "/confirm/a");
    }
    let crossed = Arc::new(AtomicBool::new(true));
    let is_crossed = Arc::clone(&crossed);
    let endpoint = Replica::start("i-1", move |request, stream| {
        if !is_crossed.swap(false, Ordering::SeqCst) {
            return respond_ok(request, stream);
        }
        let headers = "Attempt-Id: other\r\nResponse-Signature: s\r\nServer-Leaving: 1\r\n";
        write_response(stream, &Framing::Length.response(200, headers, "no"))
    });
    let site = Site::start("leaving_crossed", &[(&endpoint, "desk")]);
    assert_eq!(site.call("/confirm/a", "crossed", "").unwrap().status, 502);
    send_served(&site, "/confirm/a");
}

/// When the only endpoint leaves, requests are refused at once and don't run.
#[test]
fn only_endpoint_leaves() {
    let leaving = NoticeReplica::leaving("i-1");
    let site = Site::start("leaving_only", &[(&leaving.replica, "desk")]);
    site.send_until_reached("/confirm/a", &leaving.replica);
    let sent = leaving.received();
    for number in 0..REQUESTS {
        let response = site
            .call("/confirm/a", &format!("later{number}"), "")
            .unwrap();
        assert_eq!(response.status, 503);
        assert!(response.header("retry-after").is_some());
    }
    assert_eq!(leaving.received(), sent);
}
