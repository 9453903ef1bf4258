//! The engine's state: running and waiting generations, and the cache.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::EngineOptions;
use crate::engine::orders::Orders;
use crate::engine::text::{TextGenerator, output_tokens, prompt_tokens};
use crate::server::lock;

/// Maximum number of finished streams that stay readable.
const FINISHED_MAX: usize = 4_096;
/// Maximum number of cache events kept.
const CACHE_EVENTS_MAX: usize = 4_096;
/// Maximum number of trace contexts kept.
const TRACEPARENTS_MAX: usize = 64;
/// Number of characters of a prompt that identify its cached prefix.
const PREFIX_CHARS: usize = 64;

/// Counters of a fake engine since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EngineStats {
    /// Generations requested.
    pub begun: u64,
    /// Generations finished.
    pub finished: u64,
    /// Generations cancelled.
    pub cancelled: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Preemptions: a generation lost its cache blocks and went back to the waiting queue.
    pub preemptions: u64,
    /// Crashes.
    pub crashes: u64,
    /// Maximum number of concurrent generations.
    pub running_max: u32,
    /// Generations currently running.
    pub running: u32,
    /// Requests currently waiting.
    pub waiting: u32,
}

/// Progress of a stream, watched by its readers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) tokens: usize,
    pub(crate) end: Option<EndReason>,
}

/// Why a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EndReason {
    Stop,
    Length,
    Cancelled,
    Crashed,
}

/// The output of a stream, shared with its readers.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) texts: Mutex<Vec<String>>,
    pub(crate) progress: watch::Receiver<Progress>,
    pub(crate) prompt_tokens: u64,
    pub(crate) model: String,
}

/// A request to generate.
#[derive(Debug)]
pub(crate) struct GenerateRequest {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) priority: i64,
    pub(crate) max_tokens: Option<u64>,
}

#[derive(Debug)]
struct Generation {
    request_id: String,
    output: Arc<Output>,
    progress: watch::Sender<Progress>,
    text: TextGenerator,
    priority: i64,
    generated: u64,
    total: u64,
    truncated: bool,
    first_token_at: Instant,
}

/// What the loop must do next.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StepResult {
    WakeAt(Instant),
    Idle,
    Crashed,
    Closed,
}

/// State of the engine.
#[derive(Debug)]
pub(crate) struct Engine {
    options: EngineOptions,
    pub(crate) orders: Orders,
    boot: u64,
    streams: HashMap<String, Arc<Output>>,
    finished: VecDeque<String>,
    running: Vec<Generation>,
    waiting: BTreeMap<(i64, u64), Generation>,
    arrivals: u64,
    next_decode_at: Instant,
    cold: bool,
    finished_since_cold: u32,
    stalled: bool,
    closed: bool,
    crash_pending: bool,
    stats: EngineStats,
    cached_load: (Instant, Value),
    cached_prefixes: VecDeque<String>,
    cache_events: VecDeque<(u64, Value)>,
    next_cache_sequence: u64,
    traceparents: VecDeque<String>,
}

impl Engine {
    pub(crate) fn new(options: EngineOptions, now: Instant) -> Self {
        let mut engine = Self {
            orders: Orders::new(options.checks_fence),
            boot: 1,
            streams: HashMap::new(),
            finished: VecDeque::new(),
            running: Vec::new(),
            waiting: BTreeMap::new(),
            arrivals: 0,
            next_decode_at: now,
            cold: options.starts_cold,
            finished_since_cold: 0,
            stalled: false,
            closed: false,
            crash_pending: false,
            stats: EngineStats::default(),
            cached_load: (now, Value::Null),
            cached_prefixes: VecDeque::new(),
            cache_events: VecDeque::new(),
            next_cache_sequence: 0,
            traceparents: VecDeque::new(),
            options,
        };
        engine.cached_load.1 = engine.current_load();
        engine
    }

    pub(crate) fn stats(&self) -> EngineStats {
        EngineStats {
            running: to_u32(self.running.len()),
            waiting: to_u32(self.waiting.len()),
            ..self.stats
        }
    }

    pub(crate) const fn set_stalled(&mut self, stalled: bool) {
        self.stalled = stalled;
    }

    pub(crate) const fn set_cold(&mut self) {
        self.cold = true;
        self.finished_since_cold = 0;
    }

    pub(crate) fn set_crash_on(&mut self, text: Option<&str>) {
        self.options.crash_on = text.map(str::to_owned);
    }

    pub(crate) fn remember_traceparent(&mut self, traceparent: Option<&str>) {
        if self.traceparents.len() >= TRACEPARENTS_MAX {
            self.traceparents.pop_front();
        }
        self.traceparents.extend(traceparent.map(str::to_owned));
    }

    pub(crate) fn traceparents(&self) -> Vec<String> {
        self.traceparents.iter().cloned().collect()
    }

    pub(crate) const fn close(&mut self) {
        self.closed = true;
    }

    pub(crate) fn serves(&self, model: &str) -> bool {
        self.options.models.iter().any(|served| served == model)
    }

    /// Loads a model at once, as the effect of an order; the engine becomes cold.
    pub(crate) fn load_model(&mut self, model: &str) {
        if !self.serves(model) {
            self.options.models.push(model.to_owned());
        }
        self.set_cold();
    }

    pub(crate) fn expected_tokens(&self, prompt: &str, max_tokens: Option<u64>) -> Vec<String> {
        let (total, _) = self.length(prompt, max_tokens);
        let mut text = TextGenerator::new(self.options.seed, prompt);
        (0..total).map(|_| text.next_token()).collect()
    }

    fn length(&self, prompt: &str, max_tokens: Option<u64>) -> (u64, bool) {
        let natural = output_tokens(self.options.output_length, self.options.seed, prompt);
        let limit = max_tokens.unwrap_or(u64::MAX);
        (natural.min(limit), natural > limit)
    }

    /// Starts a stream. Returns `None` if its identifier is in use.
    pub(crate) fn generate(&mut self, request: GenerateRequest) -> Option<Arc<Output>> {
        if self.streams.contains_key(&request.request_id) {
            return None;
        }
        if contains_marker(self.options.crash_on.as_deref(), &request.prompt) {
            self.crash_pending = true;
        }
        let (total, truncated) = self.length(&request.prompt, request.max_tokens);
        let (progress, readers) = watch::channel(Progress {
            tokens: 0,
            end: None,
        });
        let output = Arc::new(Output {
            texts: Mutex::new(Vec::new()),
            progress: readers,
            prompt_tokens: prompt_tokens(&request.prompt),
            model: request.model,
        });
        self.remember_prefix(&request.prompt);
        let text = TextGenerator::new(self.options.seed, &request.prompt);
        self.streams
            .insert(request.request_id.clone(), Arc::clone(&output));
        self.arrivals += 1;
        self.stats.begun += 1;
        let generation = Generation {
            request_id: request.request_id,
            output: Arc::clone(&output),
            progress,
            text,
            priority: request.priority,
            generated: 0,
            total,
            truncated,
            first_token_at: Instant::now(),
        };
        self.waiting
            .insert((request.priority, self.arrivals), generation);
        Some(output)
    }

    pub(crate) fn stream(&self, request_id: &str) -> Option<Arc<Output>> {
        self.streams.get(request_id).cloned()
    }

    /// Cancels a stream. Returns whether it was running or waiting.
    pub(crate) fn cancel(&mut self, request_id: &str) -> bool {
        let index = self.running.iter().position(|r| r.request_id == request_id);
        let removed = match index {
            Some(index) => Some(self.running.swap_remove(index)),
            None => {
                let key = self
                    .waiting
                    .iter()
                    .find(|(_, r)| r.request_id == request_id)
                    .map(|(key, _)| *key);
                key.and_then(|key| self.waiting.remove(&key))
            }
        };
        let Some(generation) = removed else {
            return false;
        };
        self.stats.cancelled += 1;
        self.finish(generation, EndReason::Cancelled);
        true
    }

    /// Lists all streams that are still readable.
    pub(crate) fn list(&self) -> Value {
        let streams: Vec<_> = self
            .streams
            .iter()
            .map(|(request_id, output)| {
                let progress = *output.progress.borrow();
                json!({
                    "request_id": request_id,
                    "prompt_tokens": output.prompt_tokens,
                    "tokens": progress.tokens,
                    "finished": progress.end.is_some(),
                })
            })
            .collect();
        json!({ "boot": self.boot, "streams": streams })
    }

    /// Returns the load report, at most `load_report_max_age` old.
    pub(crate) fn load(&mut self, now: Instant) -> Value {
        if now.duration_since(self.cached_load.0)
            >= Duration::from(self.options.load_report_max_age)
        {
            self.cached_load = (now, self.current_load());
        }
        self.cached_load.1.clone()
    }

    fn current_load(&self) -> Value {
        json!({
            "boot": self.boot,
            "running": self.running.len(),
            "waiting": self.waiting.len(),
            "slots": self.options.slots,
            "blocks_used": self.blocks_used(),
            "blocks_total": self.options.cache_blocks,
            "models": self.options.models,
        })
    }

    /// Returns the cache events from a sequence number on, without the lost ones.
    pub(crate) fn cache_events(&self, from: u64) -> Value {
        let events: Vec<_> = self
            .cache_events
            .iter()
            .filter(|(sequence, _)| *sequence >= from)
            .map(|(_, event)| event.clone())
            .collect();
        json!({ "events": events, "next": self.next_cache_sequence })
    }

    fn remember_prefix(&mut self, prompt: &str) {
        let prefix: String = prompt.chars().take(PREFIX_CHARS).collect();
        if self.cached_prefixes.contains(&prefix) {
            return;
        }
        self.push_cache_event("stored", &prefix);
        self.cached_prefixes.push_back(prefix);
        let capacity = usize::try_from(self.options.cache_blocks).unwrap_or(usize::MAX);
        if self.cached_prefixes.len() > capacity
            && let Some(evicted) = self.cached_prefixes.pop_front()
        {
            self.push_cache_event("removed", &evicted);
        }
    }

    fn push_cache_event(&mut self, kind: &str, prefix: &str) {
        let sequence = self.next_cache_sequence;
        self.next_cache_sequence += 1;
        let interval = u64::from(self.options.cache_event_loss_interval);
        if interval > 0 && self.next_cache_sequence.is_multiple_of(interval) {
            return;
        }
        let event = json!({ "sequence": sequence, "kind": kind, "prefix": prefix });
        self.cache_events.push_back((sequence, event));
        if self.cache_events.len() > CACHE_EVENTS_MAX {
            self.cache_events.pop_front();
        }
    }

    /// Ends all streams as crashed.
    pub(crate) fn crash(&mut self) {
        self.stats.crashes += 1;
        self.drop_all_streams();
    }

    fn drop_all_streams(&mut self) {
        self.crash_pending = false;
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let lost: Vec<_> = self.running.drain(..).chain(waiting).collect();
        for generation in lost {
            self.finish(generation, EndReason::Crashed);
        }
        self.streams.clear();
        self.finished.clear();
        self.cached_prefixes.clear();
    }

    pub(crate) fn restart(&mut self) {
        self.drop_all_streams();
        self.boot += 1;
        self.set_cold();
    }

    /// Performs the work that is due at `now` and returns what to do next.
    pub(crate) fn step(&mut self, now: Instant) -> StepResult {
        if self.closed {
            return StepResult::Closed;
        }
        if self.crash_pending || self.is_cold_and_overloaded() {
            self.crash();
            return StepResult::Crashed;
        }
        if self.stalled || (self.running.is_empty() && self.waiting.is_empty()) {
            self.next_decode_at = now;
            return StepResult::Idle;
        }
        self.admit(now);
        let token_interval = self.token_interval();
        while self.next_decode_at <= now {
            self.decode(self.next_decode_at);
            self.next_decode_at += token_interval;
        }
        StepResult::WakeAt(self.next_decode_at)
    }

    fn is_cold_and_overloaded(&self) -> bool {
        let total = to_u32(self.running.len() + self.waiting.len());
        self.cold && self.options.cold_overload_crash && total > self.options.cold_slots
    }

    fn token_interval(&self) -> Duration {
        let factor = if self.cold {
            self.options.cold_slowdown.max(1)
        } else {
            1
        };
        (Duration::from(self.options.token_interval) * factor).max(Duration::from_micros(1))
    }

    fn admit(&mut self, now: Instant) {
        let first_token_at = now + Duration::from(self.options.prefill_time);
        while to_u32(self.running.len()) < self.options.slots {
            let Some(entry) = self.waiting.first_entry() else {
                return;
            };
            let needed = self.options.blocks_for(entry.get(), 1);
            if !self.running.is_empty() && self.blocks_used() + needed > self.options.cache_blocks {
                return;
            }
            let mut generation = self.waiting.pop_first().map(|(_, generation)| generation);
            if let Some(mut generation) = generation.take() {
                generation.first_token_at = first_token_at;
                self.running.push(generation);
            }
            self.stats.running_max = self.stats.running_max.max(to_u32(self.running.len()));
        }
    }

    fn blocks_used(&self) -> u32 {
        self.running
            .iter()
            .map(|generation| self.options.blocks_for(generation, 0))
            .sum()
    }

    /// Generates one token for each running generation.
    fn decode(&mut self, at: Instant) {
        while self.running.len() > 1 && self.blocks_used() > self.options.cache_blocks {
            self.preempt();
        }
        let stamp = self.options.timestamps.then(unix_us);
        let mut ended = Vec::new();
        for (index, generation) in self.running.iter_mut().enumerate() {
            let is_stalled = self
                .options
                .stall_after_tokens
                .is_some_and(|limit| generation.generated >= limit);
            if is_stalled && generation.generated < generation.total
                || generation.first_token_at > at
            {
                continue;
            }
            if generation.generated < generation.total {
                generation.generate_token(stamp);
                self.stats.tokens += 1;
            }
            if generation.generated >= generation.total {
                ended.push(index);
            }
        }
        for index in ended.into_iter().rev() {
            let generation = self.running.swap_remove(index);
            let end = if generation.truncated {
                EndReason::Length
            } else {
                EndReason::Stop
            };
            self.stats.finished += 1;
            self.count_finished_while_cold();
            self.finish(generation, end);
        }
    }

    fn count_finished_while_cold(&mut self) {
        self.finished_since_cold = self.finished_since_cold.saturating_add(1);
        if self.finished_since_cold >= self.options.warm_after_generations {
            self.cold = false;
        }
    }

    /// Moves the generation with the least urgent priority, and of these the latest one, back to the
    /// waiting queue, which frees its blocks.
    fn preempt(&mut self) {
        let index = (0..self.running.len()).max_by_key(|index| {
            let generation = self.running.get(*index);
            generation.map(|generation| (generation.priority, generation.first_token_at))
        });
        let Some(index) = index else { return };
        let generation = self.running.swap_remove(index);
        self.stats.preemptions += 1;
        self.arrivals += 1;
        self.waiting
            .insert((generation.priority, self.arrivals), generation);
    }

    fn finish(&mut self, generation: Generation, end: EndReason) {
        generation.progress.send_modify(|progress| {
            progress.end = Some(end);
        });
        self.finished.push_back(generation.request_id);
        while self.finished.len() > FINISHED_MAX {
            if let Some(oldest) = self.finished.pop_front() {
                self.streams.remove(&oldest);
            }
        }
    }
}

impl EngineOptions {
    fn blocks_for(&self, generation: &Generation, more: u64) -> u32 {
        let tokens = generation.output.prompt_tokens + generation.generated + more;
        let blocks = tokens.div_ceil(u64::from(self.block_tokens.max(1)));
        u32::try_from(blocks).unwrap_or(u32::MAX)
    }
}

impl Generation {
    fn generate_token(&mut self, stamp: Option<u128>) {
        let mut token = self.text.next_token();
        if let Some(unix_us) = stamp {
            token = format!("{token}@{unix_us}");
        }
        let tokens = {
            let mut texts = lock(&self.output.texts);
            texts.push(token);
            texts.len()
        };
        self.generated += 1;
        self.progress.send_modify(|progress| {
            progress.tokens = tokens;
        });
    }
}

fn unix_us() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |span| span.as_micros())
}

fn contains_marker(marker: Option<&str>, text: &str) -> bool {
    marker.is_some_and(|marker| text.contains(marker))
}

fn to_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
