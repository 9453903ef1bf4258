//! Simulated inference engine with continuous batching, in virtual time.

use std::collections::VecDeque;

use lentil_core::{Priority, Span};

use super::numeric::{count_to_f64, truncate_to_u32};

/// Maximum number of generations that run concurrently.
pub(crate) const SLOTS: u32 = 48;
/// Number of generations that a cold engine can sustain.
pub(crate) const COLD_SLOTS: u32 = 4;
/// KV cache blocks of an engine.
pub(crate) const BLOCKS: u32 = 1_400;
/// Tokens per KV cache block.
pub(crate) const BLOCK_TOKENS: u32 = 16;
/// Maximum number of prompt tokens computed in one step.
const PREFILL_CHUNK: u32 = 512;
/// Fixed time of a step, in microseconds.
const STEP_BASE_US: f64 = 6_000.0;
/// Time that each running generation adds to a step, in microseconds.
const STEP_RUNNING_US: f64 = 250.0;
/// Time that each prompt token adds to a step, in microseconds.
const STEP_PREFILL_US: f64 = 25.0;
/// Factor by which a cold engine's steps take longer.
const COLD_SLOWDOWN: f64 = 5.0;
/// Number of generations that a cold engine finishes before it is warm.
const FINISHED_UNTIL_WARM: u32 = 8;
/// Load above which an engine that is warming up crashes, in multiples of [`COLD_SLOTS`].
const CRASH_LOAD: f64 = 3.0;
/// Blocks that stay free when the engine starts a further generation.
const FREE_BLOCKS_MIN: u32 = BLOCKS / 100;
/// Maximum number of prompt prefixes in the cache.
const CACHED_PREFIXES_MAX: usize = 12;

/// Returns the duration of a step of a warm engine, in microseconds.
pub(crate) fn step_time_us(running: f64, prefill_tokens: f64) -> f64 {
    STEP_BASE_US + STEP_RUNNING_US * running + STEP_PREFILL_US * prefill_tokens
}

/// A generation that runs or waits at an engine.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) priority: Priority,
    pub(crate) prompt: u32,
    pub(crate) length: u32,
    pub(crate) generated: u32,
    pub(crate) prefix: u64,
    prefill_remaining: u32,
    blocks: u32,
    order: u64,
}

impl Job {
    pub(crate) fn new(
        request: usize,
        priority: Priority,
        prompt: u32,
        length: u32,
        generated: u32,
        prefix: u64,
    ) -> Self {
        Self {
            request,
            priority,
            prompt,
            length,
            generated,
            prefix,
            prefill_remaining: 0,
            blocks: 0,
            order: 0,
        }
    }

    fn blocks_needed(&self) -> u32 {
        (self.prompt + self.generated + 1).div_ceil(BLOCK_TOKENS)
    }
}

/// Result of one step.
#[derive(Debug, Default)]
pub(crate) struct StepResult {
    /// Requests that got a token, with their number of tokens so far.
    pub(crate) tokens: Vec<(usize, u32)>,
    /// Requests that finished.
    pub(crate) finished: Vec<usize>,
}

/// One simulated engine.
#[derive(Debug, Default)]
pub(crate) struct Engine {
    running: Vec<Job>,
    waiting: Vec<Job>,
    blocks_used: u32,
    cold: bool,
    /// Whether the engine last became cold by a restart rather than by an incident.
    warming_up: bool,
    finished_while_cold: u32,
    pub(crate) up: bool,
    pub(crate) stepping: bool,
    pub(crate) slowdown: f64,
    /// Counts restarts and crashes, so that the end of a step from before them is ignored.
    pub(crate) incarnation: u32,
    last_order: u64,
    prefixes: VecDeque<u64>,
    pub(crate) preempted: Vec<usize>,
}

impl Engine {
    pub(crate) fn warm() -> Self {
        Self {
            up: true,
            slowdown: 1.0,
            ..Self::default()
        }
    }

    /// Restarts the engine: empty and cold.
    pub(crate) fn restart(&mut self) {
        let incarnation = self.incarnation + 1;
        *self = Self::warm();
        self.incarnation = incarnation;
        self.cold = true;
        self.warming_up = true;
    }

    /// Crashes the engine; returns the requests that were running or waiting.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        let jobs = self.running.drain(..).chain(self.waiting.drain(..));
        let lost = jobs.map(|job| job.request).collect();
        self.up = false;
        self.blocks_used = 0;
        self.stepping = false;
        self.incarnation += 1;
        lost
    }

    pub(crate) fn become_cold(&mut self) {
        self.cold = true;
        self.warming_up = false;
        self.finished_while_cold = 0;
    }

    /// Returns the running generations in multiples of [`COLD_SLOTS`] while the engine warms up
    /// after a restart.
    pub(crate) fn warm_up_load(&self) -> Option<f64> {
        let bound = f64::from(COLD_SLOTS);
        (self.cold && self.warming_up).then(|| count_to_f64(self.running.len()) / bound)
    }

    pub(crate) fn running(&self) -> usize {
        self.running.len()
    }

    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) const fn blocks_used(&self) -> u32 {
        self.blocks_used
    }

    pub(crate) fn is_idle(&self) -> bool {
        self.running.is_empty() && self.waiting.is_empty()
    }

    pub(crate) fn push(&mut self, mut job: Job) {
        self.last_order += 1;
        job.order = self.last_order;
        self.waiting.push(job);
    }

    /// Removes a generation; returns whether it was present.
    pub(crate) fn remove(&mut self, request: usize) -> bool {
        if let Some(index) = self.running.iter().position(|j| j.request == request) {
            let job = self.running.swap_remove(index);
            self.blocks_used -= job.blocks;
            return true;
        }
        let before = self.waiting.len();
        self.waiting.retain(|job| job.request != request);
        self.waiting.len() < before
    }

    /// Whether the load on an engine that is warming up makes it crash.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.warm_up_load().is_some_and(|load| load > CRASH_LOAD)
    }

    /// Begins a step and returns its duration, or `None` without running generations.
    pub(crate) fn begin_step(&mut self) -> Option<Span> {
        self.start_waiting_jobs();
        self.allocate_blocks();
        if self.running.is_empty() {
            return None;
        }
        let prefill_tokens = self.prefill_chunk();
        let mut us = step_time_us(count_to_f64(self.running.len()), f64::from(prefill_tokens))
            * self.slowdown;
        if self.cold {
            let load = count_to_f64(self.running.len()) / f64::from(COLD_SLOTS);
            us *= COLD_SLOWDOWN * load.clamp(1.0, CRASH_LOAD);
        }
        self.stepping = true;
        Some(Span::from_us(u64::from(truncate_to_u32(us))))
    }

    fn start_waiting_jobs(&mut self) {
        self.waiting.sort_by_key(|job| (job.priority, job.order));
        let slots = usize::try_from(SLOTS).unwrap_or(0);
        while self.running.len() < slots {
            let Some(first) = self.waiting.first() else {
                return;
            };
            let needed = first.blocks_needed();
            let kept_free = if self.running.is_empty() {
                0
            } else {
                FREE_BLOCKS_MIN
            };
            if self.blocks_used + needed + kept_free > BLOCKS {
                return;
            }
            let mut job = self.waiting.remove(0);
            job.blocks = needed;
            job.prefill_remaining = job.prompt + job.generated;
            if self.use_prefix_cache(job.prefix) {
                job.prefill_remaining -= job.prompt / 2;
            }
            self.blocks_used += needed;
            self.running.push(job);
        }
    }

    fn use_prefix_cache(&mut self, prefix: u64) -> bool {
        let index = self.prefixes.iter().position(|held| *held == prefix);
        if let Some(index) = index {
            self.prefixes.remove(index);
        }
        self.prefixes.push_back(prefix);
        if self.prefixes.len() > CACHED_PREFIXES_MAX {
            self.prefixes.pop_front();
        }
        index.is_some()
    }

    /// Allocates blocks for the next token of every running generation. If there are too few,
    /// preempts the most recent generation of the least urgent priority, which is computed again
    /// later.
    fn allocate_blocks(&mut self) {
        loop {
            let additional_blocks: u32 = self
                .running
                .iter()
                .map(|job| job.blocks_needed() - job.blocks)
                .sum();
            if self.blocks_used + additional_blocks <= BLOCKS || self.running.len() <= 1 {
                break;
            }
            let victim = self
                .running
                .iter()
                .enumerate()
                .max_by_key(|(_, job)| (job.priority, job.order))
                .map(|(index, _)| index);
            let Some(index) = victim else { break };
            let job = self.running.swap_remove(index);
            self.blocks_used -= job.blocks;
            self.preempted.push(job.request);
            self.waiting.insert(0, job);
        }
        for job in &mut self.running {
            let needed = job.blocks_needed();
            self.blocks_used += needed - job.blocks;
            job.blocks = needed;
        }
    }

    fn prefill_chunk(&mut self) -> u32 {
        let mut budget = PREFILL_CHUNK;
        for job in &mut self.running {
            let part = job.prefill_remaining.min(budget);
            job.prefill_remaining -= part;
            budget -= part;
        }
        PREFILL_CHUNK - budget
    }

    /// Ends the step: each generation whose prompt is computed gets one more token.
    pub(crate) fn end_step(&mut self) -> StepResult {
        self.stepping = false;
        let mut result = StepResult::default();
        for job in &mut self.running {
            if job.prefill_remaining == 0 {
                job.generated += 1;
                result.tokens.push((job.request, job.generated));
            }
        }
        let (done, kept): (Vec<Job>, Vec<Job>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|job| job.generated >= job.length);
        self.running = kept;
        for job in done {
            self.blocks_used -= job.blocks;
            result.finished.push(job.request);
            self.finished_while_cold += 1;
        }
        if self.finished_while_cold >= FINISHED_UNTIL_WARM {
            self.cold = false;
        }
        result
    }
}
