//! The engine's state: what runs, what waits and what the cache holds.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::watch;

use crate::EngineOptions;
use crate::engine::orders::Orders;
use crate::engine::text::{TextState, output_tokens, prompt_tokens};
use crate::server::lock;

/// Finished streams that can still be read.
const FINISHED_MAX: usize = 4_096;
/// Cache events kept.
const CACHE_EVENTS_MAX: usize = 4_096;
/// Trace contexts kept.
const TRACEPARENTS_MAX: usize = 64;
/// Bytes of a prompt that name its cached prefix.
const PREFIX_BYTES: usize = 64;

/// Counters of an engine's stand-in since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct EngineStats {
    /// Generations begun.
    pub begun: u64,
    /// Generations finished.
    pub finished: u64,
    /// Generations cancelled.
    pub cancelled: u64,
    /// Tokens made.
    pub tokens: u64,
    /// Generations that lost their cache blocks and began again.
    pub preemptions: u64,
    /// Crashes.
    pub crashes: u64,
    /// Most generations that ran side by side.
    pub running_max: u32,
    /// Generations that run now.
    pub running: u32,
    /// Requests that wait now.
    pub waiting: u32,
}

/// What a reader of a stream waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Progress {
    pub(crate) tokens: usize,
    pub(crate) end: Option<End>,
}

/// How a stream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    Stop,
    Length,
    Cancelled,
    Crashed,
}

/// A stream as its readers see it.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) texts: Mutex<Vec<String>>,
    pub(crate) progress: watch::Receiver<Progress>,
    pub(crate) prompt_tokens: u64,
    pub(crate) model: String,
}

/// A request to generate.
#[derive(Debug)]
pub(crate) struct Generate {
    pub(crate) request_id: String,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) priority: i64,
    pub(crate) max_tokens: Option<u64>,
}

#[derive(Debug)]
struct Running {
    request_id: String,
    output: Arc<Output>,
    progress: watch::Sender<Progress>,
    text: TextState,
    priority: i64,
    made: u64,
    total: u64,
    cut: bool,
    first_at: Instant,
}

/// What the loop does next.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Next(Instant),
    Idle,
    Crashed,
    Closed,
}

/// The engine.
#[derive(Debug)]
pub(crate) struct Engine {
    options: EngineOptions,
    pub(crate) orders: Orders,
    boot: u64,
    streams: HashMap<String, Arc<Output>>,
    finished: VecDeque<String>,
    running: Vec<Running>,
    waiting: BTreeMap<(i64, u64), Running>,
    arrivals: u64,
    next_at: Instant,
    cold: bool,
    finished_since_cold: u32,
    stalled: bool,
    closed: bool,
    crash_due: bool,
    stats: EngineStats,
    load: (Instant, Value),
    prefixes: VecDeque<String>,
    cache_events: VecDeque<(u64, Value)>,
    cache_next: u64,
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
            next_at: now,
            cold: options.starts_cold,
            finished_since_cold: 0,
            stalled: false,
            closed: false,
            crash_due: false,
            stats: EngineStats::default(),
            load: (now, Value::Null),
            prefixes: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_next: 0,
            traceparents: VecDeque::new(),
            options,
        };
        engine.load.1 = engine.load_now();
        engine
    }

    pub(crate) fn stats(&self) -> EngineStats {
        EngineStats {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            ..self.stats
        }
    }

    pub(crate) const fn set_stalled(&mut self, stalled: bool) {
        self.stalled = stalled;
    }

    pub(crate) const fn turn_cold(&mut self) {
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

    /// Loads a model in place of a waiting order; the engine turns cold.
    pub(crate) fn load_model(&mut self, model: &str) {
        if !self.serves(model) {
            self.options.models.push(model.to_owned());
        }
        self.turn_cold();
    }

    pub(crate) fn expected(&self, prompt: &str, max_tokens: Option<u64>) -> Vec<String> {
        let (total, _) = self.length(prompt, max_tokens);
        let mut text = TextState::after(self.options.seed, prompt);
        (0..total).map(|_| text.next()).collect()
    }

    fn length(&self, prompt: &str, max_tokens: Option<u64>) -> (u64, bool) {
        let whole = output_tokens(self.options.output_length, self.options.seed, prompt);
        let bound = max_tokens.unwrap_or(u64::MAX);
        (whole.min(bound), whole > bound)
    }

    /// Begins a stream, or gives nothing when its identifier is taken.
    pub(crate) fn generate(&mut self, request: Generate) -> Option<Arc<Output>> {
        if self.streams.contains_key(&request.request_id) {
            return None;
        }
        if holds(self.options.crash_on.as_deref(), &request.prompt) {
            self.crash_due = true;
        }
        let (total, cut) = self.length(&request.prompt, request.max_tokens);
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
        let text = TextState::after(self.options.seed, &request.prompt);
        self.streams
            .insert(request.request_id.clone(), Arc::clone(&output));
        self.arrivals += 1;
        self.stats.begun += 1;
        let running = Running {
            request_id: request.request_id,
            output: Arc::clone(&output),
            progress,
            text,
            priority: request.priority,
            made: 0,
            total,
            cut,
            first_at: Instant::now(),
        };
        self.waiting
            .insert((request.priority, self.arrivals), running);
        Some(output)
    }

    pub(crate) fn stream(&self, request_id: &str) -> Option<Arc<Output>> {
        self.streams.get(request_id).cloned()
    }

    /// Ends a stream; tells whether it ran.
    pub(crate) fn cancel(&mut self, request_id: &str) -> bool {
        let place = self.running.iter().position(|r| r.request_id == request_id);
        let found = match place {
            Some(place) => Some(self.running.swap_remove(place)),
            None => {
                let key = self
                    .waiting
                    .iter()
                    .find(|(_, r)| r.request_id == request_id)
                    .map(|(key, _)| *key);
                key.and_then(|key| self.waiting.remove(&key))
            }
        };
        let Some(running) = found else {
            return false;
        };
        self.stats.cancelled += 1;
        self.end(running, End::Cancelled);
        true
    }

    /// Every stream that is still known.
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

    /// The load, as old as the lag allows.
    pub(crate) fn load(&mut self, now: Instant) -> Value {
        if now.duration_since(self.load.0) >= Duration::from(self.options.load_report_max_age) {
            self.load = (now, self.load_now());
        }
        self.load.1.clone()
    }

    fn load_now(&self) -> Value {
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

    /// Cache events from a number on; some are lost.
    pub(crate) fn cache_events(&self, from: u64) -> Value {
        let events: Vec<_> = self
            .cache_events
            .iter()
            .filter(|(sequence, _)| *sequence >= from)
            .map(|(_, event)| event.clone())
            .collect();
        json!({ "events": events, "next": self.cache_next })
    }

    fn remember_prefix(&mut self, prompt: &str) {
        let prefix: String = prompt.chars().take(PREFIX_BYTES).collect();
        if self.prefixes.contains(&prefix) {
            return;
        }
        self.cache_event("stored", &prefix);
        self.prefixes.push_back(prefix);
        let room = usize::try_from(self.options.cache_blocks).unwrap_or(usize::MAX);
        if self.prefixes.len() > room
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.cache_event("removed", &evicted);
        }
    }

    fn cache_event(&mut self, kind: &str, prefix: &str) {
        let sequence = self.cache_next;
        self.cache_next += 1;
        let gap = u64::from(self.options.cache_event_loss_interval);
        if gap > 0 && self.cache_next.is_multiple_of(gap) {
            return;
        }
        let event = json!({ "sequence": sequence, "kind": kind, "prefix": prefix });
        self.cache_events.push_back((sequence, event));
        if self.cache_events.len() > CACHE_EVENTS_MAX {
            self.cache_events.pop_front();
        }
    }

    /// Loses everything that runs.
    pub(crate) fn crash(&mut self) {
        self.stats.crashes += 1;
        self.forget();
    }

    fn forget(&mut self) {
        self.crash_due = false;
        let waiting = std::mem::take(&mut self.waiting).into_values();
        let lost: Vec<_> = self.running.drain(..).chain(waiting).collect();
        for running in lost {
            self.end(running, End::Crashed);
        }
        self.streams.clear();
        self.finished.clear();
        self.prefixes.clear();
    }

    pub(crate) fn revive(&mut self) {
        self.forget();
        self.boot += 1;
        self.turn_cold();
    }

    /// Does what is due and tells when there is more.
    pub(crate) fn step(&mut self, now: Instant) -> Step {
        if self.closed {
            return Step::Closed;
        }
        if self.crash_due || self.overloaded_cold() {
            self.crash();
            return Step::Crashed;
        }
        if self.stalled || (self.running.is_empty() && self.waiting.is_empty()) {
            self.next_at = now;
            return Step::Idle;
        }
        self.admit(now);
        let pace = self.pace();
        while self.next_at <= now {
            self.decode(self.next_at);
            self.next_at += pace;
        }
        Step::Next(self.next_at)
    }

    fn overloaded_cold(&self) -> bool {
        let all = count(self.running.len() + self.waiting.len());
        self.cold && self.options.cold_overload_crash && all > self.options.cold_slots
    }

    fn pace(&self) -> Duration {
        let factor = if self.cold {
            self.options.cold_slowdown.max(1)
        } else {
            1
        };
        (Duration::from(self.options.token_interval) * factor).max(Duration::from_micros(1))
    }

    fn admit(&mut self, now: Instant) {
        let first_at = now + Duration::from(self.options.prefill_time);
        while count(self.running.len()) < self.options.slots {
            let Some(entry) = self.waiting.first_entry() else {
                return;
            };
            let need = self.options.blocks_for(entry.get(), 1);
            if !self.running.is_empty() && self.blocks_used() + need > self.options.cache_blocks {
                return;
            }
            let mut running = self.waiting.pop_first().map(|(_, running)| running);
            if let Some(mut running) = running.take() {
                running.first_at = first_at;
                self.running.push(running);
            }
            self.stats.running_max = self.stats.running_max.max(count(self.running.len()));
        }
    }

    fn blocks_used(&self) -> u32 {
        self.running
            .iter()
            .map(|running| self.options.blocks_for(running, 0))
            .sum()
    }

    /// Makes one token of each running generation.
    fn decode(&mut self, at: Instant) {
        while self.running.len() > 1 && self.blocks_used() > self.options.cache_blocks {
            self.preempt();
        }
        let stamp = self.options.timestamps.then(unix_us);
        let mut ended = Vec::new();
        for (place, running) in self.running.iter_mut().enumerate() {
            let rests = self
                .options
                .stall_after_tokens
                .is_some_and(|rest| running.made >= rest);
            if rests && running.made < running.total || running.first_at > at {
                continue;
            }
            if running.made < running.total {
                running.advance(stamp);
                self.stats.tokens += 1;
            }
            if running.made >= running.total {
                ended.push(place);
            }
        }
        for place in ended.into_iter().rev() {
            let running = self.running.swap_remove(place);
            let end = if running.cut { End::Length } else { End::Stop };
            self.stats.finished += 1;
            self.warm_up();
            self.end(running, end);
        }
    }

    fn warm_up(&mut self) {
        self.finished_since_cold = self.finished_since_cold.saturating_add(1);
        if self.finished_since_cold >= self.options.warm_after_generations {
            self.cold = false;
        }
    }

    /// Frees the blocks of the least urgent generation that began last.
    fn preempt(&mut self) {
        let place = (0..self.running.len()).max_by_key(|place| {
            let running = self.running.get(*place);
            running.map(|running| (running.priority, running.first_at))
        });
        let Some(place) = place else { return };
        let running = self.running.swap_remove(place);
        self.stats.preemptions += 1;
        self.arrivals += 1;
        self.waiting
            .insert((running.priority, self.arrivals), running);
    }

    fn end(&mut self, running: Running, end: End) {
        running.progress.send_modify(|progress| {
            progress.end = Some(end);
        });
        self.finished.push_back(running.request_id);
        while self.finished.len() > FINISHED_MAX {
            if let Some(oldest) = self.finished.pop_front() {
                self.streams.remove(&oldest);
            }
        }
    }
}

impl EngineOptions {
    fn blocks_for(&self, running: &Running, more: u64) -> u32 {
        let tokens = running.output.prompt_tokens + running.made + more;
        let blocks = tokens.div_ceil(u64::from(self.block_tokens.max(1)));
        u32::try_from(blocks).unwrap_or(u32::MAX)
    }
}

impl Running {
    fn advance(&mut self, stamp: Option<u128>) {
        let mut token = self.text.next();
        if let Some(unix_us) = stamp {
            token = format!("{token}@{unix_us}");
        }
        let tokens = {
            let mut texts = lock(&self.output.texts);
            texts.push(token);
            texts.len()
        };
        self.made += 1;
        self.progress.send_modify(|progress| {
            progress.tokens = tokens;
        });
    }
}

fn unix_us() -> u128 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |span| span.as_micros())
}

fn holds(marker: Option<&str>, text: &str) -> bool {
    marker.is_some_and(|marker| text.contains(marker))
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}
