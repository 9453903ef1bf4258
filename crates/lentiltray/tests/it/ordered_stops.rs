//! Streams without length or chunks whose engines stop them for their last move, at several
//! gateways at once, and what becomes of them if the engine that is to continue does not.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

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
/// Number of events in a complete stream.
const EVENTS: usize = 100;
/// Notice of engines that leave together.
const NOTICE: Duration = Duration::from_millis(1_700);
/// Notice that outlasts a stream, so that it can end at the engine that leaves.
const LONG_NOTICE: Duration = Duration::from_millis(8_000);
/// Time from the end of a stopped stream until its order is answered, so that the gateway has
/// seen the end before.
const ANSWER_DELAY: Duration = Duration::from_millis(200);
/// The same for an answer that comes after the gateway has given the order up.
const LATE_ANSWER_DELAY: Duration = Duration::from_millis(3_000);

/// How an engine answers an order that has stopped a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderAnswer {
    /// The connection of the order is closed without an answer.
    Lost,
    /// 200: the copy is complete.
    Copied(Duration),
    /// 503 with the handle of the memory that the engine keeps.
    Kept(Duration),
    /// 404, which the pages don't allow for a run that the order has stopped.
    NotFound(Duration),
}

/// What an engine does with a run that is to continue there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OnContinue {
    Accepts,
    /// 503, not run.
    Refuses,
    /// The connection is closed without an answer.
    Resets,
    /// Nothing listens at its address.
    Gone,
}

/// What the engines of a test do.
#[derive(Debug, Clone, Copy)]
struct Plan {
    answer: OrderAnswer,
    at_target: OnContinue,
    at_source: OnContinue,
    /// Whether the engine's streams end with its notice.
    ends_as_announced: bool,
}

/// An engine with streams that end with their connection.
#[derive(Debug)]
struct Engine {
    plan: Plan,
    leaves_at: Mutex<Option<Instant>>,
    /// Whether each run has been stopped.
    runs: Mutex<BTreeMap<String, Arc<AtomicBool>>>,
    stops: AtomicUsize,
    /// Number of copies that were released.
    releases: AtomicUsize,
}

impl Engine {
    fn start(host: Ipv4Addr, name: &str, plan: Plan) -> (Arc<Self>, Replica) {
        let engine = Arc::new(Self {
            plan,
            leaves_at: Mutex::default(),
            runs: Mutex::default(),
            stops: AtomicUsize::new(0),
            releases: AtomicUsize::new(0),
        });
        let handler = Arc::clone(&engine);
        let handle = move |request: &Request, stream: &mut TcpStream| match request.target.as_str()
        {
            "/v1/report" => write_response(stream, &handler.report()),
            "/v1/kv-move" => handler.move_run(request, stream),
            "/v1/crash" => ConnectionAction::Crash,
            _ if request.method == "DELETE" => {
                handler.releases.fetch_add(1, Ordering::SeqCst);
                write_response(stream, &response_with_length(200, "", b"{}"))
            }
            _ if request.header("attempt-id").is_none() => ConnectionAction::Close,
            _ => handler.generate(request, stream),
        };
        (engine, Replica::start_at(host, name, handle))
    }

    fn leave(&self, notice: Duration) {
        *self.leaves_at.lock().unwrap() = Some(Instant::now() + notice);
    }

    fn is_leaving(&self) -> bool {
        self.leaves_at.lock().unwrap().is_some()
    }

    fn has_ended(&self) -> bool {
        let leaves_at = *self.leaves_at.lock().unwrap();
        self.plan.ends_as_announced && leaves_at.is_some_and(|at| at <= Instant::now())
    }

    fn run_count(&self) -> usize {
        self.runs.lock().unwrap().len()
    }

    fn report(&self) -> Vec<u8> {
        let mut report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
            "waiting": 0, "running": 1, "kvUsed": 400, "kvTotal": 34000, "handles": 0,
            "state": "ready", "born": 7});
        if let Some(at) = *self.leaves_at.lock().unwrap() {
            let left_ms = at.saturating_duration_since(Instant::now()).as_millis();
            report["state"] = json!("draining");
            report["leaves_ms"] = json!(u64::try_from(left_ms).unwrap());
        }
        response_with_length(200, "", report.to_string().as_bytes())
    }

    fn move_run(&self, request: &Request, stream: &mut TcpStream) -> ConnectionAction {
        let order: Value = serde_json::from_slice(&request.body).unwrap();
        let id = order["id"].as_str().unwrap();
        let handle = json!({"handle": format!("h-{id}"), "created": 3}).to_string();
        let answer = |status, body: &str| response_with_length(status, "", body.as_bytes());
        if order["last"] != true {
            return write_response(stream, &answer(200, &handle));
        }
        let Some(stopped) = self.runs.lock().unwrap().remove(id) else {
            return write_response(stream, &answer(404, "{}"));
        };
        stopped.store(true, Ordering::SeqCst);
        self.stops.fetch_add(1, Ordering::SeqCst);
        if self.plan.at_target == OnContinue::Gone {
            let target: SocketAddr = order["target"].as_str().unwrap().parse().unwrap();
            crash(target);
        }
        // The stream is closed before the next event.
        std::thread::sleep(EVENT_GAP * 2);
        let (status, body, delay) = match self.plan.answer {
            OrderAnswer::Lost => return ConnectionAction::Close,
            OrderAnswer::Copied(delay) => (200, handle.as_str(), delay),
            OrderAnswer::Kept(delay) => (503, handle.as_str(), delay),
            OrderAnswer::NotFound(delay) => (404, "{}", delay),
        };
        std::thread::sleep(delay);
        write_response(stream, &answer(status, body))
    }

    fn generate(&self, request: &Request, stream: &mut TcpStream) -> ConnectionAction {
        if request.header("kv-from").is_some() {
            let result = if self.is_leaving() {
                self.plan.at_source
            } else {
                self.plan.at_target
            };
            match result {
                OnContinue::Accepts => {}
                OnContinue::Refuses => {
                    let headers = format!("{}Not-Executed: 1\r\n", signature_headers(request));
                    return write_response(stream, &response_with_length(503, &headers, b"full"));
                }
                OnContinue::Resets | OnContinue::Gone => return ConnectionAction::Close,
            }
        }
        let id = request.header("attempt-id").unwrap().to_owned();
        let stopped = Arc::new(AtomicBool::new(false));
        let run = Arc::clone(&stopped);
        self.runs.lock().unwrap().insert(id.clone(), run);
        let head = Framing::Neither.head(200, &signature_headers(request), 0);
        write_response(stream, &head);
        let last = request.header("last-event-id");
        let first = last.map_or(1, |last| last.parse::<usize>().unwrap() + 1);
        for number in first..=EVENTS {
            if stopped.load(Ordering::SeqCst) || self.has_ended() {
                return ConnectionAction::Close;
            }
            write_response(stream, event(number).as_bytes());
            std::thread::sleep(EVENT_GAP);
        }
        self.runs.lock().unwrap().remove(&id);
        ConnectionAction::Close
    }
}

/// Makes the engine at `address` accept no further connections.
fn crash(address: SocketAddr) {
    if let Ok(mut connection) = TcpStream::connect(address) {
        let head = b"POST /v1/crash HTTP/1.1\r\nHost: x\r\n\r\n";
        connection.write_all(head).unwrap();
        std::thread::sleep(EVENT_GAP);
    }
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

fn full_stream() -> String {
    (1..=EVENTS).map(event).collect()
}

fn caller(
    address: SocketAddr,
    target: &str,
    id: &str,
) -> std::thread::JoinHandle<ReceivedResponse> {
    let head = request_head(target, id, "").replace("2500", "9000");
    std::thread::spawn(move || {
        let mut connection = ClientConnection::open(address);
        connection.send(&head, "hello");
        connection.receive().unwrap()
    })
}

/// Number of engines, of gateways, and of streams at each gateway.
const ENGINES: u8 = 4;
const GATEWAYS: usize = 3;
const STREAMS: usize = 4;

/// What came of the streams of several gateways.
struct Streams {
    responses: Vec<ReceivedResponse>,
    /// The notes on each request.
    trails: Vec<String>,
    /// Number of runs that were stopped.
    stops: usize,
}

/// Starts streams at several gateways and lets half of the engines leave together.
fn streams_from_leaving_engines(test: &str, first_host: u8, answer: OrderAnswer) -> Streams {
    let plan = Plan {
        answer,
        at_target: OnContinue::Accepts,
        at_source: OnContinue::Accepts,
        ends_as_announced: false,
    };
    let host = |number| Ipv4Addr::new(127, 0, 1, first_host + number);
    let (engines, replicas): (Vec<_>, Vec<_>) = (0..ENGINES)
        .map(|number| Engine::start(host(number), &format!("i-{number}"), plan))
        .unzip();
    let port = free_port(host(0));
    let observers: Vec<_> = replicas
        .iter()
        .map(|replica| start_observer(test, replica, port, None))
        .collect();
    let listed: Vec<_> = replicas
        .iter()
        .map(|replica| (replica, "writers"))
        .collect();
    let site = Site::start_observed(test, &listed, port);
    let further: Vec<_> = (1..GATEWAYS)
        .map(|number| site.start_gateway(&format!("{test}_{number}"), port, replicas.len()))
        .collect();
    let gateways: Vec<&DaemonProcess> = std::iter::once(&site.gateway).chain(&further).collect();
    let callers: Vec<_> = (0..GATEWAYS * STREAMS)
        .map(|number| {
            let address = gateways[number % GATEWAYS].address("callers");
            caller(address, "/report/a", &format!("r{number}"))
        })
        .collect();
    let running = || {
        engines
            .iter()
            .map(|engine| engine.run_count())
            .sum::<usize>()
    };
    wait_until("all streams have begun", || running() == callers.len());
    std::thread::sleep(EVENT_GAP * 5);
    let mut busiest: Vec<_> = engines.iter().collect();
    busiest.sort_by_key(|engine| std::cmp::Reverse(engine.run_count()));
    for engine in &busiest[..engines.len() / 2] {
        engine.leave(NOTICE);
    }
    let responses = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect();
    drop(observers);
    let ended = |gateway: &&DaemonProcess| gateway.wait_for_line("request ended")["kvs"].clone();
    let trails = gateways
        .iter()
        .flat_map(|gateway| (0..STREAMS).map(move |_| ended(gateway)));
    let stops = engines
        .iter()
        .map(|engine| engine.stops.load(Ordering::SeqCst));
    Streams {
        responses,
        trails: trails
            .map(|kvs| format!("{}: {}", kvs["request"], kvs["trail"]))
            .collect(),
        stops: stops.sum(),
    }
}

impl Streams {
    /// Checks that runs were stopped and that no part of a stream passes for the whole. Returns
    /// the number of whole streams.
    fn assert_no_part_complete(&self) -> usize {
        assert!(self.stops > 0);
        let answered = self.responses.iter();
        let answered = answered.filter(|response| response.status == 200);
        let mut whole = 0;
        for response in answered {
            assert!(full_stream().starts_with(&response.body));
            let is_part = response.body.len() < full_stream().len();
            assert!(
                !response.complete || !is_part,
                "complete after {} of {EVENTS} events: {:#?}",
                response.body.matches("data: ").count(),
                self.trails
            );
            whole += usize::from(!is_part);
        }
        whole
    }
}

/// Guards against parts of streams that end as complete where several engines leave together
/// and the answers to their last orders are lost.
#[test]
fn lost_answers() {
    let streams = streams_from_leaving_engines("lost_answers", 1, OrderAnswer::Lost);
    streams.assert_no_part_complete();
}

/// The same where the answers say that the runs were stopped and copied, and are read after the
/// streams have ended: all streams go on.
#[test]
fn copied_answers() {
    let answer = OrderAnswer::Copied(ANSWER_DELAY);
    let streams = streams_from_leaving_engines("copied_answers", 11, answer);
    assert!(streams.assert_no_part_complete() > 0);
}

/// The same where the answers say that the targets have no room and the memory is kept.
#[test]
fn kept_answers() {
    let answer = OrderAnswer::Kept(ANSWER_DELAY);
    let streams = streams_from_leaving_engines("kept_answers", 21, answer);
    streams.assert_no_part_complete();
}

/// The same where the gateways no longer wait for an answer that says that a run was copied.
#[test]
fn late_copied_answers() {
    let answer = OrderAnswer::Copied(LATE_ANSWER_DELAY);
    let streams = streams_from_leaving_engines("late_copied", 31, answer);
    streams.assert_no_part_complete();
}

/// The same for an answer that says that the memory is kept.
#[test]
fn late_kept_answers() {
    let answer = OrderAnswer::Kept(LATE_ANSWER_DELAY);
    let streams = streams_from_leaving_engines("late_kept", 41, answer);
    streams.assert_no_part_complete();
}

/// A run that was stopped for its move to another engine, at one gateway.
struct StoppedRun {
    response: ReceivedResponse,
    trail: String,
    /// Requests that named a copy to continue from, at the source and at the target.
    continued: [usize; 2],
    /// Copies that were released at the source.
    releases: usize,
}

fn stop_run(test: &str, target: &str, plan: Plan) -> StoppedRun {
    let (engines, replicas): (Vec<_>, Vec<_>) = ["i-1", "i-2"]
        .map(|name| Engine::start(Ipv4Addr::LOCALHOST, name, plan))
        .into_iter()
        .unzip();
    let listed: Vec<_> = replicas
        .iter()
        .map(|replica| (replica, "writers"))
        .collect();
    let site = Site::start(test, &listed);
    let caller = caller(site.gateway.address("callers"), target, "r1");
    wait_until("an engine has the request", || {
        engines.iter().any(|engine| engine.run_count() > 0)
    });
    // The stream is established, so that its request is not suspected of a crash.
    std::thread::sleep(Duration::from_millis(700));
    let source = usize::from(engines[0].run_count() == 0);
    engines[source].leave(LONG_NOTICE);
    let response = caller.join().unwrap();
    let ended = site.gateway.wait_for_line("request ended");
    let trail = ended["kvs"]["trail"].as_str().unwrap().to_owned();
    assert!(engines[source].stops.load(Ordering::SeqCst) > 0, "{trail}");
    let continued = [source, 1 - source].map(|engine| {
        let requests = replicas[engine].requests();
        requests
            .iter()
            .filter(|request| request.header("kv-from").is_some())
            .count()
    });
    StoppedRun {
        response,
        trail,
        continued,
        releases: engines[source].releases.load(Ordering::SeqCst),
    }
}

fn copied(at_target: OnContinue, at_source: OnContinue) -> Plan {
    Plan {
        answer: OrderAnswer::Copied(Duration::ZERO),
        at_target,
        at_source,
        ends_as_announced: false,
    }
}

fn assert_whole(run: &StoppedRun) {
    assert_eq!(run.response.body, full_stream(), "{}", run.trail);
    assert!(run.response.complete, "{}", run.trail);
}

fn assert_broken_off(run: &StoppedRun) {
    assert!(full_stream().starts_with(&run.response.body));
    assert!(!run.response.complete, "{}", run.trail);
}

/// Guards against a stopped stream that is given up when its target has no room any more: the
/// engine that stopped it keeps its memory.
#[test]
fn target_refuses() {
    let plan = copied(OnContinue::Refuses, OnContinue::Accepts);
    let run = stop_run("target_refuses", "/report/a", plan);
    assert_whole(&run);
    assert!(run.continued[0] > 0, "{}", run.trail);
}

/// The same where the target can't be reached.
#[test]
fn target_gone() {
    let plan = copied(OnContinue::Gone, OnContinue::Accepts);
    let run = stop_run("target_gone", "/report/a", plan);
    assert_whole(&run);
    assert!(run.continued[0] > 0, "{}", run.trail);
}

/// Guards against a run that continues twice: a target that closes the connection may run it,
/// so that its stream ends as broken off.
#[test]
fn target_resets() {
    let plan = copied(OnContinue::Resets, OnContinue::Accepts);
    let run = stop_run("target_resets", "/report/a", plan);
    assert_broken_off(&run);
    assert_eq!(run.continued, [0, 1], "{}", run.trail);
}

/// Guards against a part of a stream that ends as complete where no engine continues it.
#[test]
fn nobody_continues() {
    let plan = copied(OnContinue::Refuses, OnContinue::Refuses);
    assert_broken_off(&stop_run("nobody_continues", "/report/a", plan));
}

/// Guards against a stopped stream that is given up though its route allows another run.
#[test]
fn resumable_run_repeats() {
    let plan = copied(OnContinue::Refuses, OnContinue::Refuses);
    assert_whole(&stop_run("resumable_repeats", "/note/a", plan));
}

/// Guards against a part of a stream that ends as complete where its engine stops the run and
/// answers that it has none.
#[test]
fn stop_denied() {
    let plan = Plan {
        answer: OrderAnswer::NotFound(Duration::ZERO),
        ..copied(OnContinue::Accepts, OnContinue::Accepts)
    };
    assert_broken_off(&stop_run("stop_denied", "/report/a", plan));
}

/// Guards against a copy that its engine keeps in vain: its order was answered after the gateway
/// had given it up, and the run had begun again elsewhere.
#[test]
fn late_copy_is_released() {
    let plan = Plan {
        answer: OrderAnswer::Copied(LATE_ANSWER_DELAY),
        ..copied(OnContinue::Accepts, OnContinue::Accepts)
    };
    let run = stop_run("late_copy_released", "/note/a", plan);
    assert_whole(&run);
    assert!(run.releases > 0, "{}", run.trail);
}

/// Guards against a run that stays at an engine that leaves, and is lost with it, after the first
/// target has refused to continue it and another one has room.
#[test]
fn moved_after_refusal() {
    let source = Plan {
        ends_as_announced: true,
        ..copied(OnContinue::Accepts, OnContinue::Accepts)
    };
    let refusing = copied(OnContinue::Refuses, OnContinue::Accepts);
    let accepting = copied(OnContinue::Accepts, OnContinue::Accepts);
    let start = |name, plan| Engine::start(Ipv4Addr::LOCALHOST, name, plan);
    let (engine, replica) = start("i-1", source);
    let (_, refusing) = start("i-2", refusing);
    let (_, accepting) = start("i-3", accepting);
    let site = Site::start("moved_after_refusal", &[(&replica, "writers")]);
    let caller = caller(site.gateway.address("callers"), "/report/a", "r1");
    wait_until("the engine has the request", || engine.run_count() > 0);
    site.register_endpoint(&refusing, "writers", "ready");
    site.gateway.wait_for_line("endpoint joined");
    // The stream is established, so that its request is not suspected of a crash.
    std::thread::sleep(Duration::from_millis(700));
    // The notice ends before the stream would.
    engine.leave(NOTICE - EVENT_GAP * 15);
    wait_until("the target has refused", || !refusing.requests().is_empty());
    site.register_endpoint(&accepting, "writers", "ready");
    let response = caller.join().unwrap();
    let ended = site.gateway.wait_for_line("request ended");
    let trail = &ended["kvs"]["trail"];
    assert_eq!(response.body, full_stream(), "{trail}");
    assert!(response.complete, "{trail}");
    assert_eq!(accepting.requests().len(), 1, "{trail}");
}
