//! Endpoints that drop idle connections without notice.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use crate::platform_site::{Replica, Site, good, signed, write};
use crate::standin_http::{After, Request, framed};

/// Time between two requests, in which a connection idles.
const IDLE: Duration = Duration::from_millis(40);

/// An endpoint that serves one request on each connection and closes it at the
/// next, as if it had dropped the idle connection before.
fn serves_once(name: &str) -> Replica {
    let served: Mutex<HashSet<SocketAddr>> = Mutex::default();
    Replica::start(name, move |request: &Request, stream: &mut TcpStream| {
        if request.target.starts_with("/v1/") {
            return After::Close;
        }
        let caller = stream.peer_addr().unwrap();
        if served.lock().unwrap().insert(caller) {
            answer(request, stream)
        } else {
            After::Close
        }
    })
}

/// A whole answer, as a stream of one event to reports.
fn answer(request: &Request, stream: &mut TcpStream) -> After {
    if request.target.starts_with("/report/") {
        let body = b"id: 0\ndata: 0\n\n";
        write(stream, &framed(200, &signed(request), body))
    } else {
        good(request, stream)
    }
}

fn statuses(test: &str, target: &str, service: &str) -> Vec<u16> {
    let replica = serves_once("i-1");
    let site = Site::start(test, &[(&replica, service)]);
    let call = |number: u32| {
        std::thread::sleep(IDLE);
        let got = site.call(target, &format!("r{number}"), "").unwrap();
        got.status
    };
    (0..5).map(call).collect()
}

#[test]
fn confirmations_answered() {
    let statuses = statuses("idle_confirm", "/confirm/a", "desk");
    assert_eq!(statuses, [200; 5]);
}

#[test]
fn reports_answered() {
    let statuses = statuses("idle_report", "/report/a", "writers");
    assert_eq!(statuses, [200; 5]);
}
