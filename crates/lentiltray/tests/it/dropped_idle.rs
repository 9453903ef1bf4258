//! Endpoints that drop idle connections without notice, and idle connections
//! whose way is cut.

use std::collections::HashSet;
use std::net::{SocketAddr, TcpStream};
use std::sync::Mutex;
use std::time::Duration;

use crate::platform_site::{Replica, Site, good, signed, until, write};
use crate::standin_http::{After, Request, framed};

/// Time between two requests, in which a connection idles.
const IDLE: Duration = Duration::from_millis(40);

/// How long an endpoint is silent on a connection whose way is cut.
const SILENCE: Duration = Duration::from_secs(5);

/// What happens to the second request on a connection.
#[derive(Debug, Clone, Copy)]
enum Reused {
    /// The endpoint had dropped the connection and resets it.
    Dropped,
    /// Nothing comes through any more.
    Cut,
}

/// An endpoint that serves one request on each connection.
fn serves_once(name: &str, reused: Reused) -> Replica {
    let served: Mutex<HashSet<SocketAddr>> = Mutex::default();
    Replica::start(name, move |request: &Request, stream: &mut TcpStream| {
        if request.target.starts_with("/v1/") {
            return After::Close;
        }
        let caller = stream.peer_addr().unwrap();
        if served.lock().unwrap().insert(caller) {
            return answer(request, stream);
        }
        if matches!(reused, Reused::Cut) {
            std::thread::sleep(SILENCE);
        }
        After::Close
    })
}

/// A whole answer, as a stream of one event to generations.
fn answer(request: &Request, stream: &mut TcpStream) -> After {
    let target = &request.target;
    if target.starts_with("/report/") || target.starts_with("/note/") {
        let body = b"id: 0\ndata: 0\n\n";
        write(stream, &framed(200, &signed(request), body))
    } else {
        good(request, stream)
    }
}

fn statuses(test: &str, target: &str, service: &str, reused: Reused) -> Vec<u16> {
    let replica = serves_once("i-1", reused);
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
    let statuses = statuses("idle_confirm", "/confirm/a", "desk", Reused::Dropped);
    assert_eq!(statuses, [200; 5]);
}

#[test]
fn reports_answered() {
    let statuses = statuses("idle_report", "/report/a", "writers", Reused::Dropped);
    assert_eq!(statuses, [200; 5]);
}

/// A note may run again, but its caller would wait until the silence is noticed.
#[test]
fn notes_answered() {
    let statuses = statuses("idle_note", "/note/a", "writers", Reused::Cut);
    assert_eq!(statuses, [200; 5]);
}

/// Endpoints bear a number of connections from all gateways together: those that
/// carry no further request are closed.
#[test]
fn own_connections_closed() {
    let replica = Replica::start("i-1", good);
    let site = Site::start("own_closed", &[(&replica, "desk")]);
    for number in 0..5 {
        let got = site.call("/confirm/a", &format!("r{number}"), "").unwrap();
        assert_eq!(got.status, 200);
    }
    until("the connections are closed", || {
        replica.open_connections() == 0
    });
}
