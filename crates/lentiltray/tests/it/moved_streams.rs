//! Running generations are migrated away from an engine that is leaving.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentil_wire::v1;
use lentil_wire::v1::observer_client::ObserverClient;
use serde_json::{Value, json};

use crate::daemon_process::DaemonProcess;
use crate::fake_http::{ConnectionAction, Request, chunk, response_with_length};
use crate::gateway_harness::{
    Replica, Site, free_port, signature_headers, start_observer, write_response,
};

/// Time between two events of the fake engine.
const EVENT_GAP: Duration = Duration::from_millis(40);
/// Number of events in a complete stream.
const EVENTS: u64 = 60;

/// How an engine responds to orders to move its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum MoveResult {
    /// It copies the run's memory completely.
    Copied,
    /// It does not know the run.
    Unknown,
    /// The other engine has no room at the first order that stops the run; later orders
    /// succeed.
    FirstStopRefused,
    /// Like [`Self::FirstStopRefused`], and where the answer to the next order that stops
    /// the run is expected on the same connection, the refusal comes once more.
    RefusalRepeated,
}

/// What an engine has done with the orders to move its run.
#[derive(Debug, Default)]
struct MoveOrders {
    /// Number of orders that stopped the run.
    stops: AtomicU64,
    /// The connection on which the engine wrote its refusal.
    refused_on: Mutex<Option<SocketAddr>>,
    /// Whether the run went on from the handle of the refusal.
    refusal_used: AtomicBool,
}

/// Starts an engine that reports that it is leaving once `leaving` is set. It streams
/// until it is told to stop a run.
fn engine(name: &str, leaving: &Arc<AtomicBool>, move_result: MoveResult) -> Replica {
    engine_at(Ipv4Addr::LOCALHOST, name, 400, leaving, move_result)
}

/// Like [`engine`], at another address and with `used_tokens` tokens in its memory.
fn engine_at(
    host: Ipv4Addr,
    name: &str,
    used_tokens: u32,
    leaving: &Arc<AtomicBool>,
    move_result: MoveResult,
) -> Replica {
    let leaving = Arc::clone(leaving);
    let orders = Arc::new(MoveOrders::default());
    Replica::start_at(host, name, move |request, stream| {
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/v1/report") => {
                write_response(stream, &report(used_tokens, leaving.load(Ordering::SeqCst)))
            }
            ("POST", "/v1/kv-move") => {
                let peer = stream.peer_addr().unwrap();
                let response = handle_move_order(request, peer, &orders, move_result);
                write_response(stream, &response)
            }
            _ => generate(request, stream, &orders),
        }
    })
}

/// Returns the response to an order to move the run.
fn handle_move_order(
    request: &Request,
    peer: SocketAddr,
    orders: &MoveOrders,
    move_result: MoveResult,
) -> Vec<u8> {
    let order: Value = serde_json::from_slice(&request.body).unwrap();
    assert_eq!(order["id"], "r1");
    if move_result == MoveResult::Unknown {
        return response_with_length(404, "", b"{}");
    }
    let stops = order["last"] == true;
    let first_stop = stops && orders.stops.fetch_add(1, Ordering::SeqCst) == 0;
    let refusal = response_with_length(503, "", br#"{"handle":"h6"}"#);
    if first_stop && move_result != MoveResult::Copied {
        *orders.refused_on.lock().unwrap() = Some(peer);
        return refusal;
    }
    let answer = response_with_length(200, "", br#"{"handle":"h7","created":3}"#);
    let is_kept = *orders.refused_on.lock().unwrap() == Some(peer);
    if stops && is_kept && move_result == MoveResult::RefusalRepeated {
        return [refusal, answer].concat();
    }
    answer
}

fn report(used_tokens: u32, leaving: bool) -> Vec<u8> {
    let mut report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
        "waiting": 0, "running": 1, "kvUsed": used_tokens, "kvTotal": 34000, "handles": 0,
        "state": "ready", "born": 7});
    if leaving {
        report["state"] = json!("draining");
        report["leaves_ms"] = json!(1700);
    }
    response_with_length(200, "", report.to_string().as_bytes())
}

fn generate(
    request: &Request,
    stream: &mut std::net::TcpStream,
    orders: &MoveOrders,
) -> ConnectionAction {
    let stops = &orders.stops;
    let goes_on = request
        .header("kv-from")
        .is_some_and(|from| from.ends_with("/h6"));
    if goes_on && orders.refusal_used.swap(true, Ordering::SeqCst) {
        let headers = format!("{}Not-Executed: 1\r\n", signature_headers(request));
        return write_response(stream, &response_with_length(503, &headers, b"used"));
    }
    let stops_before = stops.load(Ordering::SeqCst);
    let first = request
        .header("last-event-id")
        .map_or(0, |last| last.parse::<u64>().unwrap() + 1);
    let response_head = format!(
        "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        signature_headers(request)
    );
    write_response(stream, response_head.as_bytes());
    for number in first..EVENTS {
        if stops.load(Ordering::SeqCst) != stops_before {
            // An engine that stops may break off in the middle of an event.
            write_response(stream, &chunk(&format!("id: {number}\nda")));
            return ConnectionAction::Close;
        }
        write_response(stream, &chunk(&format!("id: {number}\ndata: {number}\n\n")));
        std::thread::sleep(EVENT_GAP);
    }
    write_response(stream, b"0\r\n\r\n")
}

fn full_stream() -> String {
    (0..EVENTS)
        .map(|number| format!("id: {number}\ndata: {number}\n\n"))
        .collect()
}

/// Sends a request, makes the engine that runs it leave, and returns the response and
/// the requests that both engines received.
fn migrate_stream(
    test: &str,
    move_result: MoveResult,
) -> (crate::fake_http::ReceivedResponse, Vec<Request>) {
    let leaving_flags = [
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    ];
    let engines = [
        engine("i-1", &leaving_flags[0], move_result),
        engine("i-2", &leaving_flags[1], move_result),
    ];
    let site = Site::start(test, &[(&engines[0], "writers"), (&engines[1], "writers")]);
    leave_during_stream(&site, &engines, &leaving_flags)
}

/// Sends a request to one of two engines, makes that engine leave, and returns the response
/// and the requests that both received.
fn leave_during_stream(
    site: &Site,
    engines: &[Replica; 2],
    leaving_flags: &[Arc<AtomicBool>; 2],
) -> (crate::fake_http::ReceivedResponse, Vec<Request>) {
    let mut connection = site.connect();
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(move || {
            let head = crate::gateway_harness::request_head("/report/a", "r1", "");
            connection.send(&head.replace("2500", "9000"), "hello");
            connection.receive().unwrap()
        });
        crate::gateway_harness::wait_until("an engine has the request", || {
            engines.iter().any(|engine| !engine.requests().is_empty())
        });
        std::thread::sleep(Duration::from_millis(200));
        let first = usize::from(engines[0].requests().is_empty());
        leaving_flags[first].store(true, Ordering::SeqCst);
        caller.join().unwrap()
    });
    let requests = [engines[0].requests(), engines[1].requests()].concat();
    (response, requests)
}

/// The caller gets each event exactly once and in order from two engines. The second
/// engine continues from the memory of the first.
#[test]
fn stream_is_migrated_completely() {
    let (response, requests) = migrate_stream("migrated", MoveResult::Copied);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    assert_eq!(response.header("response-signature"), Some("s.r1"));
    assert_eq!(requests.len(), 2);
    let moved = requests
        .iter()
        .find(|request| request.header("kv-from").is_some())
        .unwrap();
    let kv_from = moved.header("kv-from").unwrap();
    assert!(kv_from.ends_with("/h7"), "{kv_from}");
    assert!(moved.header("last-event-id").is_some());
}

/// Guards against a run that continues at another version of its engine, from memory that
/// this version may not understand. Both versions get requests.
#[test]
fn run_stays_in_version() {
    let leaving_flags = [
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    ];
    let engines = [
        engine("i-1", &leaving_flags[0], MoveResult::Copied),
        engine("i-2", &leaving_flags[1], MoveResult::Copied),
    ];
    let bounds = "exposure_share: 0.1, exposure_slack: 50, rollback_ms: 5000";
    let site = Site::start_bounded("stays_in_version", &[], 1, bounds);
    site.register_version(&engines[0], "writers", "v1");
    site.register_version(&engines[1], "writers", "v2");
    site.gateway
        .wait_for_line("versions that get requests changed");
    // One version is withheld until it is clear that no order names it.
    site.gateway
        .wait_for_line("versions that get requests changed");
    let (response, requests) = leave_during_stream(&site, &engines, &leaving_flags);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    assert_eq!(requests.len(), 1);
}

/// Guards against the same with settings that name no limits of roll-outs.
#[test]
fn unlimited_run_stays() {
    let leaving_flags = [
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicBool::new(false)),
    ];
    let engines = [
        engine("i-1", &leaving_flags[0], MoveResult::Copied),
        engine("i-2", &leaving_flags[1], MoveResult::Copied),
    ];
    let site = Site::start("unlimited_run", &[]);
    site.register_version(&engines[0], "writers", "v1");
    site.register_version(&engines[1], "writers", "v2");
    for _ in &engines {
        site.gateway.wait_for_line("endpoint joined");
    }
    let (response, requests) = leave_during_stream(&site, &engines, &leaving_flags);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    assert_eq!(requests.len(), 1);
}

/// When the entry of the target engine changes to another version, in the middle of a move.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TargetChanges {
    /// While the memory is copied and the run goes on.
    DuringCopy,
    /// While the run is stopped.
    DuringStop,
}

/// Starts an engine like [`engine`] whose next order to move is answered once `held` is no
/// longer set, at the stage that `changes` names. `orders` counts orders that stop the run.
fn held_engine(
    name: &str,
    leaving: &Arc<AtomicBool>,
    (changes, move_result): (TargetChanges, MoveResult),
    held: &Arc<AtomicBool>,
    reached: &Arc<AtomicBool>,
    stops: &Arc<AtomicU64>,
) -> Replica {
    let leaving = Arc::clone(leaving);
    let (held, reached, stops) = (Arc::clone(held), Arc::clone(reached), Arc::clone(stops));
    let orders = Arc::new(MoveOrders::default());
    Replica::start(name, move |request, stream| {
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/v1/report") => {
                write_response(stream, &report(400, leaving.load(Ordering::SeqCst)))
            }
            ("POST", "/v1/kv-move") => {
                let order: Value = serde_json::from_slice(&request.body).unwrap();
                let is_stop = order["last"] == true;
                stops.fetch_add(u64::from(is_stop), Ordering::SeqCst);
                if is_stop == (changes == TargetChanges::DuringStop) {
                    reached.store(true, Ordering::SeqCst);
                    while held.load(Ordering::SeqCst) {
                        std::thread::sleep(Duration::from_millis(5));
                    }
                }
                let peer = stream.peer_addr().unwrap();
                let response = handle_move_order(request, peer, &orders, move_result);
                write_response(stream, &response)
            }
            _ => generate(request, stream, &orders),
        }
    })
}

/// Runs a stream at one of two engines of a version, which leaves. The entry of the other one
/// changes to another version during the move, and a third engine of the first version joins
/// then. Returns the response, the number of orders that stopped the run, and how many requests
/// the changed and the third engine received.
fn change_target(
    test: &str,
    changes: TargetChanges,
) -> (crate::fake_http::ReceivedResponse, u64, [usize; 2]) {
    let leaving = [(); 3].map(|()| Arc::new(AtomicBool::new(false)));
    let held = Arc::new(AtomicBool::new(true));
    let reached = Arc::new(AtomicBool::new(false));
    let stops = Arc::new(AtomicU64::new(0));
    let names = ["i-1", "i-2", "i-3"];
    let engines = [0, 1, 2].map(|at| {
        held_engine(
            names[at],
            &leaving[at],
            (changes, MoveResult::Copied),
            &held,
            &reached,
            &stops,
        )
    });
    let listed = [(&engines[0], "writers"), (&engines[1], "writers")];
    let site = Site::start(test, &listed);
    let mut connection = site.connect();
    let head = crate::gateway_harness::request_head("/note/a", "r1", "");
    connection.send(&head.replace("2500", "9000"), "hello");
    crate::gateway_harness::wait_until("an engine has the request", || {
        engines.iter().any(|engine| !engine.requests().is_empty())
    });
    std::thread::sleep(Duration::from_millis(200));
    let first = usize::from(engines[0].requests().is_empty());
    leaving[first].store(true, Ordering::SeqCst);
    crate::gateway_harness::wait_until("the order has come", || reached.load(Ordering::SeqCst));
    site.register_version(&engines[1 - first], "writers", "v2");
    site.register_version(&engines[2], "writers", "v1");
    site.gateway.wait_for_line("endpoint joined");
    held.store(false, Ordering::SeqCst);
    let response = connection.receive().unwrap();
    let received = [1 - first, 2].map(|at| engines[at].requests().len());
    (response, stops.load(Ordering::SeqCst), received)
}

/// Guards against a run that is stopped for an engine that may not take it any more, as its
/// version has changed since it was chosen. The run moves to another engine.
#[test]
fn target_changes_in_copy() {
    let (response, stops, received) = change_target("copy_changes", TargetChanges::DuringCopy);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    assert_eq!((stops, received), (1, [0, 1]));
}

/// Guards against a stream that goes on at an engine whose version has changed while the run
/// was stopped. It goes on at the engine that stopped it and keeps its memory, and then moves to
/// the other engine of its version.
#[test]
fn target_changes_in_stop() {
    let (response, stops, received) = change_target("stop_changes", TargetChanges::DuringStop);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    assert_eq!((stops, received), (2, [0, 1]));
}

/// Guards against a stream that goes on from the memory that its engine kept for lack of room
/// elsewhere, although that engine has restarted with another version since. It goes on at an
/// engine of its version.
#[test]
fn source_restarts_after_stop() {
    let leaving = [(); 2].map(|()| Arc::new(AtomicBool::new(false)));
    let held = Arc::new(AtomicBool::new(true));
    let reached = Arc::new(AtomicBool::new(false));
    let stops = Arc::new(AtomicU64::new(0));
    let names = ["i-1", "i-2"];
    let behaviour = (TargetChanges::DuringStop, MoveResult::FirstStopRefused);
    let engines =
        [0, 1].map(|at| held_engine(names[at], &leaving[at], behaviour, &held, &reached, &stops));
    let listed = [(&engines[0], "writers"), (&engines[1], "writers")];
    let site = Site::start("source_restarts", &listed);
    let mut connection = site.connect();
    let head = crate::gateway_harness::request_head("/note/a", "r1", "");
    connection.send(&head.replace("2500", "9000"), "hello");
    crate::gateway_harness::wait_until("an engine has the request", || {
        engines.iter().any(|engine| !engine.requests().is_empty())
    });
    std::thread::sleep(Duration::from_millis(200));
    let first = usize::from(engines[0].requests().is_empty());
    leaving[first].store(true, Ordering::SeqCst);
    crate::gateway_harness::wait_until("the order has come", || reached.load(Ordering::SeqCst));
    let entry = json!({"service": "writers", "address": engines[first].address().to_string(),
        "zone": "z", "version": "v2", "slots": 50, "state": "ready", "coldRemainingMs": 0,
        "sequence": 1, "born": 8});
    let name = &engines[first].name;
    site.store.put("keyed.servers", name, Some(&entry));
    site.gateway.wait_for_line("endpoint restarted");
    held.store(false, Ordering::SeqCst);
    let response = connection.receive().unwrap();
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    let [source, other] = [first, 1 - first].map(|at| engines[at].requests());
    assert_eq!((source.len(), other.len()), (1, 1));
    assert!(other[0].header("last-event-id").is_some());
    assert_eq!(other[0].header("kv-from"), None);
}

/// A run that the engine no longer knows has ended on its own, so it is not migrated.
#[test]
fn unknown_run_finishes_in_place() {
    let (response, requests) = migrate_stream("finished_in_place", MoveResult::Unknown);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    assert_eq!(requests.len(), 1);
}

/// If the other engine has no room for a run that was already stopped, the run
/// continues on the engine that keeps its memory and is migrated later.
#[test]
fn move_rejected_after_stop() {
    let (response, requests) = migrate_stream("rejected_after_stop", MoveResult::FirstStopRefused);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    let kv_from: Vec<_> = requests
        .iter()
        .filter_map(|request| request.header("kv-from"))
        .collect();
    assert!(
        kv_from.iter().any(|kv_from| kv_from.ends_with("/h6")),
        "{kv_from:?}"
    );
}

/// An earlier refusal that comes once more on a kept connection is not taken for the
/// answer to a later order: the run had stopped and was lost.
#[test]
fn repeated_refusal_of_move() {
    let (response, _) = migrate_stream("refusal_repeated", MoveResult::RefusalRepeated);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
}

/// Number of link grants to request. Each lasts one second; together they outlast the
/// notice of the leaving engine.
const LINK_GRANTS: usize = 3;

/// Requests an engine's link several times in a row, as other gateways would, and waits
/// for the first grant.
async fn hold_link(engine: &Replica, port: u16) -> Vec<tonic::Streaming<v1::LinkGranted>> {
    let observer = format!("http://{}:{port}", engine.address().ip());
    let mut client = ObserverClient::connect(observer).await.unwrap();
    let mut grants = Vec::new();
    for _ in 0..LINK_GRANTS {
        let entry = "another".to_owned();
        let grant = client.hold_link(v1::HoldLinkRequest { entry }).await;
        grants.push(grant.unwrap().into_inner());
    }
    grants[0].message().await.unwrap();
    grants
}

/// When many engines leave at once, copies to the same engine share its link, and each
/// takes as long as all of them together. A run is therefore migrated to an engine with
/// a free link, even if another engine has more room.
#[test]
fn migration_prefers_free_link() {
    let leaving = Arc::new(AtomicBool::new(false));
    let not_leaving = Arc::new(AtomicBool::new(false));
    let host = |last| Ipv4Addr::new(127, 0, 0, last);
    let engines = [
        engine_at(host(2), "i-1", 0, &leaving, MoveResult::Copied),
        engine_at(host(3), "i-2", 6_000, &not_leaving, MoveResult::Copied),
        engine_at(host(4), "i-3", 20_000, &not_leaving, MoveResult::Copied),
    ];
    let port = free_port(host(2));
    let test = "free_link";
    let observers = engines
        .each_ref()
        .map(|engine| start_observer(test, engine, port, None));
    let listed = engines.each_ref().map(|engine| (engine, "writers"));
    let site = Site::start_observed(test, &listed, port);
    let mut connection = site.connect();
    let response = std::thread::scope(|scope| {
        let caller = scope.spawn(move || {
            let head = crate::gateway_harness::request_head("/report/a", "r1", "");
            connection.send(&head.replace("2500", "9000"), "hello");
            connection.receive().unwrap()
        });
        crate::gateway_harness::wait_until("an engine has the request", || {
            !engines[0].requests().is_empty()
        });
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let held_links = runtime.block_on(hold_link(&engines[1], port));
        leaving.store(true, Ordering::SeqCst);
        let response = caller.join().unwrap();
        drop(held_links);
        response
    });
    drop(observers);
    assert_eq!(response.body, full_stream());
    assert_eq!(
        engines.each_ref().map(|engine| engine.requests().len()),
        [1, 0, 1]
    );
}

/// The observer serves its metrics, and SIGHUP does not end it.
#[test]
fn observer_serves_metrics() {
    let engine = engine("i-1", &Arc::new(AtomicBool::new(false)), MoveResult::Copied);
    let settings = format!(
        "name: beside\nzone: z\nobserver:\n  listen: 127.0.0.1:0\n  engine: {}\n  \
         metrics: 127.0.0.1:0\n",
        engine.address()
    );
    let observer = DaemonProcess::start("observer", "observer_pages", &settings);
    observer.wait_for_line("engine seen");
    observer.signal("-HUP");
    observer.wait_for_line("SIGHUP");
    let mut connection = crate::fake_http::ClientConnection::open(observer.address("metrics"));
    connection.send("GET /metrics HTTP/1.1\nHost: x", "");
    let page = connection.receive().unwrap().body;
    assert!(page.contains("lentiltray_observer_engine_answer_seconds_count"));
    assert_eq!(observer.stop(), Some(0));
}
