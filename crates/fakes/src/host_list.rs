//! A fake host list.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentil_core::Span;
use lentil_platform::{HostRecord, HostState, HostsReply};
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use crate::FakeError;
use crate::server::{Server, control, lock};

/// Options of the fake host list.
#[derive(Debug, Clone)]
pub struct HostListOptions {
    /// Delay until an announced change is listed.
    pub propagation_delay: Span,
    /// Time a process stays listed after its last heartbeat became visible.
    pub expire_after: Span,
}

impl Default for HostListOptions {
    fn default() -> Self {
        Self {
            propagation_delay: Span::from_ms(200),
            expire_after: Span::from_s(10),
        }
    }
}

/// A running fake host list.
#[derive(Debug)]
pub struct FakeHostList {
    server: Server,
    shared: Shared,
}

type Shared = Arc<Mutex<Hosts>>;

#[derive(Debug)]
struct Hosts {
    options: HostListOptions,
    pending: VecDeque<(Instant, HostRecord)>,
    visible: BTreeMap<String, (Instant, HostRecord)>,
    state_overrides: BTreeMap<String, HostState>,
    /// Texts of records that no process has announced.
    odd_records: Vec<String>,
    frozen: bool,
    full_reads: u64,
}

impl FakeHostList {
    /// Starts the host list at a free port.
    ///
    /// # Errors
    /// Binding the port or starting the thread failed.
    pub fn start(options: HostListOptions) -> Result<Self, FakeError> {
        let shared = Arc::new(Mutex::new(Hosts {
            options,
            pending: VecDeque::new(),
            visible: BTreeMap::new(),
            state_overrides: BTreeMap::new(),
            odd_records: Vec::new(),
            frozen: false,
            full_reads: 0,
        }));
        let server = Server::start("fake-hosts", control(), Arc::clone(&shared), routes)?;
        Ok(Self { server, shared })
    }

    /// The address at which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Number of times the full list was sent.
    #[must_use]
    pub fn full_reads(&self) -> u64 {
        lock(&self.shared).full_reads
    }

    /// Suspends or resumes updates of the list.
    pub fn set_frozen(&self, frozen: bool) {
        lock(&self.shared).frozen = frozen;
    }

    /// Lists a process with this state instead of the one it announces.
    pub fn override_state(&self, process: &str, state: HostState) {
        lock(&self.shared)
            .state_overrides
            .insert(process.to_owned(), state);
    }

    /// Lists a record as another writer may leave it. The text must not break the list
    /// around it.
    pub fn add_odd_record(&self, text: String) {
        lock(&self.shared).odd_records.push(text);
    }

    /// Closes all connections and refuses new ones.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Listens again after [`Self::crash`]; the list is kept.
    pub fn restart(&self) {
        self.server.restart();
    }
}

fn routes(config: &mut ServiceConfig) {
    config.service(web::resource("/hosts").route(web::get().to(list)));
    config.service(web::resource("/hosts/{process}").route(web::put().to(announce)));
}

impl Hosts {
    fn announce(&mut self, record: HostRecord) {
        self.pending.push_back((Instant::now(), record));
    }

    fn list(&mut self) -> HostsReply {
        if !self.frozen {
            self.update_visible(Instant::now());
        }
        let hosts = self.visible.iter().map(|(name, (_, record))| {
            let state = self
                .state_overrides
                .get(name)
                .copied()
                .unwrap_or(record.state);
            HostRecord {
                state,
                ..record.clone()
            }
        });
        HostsReply {
            hosts: hosts.collect(),
        }
    }

    fn update_visible(&mut self, now: Instant) {
        let lag = Duration::from(self.options.propagation_delay);
        let expire = Duration::from(self.options.expire_after);
        while let Some((at, record)) = self.pending.pop_front() {
            if now.duration_since(at) < lag {
                self.pending.push_front((at, record));
                break;
            }
            let name = record.process.to_string();
            self.visible.insert(name, (at, record));
        }
        self.visible
            .retain(|_, (at, _)| now.duration_since(*at) < expire + lag);
    }
}

async fn announce(hosts: State<Shared>, body: Bytes) -> HttpResponse {
    let Ok(record) = serde_json::from_slice::<HostRecord>(&body) else {
        return HttpResponse::BadRequest().finish();
    };
    lock(&hosts).announce(record);
    HttpResponse::NoContent().finish()
}

async fn list(hosts: State<Shared>, request: HttpRequest) -> HttpResponse {
    let reply = lock(&hosts).list();
    let mut records = lock(&hosts).odd_records.clone();
    for record in reply.hosts {
        let Ok(text) = serde_json::to_string(&record) else {
            return HttpResponse::InternalServerError().finish();
        };
        records.push(text);
    }
    let body = format!("{{\"hosts\":[{}]}}", records.join(",")).into_bytes();
    let tag = entity_tag(&body);
    let cached_tag = request.headers().get("if-none-match");
    if cached_tag.is_some_and(|cached_tag| cached_tag.as_bytes() == tag.as_bytes()) {
        return HttpResponse::NotModified().finish();
    }
    lock(&hosts).full_reads += 1;
    HttpResponse::Ok()
        .header("etag", tag)
        .content_type("application/json")
        .body(body)
}

fn entity_tag(body: &[u8]) -> String {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    format!("\"{:x}\"", hasher.finish())
}
