//! Orders to move a service's requests to endpoints of another version.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lentil_core::Offset;
use lentil_rollout::write_jitter;
use serde_json::{Value, json};

use crate::daemon_process::DaemonProcess;
use crate::fake_http::{ClientConnection, ConnectionAction, chunk, response_with_length};
use crate::fake_store::StoreMode;
use crate::gateway_harness::{
    Replica, Site, free_port, request_head, respond_ok, signature_headers, start_observer,
    wait_until, write_response,
};

/// Limits of roll-outs as a deployment sets them.
const LIMITS: &str = "revoke_ms: 60000, exposure_share: 0.1, exposure_slack: 50, rollback_ms: 5000";
/// Part of the requests that a bad version fails: one in this many.
const BAD_ONE_IN: usize = 2;
/// Number of threads that send requests.
const CALLERS: usize = 6;
/// Pause of each of them between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(50);
/// Longest time from an answer to its record, and from a record to its effect.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// How long the store is away before it comes back from an older copy.
const AWAY_TIME: Duration = Duration::from_millis(500);

/// Starts an endpoint that fails a part of its requests.
fn bad_endpoint(name: &str) -> Replica {
    let count = AtomicUsize::new(0);
    Replica::start(name, move |request, stream| {
        if count
            .fetch_add(1, Ordering::SeqCst)
            .is_multiple_of(BAD_ONE_IN)
        {
            let headers = signature_headers(request);
            return write_response(stream, &response_with_length(500, &headers, b"bad"));
        }
        respond_ok(request, stream)
    })
}

fn order(site: &Site, service: &str, target: &str, duration_s: f64) {
    let order = json!({"service": service, "target": target, "durationS": duration_s});
    site.store
        .put("keyed.op", &format!("rollout/{service}"), Some(&order));
}

fn states(site: &Site, service: &str) -> Vec<Value> {
    let values = site
        .store
        .values("keyed.status", &format!("rollout/{service}"));
    values
        .into_iter()
        .map(|value| value["state"].clone())
        .collect()
}

fn has_state(site: &Site, service: &str, state: &str) -> bool {
    states(site, service).iter().any(|known| known == state)
}

fn total(replicas: &[&Replica]) -> usize {
    replicas
        .iter()
        .map(|replica| replica.requests().len())
        .sum()
}

/// Callers that send requests all the time, until dropped.
struct Load {
    stop: Arc<AtomicBool>,
    sent: Arc<AtomicUsize>,
}

impl Load {
    fn start(gateways: &[&DaemonProcess], target: &'static str) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let sent = Arc::new(AtomicUsize::new(0));
        for caller in 0..CALLERS {
            let address = gateways[caller % gateways.len()].address("callers");
            let (stop, sent) = (Arc::clone(&stop), Arc::clone(&sent));
            std::thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let number = sent.fetch_add(1, Ordering::SeqCst);
                    call(address, target, &format!("load{number}"));
                    std::thread::sleep(CALL_PAUSE);
                }
            });
        }
        Self { stop, sent }
    }

    fn sent(&self) -> usize {
        self.sent.load(Ordering::SeqCst)
    }
}

impl Drop for Load {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

/// Sends a request and ignores how it ends: a gateway may have been killed.
fn call(address: std::net::SocketAddr, target: &str, id: &str) {
    let called = std::panic::catch_unwind(|| {
        let mut connection = ClientConnection::open(address);
        connection.send(&request_head(target, id, ""), "hello");
        connection.receive();
    });
    drop(called);
}

/// A site with two endpoints of version `v1`.
fn site(test: &str, bounds: &str, old: [&Replica; 2]) -> Site {
    let site = Site::start_bounded(test, &[], 1, bounds);
    for replica in old {
        site.register_version(replica, "desk", "v1");
    }
    for _ in old {
        site.gateway.wait_for_line("endpoint joined");
    }
    site
}

/// Guards against a bad version that gets more requests than its bound, that is not rolled
/// back, or that gets requests again afterwards.
#[test]
fn bad_version_rolled_back() {
    let old = [
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    ];
    let new = [bad_endpoint("j-1"), bad_endpoint("j-2")];
    let site = site("rollout_bad", LIMITS, [&old[0], &old[1]]);
    order(&site, "desk", "v2", 20.0);
    site.gateway.wait_for_line("is open");
    let load = Load::start(&[&site.gateway], "/lookup/a");
    for replica in &new {
        site.register_version(replica, "desk", "v2");
    }
    wait_until("the version is rolled back", || {
        has_state(&site, "desk", "rolled_back")
    });
    std::thread::sleep(SETTLE_TIME);
    let new = [&new[0], &new[1]];
    let sent = total(&new);
    assert!(sent > 0);
    assert!(sent <= load.sent() / 10 + 50, "{sent} of {}", load.sent());
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(total(&new), sent);
    assert!(!has_state(&site, "desk", "completed"));
}

/// Guards against a trial that the budget does not bound. With few requests in excess of the
/// share, the load of one of two endpoints is far more than the budget allows.
#[test]
fn trial_within_budget() {
    let old = [
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    ];
    let new = Replica::start("j-1", respond_ok);
    let limits = LIMITS.replace("exposure_slack: 50", "exposure_slack: 5");
    let site = site("rollout_budget", &limits, [&old[0], &old[1]]);
    order(&site, "desk", "v2", 60.0);
    site.gateway.wait_for_line("is open");
    let load = Load::start(&[&site.gateway], "/lookup/a");
    site.register_version(&new, "desk", "v2");
    let begun = Instant::now();
    while begun.elapsed() < Duration::from_secs(8) {
        let exposed = new.requests().len();
        let arrived = load.sent();
        assert!(exposed <= arrived / 10 + 5, "{exposed} of {arrived}");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(!new.requests().is_empty());
}

/// Guards against a version without an order that gets requests, and against one that never
/// does although it has replaced another.
#[test]
fn version_without_order() {
    let old = [
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    ];
    let new = Replica::start("j-1", respond_ok);
    let site = site("rollout_none", LIMITS, [&old[0], &old[1]]);
    site.register_version(&new, "desk", "v2");
    site.gateway.wait_for_line("endpoint joined");
    let joined = Instant::now();
    let load = Load::start(&[&site.gateway], "/lookup/a");
    while joined.elapsed() < Duration::from_millis(1_500) {
        assert_eq!(new.requests().len(), 0);
        std::thread::sleep(Duration::from_millis(20));
    }
    wait_until("the version gets requests", || !new.requests().is_empty());
    drop(load);
    assert!(states(&site, "desk").is_empty());
}

/// Guards against any effect of an order where the settings don't enable roll-outs.
#[test]
fn orders_ignored_without_settings() {
    let old = [
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    ];
    let new = bad_endpoint("j-1");
    let site = site("rollout_off", "", [&old[0], &old[1]]);
    site.register_version(&new, "desk", "v2");
    order(&site, "desk", "v2", 2.0);
    site.gateway.wait_for_line("is ignored");
    site.send_until_reached("/lookup/a", &new);
    std::thread::sleep(Duration::from_secs(3));
    assert!(states(&site, "desk").is_empty());
}

/// Guards against a terminal status that is lost with the gateway that was about to write it.
#[test]
fn writer_killed() {
    let old = [
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    ];
    let new = [bad_endpoint("j-1"), bad_endpoint("j-2")];
    let mut site = site("rollout_kill", LIMITS, [&old[0], &old[1]]);
    let mut other = site.start_gateway_bounded("rollout_kill_other", LIMITS, 2);
    site.store.drop_append("rolled_back");
    // The configuration has offset 0, so the order has offset 1.
    let jitter = |name| write_jitter(name, Offset::new(1));
    let other_is_first = jitter("rollout_kill_other") < jitter("rollout_kill");
    order(&site, "desk", "v2", 20.0);
    other.wait_for_line("is open");
    let _load = Load::start(&[&site.gateway, &other], "/lookup/a");
    for replica in &new {
        site.register_version(replica, "desk", "v2");
    }
    wait_until("a status is being written", || {
        site.store.dropped_appends() == 1
    });
    if other_is_first {
        other.kill();
    } else {
        site.gateway.kill();
    }
    wait_until("the other gateway has written", || {
        has_state(&site, "desk", "rolled_back")
    });
    std::thread::sleep(SETTLE_TIME);
    let sent = total(&[&new[0], &new[1]]);
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(total(&[&new[0], &new[1]]), sent);
    let terminal = states(&site, "desk")
        .iter()
        .filter(|state| **state != "in_progress")
        .count();
    assert_eq!(terminal, 1);
}

/// Guards against requests to an unproven version while nobody could record its rollback.
#[test]
fn store_away() {
    let old = [
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    ];
    let new = [
        Replica::start("j-1", respond_ok),
        Replica::start("j-2", respond_ok),
    ];
    let site = site("rollout_away", LIMITS, [&old[0], &old[1]]);
    order(&site, "desk", "v2", 60.0);
    site.gateway.wait_for_line("is open");
    let _load = Load::start(&[&site.gateway], "/lookup/a");
    for replica in &new {
        site.register_version(replica, "desk", "v2");
    }
    let sent = || total(&[&new[0], &new[1]]);
    wait_until("the trial has begun", || sent() > 5);
    site.store.set_mode(StoreMode::Silent);
    std::thread::sleep(Duration::from_millis(3_000) + SETTLE_TIME);
    let before = sent();
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(sent(), before);
    assert!(total(&[&old[0], &old[1]]) > 0);
    site.store.set_mode(StoreMode::Serving);
    wait_until("the trial goes on", || sent() > before);
}

/// Streams a few events, and one more once `released` is set if the request is to be held.
fn generate(
    released: &AtomicBool,
    request: &crate::fake_http::Request,
    stream: &mut std::net::TcpStream,
) -> ConnectionAction {
    if request.target == "/v1/report" {
        let report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
            "waiting": 0, "running": 0, "kvUsed": 400, "kvTotal": 34000, "handles": 0,
            "state": "ready", "born": 7});
        return write_response(
            stream,
            &response_with_length(200, "", report.to_string().as_bytes()),
        );
    }
    let head = format!(
        "HTTP/1.1 200 X\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        signature_headers(request)
    );
    write_response(stream, head.as_bytes());
    let mut id = 0;
    let mut event = |stream: &mut std::net::TcpStream| {
        id += 1;
        write_response(stream, &chunk(&format!("id: {id}\ndata: x\n\n")))
    };
    event(stream);
    while request.target.ends_with("/held") && !released.load(Ordering::SeqCst) {
        std::thread::sleep(Duration::from_millis(50));
        if event(stream) == ConnectionAction::Close {
            return ConnectionAction::Close;
        }
    }
    write_response(stream, b"0\r\n\r\n")
}

fn engine(name: &str, released: &Arc<AtomicBool>) -> Replica {
    let released = Arc::clone(released);
    Replica::start(name, move |request, stream| {
        generate(&released, request, stream)
    })
}

/// Guards against a version that is completed while a stream still runs at an old endpoint,
/// which would be cut, and against one that is never completed.
#[test]
fn completed_after_last_stream() {
    let released = Arc::new(AtomicBool::new(false));
    let old = [engine("i-1", &released), engine("i-2", &released)];
    let new = [engine("j-1", &released), engine("j-2", &released)];
    // All engines have the same address, and so the same observer.
    let port = free_port(Ipv4Addr::LOCALHOST);
    let _observer = start_observer("rollout_good", &old[0], port, None);
    let site = Site::start_bounded("rollout_good", &[], port, LIMITS);
    for replica in &old {
        site.register_version(replica, "writers", "v1");
    }
    for _ in &old {
        site.gateway.wait_for_line("endpoint joined");
    }
    order(&site, "writers", "v2", 60.0);
    site.gateway.wait_for_line("is open");
    for replica in &new {
        site.register_version(replica, "writers", "v2");
    }
    let load = Load::start(&[&site.gateway], "/report/a");
    let until = Instant::now() + Duration::from_secs(40);
    let is_promoting = || {
        let status = site.store.values("keyed.status", "rollout/writers");
        status.iter().any(|status| status["stage"] == "promoting")
    };
    let (mut exposed, mut arrived) = (0, 0);
    while !is_promoting() {
        arrived = load.sent();
        exposed = total(&[&new[0], &new[1]]);
        assert!(Instant::now() < until, "{:?}", states(&site, "writers"));
        std::thread::sleep(Duration::from_millis(50));
    }
    assert!(exposed <= arrived / 10 + 50, "{exposed} of {arrived}");
    let held = |replicas: &[Replica; 2]| {
        let requests = replicas.iter().flat_map(Replica::requests);
        requests
            .filter(|request| request.target.ends_with("/held"))
            .count()
    };
    let address = site.gateway.address("callers");
    for number in 0.. {
        let id = format!("held{number}");
        let head = request_head("/patient/held", &id, "")
            .replace("Deadline-Ms: 2500", "Deadline-Ms: 60000");
        std::thread::spawn(move || {
            let mut connection = ClientConnection::open(address);
            connection.send(&head, "hello");
            drop(connection.receive());
        });
        std::thread::sleep(Duration::from_millis(100));
        if held(&old) > 0 {
            break;
        }
    }
    // Long enough for all steps of the promotion and for the old version to count as idle.
    std::thread::sleep(Duration::from_secs(12));
    assert!(!has_state(&site, "writers", "completed"));
    assert!(!has_state(&site, "writers", "rolled_back"));
    released.store(true, Ordering::SeqCst);
    wait_until("the order is completed", || {
        has_state(&site, "writers", "completed")
    });
    let before = total(&[&old[0], &old[1]]);
    std::thread::sleep(SETTLE_TIME);
    assert_eq!(total(&[&old[0], &old[1]]), before);
}

/// An order was ignored, as a store that had come back from an older copy gave it the offset of one that
/// was lost.
#[test]
fn order_after_restore() {
    let old = [
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    ];
    let site = site("rollout_restored", LIMITS, [&old[0], &old[1]]);
    let end = site.store.end("keyed.op");
    order(&site, "desk", "v2", 20.0);
    site.gateway.wait_for_line("is open");
    site.store.set_mode(StoreMode::Closing);
    std::thread::sleep(AWAY_TIME);
    site.store.truncate("keyed.op", end);
    site.store.set_era(Some("2"));
    site.store.set_mode(StoreMode::Serving);
    order(&site, "desk", "v3", 20.0);
    let opened = site.gateway.wait_for_line("is open");
    assert_eq!(opened["kvs"]["target"], "v3");
}
