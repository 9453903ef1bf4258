//! Streams without length or chunks whose engines are gone and closed their connections in order,
//! as the kernel does for a process that is killed.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::json;

use crate::daemon_process::DaemonProcess;
use crate::fake_http::{
    ClientConnection, ConnectionAction, Framing, ReceivedResponse, Request, response_with_length,
};
use crate::gateway_harness::{
    Replica, Site, free_port, request_head, signature_headers, start_observer, wait_until,
    write_response,
};

/// Time between two events of the fake engines.
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Number of events in a complete stream, which outlasts the notice on a busy host too.
const EVENTS: usize = 200;
/// Notice of engines that leave.
const NOTICE: Duration = Duration::from_millis(1_540);

/// An engine with streams that end with their connection.
#[derive(Debug)]
struct Engine {
    leaves_at: Mutex<Option<Instant>>,
    /// Age of the values in its reports.
    report_age: Duration,
    /// Number of events in its streams.
    events: usize,
    /// Whether its process has ended.
    killed: AtomicBool,
    /// Whether another process has taken its place at its address.
    restarted: AtomicBool,
    running: AtomicUsize,
}

impl Engine {
    fn start(
        host: Ipv4Addr,
        name: &str,
        report_age: Duration,
        events: usize,
    ) -> (Arc<Self>, Replica) {
        let engine = Arc::new(Self {
            leaves_at: Mutex::default(),
            report_age,
            events,
            killed: AtomicBool::new(false),
            restarted: AtomicBool::new(false),
            running: AtomicUsize::new(0),
        });
        let handler = Arc::clone(&engine);
        let handle = move |request: &Request, stream: &mut TcpStream| match request.target.as_str()
        {
            "/v1/crash" => ConnectionAction::Crash,
            _ if handler.is_down() => ConnectionAction::Close,
            "/v1/report" => write_response(stream, &handler.report()),
            // Copies are never made, so that no order stops a run.
            "/v1/kv-move" => write_response(stream, &response_with_length(503, "", b"{}")),
            _ if request.header("attempt-id").is_none() => ConnectionAction::Close,
            _ => handler.generate(request, stream),
        };
        (engine, Replica::start_at(host, name, handle))
    }

    /// Announces that it will be gone.
    fn leave(&self) {
        *self.leaves_at.lock().unwrap() = Some(Instant::now() + NOTICE);
    }

    /// Is gone: nothing more is accepted or answered, and all streams are closed in order.
    fn kill(&self, address: SocketAddr) {
        self.killed.store(true, Ordering::SeqCst);
        let mut connection = TcpStream::connect(address).unwrap();
        let head = b"POST /v1/crash HTTP/1.1\r\nHost: x\r\n\r\n";
        connection.write_all(head).unwrap();
    }

    /// Is killed, and another process answers at its address at once.
    fn restart(&self) {
        self.restarted.store(true, Ordering::SeqCst);
        self.killed.store(true, Ordering::SeqCst);
    }

    fn is_down(&self) -> bool {
        self.killed.load(Ordering::SeqCst) && !self.restarted.load(Ordering::SeqCst)
    }

    fn report(&self) -> Vec<u8> {
        let started = if self.restarted.load(Ordering::SeqCst) {
            8
        } else {
            7
        };
        let mut report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
            "waiting": 0, "running": 1, "kvUsed": 400, "kvTotal": 34000, "handles": 0,
            "state": "ready", "born": started});
        if let Some(at) = *self.leaves_at.lock().unwrap() {
            let left = at.saturating_duration_since(Instant::now()) + self.report_age;
            report["state"] = json!("draining");
            report["leaves_ms"] = json!(u64::try_from(left.as_millis()).unwrap());
        }
        response_with_length(200, "", report.to_string().as_bytes())
    }

    fn generate(&self, request: &Request, stream: &mut TcpStream) -> ConnectionAction {
        self.running.fetch_add(1, Ordering::SeqCst);
        let head = Framing::Neither.head(200, &signature_headers(request), 0);
        write_response(stream, &head);
        for number in 1..=self.events {
            write_response(stream, event(number).as_bytes());
            let next_at = Instant::now() + EVENT_GAP;
            while Instant::now() < next_at {
                if self.killed.load(Ordering::SeqCst) {
                    return ConnectionAction::Close;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        }
        ConnectionAction::Close
    }
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

fn stream(events: usize) -> String {
    (1..=events).map(event).collect()
}

/// What came of a stream.
struct Ended {
    response: ReceivedResponse,
    trail: String,
}

/// An engine with an observer, and a gateway that forwards one stream of it.
struct Fixture {
    site: Site,
    engine: Arc<Engine>,
    replica: Replica,
    observer: DaemonProcess,
    caller: std::thread::JoinHandle<ReceivedResponse>,
}

impl Fixture {
    fn start(test: &str, host: u8, report_age: Duration, events: usize) -> Self {
        let host = Ipv4Addr::new(127, 0, 2, host);
        let (engine, replica) = Engine::start(host, "i-1", report_age, events);
        let port = free_port(host);
        let observer = start_observer(test, &replica, port, None);
        let site = Site::start_observed(test, &[(&replica, "writers")], port);
        let address = site.gateway.address("callers");
        let caller = std::thread::spawn(move || {
            let mut connection = ClientConnection::open(address);
            let head = request_head("/report/a", "r1", "").replace("2500", "9000");
            connection.send(&head, "hello");
            connection.receive().unwrap()
        });
        wait_until("the engine has the request", || {
            engine.running.load(Ordering::SeqCst) > 0
        });
        Self {
            site,
            engine,
            replica,
            observer,
            caller,
        }
    }

    fn leave(&self) {
        self.engine.leave();
        self.site.gateway.wait_for_line("endpoint leaves");
    }

    fn wait_until_gone(&self) {
        let leaves_at = self.engine.leaves_at.lock().unwrap().unwrap();
        std::thread::sleep(leaves_at.saturating_duration_since(Instant::now()));
    }

    fn kill(&self) {
        self.engine.kill(self.replica.address());
    }

    fn end(self) -> Ended {
        let response = self.caller.join().unwrap();
        let ended = self.site.gateway.wait_for_line("request ended");
        let trail = ended["kvs"]["trail"].as_str().unwrap().to_owned();
        Ended { response, trail }
    }
}

fn assert_broken_off(ended: &Ended) {
    let Ended { response, trail } = ended;
    assert!(stream(EVENTS).starts_with(&response.body));
    assert_ne!(response.body, stream(EVENTS));
    assert!(!response.complete, "{trail}");
}

/// Number of engines that are killed, each at another moment of its reports' interval.
const KILLED: u8 = 4;

/// Guards against a part of a stream that ends as complete when its engine is killed at the end
/// of its notice: the time that the gateway holds is later by the age of the observer's report.
#[test]
fn killed_as_announced() {
    let killed: Vec<_> = (1..=KILLED)
        .map(|number| {
            std::thread::spawn(move || {
                let test = format!("as_announced_{number}");
                let fixture = Fixture::start(&test, number, Duration::ZERO, EVENTS);
                fixture.leave();
                fixture.wait_until_gone();
                fixture.kill();
                fixture.end()
            })
        })
        .collect();
    for ended in killed {
        assert_broken_off(&ended.join().unwrap());
    }
}

/// The same where the engine's report states values of some time ago, as the pages allow.
#[test]
fn killed_before_announced() {
    let age = Duration::from_millis(300);
    let fixture = Fixture::start("before_announced", 11, age, EVENTS);
    fixture.leave();
    fixture.wait_until_gone();
    fixture.kill();
    assert_broken_off(&fixture.end());
}

/// The same for an engine that is killed without notice.
#[test]
fn killed_without_notice() {
    let fixture = Fixture::start("without_notice", 12, Duration::ZERO, EVENTS);
    std::thread::sleep(EVENT_GAP * 10);
    fixture.kill();
    assert_broken_off(&fixture.end());
}

/// The same where the gateway gets no reports, as the observer is gone too.
#[test]
fn killed_with_observer() {
    let mut fixture = Fixture::start("with_observer", 14, Duration::ZERO, EVENTS);
    fixture.observer.kill();
    std::thread::sleep(EVENT_GAP * 10);
    fixture.kill();
    assert_broken_off(&fixture.end());
}

/// The same where another process answers at the address at once.
#[test]
fn restarted_at_address() {
    let fixture = Fixture::start("restarted_address", 15, Duration::ZERO, EVENTS);
    std::thread::sleep(EVENT_GAP * 10);
    fixture.engine.restart();
    assert_broken_off(&fixture.end());
}

/// Guards against whole streams that are broken off because their engine leaves: one that still
/// answers has not been killed.
#[test]
fn whole_at_leaving_engine() {
    let fixture = Fixture::start("whole_leaving", 13, Duration::ZERO, 30);
    fixture.leave();
    let Ended { response, trail } = fixture.end();
    assert_eq!(response.body, stream(30), "{trail}");
    assert!(response.complete, "{trail}");
}
