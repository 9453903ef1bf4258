//! A fake model engine with continuous batching, a bounded cache, resumable and cancellable
//! streams, orders and failure injection.

mod http;
mod orders;
mod state;
mod text;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentil_core::Span;

use crate::FakeError;
use crate::server::{Control, Server, control, lock};
use state::Engine;
pub use state::EngineStats;
pub use text::OutputLength;

/// The engine's loop sleeps at least half of this; with a shorter token interval, it decodes
/// several tokens per wake-up.
const SLEEP_MIN: Duration = Duration::from_millis(1);

/// Options of the fake engine.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Models served at start.
    pub models: Vec<String>,
    /// Time between two tokens of a generation on a warm engine.
    pub token_interval: Span,
    /// Time from the admission of a request to its first token.
    pub prefill_time: Span,
    /// Maximum number of concurrent generations.
    pub slots: u32,
    /// Number of cache blocks.
    pub cache_blocks: u32,
    /// Tokens per cache block.
    pub block_tokens: u32,
    /// Seed of the texts and output lengths.
    pub seed: u64,
    /// Output length if the prompt doesn't state one.
    pub output_length: OutputLength,
    /// Whether the engine starts cold.
    pub starts_cold: bool,
    /// Factor by which a cold engine is slower.
    pub cold_slowdown: u32,
    /// Maximum number of running and waiting generations that a cold engine withstands. With more,
    /// it crashes if `cold_overload_crash` is set.
    pub cold_slots: u32,
    /// Whether a cold engine crashes with more than `cold_slots` generations.
    pub cold_overload_crash: bool,
    /// Number of finished generations after which a cold engine is warm.
    pub warm_after_generations: u32,
    /// Maximum age of a load report.
    pub load_report_max_age: Span,
    /// One in this many cache events is lost; 0 loses none.
    pub cache_event_loss_interval: u32,
    /// Whether orders with an outdated fence number are refused; otherwise they are accepted.
    pub checks_fence: bool,
    /// A prompt that contains this text crashes the engine.
    pub crash_on: Option<String>,
    /// Whether each token's text ends with `@` and the time of its generation, in
    /// microseconds since the Unix epoch.
    pub timestamps: bool,
    /// Number of tokens after which a generation stalls: its stream stays open without new tokens.
    pub stall_after_tokens: Option<u64>,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            models: vec!["lentil-small".to_owned()],
            token_interval: Span::from_ms(5),
            prefill_time: Span::from_ms(5),
            slots: 32,
            cache_blocks: 4_096,
            block_tokens: 16,
            seed: 1,
            output_length: OutputLength::default(),
            starts_cold: false,
            cold_slowdown: 4,
            cold_slots: 2,
            cold_overload_crash: false,
            warm_after_generations: 4,
            load_report_max_age: Span::from_ms(100),
            cache_event_loss_interval: 7,
            checks_fence: true,
            crash_on: None,
            timestamps: false,
            stall_after_tokens: None,
        }
    }
}

/// A running fake engine.
#[derive(Debug)]
pub struct FakeEngine {
    server: Server,
    shared: Shared,
}

/// State shared by the handlers and the engine's loop.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) engine: Arc<Mutex<Engine>>,
    control: Control,
    wake: Arc<tokio::sync::Notify>,
}

impl FakeEngine {
    /// Starts the engine at a free port.
    ///
    /// # Errors
    /// Binding the port or starting a thread failed.
    pub fn start(options: EngineOptions) -> Result<Self, FakeError> {
        let (control, commands) = control();
        let shared = Shared {
            engine: Arc::new(Mutex::new(Engine::new(options, Instant::now()))),
            control: control.clone(),
            wake: Arc::new(tokio::sync::Notify::new()),
        };
        let server = Server::start(
            "fake-engine",
            (control, commands),
            shared.clone(),
            http::routes,
        )?;
        start_loop(&shared)?;
        Ok(Self { server, shared })
    }

    /// The address at which it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters since the start.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        lock(&self.shared.engine).stats()
    }

    /// Accepted orders with their fence numbers, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<(u64, serde_json::Value)> {
        lock(&self.shared.engine).orders.accepted().to_vec()
    }

    /// Trace contexts of the latest requests.
    #[must_use]
    pub fn traceparents(&self) -> Vec<String> {
        lock(&self.shared.engine).traceparents()
    }

    /// Returns all tokens that this engine generates for a prompt.
    #[must_use]
    pub fn expected_tokens(&self, prompt: &str, max_tokens: Option<u64>) -> Vec<String> {
        lock(&self.shared.engine).expected_tokens(prompt, max_tokens)
    }

    /// Suspends or resumes token generation; connections stay open.
    pub fn set_stalled(&self, stalled: bool) {
        lock(&self.shared.engine).set_stalled(stalled);
        self.shared.wake.notify_one();
    }

    /// Makes the engine cold.
    pub fn set_cold(&self) {
        lock(&self.shared.engine).set_cold();
    }

    /// Sets the text that makes a prompt crash the engine.
    pub fn set_crash_on(&self, text: Option<&str>) {
        lock(&self.shared.engine).set_crash_on(text);
    }

    /// Sets whether orders with an outdated fence number are refused.
    pub fn set_checks_fence(&self, checks: bool) {
        lock(&self.shared.engine).orders.set_checks_fence(checks);
    }

    /// Drops all streams, closes all connections and refuses new ones.
    pub fn crash(&self) {
        lock(&self.shared.engine).crash();
        self.server.crash();
    }

    /// Listens again after a crash, cold and without streams.
    pub fn restart(&self) {
        lock(&self.shared.engine).restart();
        self.server.restart();
        self.shared.wake.notify_one();
    }
}

impl Drop for FakeEngine {
    fn drop(&mut self) {
        lock(&self.shared.engine).close();
        self.shared.wake.notify_one();
    }
}

impl Shared {
    /// Wakes the loop because there is work.
    pub(crate) fn wake(&self) {
        self.wake.notify_one();
    }
}

fn start_loop(shared: &Shared) -> Result<(), FakeError> {
    let shared = shared.clone();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()?;
    std::thread::Builder::new()
        .name("fake-engine-loop".to_owned())
        .spawn(move || runtime.block_on(run_loop(shared)))?;
    Ok(())
}

/// Runs the engine until its handle is dropped.
async fn run_loop(shared: Shared) {
    loop {
        let result = lock(&shared.engine).step(Instant::now());
        match result {
            state::StepResult::Closed => return,
            state::StepResult::Crashed => shared.control.crash(),
            state::StepResult::Idle => shared.wake.notified().await,
            state::StepResult::WakeAt(at) => {
                let at = at.max(Instant::now() + SLEEP_MIN / 2);
                tokio::time::sleep_until(at.into()).await;
            }
        }
    }
}
