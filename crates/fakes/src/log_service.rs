//! A fake log service.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentil_core::Span;
use lentil_platform::{AppendReply, AppendRequest, ReadReply, WireAppendRecord, WireReadRecord};
use ntex::util::Bytes;
use ntex::web::types::{Path, Query, State};
use ntex::web::{self, HttpResponse, ServiceConfig};
use serde::Deserialize;

use crate::FakeError;
use crate::server::{Server, control, lock};

/// Maximum number of records in one read if the request has no limit.
const READ_LIMIT_RECORDS: usize = 1_000;

/// Options of the fake log service.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// Maximum number of records kept per stream.
    pub retain_records: usize,
    /// Maximum age of a kept record.
    pub retention: Span,
    /// Maximum number of append requests per second; further ones are refused.
    pub appends_per_second: u32,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self {
            retain_records: 1_000_000,
            retention: Span::from_s(7 * 24 * 3_600),
            appends_per_second: 500,
        }
    }
}

/// A failure of the whole log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Refuses all requests without applying them.
    Refusing,
    /// Accepts requests but neither applies nor answers them.
    Silent,
}

/// A running fake log service.
#[derive(Debug)]
pub struct FakeLog {
    server: Server,
    shared: Shared,
}

type Shared = Arc<Mutex<Log>>;

#[derive(Debug)]
struct Log {
    options: LogOptions,
    streams: HashMap<String, Stream>,
    outage: Outage,
    delay: Duration,
    responses_to_drop: u32,
    appends: u64,
    window_start: Instant,
    window_appends: u32,
}

#[derive(Debug, Default)]
struct Stream {
    records: VecDeque<(Instant, WireAppendRecord)>,
    oldest: u64,
}

impl FakeLog {
    /// Starts the log service at a free port.
    ///
    /// # Errors
    /// Binding the port or starting the thread failed.
    pub fn start(options: LogOptions) -> Result<Self, FakeError> {
        let shared = Arc::new(Mutex::new(Log {
            options,
            streams: HashMap::new(),
            outage: Outage::None,
            delay: Duration::ZERO,
            responses_to_drop: 0,
            appends: 0,
            window_start: Instant::now(),
            window_appends: 0,
        }));
        let server = Server::start("fake-log", control(), Arc::clone(&shared), routes)?;
        Ok(Self { server, shared })
    }

    /// The address at which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the outage that applies to all requests from now on.
    pub fn set_outage(&self, outage: Outage) {
        lock(&self.shared).outage = outage;
    }

    /// Delays the processing of every request.
    pub fn set_delay(&self, delay: Span) {
        lock(&self.shared).delay = delay.into();
    }

    /// Applies the next `count` appends, but breaks off their responses.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.shared).responses_to_drop = count;
    }

    /// Number of append requests applied so far.
    #[must_use]
    pub fn appends(&self) -> u64 {
        lock(&self.shared).appends
    }

    /// Removes the records of a stream before an offset.
    pub fn truncate_before(&self, stream: &str, offset: u64) {
        let mut log = lock(&self.shared);
        if let Some(stream) = log.streams.get_mut(stream) {
            while stream.oldest < offset && stream.records.pop_front().is_some() {
                stream.oldest += 1;
            }
        }
    }

    /// Closes all connections and refuses new ones.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Listens again after [`Self::crash`]; the records are kept.
    pub fn restart(&self) {
        self.server.restart();
    }
}

fn routes(config: &mut ServiceConfig) {
    config.service(
        web::resource("/streams/{stream}/records")
            .route(web::post().to(append))
            .route(web::get().to(read)),
    );
}

/// The outcome of an append request.
enum AppendOutcome {
    Stored(u64),
    ResponseDropped,
    RateLimited,
}

impl Log {
    fn append(&mut self, name: String, records: Vec<WireAppendRecord>) -> AppendOutcome {
        let now = Instant::now();
        if now.duration_since(self.window_start) >= Duration::from_secs(1) {
            self.window_start = now;
            self.window_appends = 0;
        }
        if self.window_appends >= self.options.appends_per_second {
            return AppendOutcome::RateLimited;
        }
        self.window_appends += 1;
        self.appends += 1;
        let stream = self.streams.entry(name).or_default();
        let first = stream.next_offset();
        stream
            .records
            .extend(records.into_iter().map(|record| (now, record)));
        if self.responses_to_drop > 0 {
            self.responses_to_drop -= 1;
            return AppendOutcome::ResponseDropped;
        }
        AppendOutcome::Stored(first)
    }

    fn read(&mut self, name: &str, from: u64, limit: usize) -> ReadReply {
        let retain_records = self.options.retain_records;
        let retain = Duration::from(self.options.retention);
        let Some(stream) = self.streams.get_mut(name) else {
            return ReadReply {
                records: Vec::new(),
                next: 0,
                oldest: 0,
            };
        };
        stream.expire(retain_records, retain);
        let start = from.max(stream.oldest);
        let skip = usize::try_from(start - stream.oldest).unwrap_or(usize::MAX);
        let records: Vec<_> = (start..)
            .zip(stream.records.iter().skip(skip).take(limit))
            .map(|(offset, (_, record))| WireReadRecord {
                offset,
                id: record.id.clone(),
                body: record.body.clone(),
            })
            .collect();
        let next = records.last().map_or(start, |record| record.offset + 1);
        ReadReply {
            records,
            next,
            oldest: stream.oldest,
        }
    }
}

impl Stream {
    fn next_offset(&self) -> u64 {
        let retained = u64::try_from(self.records.len()).unwrap_or(u64::MAX);
        self.oldest.saturating_add(retained)
    }

    fn expire(&mut self, retain_records: usize, retain: Duration) {
        let now = Instant::now();
        while self.records.len() > retain_records
            || self
                .records
                .front()
                .is_some_and(|(at, _)| now.duration_since(*at) > retain)
        {
            self.records.pop_front();
            self.oldest += 1;
        }
    }
}

#[derive(Deserialize)]
struct ReadQuery {
    #[serde(default)]
    from: u64,
    limit: Option<usize>,
}

async fn append(log: State<Shared>, stream: Path<String>, body: Bytes) -> HttpResponse {
    if let Some(response) = outage_response(&log).await {
        return response;
    }
    let Ok(request) = serde_json::from_slice::<AppendRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let outcome = lock(&log).append(stream.into_inner(), request.records);
    match outcome {
        AppendOutcome::Stored(first_offset) => {
            HttpResponse::Ok().json(&AppendReply { first_offset })
        }
        AppendOutcome::ResponseDropped => truncated_response(),
        AppendOutcome::RateLimited => HttpResponse::TooManyRequests().finish(),
    }
}

async fn read(log: State<Shared>, stream: Path<String>, query: Query<ReadQuery>) -> HttpResponse {
    if let Some(response) = outage_response(&log).await {
        return response;
    }
    let limit = query.limit.unwrap_or(READ_LIMIT_RECORDS);
    let reply = lock(&log).read(&stream, query.from, limit);
    HttpResponse::Ok().json(&reply)
}

async fn outage_response(log: &Shared) -> Option<HttpResponse> {
    let (outage, delay) = {
        let log = lock(log);
        (log.outage, log.delay)
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match outage {
        Outage::None => None,
        Outage::Refusing => Some(HttpResponse::ServiceUnavailable().finish()),
        Outage::Silent => std::future::pending().await,
    }
}

/// A response that breaks off after its head.
pub(crate) fn truncated_response() -> HttpResponse {
    let error = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let body = futures_util::stream::once(std::future::ready(Err::<Bytes, _>(error)));
    HttpResponse::Ok().streaming(body)
}
