//! A plain service's stand-in, which counts what it executes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentil_core::Span;
use ntex::util::Bytes;
use ntex::web::types::State;
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde_json::json;

use crate::FakeError;
use crate::log_service::broken_answer;
use crate::server::{Control, Server, control, lock};

/// Most keys whose executions are counted one by one.
const KEYS_MAX: usize = 1_000_000;

/// How a plain service's stand-in behaves.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Its name, told in every answer.
    pub name: String,
    /// Time each execution takes.
    pub delay: Span,
    /// Requests it runs side by side, told as its load.
    pub slots: u32,
}

impl Default for ServiceOptions {
    fn default() -> Self {
        Self {
            name: "service".to_owned(),
            delay: Span::from_ms(1),
            slots: 16,
        }
    }
}

/// A running stand-in of a plain service.
#[derive(Debug)]
pub struct FakeService {
    server: Server,
    shared: Shared,
}

#[derive(Debug, Clone)]
struct Shared {
    state: Arc<Mutex<Service>>,
    control: Control,
}

#[derive(Debug)]
struct Service {
    options: ServiceOptions,
    executions: HashMap<String, u64>,
    total: u64,
    running: u32,
    running_max: u32,
    answers_to_lose: u32,
    answers_to_withhold: u32,
    crash_before: Option<String>,
    crash_after: Option<String>,
}

impl FakeService {
    /// Starts it at a free port.
    ///
    /// # Errors
    /// The port or thread can't be had.
    pub fn start(options: ServiceOptions) -> Result<Self, FakeError> {
        let (control, commands) = control();
        let shared = Shared {
            state: Arc::new(Mutex::new(Service {
                options,
                executions: HashMap::new(),
                total: 0,
                running: 0,
                running_max: 0,
                answers_to_lose: 0,
                answers_to_withhold: 0,
                crash_before: None,
                crash_after: None,
            })),
            control: control.clone(),
        };
        let server = Server::start("fake-service", (control, commands), shared.clone(), routes)?;
        Ok(Self { server, shared })
    }

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// How often a request with this idempotency key was executed.
    #[must_use]
    pub fn executions(&self, key: &str) -> u64 {
        let service = lock(&self.shared.state);
        service.executions.get(key).copied().unwrap_or(0)
    }

    /// Keys executed more than once.
    #[must_use]
    pub fn repeated_keys(&self) -> usize {
        let service = lock(&self.shared.state);
        service.executions.values().filter(|n| **n > 1).count()
    }

    /// Executions in all.
    #[must_use]
    pub fn total(&self) -> u64 {
        lock(&self.shared.state).total
    }

    /// Most executions that ran side by side.
    #[must_use]
    pub fn running_max(&self) -> u32 {
        lock(&self.shared.state).running_max
    }

    /// Sets the time each execution takes.
    pub fn set_delay(&self, delay: Span) {
        lock(&self.shared.state).options.delay = delay;
    }

    /// Executes the next `count` requests and cuts their connections unanswered.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.shared.state).answers_to_lose = count;
    }

    /// Executes the next `count` requests and never answers them.
    pub fn withhold_responses(&self, count: u32) {
        lock(&self.shared.state).answers_to_withhold = count;
    }

    /// Crashes before executing a request whose body holds `text`.
    pub fn crash_before(&self, text: Option<&str>) {
        lock(&self.shared.state).crash_before = text.map(str::to_owned);
    }

    /// Crashes after executing a request whose body holds `text`.
    pub fn crash_after(&self, text: Option<&str>) {
        lock(&self.shared.state).crash_after = text.map(str::to_owned);
    }

    /// Cuts all connections and refuses new ones.
    pub fn crash(&self) {
        self.server.die();
    }

    /// Listens again after [`Self::crash`].
    pub fn restart(&self) {
        self.server.revive();
    }
}

fn routes(config: &mut ServiceConfig) {
    config.service(web::resource("/load").route(web::get().to(load)));
    config.service(web::resource("/{path}*").to(call));
}

/// Counts an execution as running while it lives.
struct Running(Arc<Mutex<Service>>);

impl Running {
    fn begin(state: &Arc<Mutex<Service>>) -> Self {
        let mut service = lock(state);
        service.running += 1;
        service.running_max = service.running_max.max(service.running);
        Self(Arc::clone(state))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

/// What becomes of the answer to an executed request.
enum Answering {
    Given,
    Lost,
    Withheld,
    Crash,
}

impl Service {
    fn execute(&mut self, key: Option<&str>, text: &str) -> (u64, Answering) {
        self.total += 1;
        if let Some(key) = key
            && (self.executions.len() < KEYS_MAX || self.executions.contains_key(key))
        {
            *self.executions.entry(key.to_owned()).or_default() += 1;
        }
        (self.total, self.answering(text))
    }

    fn answering(&mut self, text: &str) -> Answering {
        if holds(self.crash_after.as_deref(), text) {
            return Answering::Crash;
        }
        if self.answers_to_lose > 0 {
            self.answers_to_lose -= 1;
            return Answering::Lost;
        }
        if self.answers_to_withhold > 0 {
            self.answers_to_withhold -= 1;
            return Answering::Withheld;
        }
        Answering::Given
    }
}

fn holds(marker: Option<&str>, text: &str) -> bool {
    marker.is_some_and(|marker| text.contains(marker))
}

async fn call(shared: State<Shared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let text = String::from_utf8_lossy(&body);
    let (delay, crash) = {
        let service = lock(&shared.state);
        let crash = holds(service.crash_before.as_deref(), &text);
        (Duration::from(service.options.delay), crash)
    };
    if crash {
        shared.control.die();
        std::future::pending::<()>().await;
    }
    let running = Running::begin(&shared.state);
    tokio::time::sleep(delay).await;
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok());
    let (execution, answering) = lock(&shared.state).execute(key, &text);
    drop(running);
    match answering {
        Answering::Given => {}
        Answering::Lost => return broken_answer(),
        Answering::Withheld => std::future::pending::<()>().await,
        Answering::Crash => {
            shared.control.die();
            std::future::pending::<()>().await;
        }
    }
    let name = lock(&shared.state).options.name.clone();
    HttpResponse::Ok().json(&json!({
        "service": name,
        "execution": execution,
        "method": request.method().as_str(),
        "path": request.path(),
        "key": key,
        "echo": text,
    }))
}

async fn load(shared: State<Shared>) -> HttpResponse {
    let service = lock(&shared.state);
    HttpResponse::Ok().json(&json!({
        "running": service.running,
        "slots": service.options.slots,
    }))
}
