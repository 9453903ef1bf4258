//! A fake plain service that counts its executions.

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
use crate::log_service::truncated_response;
use crate::server::{Control, Server, control, lock};

/// Maximum number of keys whose executions are counted per key.
const KEYS_MAX: usize = 1_000_000;

/// Options of the fake service.
#[derive(Debug, Clone)]
pub struct ServiceOptions {
    /// Name of the service, included in every response.
    pub name: String,
    /// Execution time of a request.
    pub delay: Span,
    /// Number of concurrent requests that its load report states as capacity; not enforced.
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

/// A running fake service.
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
    responses_to_drop: u32,
    responses_to_withhold: u32,
    crash_before: Option<String>,
    crash_after: Option<String>,
}

impl FakeService {
    /// Starts the service at a free port.
    ///
    /// # Errors
    /// Binding the port or starting the thread failed.
    pub fn start(options: ServiceOptions) -> Result<Self, FakeError> {
        let (control, commands) = control();
        let shared = Shared {
            state: Arc::new(Mutex::new(Service {
                options,
                executions: HashMap::new(),
                total: 0,
                running: 0,
                running_max: 0,
                responses_to_drop: 0,
                responses_to_withhold: 0,
                crash_before: None,
                crash_after: None,
            })),
            control: control.clone(),
        };
        let server = Server::start("fake-service", (control, commands), shared.clone(), routes)?;
        Ok(Self { server, shared })
    }

    /// The address at which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Number of executions of requests with this idempotency key.
    #[must_use]
    pub fn executions(&self, key: &str) -> u64 {
        let service = lock(&self.shared.state);
        service.executions.get(key).copied().unwrap_or(0)
    }

    /// Number of keys executed more than once.
    #[must_use]
    pub fn repeated_keys(&self) -> usize {
        let service = lock(&self.shared.state);
        service
            .executions
            .values()
            .filter(|count| **count > 1)
            .count()
    }

    /// Total number of executions.
    #[must_use]
    pub fn total(&self) -> u64 {
        lock(&self.shared.state).total
    }

    /// Maximum number of concurrent executions so far.
    #[must_use]
    pub fn running_max(&self) -> u32 {
        lock(&self.shared.state).running_max
    }

    /// Sets the execution time of a request.
    pub fn set_delay(&self, delay: Span) {
        lock(&self.shared.state).options.delay = delay;
    }

    /// Executes the next `count` requests, but breaks off their responses.
    pub fn drop_responses(&self, count: u32) {
        lock(&self.shared.state).responses_to_drop = count;
    }

    /// Executes the next `count` requests, but never responds to them.
    pub fn withhold_responses(&self, count: u32) {
        lock(&self.shared.state).responses_to_withhold = count;
    }

    /// Crashes before executing a request whose body contains `text`; `None` disables this.
    pub fn crash_before(&self, text: Option<&str>) {
        lock(&self.shared.state).crash_before = text.map(str::to_owned);
    }

    /// Crashes after executing a request whose body contains `text`; `None` disables this.
    pub fn crash_after(&self, text: Option<&str>) {
        lock(&self.shared.state).crash_after = text.map(str::to_owned);
    }

    /// Closes all connections and refuses new ones.
    pub fn crash(&self) {
        self.server.crash();
    }

    /// Listens again after [`Self::crash`].
    pub fn restart(&self) {
        self.server.restart();
    }
}

fn routes(config: &mut ServiceConfig) {
    config.service(web::resource("/load").route(web::get().to(load)));
    config.service(web::resource("/{path}*").to(call));
}

/// Counts an execution as running until dropped.
struct RunningGuard(Arc<Mutex<Service>>);

impl RunningGuard {
    fn begin(state: &Arc<Mutex<Service>>) -> Self {
        let mut service = lock(state);
        service.running += 1;
        service.running_max = service.running_max.max(service.running);
        Self(Arc::clone(state))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}

/// What to do with the response to an executed request.
enum ResponseAction {
    Send,
    Drop,
    Withhold,
    Crash,
}

impl Service {
    fn execute(&mut self, key: Option<&str>, text: &str) -> (u64, ResponseAction) {
        self.total += 1;
        if let Some(key) = key
            && (self.executions.len() < KEYS_MAX || self.executions.contains_key(key))
        {
            *self.executions.entry(key.to_owned()).or_default() += 1;
        }
        (self.total, self.response_action(text))
    }

    fn response_action(&mut self, text: &str) -> ResponseAction {
        if contains_marker(self.crash_after.as_deref(), text) {
            return ResponseAction::Crash;
        }
        if self.responses_to_drop > 0 {
            self.responses_to_drop -= 1;
            return ResponseAction::Drop;
        }
        if self.responses_to_withhold > 0 {
            self.responses_to_withhold -= 1;
            return ResponseAction::Withhold;
        }
        ResponseAction::Send
    }
}

fn contains_marker(marker: Option<&str>, text: &str) -> bool {
    marker.is_some_and(|marker| text.contains(marker))
}

async fn call(shared: State<Shared>, request: HttpRequest, body: Bytes) -> HttpResponse {
    let text = String::from_utf8_lossy(&body);
    let (delay, crash) = {
        let service = lock(&shared.state);
        let crash = contains_marker(service.crash_before.as_deref(), &text);
        (Duration::from(service.options.delay), crash)
    };
    if crash {
        shared.control.crash();
        std::future::pending::<()>().await;
    }
    let running = RunningGuard::begin(&shared.state);
    tokio::time::sleep(delay).await;
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok());
    let (execution, response_action) = lock(&shared.state).execute(key, &text);
    drop(running);
    match response_action {
        ResponseAction::Send => {}
        ResponseAction::Drop => return truncated_response(),
        ResponseAction::Withhold => std::future::pending::<()>().await,
        ResponseAction::Crash => {
            shared.control.crash();
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
