//! Running generations go on at their backup engine after their engine has died.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use serde_json::{Value, json};

use crate::daemon_process::DaemonProcess;
use crate::fake_http::{
    ConnectionAction, Framing, ReceivedResponse, Request, chunk, response_with_length,
};
use crate::fake_store::Store;
use crate::gateway_harness::{
    Replica, Site, config, request_head, signature_headers, wait_until, write_response,
};

/// Time between two events of the fake engine.
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Number of events in a complete stream.
const EVENTS: u64 = 60;
/// Number of events after which an engine dies in the middle of an established stream.
const DIES_AFTER: u64 = 30;
/// Time without an event after which the gateway gives up a stream.
const STALL_MS: u64 = 600;

/// Time within which a gateway has read a changed entry.
const ENTRY_READ: Duration = Duration::from_millis(700);

/// How a stream ends at an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Complete,
    /// The connection breaks off in the middle of an event before this one.
    BrokenBefore(u64),
    /// The engine writes nothing more from this event on and keeps the connection open.
    SilentFrom(u64),
    /// The engine is killed between two events before this one, in a stream without length or
    /// chunks: the connection is closed in order, and nothing more is accepted.
    KilledBefore(u64),
    /// There is no copy, and nothing is run.
    NoCopy,
}

/// What the engines of a test do.
#[derive(Debug)]
struct Plan {
    /// How streams without a copy end.
    first: End,
    /// How streams that continue from a copy end.
    backup: End,
    /// Whether engines that run nothing report that they are leaving.
    others_leave: AtomicBool,
    /// Number of copies of the run that were freed.
    freed: AtomicUsize,
}

impl Plan {
    fn new(first: End, backup: End) -> Arc<Self> {
        Arc::new(Self {
            first,
            backup,
            others_leave: AtomicBool::new(false),
            freed: AtomicUsize::new(0),
        })
    }
}

fn engine(name: &str, plan: &Arc<Plan>) -> Replica {
    let plan = Arc::clone(plan);
    let runs = AtomicBool::new(false);
    Replica::start(name, move |request, stream| {
        match (request.method.as_str(), request.target.as_str()) {
            ("GET", "/v1/report") => {
                let leaves = plan.others_leave.load(Ordering::SeqCst);
                let leaves = leaves && !runs.load(Ordering::SeqCst);
                write_response(stream, &report(leaves))
            }
            ("DELETE", "/v1/kv-handle/r1") => {
                plan.freed.fetch_add(1, Ordering::SeqCst);
                write_response(stream, &response_with_length(200, "", b"{}"))
            }
            _ if request.header("attempt-id").is_none() => ConnectionAction::Close,
            _ => {
                runs.store(true, Ordering::SeqCst);
                generate(request, stream, &plan)
            }
        }
    })
}

fn report(leaving: bool) -> Vec<u8> {
    let mut report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
        "waiting": 0, "running": 0, "kvUsed": 400, "kvTotal": 34000, "handles": 0,
        "state": "ready", "born": 7});
    if leaving {
        report["state"] = json!("draining");
        report["leaves_ms"] = json!(5000);
    }
    response_with_length(200, "", report.to_string().as_bytes())
}

fn generate(request: &Request, stream: &mut TcpStream, plan: &Plan) -> ConnectionAction {
    let end = if request.header("kv-from").is_some() {
        plan.backup
    } else {
        plan.first
    };
    if end == End::NoCopy {
        let headers = format!("{}Not-Executed: 1\r\n", signature_headers(request));
        return write_response(stream, &response_with_length(503, &headers, b"no copy"));
    }
    let first = request
        .header("last-event-id")
        .map_or(0, |last| last.parse::<u64>().unwrap() + 1);
    let framing = match end {
        End::KilledBefore(_) => Framing::Neither,
        _ => Framing::Chunks,
    };
    let head = framing.head(200, &signature_headers(request), 0);
    write_response(stream, &head);
    for number in first..EVENTS {
        match end {
            End::BrokenBefore(event) if event == number => {
                write_response(stream, &chunk(&format!("id: {number}\nda")));
                return ConnectionAction::Close;
            }
            End::KilledBefore(event) if event == number => return ConnectionAction::Crash,
            End::SilentFrom(event) if event == number => {
                std::thread::sleep(Duration::from_secs(3));
                return ConnectionAction::Close;
            }
            _ => {}
        }
        let event = framing.part(&format!("id: {number}\ndata: {number}\n\n"));
        if write_response(stream, &event) == ConnectionAction::Close {
            return ConnectionAction::Close;
        }
        std::thread::sleep(EVENT_GAP);
    }
    write_response(stream, b"0\r\n\r\n")
}

fn events(range: std::ops::Range<u64>) -> String {
    range
        .map(|number| format!("id: {number}\ndata: {number}\n\n"))
        .collect()
}

/// Whether a gateway's settings ask for backup copies.
#[derive(Clone, Copy, PartialEq)]
pub(crate) enum BackupCopies {
    On,
    Off,
}

/// Starts a gateway with this rule set, and waits until it knows `engines`.
pub(crate) fn pressure_site(
    test: &str,
    (contract, copies): (&str, BackupCopies),
    config: &Value,
    engines: &[&Replica],
) -> Site {
    let store = Store::start();
    let settings = format!(
        "name: {test}\nzone: z\ngateway:\n  callers: 127.0.0.1:0\n  \
         readiness: 127.0.0.1:0\n  metrics: 127.0.0.1:0\n  store: {}\n  \
         observer_port: 1\n  contracts: [{contract}]\n  \
         bounds: {{stream_stall_ms: {STALL_MS}, backup_copies: {}}}\n",
        store.address(),
        copies == BackupCopies::On,
    );
    let gateway = DaemonProcess::start("gateway", test, &settings);
    let site = Site { store, gateway };
    site.store.put("keyed.op", "config", Some(config));
    for engine in engines {
        site.register_endpoint(engine, "writers", "ready");
    }
    site.wait_until_ready();
    for _ in engines {
        site.gateway.wait_for_line("endpoint joined");
    }
    site
}

/// A gateway with three engines that run the same plan.
struct Fixture {
    site: Site,
    engines: [Replica; 3],
    plan: Arc<Plan>,
}

impl Fixture {
    fn start(test: &str, first: End, backup: End) -> Self {
        let settings = ("pressure", BackupCopies::On);
        Self::start_with(test, (first, backup), settings, |_| {})
    }

    /// Starts a gateway with these settings, after `change` to the configuration.
    fn start_with(
        test: &str,
        (first, backup): (End, End),
        settings: (&str, BackupCopies),
        change: impl FnOnce(&mut Value),
    ) -> Self {
        let plan = Plan::new(first, backup);
        let engines = ["i-1", "i-2", "i-3"].map(|name| engine(name, &plan));
        let mut config = config(1);
        config["services"][1]["engine"]["backups"] = json!(true);
        change(&mut config);
        let listed = engines.each_ref();
        let site = pressure_site(test, settings, &config, &listed);
        // The gateway names only engines as backup whose report it knows.
        wait_until("the engines' reports are known", || {
            engines.iter().all(|engine| engine.report_count() > 1)
        });
        Self {
            site,
            engines,
            plan,
        }
    }

    /// Sends the request and returns the response and what engines received, in order. The
    /// first engine was told of a backup engine.
    fn run(&self) -> (ReceivedResponse, Vec<(usize, Request)>) {
        let mut connection = self.site.connect();
        connection.send(&head("/report/a"), "hello");
        let response = connection.receive().unwrap();
        let requests = self.requests();
        assert!(requests[0].1.header("kv-backup").is_some());
        (response, requests)
    }

    /// The requests at the engines; those that continue a run come last.
    fn requests(&self) -> Vec<(usize, Request)> {
        let engines = self.engines.iter().enumerate();
        let mut requests: Vec<_> = engines
            .flat_map(|(number, engine)| engine.requests().into_iter().map(move |it| (number, it)))
            .collect();
        requests.sort_by_key(|(_, request)| request.header("kv-from").is_some());
        requests
    }
}

fn head(target: &str) -> String {
    request_head(target, "r1", "").replace("2500", "9000")
}

/// Guards against the loss of a stream whose engine dies, and against events that arrive
/// twice or not at all.
#[test]
fn continued_after_crash() {
    let fixture = Fixture::start("backup_crash", End::BrokenBefore(DIES_AFTER), End::Complete);
    let (response, requests) = fixture.run();
    assert_eq!(response.body, events(0..EVENTS));
    assert!(response.complete);
    let [(first, sent), (second, continued)] = requests.as_slice() else {
        panic!("{requests:?}");
    };
    assert_ne!(first, second);
    let backup = fixture.engines[*second].address().to_string();
    assert_eq!(sent.header("kv-backup"), Some(backup.as_str()));
    assert_eq!(sent.header("kv-from"), None);
    let kv_from = format!("{backup}/r1");
    assert_eq!(continued.header("kv-from"), Some(kv_from.as_str()));
    let last = (DIES_AFTER - 1).to_string();
    assert_eq!(continued.header("last-event-id"), Some(last.as_str()));
    assert_eq!(continued.header("attempt-id"), Some("r1"));
    assert_eq!(continued.body, sent.body);
}

/// Guards against a run from the start where no copy exists: the stream is lost.
#[test]
fn lost_without_copy() {
    let fixture = Fixture::start("backup_absent", End::BrokenBefore(DIES_AFTER), End::NoCopy);
    let (response, requests) = fixture.run();
    assert_eq!(response.body, events(0..DIES_AFTER));
    assert!(!response.complete);
    assert_eq!(requests.len(), 2);
}

/// Guards against a part of a stream that ends as complete because its engine was killed and
/// closed its connections in order: the stream goes on.
#[test]
fn continued_after_kill() {
    let fixture = Fixture::start("backup_kill", End::KilledBefore(DIES_AFTER), End::Complete);
    let (response, _) = fixture.run();
    assert_eq!(response.body, events(0..EVENTS));
    assert!(response.complete);
}

/// The same where the backup engine is killed too.
#[test]
fn backup_killed_too() {
    let fixture = Fixture::start(
        "backup_killed",
        End::KilledBefore(DIES_AFTER),
        End::KilledBefore(DIES_AFTER + 20),
    );
    let (response, requests) = fixture.run();
    assert_eq!(response.body, events(0..DIES_AFTER + 20));
    assert!(!response.complete);
    assert_eq!(requests.len(), 2);
}

/// Guards against a request that crashes one engine after another.
#[test]
fn backup_dies_too() {
    let fixture = Fixture::start(
        "backup_dies",
        End::BrokenBefore(DIES_AFTER),
        End::BrokenBefore(DIES_AFTER + 20),
    );
    let (response, requests) = fixture.run();
    assert_eq!(response.body, events(0..DIES_AFTER + 20));
    assert!(!response.complete);
    assert_eq!(requests.len(), 2);
}

/// Guards against a crash of the backup engine by a request that crashes engines at once.
#[test]
fn early_crash_not_continued() {
    let fixture = Fixture::start("backup_early", End::BrokenBefore(4), End::Complete);
    let (response, requests) = fixture.run();
    assert!(!response.complete);
    assert_eq!(requests.len(), 1);
}

/// Guards against a second run beside one that is only silent.
#[test]
fn silent_engine_not_doubled() {
    let fixture = Fixture::start("backup_silent", End::SilentFrom(DIES_AFTER), End::Complete);
    let (response, requests) = fixture.run();
    assert_eq!(response.body, events(0..DIES_AFTER));
    assert!(!response.complete);
    assert_eq!(requests.len(), 1);
}

/// Guards against a backup engine that is leaving.
#[test]
fn leaving_backup_not_used() {
    let fixture = Fixture::start(
        "backup_leaves",
        End::BrokenBefore(DIES_AFTER),
        End::Complete,
    );
    let mut connection = fixture.site.connect();
    connection.send(&head("/report/a"), "hello");
    wait_until("an engine has the request", || {
        !fixture.requests().is_empty()
    });
    fixture.plan.others_leave.store(true, Ordering::SeqCst);
    let response = connection.receive().unwrap();
    assert!(!response.complete);
    let requests = fixture.requests();
    assert_eq!(requests.len(), 1);
    assert!(requests[0].1.header("kv-backup").is_some());
}

/// Guards against a run that continues at another version of its engine: that of the backup
/// engine has changed since it was chosen.
#[test]
fn backup_version_changes() {
    let fixture = Fixture::start(
        "backup_changes",
        End::BrokenBefore(DIES_AFTER),
        End::Complete,
    );
    let mut connection = fixture.site.connect();
    connection.send(&head("/report/a"), "hello");
    wait_until("an engine has the request", || {
        !fixture.requests().is_empty()
    });
    for engine in &fixture.engines {
        if engine.requests().is_empty() {
            fixture.site.register_version(engine, "writers", "v2");
        }
    }
    let response = connection.receive().unwrap();
    assert_eq!(response.body, events(0..DIES_AFTER));
    assert!(!response.complete);
    let requests = fixture.requests();
    assert_eq!(requests.len(), 1);
    assert!(requests[0].1.header("kv-backup").is_some());
}

/// Guards against copies at engines of another version, which can't continue the run.
#[test]
fn backup_of_version() {
    let fixture = Fixture::start(
        "backup_version",
        End::BrokenBefore(DIES_AFTER),
        End::Complete,
    );
    for (engine, version) in fixture.engines.iter().zip(["v2", "v3", "v4"]) {
        fixture.site.register_version(engine, "writers", version);
    }
    std::thread::sleep(ENTRY_READ);
    let mut connection = fixture.site.connect();
    connection.send(&head("/report/a"), "hello");
    let response = connection.receive().unwrap();
    assert!(!response.complete);
    let requests = fixture.requests();
    assert_eq!(requests.len(), 1);
    assert_eq!(requests[0].1.header("kv-backup"), None);
}

/// Guards against copies and runs that nobody needs any more.
#[test]
fn caller_leaves() {
    let fixture = Fixture::start("backup_left", End::Complete, End::Complete);
    let mut connection = fixture.site.connect();
    connection.send(&head("/report/a"), "hello");
    wait_until("an engine has the request", || {
        !fixture.requests().is_empty()
    });
    std::thread::sleep(EVENT_GAP * 10);
    drop(connection);
    wait_until("the copy is freed", || {
        fixture.plan.freed.load(Ordering::SeqCst) > 0
    });
    assert_eq!(fixture.requests().len(), 1);
}

/// Guards against a run at the backup engine that goes on after its caller has left.
#[test]
fn caller_leaves_backup() {
    let fixture = Fixture::start(
        "backup_left_later",
        End::BrokenBefore(DIES_AFTER),
        End::SilentFrom(DIES_AFTER + 5),
    );
    let mut connection = fixture.site.connect();
    connection.send(&head("/report/a"), "hello");
    wait_until("the backup engine has the run", || {
        fixture.requests().len() == 2
    });
    drop(connection);
    let ended = fixture.site.gateway.wait_for_line("request ended");
    assert_eq!(ended["kvs"]["outcome"], "caller disconnected");
    assert_eq!(fixture.requests().len(), 2);
}

/// Guards against backups where the deployment, the engine or the route doesn't call for them.
#[test]
fn named_only_where_enabled() {
    type Change = fn(&mut Value);
    let disabled: Change = |config| config["services"][1]["engine"]["backups"] = json!(false);
    let slow_link: Change = |config| config["services"][1]["engine"]["linkMbps"] = json!(100.0);
    let asked = ("pressure", BackupCopies::On);
    let not_asked = ("pressure", BackupCopies::Off);
    let cases: [(&str, (&str, BackupCopies), &str, Change); 5] = [
        (
            "backup_calm",
            ("calm", BackupCopies::On),
            "/report/a",
            |_| {},
        ),
        ("backup_not_asked", not_asked, "/report/a", |_| {}),
        ("backup_disabled", asked, "/report/a", disabled),
        ("backup_slow_link", asked, "/report/a", slow_link),
        ("backup_resumable", asked, "/note/a", |_| {}),
    ];
    for (test, settings, target, change) in cases {
        let ends = (End::Complete, End::Complete);
        let fixture = Fixture::start_with(test, ends, settings, change);
        let mut connection = fixture.site.connect();
        connection.send(&head(target), "hello");
        assert!(connection.receive().unwrap().complete);
        let requests = fixture.requests();
        assert_eq!(requests.len(), 1, "{test}");
        assert_eq!(requests[0].1.header("kv-backup"), None, "{test}");
    }
}
