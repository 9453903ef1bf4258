//! Gateways and engines of several software versions, and callers that take streams up.

use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::daemon_process::DaemonProcess;
use crate::fake_http::{
    ClientConnection, ConnectionAction, ReceivedResponse, Request, chunk, response_with_length,
};
use crate::fake_store::{Store, StoreLink, StoreMode};
use crate::gateway_harness::{
    Replica, config, free_port, readiness, register_version, signature_headers, start_gateway_at,
    start_observer, wait_until, write_response,
};

/// Time between two events of a stream.
const EVENT_GAP: Duration = Duration::from_millis(20);
/// How long the store is away before it comes back from an older copy.
const AWAY_TIME: Duration = Duration::from_millis(300);
/// Number of events in a complete stream.
pub(crate) const EVENTS: u64 = 60;
/// Number of events that a caller reads before its stream breaks.
pub(crate) const READ_EVENTS: usize = 3;
/// Number of streams that are begun at most until enough of them run at one version.
const BEGINS_MAX: usize = 200;
/// Time for which a caller repeats a request that is refused with `Retry-After`.
const REPEAT_TIME: Duration = Duration::from_secs(5);

/// How an engine writes streams, apart from their events.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct EngineOptions {
    /// Time before the head of an answer.
    pub(crate) begin_delay: Duration,
    /// The event before which streams that began here are reset.
    pub(crate) breaks_before: Option<u64>,
}

/// The address of an engine that has an observer.
fn engine_host(engine: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 0, 53, u8::try_from(engine + 1).unwrap())
}

/// Starts an engine whose events state its version.
fn start_engine(host: Ipv4Addr, name: &str, version: &str, options: EngineOptions) -> Replica {
    let version = version.to_owned();
    let running = AtomicUsize::new(0);
    Replica::start_at(host, name, move |request, stream| {
        if request.target == "/v1/report" {
            return write_response(stream, &report(running.load(Ordering::SeqCst)));
        }
        if request.header("attempt-id").is_none() {
            return write_response(stream, &response_with_length(404, "", b"{}"));
        }
        running.fetch_add(1, Ordering::SeqCst);
        let action = generate(request, stream, &version, options);
        running.fetch_sub(1, Ordering::SeqCst);
        action
    })
}

fn report(running: usize) -> Vec<u8> {
    let report = json!({"stage": "combined", "models": [], "busy": false, "sequence": 1,
        "waiting": 0, "running": running, "kvUsed": 400 * running, "kvTotal": 34000,
        "handles": 0, "state": "ready", "born": 7});
    response_with_length(200, "", report.to_string().as_bytes())
}

/// Writes a stream from the event after `Last-Event-Id` on.
fn generate(
    request: &Request,
    stream: &mut TcpStream,
    version: &str,
    options: EngineOptions,
) -> ConnectionAction {
    std::thread::sleep(options.begin_delay);
    let head = format!(
        "HTTP/1.1 200 OK\r\n{}Transfer-Encoding: chunked\r\n\r\n",
        signature_headers(request)
    );
    write_response(stream, head.as_bytes());
    let last_id = request.header("last-event-id");
    let first = last_id.map_or(1, |last| last.parse::<u64>().unwrap() + 1);
    for number in first..=EVENTS {
        if last_id.is_none() && options.breaks_before == Some(number) {
            write_response(stream, &chunk(&format!("id: {number}\nda")));
            return ConnectionAction::Close;
        }
        let event = chunk(&format!("id: {number}\ndata: {version}\n\n"));
        if write_response(stream, &event) == ConnectionAction::Close {
            return ConnectionAction::Close;
        }
        std::thread::sleep(EVENT_GAP);
    }
    write_response(stream, b"0\r\n\r\n")
}

/// A listed engine.
struct Engine {
    replica: Replica,
    version: String,
    is_listed: bool,
}

/// Gateways of one store, and the engines that it lists.
pub(crate) struct Fleet {
    test: String,
    pub(crate) store: Store,
    gateways: Vec<DaemonProcess>,
    started_gateways: usize,
    engines: Vec<Engine>,
    /// The port of the engines' observers, which read the store for gateways. Without it, there
    /// are none.
    observer_port: Option<u16>,
    observers: Vec<DaemonProcess>,
    /// Number of streams that were begun through [`Self::begin_at`].
    begun: AtomicUsize,
}

impl Fleet {
    /// Starts `gateways` gateways and two engines of version `v1`, and waits until each
    /// has served a stream and the default version is written.
    pub(crate) fn start(test: &str, gateways: usize, config: &Value) -> Self {
        Self::start_empty(test, config).with_first_version(gateways)
    }

    /// Like [`Self::start`], with an observer beside each engine.
    pub(crate) fn start_observed(test: &str, gateways: usize, config: &Value) -> Self {
        let mut fleet = Self::start_empty(test, config);
        fleet.observer_port = Some(free_port(engine_host(0)));
        fleet.with_first_version(gateways)
    }

    fn with_first_version(mut self, gateways: usize) -> Self {
        let fleet = &mut self;
        for _ in 0..2 {
            fleet.add_engine("v1", EngineOptions::default());
        }
        for gateway in 0..gateways {
            fleet.add_gateway();
            let mut caller = Caller::new(&format!("first{gateway}"));
            caller.begin(fleet.address(gateway));
        }
        for gateway in &fleet.gateways {
            gateway.wait_for_line("default version read");
        }
        self
    }

    /// Starts a store with a configuration, without gateways and engines.
    pub(crate) fn start_empty(test: &str, config: &Value) -> Self {
        let store = Store::start();
        store.put("keyed.op", "config", Some(config));
        Self {
            test: test.to_owned(),
            store,
            gateways: Vec::new(),
            started_gateways: 0,
            engines: Vec::new(),
            observer_port: None,
            observers: Vec::new(),
            begun: AtomicUsize::new(0),
        }
    }

    /// Like [`Self::start`], with two engines of version `v2` that have joined later.
    pub(crate) fn start_overlap(test: &str, gateways: usize, config: &Value) -> Self {
        Self::start(test, gateways, config).with_second_version()
    }

    /// Like [`Self::start_overlap`], with an observer beside each engine.
    pub(crate) fn start_observed_overlap(test: &str, gateways: usize, config: &Value) -> Self {
        Self::start_observed(test, gateways, config).with_second_version()
    }

    fn with_second_version(mut self) -> Self {
        for _ in 0..2 {
            self.add_engine("v2", EngineOptions::default());
        }
        self
    }

    /// Starts an engine and waits until all gateways know it.
    pub(crate) fn add_engine(&mut self, version: &str, options: EngineOptions) {
        let name = format!("i-{}", self.engines.len() + 1);
        let host = self
            .observer_port
            .map_or(Ipv4Addr::LOCALHOST, |_| engine_host(self.engines.len()));
        let replica = start_engine(host, &name, version, options);
        if let Some(port) = self.observer_port {
            let observer = start_observer(&self.test, &replica, port, Some(&self.store));
            self.observers.push(observer);
        }
        register_version(&self.store, &replica, "writers", version);
        self.engines.push(Engine {
            replica,
            version: version.to_owned(),
            is_listed: true,
        });
        for gateway in &self.gateways {
            gateway.wait_for_line("endpoint joined");
        }
    }

    /// Removes the entries of a version's engines, and waits until all gateways know it.
    /// The engines go on serving.
    pub(crate) fn remove_version(&mut self, version: &str) {
        let listed = self
            .engines
            .iter_mut()
            .filter(|engine| engine.is_listed && engine.version == version);
        for engine in listed {
            engine.is_listed = false;
            self.store.put("keyed.servers", &engine.replica.name, None);
            for gateway in &self.gateways {
                gateway.wait_for_line("endpoint leaves");
            }
        }
    }

    /// Restarts the listed engines with another version under their ids, at new addresses, and
    /// waits until all gateways send streams there.
    pub(crate) fn restart_engines(&mut self, version: &str) {
        let listed = self.engines.iter_mut().filter(|engine| engine.is_listed);
        for engine in listed {
            let name = engine.replica.name.clone();
            let options = EngineOptions::default();
            engine.replica = start_engine(Ipv4Addr::LOCALHOST, &name, version, options);
            version.clone_into(&mut engine.version);
            register_version(&self.store, &engine.replica, "writers", version);
        }
        for gateway in 0..self.gateways() {
            self.begin_one_at(gateway, version);
        }
    }

    /// The versions of the listed engines, in the order of their start.
    pub(crate) fn listed_versions(&self) -> Vec<String> {
        let listed = self.engines.iter().filter(|engine| engine.is_listed);
        let mut versions: Vec<_> = listed.map(|engine| engine.version.clone()).collect();
        versions.dedup();
        versions
    }

    /// Starts a gateway, and waits until it is ready and knows the engines.
    pub(crate) fn add_gateway(&mut self) {
        let gateway = self.start_gateway(self.store.address());
        self.gateways.push(gateway);
    }

    /// Starts a gateway that reaches the store at this address and is not one of the fleet's, and
    /// waits until it is ready and knows the engines.
    pub(crate) fn start_gateway(&mut self, store: SocketAddr) -> DaemonProcess {
        self.started_gateways += 1;
        let name = format!("{}-{}", self.test, self.started_gateways);
        let observer_port = self.observer_port.unwrap_or(1);
        let gateway = start_gateway_at(store, &name, "", observer_port);
        wait_until("the gateway is ready", || readiness(&gateway) == 200);
        for _ in self.engines.iter().filter(|engine| engine.is_listed) {
            gateway.wait_for_line("endpoint joined");
        }
        gateway
    }

    /// Starts a gateway, and waits until it knows the engines.
    pub(crate) fn add_starting_gateway(&mut self) {
        self.started_gateways += 1;
        let name = format!("{}-{}", self.test, self.started_gateways);
        let observer_port = self.observer_port.unwrap_or(1);
        let gateway = start_gateway_at(self.store.address(), &name, "", observer_port);
        for _ in self.engines.iter().filter(|engine| engine.is_listed) {
            gateway.wait_for_line("endpoint joined");
        }
        self.gateways.push(gateway);
    }

    /// Lets the store be away for a moment and come back without the records of these topics.
    pub(crate) fn restore_without(&self, topics: &[&str]) {
        self.store.set_mode(StoreMode::Closing);
        std::thread::sleep(AWAY_TIME);
        for topic in topics {
            self.store.truncate(topic, 0);
        }
        self.store.set_era(Some("2"));
        self.store.set_mode(StoreMode::Serving);
    }

    /// Starts a gateway that reaches the store through a link.
    pub(crate) fn add_gateway_at(&mut self, link: &StoreLink) {
        let gateway = self.start_gateway(link.address());
        self.gateways.push(gateway);
    }

    /// Kills the observer of an engine.
    pub(crate) fn kill_observer(&mut self, engine: usize) {
        self.observers[engine].kill();
        self.observers[engine].wait();
    }

    /// Starts an observer of an engine in place of one that was killed.
    pub(crate) fn restart_observer(&mut self, engine: usize) {
        let port = self.observer_port.unwrap();
        let replica = &self.engines[engine].replica;
        self.observers[engine] = start_observer(&self.test, replica, port, Some(&self.store));
    }

    /// Takes a gateway out of the fleet, which no longer waits for it.
    pub(crate) fn take_gateway(&mut self, gateway: usize) -> DaemonProcess {
        self.gateways.remove(gateway)
    }

    /// Kills a gateway. Those behind it move up by one.
    pub(crate) fn kill_gateway(&mut self, gateway: usize) {
        let mut process = self.take_gateway(gateway);
        process.kill();
        process.wait();
    }

    pub(crate) fn kill_all_gateways(&mut self) {
        for process in &mut self.gateways {
            process.kill();
        }
        self.gateways.clear();
    }

    /// Takes streams up at these gateways in turn, all at once, and checks the whole of each.
    pub(crate) fn complete_all(&self, gateways: &[usize], callers: Vec<Caller>) {
        let takers = callers.into_iter().enumerate().map(|(number, mut caller)| {
            let gateway = self.address(gateways[number % gateways.len()]);
            std::thread::spawn(move || caller.complete_at(gateway))
        });
        let takers: Vec<_> = takers.collect();
        let results: Vec<_> = takers.into_iter().map(JoinHandle::join).collect();
        let failed = results.iter().filter(|result| result.is_err()).count();
        assert_eq!(failed, 0, "of {} streams", results.len());
    }

    pub(crate) fn engines(&self) -> usize {
        self.engines.len()
    }

    pub(crate) fn gateways(&self) -> usize {
        self.gateways.len()
    }

    /// The address of a gateway for callers.
    pub(crate) fn address(&self, gateway: usize) -> SocketAddr {
        self.gateways[gateway].address("callers")
    }

    /// Begins streams until `count` of them run at a version, and returns these.
    pub(crate) fn begin_at(&self, gateway: usize, version: &str, count: usize) -> Vec<Caller> {
        let mut callers = Vec::new();
        for _ in 0..BEGINS_MAX {
            if callers.len() == count {
                return callers;
            }
            let number = self.begun.fetch_add(1, Ordering::SeqCst);
            let mut caller = Caller::new(&format!("stream{number}"));
            caller.begin(self.address(gateway));
            if caller.version() == version {
                callers.push(caller);
            }
        }
        panic!("{} of {count} streams began at {version}", callers.len());
    }

    /// Begins a stream at a version and reads some of its events.
    pub(crate) fn begin_one_at(&self, gateway: usize, version: &str) -> Caller {
        self.begin_at(gateway, version, 1).remove(0)
    }
}

/// A caller with one stream, over all its attempts.
#[derive(Default)]
pub(crate) struct Caller {
    name: String,
    api_key: String,
    attempts: usize,
    /// The attempt that brought the first event.
    first_attempt: String,
    begun_at: Option<Instant>,
    /// The ids and versions of the whole events that were received.
    events: Vec<(u64, String)>,
    connection: Option<(ClientConnection, ReceivedResponse)>,
    pub(crate) is_complete: bool,
}

impl Caller {
    /// Creates a caller whose attempts are named after `name`.
    pub(crate) fn new(name: &str) -> Self {
        Self::with_key(name, "k1")
    }

    pub(crate) fn with_key(name: &str, api_key: &str) -> Self {
        Self {
            name: name.to_owned(),
            api_key: api_key.to_owned(),
            ..Self::default()
        }
    }

    /// Begins a stream and reads some events of it. A refusal with `Retry-After` is
    /// repeated for some time.
    pub(crate) fn begin(&mut self, gateway: SocketAddr) {
        self.repeat(gateway, "")
            .unwrap_or_else(|refusal| panic!("{} was refused: {refusal:?}", self.name));
        self.read_until(READ_EVENTS);
        assert!(!self.events.is_empty(), "{} got no event", self.name);
    }

    /// Ends the connection and takes the stream up. Returns a refusal that has no
    /// `Retry-After`, and the last one after some time of repeats.
    pub(crate) fn take_up(&mut self, gateway: SocketAddr) -> Result<(), ReceivedResponse> {
        let headers = self.take_up_headers();
        self.repeat(gateway, &headers)
    }

    /// Like [`Self::take_up`], without repeats.
    pub(crate) fn take_up_once(&mut self, gateway: SocketAddr) -> Result<(), ReceivedResponse> {
        let headers = self.take_up_headers();
        self.send(gateway, &headers)
    }

    /// Takes the stream up, reads its rest, and checks the whole of it.
    pub(crate) fn complete_at(&mut self, gateway: SocketAddr) {
        self.take_up(gateway)
            .unwrap_or_else(|refusal| panic!("{} was refused: {refusal:?}", self.name));
        self.read_until(usize::MAX);
        self.check_whole();
    }

    /// The headers with which the stream is taken up.
    fn take_up_headers(&self) -> String {
        format!("{}{}", self.last_event_header(), self.resumes_header())
    }

    pub(crate) fn last_event_header(&self) -> String {
        let (last, _) = self.events.last().unwrap();
        format!("\nLast-Event-Id: {last}")
    }

    pub(crate) fn resumes_header(&self) -> String {
        format!("\nResumes: {}", self.first_attempt)
    }

    /// Sends a request and repeats it for some time while it is refused with `Retry-After`.
    pub(crate) fn repeat(
        &mut self,
        gateway: SocketAddr,
        extra_headers: &str,
    ) -> Result<(), ReceivedResponse> {
        let until = Instant::now() + REPEAT_TIME;
        loop {
            let Err(refusal) = self.send(gateway, extra_headers) else {
                return Ok(());
            };
            let after = refusal.header("retry-after").map(str::parse);
            match after {
                Some(Ok(seconds)) if Instant::now() < until => {
                    std::thread::sleep(Duration::from_secs_f64(seconds));
                }
                _ => return Err(refusal),
            }
        }
    }

    /// Sends a new attempt on a new connection, and waits for the head of its answer.
    pub(crate) fn send(
        &mut self,
        gateway: SocketAddr,
        extra_headers: &str,
    ) -> Result<(), ReceivedResponse> {
        self.attempts += 1;
        let attempt = format!("{}-{}", self.name, self.attempts);
        self.send_as(gateway, &attempt, extra_headers)
    }

    /// Like [`Self::send`], with this id of the attempt.
    pub(crate) fn send_as(
        &mut self,
        gateway: SocketAddr,
        attempt: &str,
        extra_headers: &str,
    ) -> Result<(), ReceivedResponse> {
        let connection = self.open(gateway, attempt, extra_headers);
        self.receive_head(attempt, connection)
    }

    /// Sends a request on a new connection, and reads nothing.
    pub(crate) fn open(
        &mut self,
        gateway: SocketAddr,
        attempt: &str,
        extra_headers: &str,
    ) -> ClientConnection {
        let head = format!(
            "POST /note/a HTTP/1.1\nHost: h.example\nAttempt-Id: {attempt}\n\
             Deadline-Ms: 8000\nAuthorization: Bearer {}\nToken-Usage: 300,40\n\
             Model: m{extra_headers}",
            self.api_key
        );
        self.connection = None;
        let mut connection = ClientConnection::open(gateway);
        connection.send(&head, "hello");
        connection
    }

    /// Waits for the head of an answer.
    pub(crate) fn receive_head(
        &mut self,
        attempt: &str,
        mut connection: ClientConnection,
    ) -> Result<(), ReceivedResponse> {
        let mut response = connection.receive_head().expect("no answer");
        if response.status != 200 {
            connection.receive_body(&mut response);
            return Err(response);
        }
        if self.events.is_empty() {
            attempt.clone_into(&mut self.first_attempt);
            self.begun_at = Some(Instant::now());
        }
        self.connection = Some((connection, response));
        Ok(())
    }

    /// Reads until there are `count` whole events, or the answer ends or breaks off.
    pub(crate) fn read_until(&mut self, count: usize) {
        let Some((connection, response)) = &mut self.connection else {
            return;
        };
        while self.events.len() < count {
            let has_more = connection.receive_chunk(response);
            while let Some((event, rest)) = response.body.split_once("\n\n") {
                self.events.push(parse_event(event));
                response.body = rest.to_owned();
            }
            if !has_more {
                self.is_complete = response.complete;
                self.connection = None;
                return;
            }
        }
    }

    pub(crate) fn received(&self) -> usize {
        self.events.len()
    }

    /// Whether an answer is being received.
    pub(crate) const fn is_connected(&self) -> bool {
        self.connection.is_some()
    }

    /// Time since the stream began.
    pub(crate) fn age(&self) -> Duration {
        self.begun_at
            .map_or(Duration::ZERO, |begun_at| begun_at.elapsed())
    }

    /// The version that wrote the first event.
    pub(crate) fn version(&self) -> &str {
        &self.events[0].1
    }

    /// The id of the attempt that brought the first event.
    pub(crate) fn first_attempt(&self) -> &str {
        &self.first_attempt
    }

    /// Checks that all events come from one version and none is missing or twice.
    pub(crate) fn check(&self) {
        let ids: Vec<_> = self.events.iter().map(|(id, _)| *id).collect();
        let expected: Vec<_> = (1..).take(ids.len()).collect();
        assert_eq!(ids, expected, "{}", self.name);
        let other = self
            .events
            .iter()
            .find(|(_, version)| version != self.version());
        assert_eq!(other, None, "{} began at {}", self.name, self.version());
    }

    /// Checks the events of a stream that has been received to its end.
    pub(crate) fn check_whole(&self) {
        self.check();
        let received = u64::try_from(self.events.len()).unwrap();
        assert_eq!(
            (received, self.is_complete),
            (EVENTS, true),
            "{}",
            self.name
        );
    }
}

fn parse_event(text: &str) -> (u64, String) {
    let field = |name| text.lines().find_map(|line| line.strip_prefix(name));
    (
        field("id: ").unwrap().parse().unwrap(),
        field("data: ").unwrap().to_owned(),
    )
}

/// The configuration of the other tests with another timeout of the resumable route.
pub(crate) fn config_with_timeout(timeout: Duration) -> Value {
    let mut config = config(1);
    let routes = config["routes"].as_array_mut().unwrap();
    let notes = routes.iter_mut().find(|route| route["name"] == "/note/");
    notes.unwrap()["timeoutMs"] = json!(u64::try_from(timeout.as_millis()).unwrap());
    config
}

/// Checks that a take-up was refused as one that no repeat can help.
pub(crate) fn assert_version_gone(result: Result<(), ReceivedResponse>) {
    let refusal = result.expect_err("the stream went on");
    assert_eq!(refusal.status, 503, "{refusal:?}");
    assert!(refusal.body.contains("version_gone"), "{refusal:?}");
    assert_eq!(refusal.header("retry-after"), None, "{refusal:?}");
}
