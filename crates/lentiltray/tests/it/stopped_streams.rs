//! Answers without a length whose endpoint may have stopped before their end, by order of the
//! gateway or at the time budget that it set.

use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fake_http::{
    ConnectionAction, Framing, ReceivedResponse, Request, response_with_length,
};
use crate::gateway_harness::{
    Replica, Site, request_head, signature_headers, wait_until, write_response,
};

/// Time between two events of the fake engine.
const EVENT_GAP: Duration = Duration::from_millis(30);
/// Time until an engine closes a stream that it has stopped: longer than the gateway waits
/// before it repeats an order.
const CLOSING_DELAY: Duration = Duration::from_millis(400);
/// Longest wait for a second order beside one that has no answer yet.
const SECOND_ORDER_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time from the end of a stream until an order to stop it is answered.
const ANSWER_AFTER_END: Duration = Duration::from_millis(2_000);
/// Events of a run that goes on until an earlier order takes effect.
const EVENTS_BEFORE_EFFECT: usize = 10;
/// Number of events in a complete stream.
const EVENTS: usize = 60;

/// What an engine does with an order to stop its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderResult {
    /// It stops the run and closes the connection of the order.
    StopsWithoutAnswer,
    /// It stops the run and answers when the gateway no longer waits.
    StopsAndAnswersLate,
    /// It stops the run and refuses without a handle.
    StopsAndRefuses,
    /// It stops the run and refuses with a handle, and closes the stream only later.
    KeepsCopy,
    /// It stops the run, and answers neither this order nor ends the stream before a second
    /// order, which it refuses as one beside the first.
    AnswersSecondOnly,
    /// It does not answer a first order and stops the run by a second one, from which the run
    /// goes on. Then the first order takes effect too.
    FirstTakesEffectLate,
    /// It ends the stream, which comes in chunks, before it answers that it has no such run.
    EndsBeforeAnswer,
    /// It keeps the run, as another copy of it is in progress.
    Busy,
    /// It says that the run has ended.
    NoSuchRun,
}

/// Encodes the report of an engine that terminates in `leaves_in_ms`, if it is leaving.
fn report(leaves_in_ms: Option<u128>) -> Vec<u8> {
    let mut report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
        "waiting": 0, "running": 1, "kvUsed": 400, "kvTotal": 34000, "handles": 0,
        "state": "ready", "born": 7});
    if let Some(leaves_in_ms) = leaves_in_ms {
        report["state"] = json!("draining");
        report["leaves_ms"] = json!(u64::try_from(leaves_in_ms).unwrap());
    }
    response_with_length(200, "", report.to_string().as_bytes())
}

/// An engine with streams that end with their connection.
#[derive(Debug)]
struct Engine {
    result: OrderResult,
    leaves_in_ms: u128,
    leaving: AtomicBool,
    stopped: AtomicBool,
    stop_orders: AtomicUsize,
    /// Whether a stream has ended.
    ended: AtomicBool,
}

impl Engine {
    fn start(name: &str, result: OrderResult, leaves_in_ms: u128) -> (Arc<Self>, Replica) {
        let engine = Arc::new(Self {
            result,
            leaves_in_ms,
            leaving: AtomicBool::new(false),
            stopped: AtomicBool::new(false),
            stop_orders: AtomicUsize::new(0),
            ended: AtomicBool::new(false),
        });
        let handler = Arc::clone(&engine);
        let replica = Replica::start(name, move |request, stream| match request.target.as_str() {
            "/v1/report" => {
                let is_leaving = handler.leaving.load(Ordering::SeqCst);
                let leaves_in_ms = is_leaving.then_some(handler.leaves_in_ms);
                write_response(stream, &report(leaves_in_ms))
            }
            "/v1/kv-move" => handler.handle_order(request, stream),
            _ => handler.generate(request, stream),
        });
        (engine, replica)
    }

    fn handle_order(&self, request: &Request, stream: &mut TcpStream) -> ConnectionAction {
        let order: Value = serde_json::from_slice(&request.body).unwrap();
        if order["last"] != true {
            let copied = response_with_length(200, "", br#"{"handle":"h1","created":3}"#);
            return write_response(stream, &copied);
        }
        let earlier_orders = self.stop_orders.fetch_add(1, Ordering::SeqCst);
        let is_first = earlier_orders == 0;
        let stops = match self.result {
            OrderResult::Busy | OrderResult::NoSuchRun | OrderResult::EndsBeforeAnswer => false,
            OrderResult::FirstTakesEffectLate => earlier_orders > 0,
            _ => true,
        };
        if self.result == OrderResult::FirstTakesEffectLate {
            self.stopped.store(stops, Ordering::SeqCst);
            let answer = match earlier_orders {
                0 => return ConnectionAction::Close,
                1 => response_with_length(503, "", br#"{"handle":"h2"}"#),
                _ => response_with_length(409, "", b"{}"),
            };
            return write_response(stream, &answer);
        }
        if !is_first && self.result == OrderResult::AnswersSecondOnly {
            return write_response(stream, &response_with_length(409, "", b"{}"));
        }
        if stops && !is_first {
            return write_response(stream, &response_with_length(404, "", b"{}"));
        }
        self.stopped.store(stops, Ordering::SeqCst);
        let (status, body) = match self.result {
            OrderResult::StopsWithoutAnswer => return ConnectionAction::Close,
            OrderResult::StopsAndAnswersLate => {
                std::thread::sleep(Duration::from_secs(4));
                (200, r#"{"handle":"h1","created":3}"#)
            }
            OrderResult::AnswersSecondOnly => {
                self.wait_for_second_order();
                std::thread::sleep(CLOSING_DELAY);
                return ConnectionAction::Close;
            }
            OrderResult::StopsAndRefuses => (503, "{}"),
            OrderResult::KeepsCopy => (503, r#"{"handle":"h2"}"#),
            OrderResult::EndsBeforeAnswer => {
                while !self.ended.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(5));
                }
                std::thread::sleep(ANSWER_AFTER_END);
                (404, "{}")
            }
            OrderResult::FirstTakesEffectLate | OrderResult::Busy => (409, "{}"),
            OrderResult::NoSuchRun => (404, "{}"),
        };
        write_response(stream, &response_with_length(status, "", body.as_bytes()))
    }

    /// Waits for a second order to stop a run, for as long as two drains would take to give it.
    fn wait_for_second_order(&self) {
        let until = Instant::now() + SECOND_ORDER_TIMEOUT;
        while self.stop_orders.load(Ordering::SeqCst) < 2 && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(5));
        }
        std::thread::sleep(EVENT_GAP * 2);
    }

    fn generate(&self, request: &Request, stream: &mut TcpStream) -> ConnectionAction {
        let framing = if self.result == OrderResult::EndsBeforeAnswer {
            Framing::Chunks
        } else {
            Framing::Neither
        };
        let head = framing.head(200, &signature_headers(request), 0);
        write_response(stream, &head);
        let last = request.header("last-event-id");
        let first = last.map_or(1, |last| last.parse::<usize>().unwrap() + 1);
        let goes_on = request.header("kv-from").is_some();
        for number in first..=EVENTS {
            if self.stopped.load(Ordering::SeqCst) && !goes_on {
                match self.result {
                    OrderResult::KeepsCopy => std::thread::sleep(CLOSING_DELAY),
                    OrderResult::AnswersSecondOnly => self.wait_for_second_order(),
                    _ => {}
                }
                break;
            }
            let is_late = self.result == OrderResult::FirstTakesEffectLate && goes_on;
            if is_late && number >= first + EVENTS_BEFORE_EFFECT {
                break;
            }
            write_response(stream, &framing.part(&event(number)));
            std::thread::sleep(EVENT_GAP);
        }
        if framing == Framing::Chunks {
            write_response(stream, b"0\r\n\r\n");
        }
        self.ended.store(true, Ordering::SeqCst);
        ConnectionAction::Close
    }
}

fn event(number: usize) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

fn full_stream() -> String {
    (1..=EVENTS).map(event).collect()
}

/// Sends a request to one of two engines, which leaves while it writes the answer. Returns
/// the answer and the notes on the request.
fn stream_from_leaving_engine(
    test: &str,
    target: &str,
    result: OrderResult,
    leaves_in_ms: u128,
) -> (ReceivedResponse, String) {
    let (engines, replicas): (Vec<_>, Vec<_>) = ["i-1", "i-2"]
        .map(|name| Engine::start(name, result, leaves_in_ms))
        .into_iter()
        .unzip();
    let listed = [(&replicas[0], "writers"), (&replicas[1], "writers")];
    let site = Site::start(test, &listed);
    let mut connection = site.connect();
    let head = request_head(target, "r1", "").replace("2500", "9000");
    let caller = std::thread::spawn(move || {
        connection.send(&head, "hello");
        connection.receive().unwrap()
    });
    let has_request = |replica: &Replica| !replica.requests().is_empty();
    wait_until("an engine has the request", || {
        replicas.iter().any(has_request)
    });
    std::thread::sleep(EVENT_GAP * 5);
    let first = usize::from(!has_request(&replicas[0]));
    engines[first].leaving.store(true, Ordering::SeqCst);
    let response = caller.join().unwrap();
    let ended = site.gateway.wait_for_line("request ended");
    let trail = ended["kvs"]["trail"].as_str().unwrap().to_owned();
    assert!(engines[first].stop_orders.load(Ordering::SeqCst) > 0);
    (response, trail)
}

fn assert_broken_off((response, trail): &(ReceivedResponse, String)) {
    assert!(full_stream().starts_with(&response.body));
    assert_ne!(response.body, full_stream());
    assert!(!response.complete, "{trail}");
    assert!(trail.contains("the answer may not be complete"), "{trail}");
}

/// A part of a stream ended as complete: its engine was told to stop the run, and the answer
/// to the order was lost. Later orders find no run.
#[test]
fn order_without_answer() {
    let result = OrderResult::StopsWithoutAnswer;
    assert_broken_off(&stream_from_leaving_engine(
        "unanswered_stop",
        "/report/a",
        result,
        1_700,
    ));
}

/// The same where the answer comes after the gateway has stopped waiting for it.
#[test]
fn order_answered_late() {
    let result = OrderResult::StopsAndAnswersLate;
    assert_broken_off(&stream_from_leaving_engine(
        "late_stop",
        "/report/a",
        result,
        6_000,
    ));
}

/// The same where the answer doesn't tell whether the run was stopped.
#[test]
fn order_refused_without_handle() {
    let result = OrderResult::StopsAndRefuses;
    assert_broken_off(&stream_from_leaving_engine(
        "refused_stop",
        "/report/a",
        result,
        1_700,
    ));
}

/// A part of a stream ended as complete: while the answer to its order was outstanding, its
/// engine's record came back and was removed once more, and the engine refused the order of a
/// second drain.
#[test]
fn engine_leaves_again() {
    let result = OrderResult::AnswersSecondOnly;
    let (engine, replica) = Engine::start("i-1", result, 0);
    let (_, other) = Engine::start("i-2", result, 0);
    let site = Site::start("leaves_again", &[(&replica, "writers")]);
    let mut connection = site.connect();
    let head = request_head("/report/a", "r1", "").replace("2500", "9000");
    let caller = std::thread::spawn(move || {
        connection.send(&head, "hello");
        connection.receive().unwrap()
    });
    wait_until("the engine has the request", || {
        !replica.requests().is_empty()
    });
    site.register_endpoint(&other, "writers", "ready");
    site.gateway.wait_for_line("endpoint joined");
    let remove = || {
        site.store.put("keyed.servers", &replica.name, None);
        site.gateway.wait_for_line("endpoint leaves");
    };
    remove();
    wait_until("the engine has the order", || {
        engine.stop_orders.load(Ordering::SeqCst) > 0
    });
    site.register_endpoint(&replica, "writers", "ready");
    site.gateway.wait_for_line("endpoint joined");
    remove();
    let response = caller.join().unwrap();
    assert!(full_stream().starts_with(&response.body));
    assert_ne!(response.body, full_stream());
    assert!(!response.complete, "{response:?}");
}

/// A part of a stream ended as complete: an order whose answer was lost took effect after the
/// run had gone on at the same engine from the memory that a later order made it keep.
#[test]
fn earlier_order_takes_effect() {
    let result = OrderResult::FirstTakesEffectLate;
    assert_broken_off(&stream_from_leaving_engine(
        "earlier_order",
        "/report/a",
        result,
        6_000,
    ));
}

/// The caller of a stream in chunks waited for the answer to an order to stop it, though the
/// end of the chunks shows that it was not stopped.
#[test]
fn chunks_end_before_answer() {
    let result = OrderResult::EndsBeforeAnswer;
    let (engine, replica) = Engine::start("i-1", result, 6_000);
    let (_, other) = Engine::start("i-2", result, 6_000);
    let site = Site::start("chunks_end", &[(&replica, "writers")]);
    let mut connection = site.connect();
    let head = request_head("/report/a", "r1", "").replace("2500", "9000");
    let caller = std::thread::spawn(move || {
        connection.send(&head, "hello");
        connection.receive().unwrap()
    });
    wait_until("the engine has the request", || {
        !replica.requests().is_empty()
    });
    site.register_endpoint(&other, "writers", "ready");
    site.gateway.wait_for_line("endpoint joined");
    engine.leaving.store(true, Ordering::SeqCst);
    wait_until("the stream has ended", || {
        engine.ended.load(Ordering::SeqCst)
    });
    let ended_at = Instant::now();
    let response = caller.join().unwrap();
    let waited = ended_at.elapsed();
    assert!(engine.stop_orders.load(Ordering::SeqCst) > 0);
    assert_eq!(response.body, full_stream());
    assert!(response.complete);
    assert!(waited < ANSWER_AFTER_END / 2, "{waited:?}");
}

/// A stream that may be resumed goes on at another engine after such an order.
#[test]
fn resumable_stream_goes_on() {
    let result = OrderResult::StopsWithoutAnswer;
    let (response, trail) = stream_from_leaving_engine("resumed_stop", "/note/a", result, 1_700);
    assert_eq!(response.body, full_stream(), "{trail}");
    assert!(response.complete, "{trail}");
}

/// A run that had stopped was taken for one that had ended: its engine kept a copy for lack
/// of room elsewhere, and before the stream was closed another order found no run.
#[test]
fn kept_copy_is_not_forgotten() {
    let result = OrderResult::KeepsCopy;
    let (response, trail) = stream_from_leaving_engine("kept_copy", "/report/a", result, 1_700);
    assert_eq!(response.body, full_stream(), "{trail}");
    assert!(response.complete, "{trail}");
}

/// A stream that no order has stopped is complete at its end.
#[test]
fn orders_not_carried_out() {
    for (test, result) in [
        ("busy_stop", OrderResult::Busy),
        ("no_run_stop", OrderResult::NoSuchRun),
    ] {
        let (response, trail) = stream_from_leaving_engine(test, "/report/a", result, 1_700);
        assert_eq!(response.body, full_stream(), "{trail}");
        assert!(response.complete, "{trail}");
    }
}

/// Writes a part of an answer without a length, and closes the connection at the time budget.
fn stop_at_budget(request: &Request, stream: &mut TcpStream) -> ConnectionAction {
    stop_status_at_budget(200, request, stream)
}

/// The same with this status.
fn stop_status_at_budget(
    status: u16,
    request: &Request,
    stream: &mut TcpStream,
) -> ConnectionAction {
    let Some(budget_ms) = request.header("deadline-ms") else {
        return write_response(stream, &response_with_length(404, "", b""));
    };
    let budget_ms = budget_ms.parse().unwrap();
    let ends_at = Instant::now() + Duration::from_millis(budget_ms);
    let head = Framing::Neither.head(status, &signature_headers(request), 0);
    write_response(stream, &head);
    let mut number = 0;
    while Instant::now() + EVENT_GAP < ends_at {
        number += 1;
        write_response(stream, event(number).as_bytes());
        std::thread::sleep(EVENT_GAP);
    }
    std::thread::sleep(ends_at.saturating_duration_since(Instant::now()));
    ConnectionAction::Close
}

fn check_stopped_at_budget(test: &str, service: &str, target: &str) {
    let endpoint = Replica::start("i-1", stop_at_budget);
    let site = Site::start(test, &[(&endpoint, service)]);
    let mut connection = site.connect();
    let head = request_head(target, "r1", "").replace("2500", "1000");
    connection.send(&head, "hello");
    let response = connection.receive().unwrap();
    assert_eq!(endpoint.requests().len(), 1);
    assert!(response.status != 200 || !response.complete, "{response:?}");
}

/// A part of a stream ended as complete when its engine stopped work at the time budget that
/// the gateway had handed it.
#[test]
fn stream_stopped_at_budget() {
    check_stopped_at_budget("stream_budget", "writers", "/report/a");
}

/// The same for an answer other than a success.
#[test]
fn failure_stopped_at_budget() {
    let endpoint = Replica::start("i-1", |request, stream| {
        stop_status_at_budget(422, request, stream)
    });
    let site = Site::start("failure_budget", &[(&endpoint, "writers")]);
    let mut connection = site.connect();
    let head = request_head("/report/a", "r1", "").replace("2500", "1000");
    connection.send(&head, "hello");
    let response = connection.receive().unwrap();
    assert_ne!(response.status, 422, "{response:?}");
}

/// The same for an answer of a plain service.
#[test]
fn answer_stopped_at_budget() {
    check_stopped_at_budget("answer_budget", "desk", "/confirm/a");
}

/// A part of a stream ended as complete when its engine terminated at the time that it had
/// announced, and closed its connections in order.
#[test]
fn engine_terminated() {
    let leaves_at = Arc::new(Mutex::new(None::<Instant>));
    let known = Arc::clone(&leaves_at);
    let left = move || known.lock().unwrap().map(|at| at - Instant::now());
    let engine = Replica::start("i-1", move |request, stream| {
        if request.target == "/v1/report" {
            return write_response(stream, &report(left().map(|left| left.as_millis())));
        }
        let head = Framing::Neither.head(200, &signature_headers(request), 0);
        write_response(stream, &head);
        for number in 1..=EVENTS {
            if left() == Some(Duration::ZERO) {
                break;
            }
            write_response(stream, event(number).as_bytes());
            std::thread::sleep(EVENT_GAP);
        }
        ConnectionAction::Close
    });
    let site = Site::start("terminated", &[(&engine, "writers")]);
    let mut connection = site.connect();
    let head = request_head("/report/a", "r1", "").replace("2500", "9000");
    connection.send(&head, "hello");
    wait_until("the engine has the request", || {
        !engine.requests().is_empty()
    });
    *leaves_at.lock().unwrap() = Some(Instant::now() + EVENT_GAP * 50);
    site.gateway.wait_for_line("endpoint leaves");
    let response = connection.receive().unwrap();
    let ended = site.gateway.wait_for_line("request ended");
    let trail = ended["kvs"]["trail"].as_str().unwrap().to_owned();
    assert_broken_off(&(response, trail));
}
