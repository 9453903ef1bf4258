//! A stream that has begun goes on only at endpoints of the version that began it.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use serde_json::json;

use crate::fake_http::{
    ClientConnection, ConnectionAction, ReceivedResponse, Request, chunk, response_with_length,
};
use crate::gateway_harness::{
    Replica, Site, config, request_head, signature_headers, wait_until, write_response,
};

/// Number of events in a complete stream.
const EVENTS: u64 = 6;

/// Time within which a gateway has read a changed entry.
const ENTRY_READ: Duration = Duration::from_millis(700);

/// Where the first stream of a test breaks off; later ones are complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BreaksOff {
    /// After the head of the answer.
    AfterHead,
    /// After two events.
    AfterEvents,
}

/// What the engines of a test have in common.
#[derive(Debug, Default)]
struct Script {
    /// Whether a stream has begun.
    begun: AtomicBool,
    /// Whether the first stream does not break off yet.
    holds_break: AtomicBool,
    /// Whether engines don't answer further runs yet.
    holds_rerun: AtomicBool,
    /// Whether the second engine reports that all its slots are taken.
    second_is_full: AtomicBool,
}

impl Script {
    fn hold(flag: &AtomicBool) {
        while flag.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// Starts an engine that names itself in the head of its answers. The first stream of all
/// engines with this script breaks off.
fn engine(name: &'static str, breaks_off: BreaksOff, script: &Arc<Script>) -> Replica {
    let script = Arc::clone(script);
    Replica::start(name, move |request, stream| {
        if request.target == "/v1/report"
            && name == "i-2"
            && script.second_is_full.load(Ordering::SeqCst)
        {
            let report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
                "waiting": 0, "running": 8, "kvUsed": 400, "kvTotal": 34000, "handles": 0,
                "state": "ready", "born": 7});
            let body = report.to_string();
            return write_response(stream, &response_with_length(200, "", body.as_bytes()));
        }
        if request.header("attempt-id").is_none() {
            return write_response(stream, &response_with_length(503, "", b""));
        }
        let first_event = request
            .header("last-event-id")
            .map_or(0, |last| last.parse::<u64>().unwrap() + 1);
        if script.begun.swap(true, Ordering::SeqCst) {
            Script::hold(&script.holds_rerun);
            write_events(name, request, stream, first_event..EVENTS);
            return write_response(stream, b"0\r\n\r\n");
        }
        let count = match breaks_off {
            BreaksOff::AfterHead => 0,
            BreaksOff::AfterEvents => 2,
        };
        write_events(name, request, stream, 0..count);
        // The gateway forwards what it has before the end.
        std::thread::sleep(Duration::from_millis(100));
        Script::hold(&script.holds_break);
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

/// Sends the request of a stream.
fn begin(site: &Site) -> ClientConnection {
    let mut connection = site.connect();
    let head = request_head("/note/a", "r1", "").replace("2500", "9000");
    connection.send(&head, "hello");
    connection
}

fn send(site: &Site) -> ReceivedResponse {
    begin(site).receive().unwrap()
}

/// The value of a metric of the gateway without labels.
fn metric(site: &Site, name: &str) -> u64 {
    let mut connection = ClientConnection::open(site.gateway.address("metrics"));
    connection.send("GET /metrics HTTP/1.1\nHost: x", "");
    let page = connection.receive().unwrap().body;
    let prefix = format!("lentiltray_gateway_{name} ");
    let value = page.lines().find_map(|line| line.strip_prefix(&prefix));
    value.unwrap().parse().unwrap()
}

/// The number of streams that broke off as their version was gone.
fn version_gone(site: &Site) -> u64 {
    metric(site, "version_gone_total")
}

/// The engine that has the only request, and the others.
fn running<const N: usize>(engines: &[Replica; N]) -> (&Replica, Vec<&Replica>) {
    wait_until("an engine has the request", || {
        engines.iter().any(|engine| !engine.requests().is_empty())
    });
    let (with, without): (Vec<_>, Vec<_>) = engines
        .iter()
        .partition(|engine| !engine.requests().is_empty());
    (with[0], without)
}

/// Guards against another run that goes on, inside one answer, at another version.
#[test]
fn rerun_other_version() {
    let script = Arc::default();
    let engines = ["i-1", "i-2"].map(|name| engine(name, BreaksOff::AfterEvents, &script));
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
    let script = Arc::default();
    let engines =
        ["i-1", "i-2", "i-3", "i-4"].map(|name| engine(name, BreaksOff::AfterEvents, &script));
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
    let script = Arc::default();
    let engines = ["i-1", "i-2"].map(|name| engine(name, BreaksOff::AfterHead, &script));
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

/// Guards against endpoints without a valid version that are taken for those of any version.
#[test]
fn unversioned_apart() {
    for (versions, goes_on) in [(["", "v1"], false), (["", ""], true)] {
        let script = Arc::default();
        let engines = ["i-1", "i-2"].map(|name| engine(name, BreaksOff::AfterEvents, &script));
        let entries: Vec<_> = engines.iter().zip(versions).collect();
        let site = site(&format!("unversioned_{goes_on}"), &entries);
        let response = send(&site);
        assert_eq!(response.complete, goes_on);
        let events = if goes_on { EVENTS } else { 2 };
        assert_eq!(event_ids(&response.body), (0..events).collect::<Vec<_>>());
    }
}

/// Guards against events of an engine whose version has changed since it was chosen.
#[test]
fn rerun_engine_changes() {
    let script = Arc::new(Script::default());
    script.holds_rerun.store(true, Ordering::SeqCst);
    let engines = ["i-1", "i-2"].map(|name| engine(name, BreaksOff::AfterEvents, &script));
    let site = site("rerun_changes", &[(&engines[0], "v1"), (&engines[1], "v1")]);
    let mut connection = begin(&site);
    let (_, others) = running(&engines);
    wait_until("the other engine has the request", || {
        !others[0].requests().is_empty()
    });
    site.register_version(others[0], "writers", "v2");
    std::thread::sleep(ENTRY_READ);
    script.holds_rerun.store(false, Ordering::SeqCst);
    let response = connection.receive().unwrap();
    assert_eq!(event_ids(&response.body), [0, 1]);
    assert!(!response.complete);
}

/// Guards against a run whose version is that of its engine's entry at the time when it breaks
/// off. The engine that writes the stream is still the one of the earlier entry.
#[test]
fn entry_of_run_changes() {
    let script = Arc::new(Script::default());
    script.holds_break.store(true, Ordering::SeqCst);
    let engines = ["i-1", "i-2", "i-3"].map(|name| engine(name, BreaksOff::AfterEvents, &script));
    let entries: Vec<_> = engines.iter().zip(["v1"; 3]).collect();
    let site = site("entry_changes", &entries);
    let mut connection = begin(&site);
    let (first, others) = running(&engines);
    site.register_version(first, "writers", "v2");
    site.register_version(others[0], "writers", "v2");
    std::thread::sleep(ENTRY_READ);
    script.holds_break.store(false, Ordering::SeqCst);
    let (response, kept) = (connection.receive().unwrap(), others[1]);
    assert!(response.complete);
    assert_eq!(writers(&response.body)[1..], [kept.name.as_str()]);
}

/// Guards against a stream that goes on at engines of an evacuated availability zone, and
/// against one that leaves its version as these are excluded.
#[test]
fn evacuated_version() {
    let script = Arc::new(Script::default());
    script.holds_break.store(true, Ordering::SeqCst);
    let engines = ["i-1", "i-2"].map(|name| engine(name, BreaksOff::AfterEvents, &script));
    let site = site(
        "evacuated_version",
        &[(&engines[0], "v1"), (&engines[1], "v1")],
    );
    let mut connection = begin(&site);
    running(&engines);
    site.store.put("keyed.op", "evacuate/z", Some(&json!({})));
    std::thread::sleep(ENTRY_READ);
    script.holds_break.store(false, Ordering::SeqCst);
    let response = connection.receive().unwrap();
    assert_eq!(event_ids(&response.body), [0, 1]);
    assert!(!response.complete);
    assert_eq!(version_gone(&site), 1);
}

/// Writes an order to change the version to `v2`, and a status in this state.
fn end_rollout(site: &Site, state: &str) {
    let order = json!({"service": "writers", "target": "v2", "durationS": 60.0});
    site.store.put("keyed.op", "rollout/writers", Some(&order));
    let line = site
        .gateway
        .wait_for_line("an order to change a version is open");
    let order: u64 = line["kvs"]["order"].as_str().unwrap().parse().unwrap();
    let status = json!({"state": state, "target": "v2", "stage": state, "order": order});
    site.store
        .put("keyed.status", "rollout/writers", Some(&status));
    site.gateway.wait_for_line("the roll-out has ended");
    std::thread::sleep(ENTRY_READ);
}

/// Runs a stream that begins at one of two engines of `begun_at`, and breaks off once an order
/// to change the version to `v2` has ended in this state. One engine has the other version.
fn break_after_rollout(test: &str, state: &str, begun_at: &str) -> ReceivedResponse {
    let script = Arc::new(Script::default());
    script.holds_break.store(true, Ordering::SeqCst);
    let engines = ["i-1", "i-2"].map(|name| engine(name, BreaksOff::AfterEvents, &script));
    let other = engine("i-3", BreaksOff::AfterEvents, &script);
    let bounds = "exposure_share: 0.1, exposure_slack: 50, rollback_ms: 5000";
    let site = Site::start_bounded(test, &[], 1, bounds);
    for engine in &engines {
        site.register_version(engine, "writers", begun_at);
        site.gateway.wait_for_line("endpoint joined");
    }
    let mut connection = begin(&site);
    running(&engines);
    let other_version = if begun_at == "v1" { "v2" } else { "v1" };
    site.register_version(&other, "writers", other_version);
    site.gateway.wait_for_line("endpoint joined");
    end_rollout(&site, state);
    script.holds_break.store(false, Ordering::SeqCst);
    let response = connection.receive().unwrap();
    assert_eq!(other.requests().len(), 0);
    response
}

/// Guards against requests at a version that was rolled back: the stream breaks off.
#[test]
fn rolled_back_version() {
    let response = break_after_rollout("rolled_back", "rolled_back", "v2");
    assert_eq!(event_ids(&response.body), [0, 1]);
    assert!(!response.complete);
}

/// Guards against streams that break off or change their version as a roll-out has ended, while
/// the old version still serves.
#[test]
fn old_version_serves() {
    let response = break_after_rollout("old_serves", "completed", "v1");
    assert_eq!(event_ids(&response.body), (0..EVENTS).collect::<Vec<_>>());
    assert!(response.complete);
}

/// A stream that broke off at the first engine of its version, and waits for room at the second
/// one. A third engine of another version has room.
struct WaitingStream {
    site: Site,
    script: Arc<Script>,
    connection: ClientConnection,
    engines: [Replica; 3],
}

impl WaitingStream {
    fn start(test: &str) -> Self {
        let script = Arc::new(Script::default());
        script.holds_break.store(true, Ordering::SeqCst);
        script.second_is_full.store(true, Ordering::SeqCst);
        let engines = ["i-1", "i-2", "i-3"].map(|it| engine(it, BreaksOff::AfterEvents, &script));
        let site = site(test, &[(&engines[0], "v1"), (&engines[1], "v1")]);
        // Streams wait for this target latency at most.
        let mut config = config(2);
        config["routes"][3]["targetLatencyMs"] = json!(8_000);
        site.store.put("keyed.op", "config", Some(&config));
        while site.gateway.wait_for_line("a version is in force")["kvs"]["version"] != "2" {}
        wait_until("the engine's report is known", || {
            engines[1].report_count() > 2
        });
        let connection = begin(&site);
        let (first, _) = running(&engines);
        assert_eq!(first.name, "i-1");
        site.register_version(&engines[2], "writers", "v2");
        site.gateway.wait_for_line("endpoint joined");
        script.holds_break.store(false, Ordering::SeqCst);
        wait_until("the stream waits", || metric(&site, "waiting") == 1);
        Self {
            site,
            script,
            connection,
            engines,
        }
    }
}

/// Guards against requests that wait behind a stream that needs one version, and against a
/// stream that breaks off although its version will have room.
#[test]
fn waiting_stream_overtaken() {
    let mut waiting = WaitingStream::start("waiting_overtaken");
    let response = waiting.site.call("/note/a", "r2", "").unwrap();
    assert!(response.complete);
    assert_eq!(metric(&waiting.site, "waiting"), 1);
    waiting.script.second_is_full.store(false, Ordering::SeqCst);
    let response = waiting.connection.receive().unwrap();
    assert!(response.complete);
    assert_eq!(writers(&response.body), ["i-1", "i-2"]);
}

/// Guards against a stream that waits on for a version that has gone meanwhile.
#[test]
fn version_goes_in_wait() {
    let mut waiting = WaitingStream::start("goes_in_wait");
    for engine in &waiting.engines[..2] {
        waiting.site.store.put("keyed.servers", &engine.name, None);
    }
    let response = waiting.connection.receive().unwrap();
    assert!(!response.complete);
    assert_eq!(event_ids(&response.body), [0, 1]);
    assert_eq!(version_gone(&waiting.site), 1);
    assert_eq!(waiting.engines[2].requests().len(), 0);
}
