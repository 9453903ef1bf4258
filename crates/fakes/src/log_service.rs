//! The log service's stand-in.

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

/// Records given in one answer when the reader names no limit.
const READ_LIMIT_RECORDS: usize = 1_000;

/// How the log service's stand-in behaves.
#[derive(Debug, Clone)]
pub struct LogOptions {
    /// Most records kept of a stream.
    pub retain_records: usize,
    /// Longest time a record is kept.
    pub retention: Span,
    /// Most append requests a second; more are refused.
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
    /// It answers.
    #[default]
    None,
    /// It refuses everything, unapplied.
    Refusing,
    /// It takes requests and never answers; nothing is applied.
    Silent,
}

/// A running stand-in of the log service.
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
    answers_to_lose: u32,
    appends: u64,
    window_begin: Instant,
    window_appends: u32,
}

#[derive(Debug, Default)]
struct Stream {
    records: VecDeque<(Instant, WireAppendRecord)>,
    oldest: u64,
}

impl FakeLog {
    /// Starts it at a free port.
    ///
    /// # Errors
    /// The port or thread can't be had.
    pub fn start(options: LogOptions) -> Result<Self, FakeError> {
        let shared = Arc::new(Mutex::new(Log {
            options,
            streams: HashMap::new(),
            outage: Outage::None,
            delay: Duration::ZERO,
            answers_to_lose: 0,
            appends: 0,
            window_begin: Instant::now(),
            window_appends: 0,
        }));
        let server = Server::start("fake-log", control(), Arc::clone(&shared), routes)?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Switches an outage on or off.
    pub fn set_outage(&self, outage: Outage) {
        lock(&self.shared).outage = outage;
    }

    /// Delays every answer.
    pub fn set_delay(&self, delay: Span) {
        lock(&self.shared).delay = delay.into();
    }

    /// Applies the next `count` appends and cuts their connections unanswered.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.shared).answers_to_lose = count;
    }

    /// Append requests applied so far.
    #[must_use]
    pub fn appends(&self) -> u64 {
        lock(&self.shared).appends
    }

    /// Forgets the records of a stream before an offset.
    pub fn truncate_before(&self, stream: &str, offset: u64) {
        let mut log = lock(&self.shared);
        if let Some(stream) = log.streams.get_mut(stream) {
            while stream.oldest < offset && stream.records.pop_front().is_some() {
                stream.oldest += 1;
            }
        }
    }

    /// Cuts all connections and refuses new ones.
    pub fn crash(&self) {
        self.server.die();
    }

    /// Listens again after [`Self::crash`], with its records.
    pub fn restart(&self) {
        self.server.revive();
    }
}

fn routes(config: &mut ServiceConfig) {
    config.service(
        web::resource("/streams/{stream}/records")
            .route(web::post().to(append))
            .route(web::get().to(read)),
    );
}

/// What becomes of an append.
enum Appended {
    Offset(u64),
    AnswerLost,
    TooMany,
}

impl Log {
    fn append(&mut self, name: String, records: Vec<WireAppendRecord>) -> Appended {
        let now = Instant::now();
        if now.duration_since(self.window_begin) >= Duration::from_secs(1) {
            self.window_begin = now;
            self.window_appends = 0;
        }
        if self.window_appends >= self.options.appends_per_second {
            return Appended::TooMany;
        }
        self.window_appends += 1;
        self.appends += 1;
        let stream = self.streams.entry(name).or_default();
        let first = stream.next();
        stream
            .records
            .extend(records.into_iter().map(|record| (now, record)));
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return Appended::AnswerLost;
        }
        Appended::Offset(first)
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
        let begin = from.max(stream.oldest);
        let skip = usize::try_from(begin - stream.oldest).unwrap_or(usize::MAX);
        let records: Vec<_> = (begin..)
            .zip(stream.records.iter().skip(skip).take(limit))
            .map(|(offset, (_, record))| WireReadRecord {
                offset,
                id: record.id.clone(),
                body: record.body.clone(),
            })
            .collect();
        let next = records.last().map_or(begin, |record| record.offset + 1);
        ReadReply {
            records,
            next,
            oldest: stream.oldest,
        }
    }
}

impl Stream {
    fn next(&self) -> u64 {
        let kept = u64::try_from(self.records.len()).unwrap_or(u64::MAX);
        self.oldest.saturating_add(kept)
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
    if let Some(refusal) = outage(&log).await {
        return refusal;
    }
    let Ok(request) = serde_json::from_slice::<AppendRequest>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    let appended = lock(&log).append(stream.into_inner(), request.records);
    match appended {
        Appended::Offset(first_offset) => HttpResponse::Ok().json(&AppendReply { first_offset }),
        Appended::AnswerLost => broken_answer(),
        Appended::TooMany => HttpResponse::TooManyRequests().finish(),
    }
}

async fn read(log: State<Shared>, stream: Path<String>, query: Query<ReadQuery>) -> HttpResponse {
    if let Some(refusal) = outage(&log).await {
        return refusal;
    }
    let limit = query.limit.unwrap_or(READ_LIMIT_RECORDS);
    let reply = lock(&log).read(&stream, query.from, limit);
    HttpResponse::Ok().json(&reply)
}

async fn outage(log: &Shared) -> Option<HttpResponse> {
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

/// An answer that breaks off after its head.
pub(crate) fn broken_answer() -> HttpResponse {
    let cut = std::io::Error::from(std::io::ErrorKind::ConnectionReset);
    let body = futures_util::stream::once(std::future::ready(Err::<Bytes, _>(cut)));
    HttpResponse::Ok().streaming(body)
}
