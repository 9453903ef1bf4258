//! A fake of the platform's log service that can simulate outages.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fake_http::{ConnectionAction, Request, Server, response_with_length};
use crate::gateway_harness::write_response;

/// How the store responds to requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum StoreMode {
    #[default]
    Serving,
    /// It accepts requests and sends no response, as to a client that is cut off. A read that
    /// waits for records when this mode begins gets no response either.
    Silent,
    /// It rejects requests with this status.
    Refusing(u16),
    /// It serves this many further reads of operators' orders, then no request.
    OrderReads(usize),
    /// It closes connections, also those of reads that wait for records.
    Closing,
}

/// What becomes of calls that fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallFault {
    /// It rejects them with this status.
    Refused(u16),
    /// It closes their connections without a response after some time.
    Unanswered,
    /// It executes them, and closes their connections without a response.
    AnswerLost,
}

/// Topics that others than the gateways write to, or that hold the status of roll-outs or of the
/// store's restores.
const PLATFORM_TOPICS: [&str; 4] = [
    "keyed.op",
    "keyed.servers",
    "keyed.status",
    "keyed.restores",
];

/// Prefix of topics whose records consist of a key and a value. Those of other topics are
/// raw bytes.
const KEYED_PREFIX: &str = "keyed.";

/// Time after which the store closes the connection of a call that it doesn't answer.
const UNANSWERED_TIME: Duration = Duration::from_secs(2);
/// The same of a call to a store that is silent.
const SILENT_TIME: Duration = Duration::from_secs(30);

#[derive(Debug, Default)]
struct Topic {
    first: usize,
    /// Keys and values; the key is empty in a topic of raw records.
    records: Vec<(String, Vec<u8>)>,
}

#[derive(Debug, Default)]
struct State {
    topics: BTreeMap<String, Topic>,
    mode: StoreMode,
    calls: usize,
    /// The calls for each topic.
    topic_calls: BTreeMap<String, usize>,
    /// The `waitMs` values of reads of operators' orders, in request order.
    order_wait_ms: Vec<u64>,
    /// Appends whose body contains this text are dropped without a response.
    dropped_text: Option<String>,
    dropped_appends: usize,
    /// What becomes of all appends.
    append_fault: Option<CallFault>,
    /// When that ends, if before it is set again.
    append_fault_until: Option<Instant>,
    /// What becomes of reads of topics that are not in [`PLATFORM_TOPICS`].
    read_fault: Option<CallFault>,
    /// Number of records that calls have appended to topics of raw records.
    appended_raw: usize,
    /// The same of keyed records, without [`PLATFORM_TOPICS`].
    appended_keyed: usize,
    /// The header of all responses that rises when the store comes back from an older copy; a
    /// store without one does not send it.
    era: Option<String>,
}

/// How a link responds, and until when; it serves afterwards.
#[derive(Debug, Default)]
struct LinkMode {
    mode: StoreMode,
    until: Option<Instant>,
}

impl LinkMode {
    fn current(&self) -> StoreMode {
        let is_over = self.until.is_some_and(|until| until <= Instant::now());
        if is_over {
            StoreMode::Serving
        } else {
            self.mode
        }
    }
}

/// A further address of a fake store.
pub(crate) struct StoreLink {
    server: Server,
    mode: Arc<Mutex<LinkMode>>,
}

impl StoreLink {
    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets whether requests to this address get no response, as those of [`StoreMode::Silent`].
    pub(crate) fn set_cut(&self, is_cut: bool) {
        self.set_mode(if is_cut {
            StoreMode::Silent
        } else {
            StoreMode::Serving
        });
    }

    /// Sets how the store responds to requests to this address, if it serves at all.
    pub(crate) fn set_mode(&self, mode: StoreMode) {
        *self.mode.lock().unwrap() = LinkMode { mode, until: None };
    }

    /// The same until a time.
    pub(crate) fn set_mode_until(&self, mode: StoreMode, until: Instant) {
        let until = Some(until);
        *self.mode.lock().unwrap() = LinkMode { mode, until };
    }
}

fn start_server(state: &Arc<Mutex<State>>, link_mode: &Arc<Mutex<LinkMode>>) -> Server {
    let (state, mode) = (Arc::clone(state), Arc::clone(link_mode));
    let handler =
        move |request: &Request, stream: &mut TcpStream| serve(&state, &mode, request, stream);
    Server::start(Arc::new(handler))
}

/// A running fake store.
pub(crate) struct Store {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl Store {
    /// Starts a store whose gateways have written that the restore of its era is over.
    pub(crate) fn start() -> Self {
        let store = Self::start_new();
        store.put("keyed.restores", "restored", Some(&json!({"era": 1})));
        store
    }

    /// Starts a store that no gateway has reached yet.
    pub(crate) fn start_new() -> Self {
        let state = Arc::new(Mutex::new(State {
            era: Some("1".to_owned()),
            ..State::default()
        }));
        let server = start_server(&state, &Arc::default());
        Self { state, server }
    }

    /// Opens a further address of the store, for clients that are to be cut off from it alone.
    pub(crate) fn open_link(&self) -> StoreLink {
        let mode = Arc::default();
        let server = start_server(&self.state, &mode);
        StoreLink { server, mode }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the era that all responses state; `None` stands for a store without eras.
    pub(crate) fn set_era(&self, era: Option<&str>) {
        self.state.lock().unwrap().era = era.map(str::to_owned);
    }

    /// Number of records of a topic.
    pub(crate) fn end(&self, topic: &str) -> usize {
        let state = self.state.lock().unwrap();
        let topic = state.topics.get(topic);
        topic.map_or(0, |topic| topic.records.len())
    }

    /// Removes the records of a topic from `end` on, as in an older copy of the store.
    pub(crate) fn truncate(&self, topic: &str, end: usize) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.truncate(end);
    }

    pub(crate) fn set_mode(&self, mode: StoreMode) {
        self.state.lock().unwrap().mode = mode;
    }

    pub(crate) fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// The calls for the operators' and the endpoints' topic.
    pub(crate) fn platform_calls(&self) -> usize {
        self.calls_for("keyed.op") + self.calls_for("keyed.servers")
    }

    pub(crate) fn calls_for(&self, topic: &str) -> usize {
        let state = self.state.lock().unwrap();
        state.topic_calls.get(topic).copied().unwrap_or(0)
    }

    pub(crate) fn order_wait_ms(&self) -> Vec<u64> {
        self.state.lock().unwrap().order_wait_ms.clone()
    }

    /// Appends a record; `None` appends an empty value, which deletes the key.
    pub(crate) fn put(&self, topic: &str, key: &str, value: Option<&Value>) {
        let bytes = value.map_or_else(Vec::new, |value| value.to_string().into_bytes());
        self.put_bytes(topic, key, bytes);
    }

    pub(crate) fn put_bytes(&self, topic: &str, key: &str, bytes: Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), bytes));
    }

    /// The values of a key in the order in which they were written.
    pub(crate) fn values(&self, topic: &str, key: &str) -> Vec<Value> {
        let state = self.state.lock().unwrap();
        let records = state.topics.get(topic).map(|topic| &topic.records);
        let values = records
            .into_iter()
            .flatten()
            .filter(|(name, _)| name == key);
        values
            .map(|(_, value)| serde_json::from_slice(value).unwrap())
            .collect()
    }

    /// The newest value of a key; `None` if it was deleted or never written.
    pub(crate) fn newest(&self, topic: &str, key: &str) -> Option<Value> {
        let state = self.state.lock().unwrap();
        let mut records = state.topics.get(topic)?.records.iter().rev();
        let (_, value) = records.find(|(name, _)| name == key)?;
        serde_json::from_slice(value).ok()
    }

    /// Drops the first append whose body contains `text`, without a response.
    pub(crate) fn drop_append(&self, text: &str) {
        self.state.lock().unwrap().dropped_text = Some(text.to_owned());
    }

    pub(crate) fn dropped_appends(&self) -> usize {
        self.state.lock().unwrap().dropped_appends
    }

    /// Sets what becomes of all further appends; reads are served as before.
    pub(crate) fn set_append_fault(&self, fault: Option<CallFault>) {
        let mut state = self.state.lock().unwrap();
        state.append_fault = fault;
        state.append_fault_until = None;
    }

    /// The same until a time.
    pub(crate) fn set_append_fault_until(&self, fault: CallFault, until: Instant) {
        let mut state = self.state.lock().unwrap();
        state.append_fault = Some(fault);
        state.append_fault_until = Some(until);
    }

    /// Sets what becomes of further reads of the topics that the gateways keep for
    /// themselves; other calls are served as before.
    pub(crate) fn set_read_fault(&self, fault: Option<CallFault>) {
        self.state.lock().unwrap().read_fault = fault;
    }

    /// Number of raw records that were appended: those of streams.
    pub(crate) fn appended_streams(&self) -> usize {
        self.state.lock().unwrap().appended_raw
    }

    /// Number of keyed records that were appended to the gateways' own topics: the default
    /// versions of services.
    pub(crate) fn appended_defaults(&self) -> usize {
        self.state.lock().unwrap().appended_keyed
    }

    /// Deletes the history of all topics that the gateways keep for themselves.
    pub(crate) fn expire_records(&self) {
        let mut state = self.state.lock().unwrap();
        for (name, topic) in &mut state.topics {
            if !PLATFORM_TOPICS.contains(&name.as_str()) {
                topic.first = topic.records.len();
            }
        }
    }

    /// Deletes the history. The newest record of each key can still be read from
    /// `/v1/log-newest`.
    pub(crate) fn compact(&self, topic: &str) {
        let mut state = self.state.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.first = topic.records.len();
    }
}

fn serve(
    state: &Mutex<State>,
    link_mode: &Mutex<LinkMode>,
    request: &Request,
    stream: &mut TcpStream,
) -> ConnectionAction {
    let mode = link_mode.lock().unwrap().current();
    match mode {
        StoreMode::Silent => {
            std::thread::sleep(SILENT_TIME);
            return ConnectionAction::Close;
        }
        StoreMode::Closing => return ConnectionAction::Close,
        StoreMode::Refusing(status) => {
            return write_response(stream, &response_with_length(status, "", b""));
        }
        StoreMode::Serving | StoreMode::OrderReads(_) => {}
    }
    let mode = {
        let mut state = state.lock().unwrap();
        state.calls += 1;
        let topic = request.query("topic").unwrap_or("").to_owned();
        *state.topic_calls.entry(topic).or_default() += 1;
        let mode = state.mode;
        if request.query("topic") == Some("keyed.op") {
            state.mode = match mode {
                StoreMode::OrderReads(reads) => StoreMode::OrderReads(reads.saturating_sub(1)),
                mode => mode,
            };
        }
        mode
    };
    if takes_drop(state, request) {
        std::thread::sleep(Duration::from_secs(2));
        return ConnectionAction::Close;
    }
    match call_fault(state, request) {
        Some(fault @ (CallFault::Unanswered | CallFault::AnswerLost)) => {
            if fault == CallFault::AnswerLost {
                store_response(state, request);
            }
            std::thread::sleep(UNANSWERED_TIME);
            return ConnectionAction::Close;
        }
        Some(CallFault::Refused(status)) => {
            return write_response(stream, &response_with_length(status, "", b""));
        }
        None => {}
    }
    let bytes = match mode {
        StoreMode::Closing => return ConnectionAction::Close,
        StoreMode::Silent | StoreMode::OrderReads(0) => {
            std::thread::sleep(SILENT_TIME);
            return ConnectionAction::Close;
        }
        StoreMode::Refusing(status) => response_with_length(status, "", b""),
        StoreMode::Serving | StoreMode::OrderReads(_) => store_response(state, request),
    };
    let (mode, era) = {
        let state = state.lock().unwrap();
        (state.mode, state.era.clone())
    };
    // A call that began before a link changed its mode gets no response either.
    let mode = match link_mode.lock().unwrap().current() {
        StoreMode::Closing => StoreMode::Closing,
        StoreMode::Silent => StoreMode::Silent,
        StoreMode::Serving | StoreMode::Refusing(_) | StoreMode::OrderReads(_) => mode,
    };
    match mode {
        StoreMode::Closing => ConnectionAction::Close,
        StoreMode::Serving | StoreMode::Refusing(_) | StoreMode::OrderReads(_) => {
            write_response(stream, &with_era(bytes, era.as_deref()))
        }
        StoreMode::Silent => {
            std::thread::sleep(SILENT_TIME);
            ConnectionAction::Close
        }
    }
}

/// Adds the era to the head of a response.
fn with_era(response: Vec<u8>, era: Option<&str>) -> Vec<u8> {
    let Some(era) = era else {
        return response;
    };
    let head_end = response.iter().position(|byte| *byte == b'\n').unwrap() + 1;
    let (status_line, rest) = response.split_at(head_end);
    let header = format!("Store-Era: {era}\r\n");
    [status_line, header.as_bytes(), rest].concat()
}

/// Returns what becomes of a call if it fails.
fn call_fault(state: &Mutex<State>, request: &Request) -> Option<CallFault> {
    let state = state.lock().unwrap();
    if request.target.starts_with("/v1/log-append") {
        let is_over = state
            .append_fault_until
            .is_some_and(|until| until <= Instant::now());
        return state.append_fault.filter(|_| !is_over);
    }
    let topic = request.query("topic").unwrap_or("");
    state
        .read_fault
        .filter(|_| !PLATFORM_TOPICS.contains(&topic))
}

/// Whether an append is to be dropped, which happens once.
fn takes_drop(state: &Mutex<State>, request: &Request) -> bool {
    let mut state = state.lock().unwrap();
    let body = String::from_utf8_lossy(&request.body);
    let is_dropped = state
        .dropped_text
        .as_ref()
        .is_some_and(|text| body.contains(text));
    if is_dropped {
        state.dropped_text = None;
        state.dropped_appends += 1;
    }
    is_dropped
}

/// Appends the records of a request, unless it names an end that the topic doesn't have.
fn append_records(state: &Mutex<State>, name: &str, request: &Request) -> Vec<u8> {
    let mut state = state.lock().unwrap();
    let topic = state.topics.entry(name.to_owned()).or_default();
    let base = topic.records.len();
    let expected: Option<usize> = request.query("at").map(|at| at.parse().unwrap());
    if expected.is_some_and(|expected| expected != base) {
        let body = json!({"endOffset": base}).to_string();
        return response_with_length(412, "", body.as_bytes());
    }
    topic.records.extend(decode_records(name, &request.body));
    let end = topic.records.len();
    if !name.starts_with(KEYED_PREFIX) {
        state.appended_raw += end - base;
    } else if !PLATFORM_TOPICS.contains(&name) {
        state.appended_keyed += end - base;
    }
    let body = json!({"offset": base, "endOffset": end}).to_string();
    response_with_length(200, "", body.as_bytes())
}

/// Splits the body of an append into records, each of which follows its length.
fn decode_records(topic: &str, mut body: &[u8]) -> Vec<(String, Vec<u8>)> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_at(4);
        let length = u32::from_be_bytes(length.try_into().unwrap());
        let (record, rest) = rest.split_at(usize::try_from(length).unwrap());
        body = rest;
        if !topic.starts_with(KEYED_PREFIX) {
            records.push((String::new(), record.to_vec()));
            continue;
        }
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        let key = String::from_utf8(key.to_vec()).unwrap();
        records.push((key, value.to_vec()));
    }
    records
}

fn store_response(state: &Mutex<State>, request: &Request) -> Vec<u8> {
    let topic = request.query("topic").unwrap_or("");
    if request.target.starts_with("/v1/log-append") {
        return append_records(state, topic, request);
    }
    if request.target.starts_with("/v1/log-newest") {
        return response_with_length(200, "", latest_records(state, topic).to_string().as_bytes());
    }
    let from: usize = request.query("from").unwrap().parse().unwrap();
    let wait_ms = request.query("waitMs").unwrap_or("0").parse().unwrap();
    let max_kb: usize = request
        .query("maxReadKb")
        .unwrap_or("1024")
        .parse()
        .unwrap();
    if topic == "keyed.op" {
        state.lock().unwrap().order_wait_ms.push(wait_ms);
    }
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let timed_out = Instant::now() >= until;
        let is_closing = state.lock().unwrap().mode == StoreMode::Closing;
        let timed_out = timed_out || is_closing;
        if let Some(bytes) = read_records(state, topic, from, max_kb * 1024, timed_out) {
            return bytes;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn latest_records(state: &Mutex<State>, topic: &str) -> Value {
    use base64::Engine;
    let mut state = state.lock().unwrap();
    let topic = state.topics.entry(topic.to_owned()).or_default();
    let mut items = BTreeMap::new();
    for (offset, (key, value)) in topic.records.iter().enumerate() {
        items.insert(key, (offset, value));
    }
    let encode = |value| base64::engine::general_purpose::STANDARD.encode(value);
    let items: Vec<_> = items
        .into_iter()
        .filter(|(_, (_, value))| !value.is_empty())
        .map(|(key, (offset, value))| json!({"key": key, "value": encode(value), "offset": offset}))
        .collect();
    json!({"items": items, "hasMore": false, "endOffset": topic.records.len()})
}

fn read_records(
    state: &Mutex<State>,
    name: &str,
    from: usize,
    max_bytes: usize,
    timed_out: bool,
) -> Option<Vec<u8>> {
    let mut state = state.lock().unwrap();
    let topic = state.topics.entry(name.to_owned()).or_default();
    let is_keyed = name.starts_with(KEYED_PREFIX);
    let end = topic.records.len();
    if from < topic.first || from > end {
        let body = json!({"firstOffset": topic.first}).to_string();
        return Some(response_with_length(410, "", body.as_bytes()));
    }
    if from >= end && !timed_out {
        return None;
    }
    let mut body = Vec::new();
    body.extend_from_slice(&u64::try_from(end).unwrap().to_be_bytes());
    body.extend_from_slice(&u64::try_from(topic.first).unwrap().to_be_bytes());
    for (key, value) in topic.records.get(from..).unwrap_or(&[]) {
        let key_bytes = if is_keyed { 1 + key.len() } else { 0 };
        let length = u32::try_from(key_bytes + value.len()).unwrap();
        let is_first = body.len() == 16;
        if !is_first && body.len() + value.len() > max_bytes {
            break;
        }
        body.extend_from_slice(&length.to_be_bytes());
        if is_keyed {
            body.push(u8::try_from(key.len()).unwrap());
            body.extend_from_slice(key.as_bytes());
        }
        body.extend_from_slice(value);
    }
    Some(response_with_length(200, "", &body))
}
