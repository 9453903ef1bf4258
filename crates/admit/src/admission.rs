//! Admission control for one model engine.

use std::collections::BTreeMap;

use lentil_core::{
    AttemptId, Blocks, BootId, EndpointLoad, EndpointState, Priority, RefusalReason, Span, Time,
    TokenCount,
};

use crate::event::{Action, EngineConfig, Event, GenerationSpec};
use crate::forecast::{Forecast, GenerationEstimate, HORIZONS};
use crate::lengths::{LengthEstimator, LengthKey};
use crate::victim::{Candidate, select_victim};
use crate::waiting::{WaitQueue, effective_priority};
use crate::warm::WarmUp;

/// Default safety margin above the expected memory demand, in standard deviations.
const MARGIN_MIN: f64 = 2.0;
/// Safety margin, in standard deviations, for resuming a preempted generation.
const MARGIN_RESUMED: f64 = 1.0;
/// Largest safety margin, in standard deviations.
const MARGIN_MAX: f64 = 4.0;
/// Standard deviations added to the margin by each preemption, which shows that the
/// forecast was too low.
const MARGIN_STEP: f64 = 0.5;
/// Share of the margin above the default that each completed generation removes.
const MARGIN_DECAY: f64 = 0.01;
/// Tokens by which every running generation must be able to grow without more memory.
const GROWTH_HEADROOM: TokenCount = TokenCount::new(2);
/// Age at which the forecast is recomputed.
const FORECAST_AGE_MAX: Span = Span::from_ms(50);
/// One slot in this many is closed to reports, one in twice as many to interactive requests.
const RESERVE_DIVISOR: u32 = 8;
/// Memory use reported by the engine, in percent, below which nothing is preempted whatever
/// the agent's own block count says.
const PREEMPTION_MEMORY_PERCENT: u64 = 85;
/// Weight of a new sample in moving averages.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Shortest delay advised for a retry.
const RETRY_AFTER_MIN: Span = Span::from_ms(50);
/// Assumed interval between completions until one was measured.
const INITIAL_FINISH_INTERVAL: Span = Span::from_ms(500);

/// Event counts of an [`Admission`] since its creation.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionCounters {
    /// Generations started at the engine, resumptions after a preemption included.
    pub started: u64,
    /// Generations preempted by this agent.
    pub preempted: u64,
    /// Generations preempted by the engine itself.
    pub engine_preempted: u64,
    /// Requests refused because the wait queue was full.
    pub overflowed: u64,
    /// Requests refused because their deadline passed in the wait queue.
    pub expired: u64,
    /// Number of times token gaps showed that the endpoint had turned cold.
    pub turned_cold: u64,
}

#[derive(Debug)]
struct Running {
    spec: GenerationSpec,
    length_key: LengthKey,
    generated: TokenCount,
    blocks: Blocks,
    contribution: Forecast,
    preempted: u32,
    last_token_at: Option<Time>,
}

/// Decides which generations an engine gets and when.
pub struct Admission {
    config: EngineConfig,
    boot: BootId,
    length_estimator: Box<dyn LengthEstimator>,
    warm_up: WarmUp,
    running: BTreeMap<AttemptId, Running>,
    waiting: WaitQueue,
    /// Generations running at the engine that this agent did not start.
    foreign: u32,
    up: bool,
    withdrawn: bool,
    /// Safety margin above the expected memory demand, in standard deviations.
    margin: f64,
    forecast: Forecast,
    refresh_due: Time,
    /// Moving average of the contribution of a started generation.
    average_contribution: Option<Forecast>,
    blocks_used: Blocks,
    previous_blocks_used: Blocks,
    reported_blocks: Option<Blocks>,
    /// Blocks that the engine reports in use beyond those of this agent's generations.
    unattributed_blocks: Blocks,
    finish_interval_us: f64,
    last_finished_at: Option<Time>,
    sequence: u64,
    counters: AdmissionCounters,
}

impl std::fmt::Debug for Admission {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admission")
            .field("running", &self.running.len())
            .field("waiting", &self.waiting.len())
            .field("limit", &self.warm_up.limit())
            .finish_non_exhaustive()
    }
}

impl Admission {
    /// Creates the admission control of an engine that was not seen yet.
    #[must_use]
    pub fn new(
        config: EngineConfig,
        boot: BootId,
        length_estimator: Box<dyn LengthEstimator>,
    ) -> Self {
        Self {
            config,
            boot,
            length_estimator,
            warm_up: WarmUp::new(config.cold_slots, config.slots),
            running: BTreeMap::new(),
            waiting: WaitQueue::default(),
            foreign: 0,
            up: false,
            withdrawn: false,
            margin: MARGIN_MIN,
            forecast: Forecast::default(),
            refresh_due: Time::ZERO,
            average_contribution: None,
            blocks_used: Blocks::ZERO,
            previous_blocks_used: Blocks::ZERO,
            reported_blocks: None,
            unattributed_blocks: Blocks::ZERO,
            finish_interval_us: f64::from(
                u32::try_from(INITIAL_FINISH_INTERVAL.as_us()).unwrap_or(0),
            ),
            last_finished_at: None,
            sequence: 0,
            counters: AdmissionCounters::default(),
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Progress { attempt, generated } => {
                self.progress(now, attempt, generated);
                self.preempt_if_full(now, &mut actions);
                return actions;
            }
            Event::EndpointStarted { foreign } => {
                self.endpoint_down(now, &mut actions);
                self.endpoint_started(foreign);
            }
            Event::EndpointDown => self.endpoint_down(now, &mut actions),
            Event::Withdrawn(withdrawn) => self.withdraw(now, withdrawn, &mut actions),
            Event::Arrived(spec) => self.arrived(now, spec, &mut actions),
            Event::Finished { attempt } => self.finished(now, attempt),
            Event::Dropped { attempt } => {
                self.remove_running(attempt);
                self.waiting.remove(attempt);
            }
            Event::EnginePreempted { .. } => {
                self.counters.engine_preempted += 1;
                self.widen_margin();
            }
            Event::EngineLoad {
                running,
                blocks_used,
            } => self.engine_load(running, blocks_used),
            Event::Tick => self.preempt_if_full(now, &mut actions),
        }
        self.refuse_expired(now, &mut actions);
        self.start_waiting(now, &mut actions);
        self.refuse_overflow(now, &mut actions);
        actions
    }

    /// Load figures to report to entries; each call uses the next sequence number.
    pub fn load(&mut self, now: Time) -> EndpointLoad {
        self.refresh_forecast(now);
        self.sequence += 1;
        let free_slots = self.free_slots();
        EndpointLoad {
            boot: self.boot,
            sequence: self.sequence,
            state: self.state(),
            running: self.concurrency(),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            free_slots,
            blocks_used: self.blocks_used + self.unattributed_blocks,
            blocks_total: self.config.blocks,
            wait: if free_slots > 0 {
                Span::ZERO
            } else {
                self.expected_wait()
            },
        }
    }

    /// State of the endpoint, which decides whether it may get work.
    #[must_use]
    pub fn state(&self) -> EndpointState {
        match (self.up, self.withdrawn, self.warm_up.is_cold()) {
            (false, ..) => EndpointState::Down,
            (_, true, _) => EndpointState::Leaving,
            (_, _, true) => EndpointState::Cold,
            _ => EndpointState::Warm,
        }
    }

    /// Number of generations that the endpoint may run concurrently now.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.warm_up.limit()
    }

    /// Number of generations running at the endpoint, those of others included.
    #[must_use]
    pub fn concurrency(&self) -> u32 {
        u32::try_from(self.running.len())
            .unwrap_or(u32::MAX)
            .saturating_add(self.foreign)
    }

    /// Event counts since creation.
    #[must_use]
    pub const fn counters(&self) -> AdmissionCounters {
        self.counters
    }

    fn endpoint_started(&mut self, foreign: u32) {
        self.up = true;
        self.foreign = foreign;
        self.warm_up.reset();
        self.reported_blocks = None;
        self.unattributed_blocks = Blocks::ZERO;
    }

    fn endpoint_down(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.up = false;
        self.foreign = 0;
        self.running.clear();
        self.blocks_used = Blocks::ZERO;
        self.previous_blocks_used = Blocks::ZERO;
        self.forecast = Forecast::default();
        let waiting = self.waiting.remove_not_started(|_| true);
        self.waiting.clear();
        self.refuse(now, waiting, RefusalReason::EndpointFailed, actions);
    }

    fn withdraw(&mut self, now: Time, withdrawn: bool, actions: &mut Vec<Action>) {
        self.withdrawn = withdrawn;
        if withdrawn {
            let waiting = self.waiting.remove_not_started(|_| true);
            self.refuse(now, waiting, RefusalReason::EndpointFailed, actions);
        }
    }

    fn arrived(&mut self, now: Time, spec: GenerationSpec, actions: &mut Vec<Action>) {
        if !self.state().accepts_requests() {
            return self.refuse(now, [spec], RefusalReason::EndpointFailed, actions);
        }
        if self.config.blocks_for(spec.prompt + GROWTH_HEADROOM) > self.config.blocks {
            return self.refuse(now, [spec], RefusalReason::BadRequest, actions);
        }
        if !self.running.contains_key(&spec.attempt) {
            self.waiting.push(spec);
        }
    }

    fn progress(&mut self, now: Time, attempt: AttemptId, generated: TokenCount) {
        let concurrency = self.concurrency();
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        let new_tokens = generated.saturating_sub(running.generated).get();
        if new_tokens == 0 {
            return;
        }
        running.generated = generated;
        let blocks = self
            .config
            .blocks_for(running.spec.prompt + generated + GROWTH_HEADROOM);
        self.blocks_used = self.blocks_used + blocks - running.blocks;
        running.blocks = blocks;
        let previous = running.last_token_at.replace(now);
        if let Some(previous) = previous {
            let gap = Span::from_us(now.since(previous).as_us() / u64::from(new_tokens));
            if self.warm_up.token_gap(now, gap, concurrency) {
                self.counters.turned_cold += 1;
            }
        }
    }

    fn finished(&mut self, now: Time, attempt: AttemptId) {
        let concurrency = self.concurrency();
        let Some(running) = self.remove_running(attempt) else {
            return;
        };
        self.length_estimator
            .record(&running.length_key, running.generated);
        self.warm_up.finished(now, concurrency);
        self.margin -= MARGIN_DECAY * (self.margin - MARGIN_MIN);
        if let Some(previous) = self.last_finished_at.replace(now) {
            let finish_interval_us = u32::try_from(now.since(previous).as_us()).unwrap_or(u32::MAX);
            self.finish_interval_us +=
                AVERAGE_WEIGHT * (f64::from(finish_interval_us) - self.finish_interval_us);
        }
    }

    fn remove_running(&mut self, attempt: AttemptId) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        self.blocks_used -= running.blocks;
        self.refresh_due = Time::ZERO;
        Some(running)
    }

    fn engine_load(&mut self, running: u32, blocks_used: Blocks) {
        let own_running = self.running.values().filter(|r| r.last_token_at.is_some());
        let own_running = u32::try_from(own_running.count()).unwrap_or(u32::MAX);
        self.foreign = self.foreign.min(running.saturating_sub(own_running));
        let attributed_blocks = self.blocks_used.max(self.previous_blocks_used);
        self.unattributed_blocks = blocks_used - attributed_blocks;
        self.previous_blocks_used = self.blocks_used;
        self.reported_blocks = Some(blocks_used);
    }

    fn widen_margin(&mut self) {
        self.margin = (self.margin + MARGIN_STEP).min(MARGIN_MAX);
    }

    /// Preempts generations until the next tokens of all others fit into memory.
    fn preempt_if_full(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.config.agent_preempts && self.running.len() > 1 && self.is_full() {
            let excess = (self.blocks_used + self.unattributed_blocks) - self.config.blocks;
            let Some(attempt) = self.victim(now, excess) else {
                return;
            };
            let Some(victim) = self.remove_running(attempt) else {
                return;
            };
            self.counters.preempted += 1;
            self.widen_margin();
            self.waiting
                .enqueue(victim.spec, victim.generated, victim.preempted + 1);
            actions.push(Action::Preempt { attempt });
        }
    }

    fn is_full(&self) -> bool {
        let total = u64::from(self.config.blocks.get());
        let engine_nearly_full = self.reported_blocks.is_none_or(|blocks| {
            u64::from(blocks.get()) * 100 >= total * PREEMPTION_MEMORY_PERCENT
        });
        engine_nearly_full && self.blocks_used + self.unattributed_blocks > self.config.blocks
    }

    fn victim(&self, now: Time, blocks_needed: Blocks) -> Option<AttemptId> {
        let candidates: Vec<Candidate> = self
            .running
            .iter()
            .map(|(attempt, running)| Candidate {
                attempt: *attempt,
                priority: effective_priority(running.spec.priority, running.spec.deadline, now),
                recompute_tokens: running.spec.prompt + running.generated,
                blocks: running.blocks,
                preempted: running.preempted,
            })
            .collect();
        select_victim(&candidates, blocks_needed)
    }

    fn start_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.up {
            return;
        }
        while let Some(queued) = self.waiting.peek(now) {
            let attempt = queued.spec.attempt;
            let generated = queued.generated;
            let resumed = queued.preempted > 0;
            let length_key = LengthKey {
                organisation: queued.spec.organisation.clone(),
                model: queued.spec.model.clone(),
                priority: queued.spec.priority,
            };
            let spec = queued.spec.clone();
            self.note_start_if_idle(now);
            self.refresh_forecast(now);
            let contribution = self.contribution(&length_key, &spec, generated);
            if !self.fits(now, &spec, &contribution, resumed) {
                return;
            }
            let Some(queued) = self.waiting.remove(attempt) else {
                return;
            };
            self.start(
                queued.spec,
                length_key,
                generated,
                queued.preempted,
                contribution,
            );
            actions.push(Action::Start { attempt, generated });
        }
    }

    fn note_start_if_idle(&mut self, now: Time) {
        if self.running.is_empty() {
            self.warm_up.about_to_start(now);
        }
    }

    fn start(
        &mut self,
        spec: GenerationSpec,
        length_key: LengthKey,
        generated: TokenCount,
        preempted: u32,
        contribution: Forecast,
    ) {
        self.counters.started += 1;
        self.forecast.add(&contribution);
        match &mut self.average_contribution {
            Some(average_contribution) => average_contribution.blend(&contribution, AVERAGE_WEIGHT),
            None => self.average_contribution = Some(contribution),
        }
        let blocks = self
            .config
            .blocks_for(spec.prompt + generated + GROWTH_HEADROOM);
        self.blocks_used += blocks;
        let running = Running {
            length_key,
            generated,
            blocks,
            contribution,
            preempted,
            last_token_at: None,
            spec,
        };
        self.running.insert(running.spec.attempt, running);
    }

    /// Whether there is a slot, and memory until its end, for one more generation.
    ///
    /// A resumed generation needs a smaller safety margin, because its caller is waiting for
    /// the next token.
    fn fits(
        &self,
        now: Time,
        spec: &GenerationSpec,
        contribution: &Forecast,
        resumed: bool,
    ) -> bool {
        let concurrency = self.concurrency();
        if concurrency == 0 {
            return true;
        }
        if spec.suspect || self.running.values().any(|running| running.spec.suspect) {
            return false;
        }
        let priority = effective_priority(spec.priority, spec.deadline, now);
        if concurrency >= self.slot_limit(priority) {
            return false;
        }
        let mut demand = self.forecast;
        demand.add(contribution);
        let margin = if resumed { MARGIN_RESUMED } else { self.margin };
        demand.peak(margin) <= f64::from(self.config.blocks.get())
    }

    /// Slots open to a priority class; the rest is reserved for more urgent ones.
    fn slot_limit(&self, priority: Priority) -> u32 {
        let limit = self.warm_up.limit();
        let reserve = match priority {
            Priority::Verdict => 0,
            Priority::Interactive => limit / (RESERVE_DIVISOR * 2),
            Priority::Report => limit / RESERVE_DIVISOR,
        };
        limit - reserve
    }

    fn contribution(
        &self,
        length_key: &LengthKey,
        spec: &GenerationSpec,
        generated: TokenCount,
    ) -> Forecast {
        let mut lengths = Vec::with_capacity(HORIZONS.len() + 1);
        lengths.push(generated);
        lengths.extend(HORIZONS.iter().map(|h| generated + TokenCount::new(h - 1)));
        let longer = self
            .length_estimator
            .longer_than(length_key, spec.attempt.get(), &lengths);
        let longer_than_generated = longer
            .first()
            .copied()
            .unwrap_or(1.0)
            .max(f64::MIN_POSITIVE);
        let survival: Vec<f64> = longer
            .iter()
            .skip(1)
            .map(|l| l / longer_than_generated)
            .collect();
        let estimate = GenerationEstimate {
            prompt: spec.prompt,
            generated,
            max_tokens: spec.max_tokens,
            survival: &survival,
        };
        Forecast::for_generation(&self.config, estimate)
    }

    fn refresh_forecast(&mut self, now: Time) {
        if !self.refresh_due.has_passed(now) {
            return;
        }
        let mut forecast = Forecast::default();
        let contributions: Vec<(AttemptId, Forecast)> = self
            .running
            .iter()
            .map(|(attempt, r)| {
                (
                    *attempt,
                    self.contribution(&r.length_key, &r.spec, r.generated),
                )
            })
            .collect();
        for (attempt, contribution) in contributions {
            forecast.add(&contribution);
            if let Some(running) = self.running.get_mut(&attempt) {
                running.contribution = contribution;
            }
        }
        forecast.add_constant(f64::from(self.unattributed_blocks.get()));
        self.forecast = forecast;
        self.refresh_due = now + FORECAST_AGE_MAX;
    }

    fn free_slots(&self) -> u32 {
        if !self.state().accepts_requests() || self.running.values().any(|r| r.spec.suspect) {
            return 0;
        }
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let slots = self.warm_up.limit().saturating_sub(self.concurrency());
        let Some(average_contribution) = &self.average_contribution else {
            return slots.saturating_sub(waiting);
        };
        let mut demand = self.forecast;
        let capacity = f64::from(self.config.blocks.get());
        let fitting_generations: u32 = (0..slots)
            .take_while(|_| {
                demand.add(average_contribution);
                demand.peak(self.margin) <= capacity
            })
            .fold(0, |count, _| count + 1);
        fitting_generations.saturating_sub(waiting)
    }

    fn expected_wait(&self) -> Span {
        let ahead = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        Span::from(std::time::Duration::from_secs_f64(
            self.finish_interval_us / 1e6,
        ))
        .times(ahead.saturating_add(1))
    }

    fn refuse_expired(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired = self.waiting.remove_expired(now);
        self.counters.expired += u64::try_from(expired.len()).unwrap_or(0);
        self.refuse(now, expired, RefusalReason::DeadlineExceeded, actions);
    }

    fn refuse_overflow(&mut self, now: Time, actions: &mut Vec<Action>) {
        let refused = self.waiting.remove_overflow(now, self.config.waiting_max);
        self.counters.overflowed += u64::try_from(refused.len()).unwrap_or(0);
        self.refuse(now, refused, RefusalReason::Overloaded, actions);
    }

    fn refuse(
        &self,
        now: Time,
        specs: impl IntoIterator<Item = GenerationSpec>,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let retry_at = now + self.expected_wait().max(RETRY_AFTER_MIN);
        actions.extend(specs.into_iter().map(|spec| Action::Refuse {
            attempt: spec.attempt,
            reason,
            retry_at,
        }));
    }
}
