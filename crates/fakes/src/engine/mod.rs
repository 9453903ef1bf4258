//! A model engine's stand-in: continuous batching, a bounded cache, streams
//! that can be resumed and cancelled, orders, and switches for failures.

mod http;
mod model;
mod orders;
mod text;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentil_core::Span;

use crate::FakeError;
use crate::server::{Control, Server, control, lock};
use model::Engine;
pub use model::EngineStats;
pub use text::OutputLength;

/// Shortest sleep of the engine's loop; faster paces take several steps a wake.
const WAKE_MIN: Duration = Duration::from_millis(1);

/// How a model engine's stand-in behaves.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Models it serves at start.
    pub models: Vec<String>,
    /// Time between two tokens of a generation.
    pub token_interval: Span,
    /// Time from a request's turn to its first token.
    pub prefill_time: Span,
    /// Generations that run side by side.
    pub slots: u32,
    /// Cache blocks.
    pub cache_blocks: u32,
    /// Tokens in a cache block.
    pub block_tokens: u32,
    /// Draws texts and lengths.
    pub seed: u64,
    /// Length of an output whose prompt names none.
    pub output_length: OutputLength,
    /// Whether it starts cold.
    pub starts_cold: bool,
    /// How many times slower a cold engine is.
    pub cold_slowdown: u32,
    /// Generations a cold engine bears; with more it crashes, if `cold_crash`.
    pub cold_slots: u32,
    /// Whether a cold engine crashes under more than it bears.
    pub cold_overload_crash: bool,
    /// Generations finished until a cold engine is warm.
    pub warm_after_generations: u32,
    /// How old a load report may be.
    pub load_report_max_age: Span,
    /// Each so many cache events one is lost; 0 loses none.
    pub cache_event_loss_interval: u32,
    /// Whether orders with an old number are refused; else they are followed.
    pub checks_fence: bool,
    /// A prompt that holds this text crashes the engine.
    pub crash_on: Option<String>,
    /// Whether each token's text ends with `@` and the time it was made, in
    /// microseconds since the Unix epoch.
    pub timestamps: bool,
    /// Tokens after which a generation stays open and makes no more.
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

/// A running stand-in of a model engine.
#[derive(Debug)]
pub struct FakeEngine {
    server: Server,
    shared: Shared,
}

/// What the handlers and the engine's loop share.
#[derive(Debug, Clone)]
pub(crate) struct Shared {
    pub(crate) engine: Arc<Mutex<Engine>>,
    control: Control,
    wake: Arc<tokio::sync::Notify>,
}

impl FakeEngine {
    /// Starts it at a free port.
    ///
    /// # Errors
    /// The port or thread can't be had.
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

    /// Where it listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Counters since the start.
    #[must_use]
    pub fn stats(&self) -> EngineStats {
        lock(&self.shared.engine).stats()
    }

    /// Orders followed, with their numbers, oldest first.
    #[must_use]
    pub fn orders(&self) -> Vec<(u64, serde_json::Value)> {
        lock(&self.shared.engine).orders.followed().to_vec()
    }

    /// Trace contexts of the last requests.
    #[must_use]
    pub fn traceparents(&self) -> Vec<String> {
        lock(&self.shared.engine).traceparents()
    }

    /// The whole text that a prompt brings here.
    #[must_use]
    pub fn expected_tokens(&self, prompt: &str, max_tokens: Option<u64>) -> Vec<String> {
        lock(&self.shared.engine).expected(prompt, max_tokens)
    }

    /// Stops or resumes the making of tokens; connections stay open.
    pub fn set_stalled(&self, stalled: bool) {
        lock(&self.shared.engine).set_stalled(stalled);
        self.shared.wake.notify_one();
    }

    /// Turns the engine cold.
    pub fn set_cold(&self) {
        lock(&self.shared.engine).turn_cold();
    }

    /// Sets which prompts crash the engine.
    pub fn set_crash_on(&self, text: Option<&str>) {
        lock(&self.shared.engine).set_crash_on(text);
    }

    /// Sets whether orders with an old number are refused.
    pub fn set_checks_fence(&self, checks: bool) {
        lock(&self.shared.engine).orders.set_checks_fence(checks);
    }

    /// Loses all streams, cuts all connections and refuses new ones.
    pub fn crash(&self) {
        lock(&self.shared.engine).crash();
        self.server.die();
    }

    /// Listens again after a crash or [`Self::crash`], cold and empty.
    pub fn restart(&self) {
        lock(&self.shared.engine).revive();
        self.server.revive();
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
    /// Tells the loop that there is work.
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
        .spawn(move || runtime.block_on(make_tokens(shared)))?;
    Ok(())
}

/// Steps the engine until its handle is dropped.
async fn make_tokens(shared: Shared) {
    loop {
        let step = lock(&shared.engine).step(Instant::now());
        match step {
            model::Step::Closed => return,
            model::Step::Crashed => shared.control.die(),
            model::Step::Idle => shared.wake.notified().await,
            model::Step::Next(at) => {
                let at = at.max(Instant::now() + WAKE_MIN / 2);
                tokio::time::sleep_until(at.into()).await;
            }
        }
    }
}
