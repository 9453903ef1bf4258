//! Endpoints in need that name how many requests a second they accept from all gateways
//! together.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::fake_http::{ClientConnection, ConnectionAction, Request, response_with_length};
use crate::gateway_harness::{
    Replica, Site, request_head, respond_ok, signature_headers, wait_until, write_response,
};

/// The limit that endpoints name, in requests per second.
const LIMIT_PER_S: f64 = 2.0;
/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests allowed in that time: one and a half times the limit and five.
const WINDOW_MAX: usize = 17;
/// How long the tests send requests.
const LOAD_TIME: Duration = Duration::from_secs(6);

/// An endpoint that names a limit while `limited` is set, with the times of its requests.
struct LimitedReplica {
    replica: Replica,
    limited: Arc<AtomicBool>,
    times: Arc<Mutex<Vec<Instant>>>,
}

impl LimitedReplica {
    fn start(name: &str) -> Self {
        let limited = Arc::new(AtomicBool::new(true));
        let times = Arc::new(Mutex::new(Vec::new()));
        let (is_limited, recorded) = (Arc::clone(&limited), Arc::clone(&times));
        let replica = Replica::start(name, move |request, stream| {
            recorded.lock().unwrap().push(Instant::now());
            if is_limited.load(Ordering::SeqCst) {
                respond_limited(request, stream)
            } else {
                respond_ok(request, stream)
            }
        });
        Self {
            replica,
            limited,
            times,
        }
    }

    fn received(&self) -> usize {
        self.times.lock().unwrap().len()
    }

    /// The largest number of requests in any window.
    fn most_in_window(&self) -> usize {
        let times = self.times.lock().unwrap();
        let within = |start: &Instant| {
            let end = *start + WINDOW;
            times.iter().filter(|at| *at >= start && **at < end).count()
        };
        times.iter().map(within).max().unwrap_or(0)
    }
}

fn respond_limited(request: &Request, stream: &mut TcpStream) -> ConnectionAction {
    let headers = format!(
        "{}Server-Limit: {LIMIT_PER_S}\r\n",
        signature_headers(request)
    );
    write_response(stream, &response_with_length(200, &headers, b"done"))
}

/// Sends look-ups one after the other and returns the responses' statuses.
fn load(gateway: SocketAddr) -> Vec<u16> {
    let end = Instant::now() + LOAD_TIME;
    let mut statuses = Vec::new();
    while Instant::now() < end {
        let id = format!("r{}", statuses.len());
        let mut connection = ClientConnection::open(gateway);
        connection.send(&request_head("/lookup/a", &id, ""), "hello");
        let response = connection.receive().unwrap();
        assert!(
            response.status == 200 || response.header("retry-after").is_some(),
            "{}",
            response.body
        );
        statuses.push(response.status);
        std::thread::sleep(Duration::from_millis(20));
    }
    statuses
}

/// The endpoint gets no more than it named; the others serve the rest.
#[test]
fn limit_exceeded() {
    let limited = LimitedReplica::start("i-1");
    let free = Replica::start("i-2", respond_ok);
    let endpoints = [(&limited.replica, "desk"), (&free, "desk")];
    let site = Site::start("limit_exceeded", &endpoints);
    let statuses = load(site.gateway.address("callers"));
    assert!(limited.received() > 0);
    let most = limited.most_in_window();
    assert!(most <= WINDOW_MAX, "{most} requests in {WINDOW:?}");
    assert!(statuses.iter().all(|status| *status == 200));
}

/// The limit holds for what two gateways send together.
#[test]
fn limit_of_gateways_together() {
    let limited = LimitedReplica::start("i-1");
    let free = Replica::start("i-2", respond_ok);
    let endpoints = [(&limited.replica, "desk"), (&free, "desk")];
    let site = Site::start("limit_together", &endpoints);
    let other = site.start_gateway("limit_together_other", 1, endpoints.len());
    let addresses = [&site.gateway, &other].map(|gateway| gateway.address("callers"));
    std::thread::scope(|scope| {
        let statuses = addresses.map(|address| scope.spawn(move || load(address)));
        for statuses in statuses {
            let statuses = statuses.join().unwrap();
            assert!(statuses.iter().all(|status| *status == 200));
        }
    });
    let most = limited.most_in_window();
    assert!(most <= WINDOW_MAX, "{most} requests in {WINDOW:?}");
}

/// When no endpoint accepts more, a request is refused at once and does not run. Those
/// within the limit are served.
#[test]
fn only_limited_endpoint() {
    let limited = LimitedReplica::start("i-1");
    let site = Site::start("limit_only", &[(&limited.replica, "desk")]);
    let statuses = load(site.gateway.address("callers"));
    let served = statuses.iter().filter(|status| **status == 200).count();
    assert_eq!(served, limited.received());
    assert!(served > 1);
    assert!(statuses.iter().all(|status| [200, 503].contains(status)));
    let most = limited.most_in_window();
    assert!(most <= WINDOW_MAX, "{most} requests in {WINDOW:?}");
}

/// An endpoint that no longer names a limit gets its part of the requests again.
#[test]
fn withdrawn_limit() {
    let limited = LimitedReplica::start("i-1");
    let free = Replica::start("i-2", respond_ok);
    let endpoints = [(&limited.replica, "desk"), (&free, "desk")];
    let site = Site::start("limit_withdrawn", &endpoints);
    let mut sent = 0;
    let mut send = || {
        sent += 1;
        site.call("/lookup/a", &format!("r{sent}"), "").unwrap();
    };
    wait_until("the limit is known", || {
        send();
        limited.received() > 0
    });
    limited.limited.store(false, Ordering::SeqCst);
    let before = free.requests().len();
    wait_until("the endpoint gets its part again", || {
        send();
        let others = free.requests().len() - before;
        limited.received() > 30 && limited.received() * 4 > others
    });
}
