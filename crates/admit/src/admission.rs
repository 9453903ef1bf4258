//! The admission of one model engine.

use std::collections::BTreeMap;

use lentil_core::{
    AttemptId, Blocks, BootId, EndpointLoad, EndpointState, Priority, RefusalReason, Span, Time,
    TokenCount,
};

use crate::event::{Action, EngineConfig, Event, GenerationSpec};
use crate::forecast::{Forecast, HORIZONS, Outlook};
use crate::lengths::{LengthEstimator, LengthKey};
use crate::victim::{Candidate, least_loss};
use crate::waiting::{Waiting, effective_priority};
use crate::warm::WarmUp;

/// Standard deviations of room kept above the expected demand.
const DEVIATIONS_MIN: f64 = 2.0;
/// Standard deviations kept when work that has begun comes back.
const DEVIATIONS_BEGUN: f64 = 1.0;
/// Most standard deviations kept after wrong guesses.
const DEVIATIONS_MAX: f64 = 4.0;
/// Standard deviations added by a wrong guess.
const DEVIATIONS_STEP: f64 = 0.5;
/// Share of the added room that a finished generation gives back.
const DEVIATIONS_DECAY: f64 = 0.01;
/// Tokens of growth for which every running generation must find memory.
const LOOKAHEAD: TokenCount = TokenCount::new(2);
/// Age at which forecasts are computed anew.
const REFRESH: Span = Span::from_ms(50);
/// One slot in this many is kept from reports, one in twice as many from all but verdicts.
const RESERVE_PART: u32 = 8;
/// Engine memory, in percent, below which the model's own count preempts nothing.
const FULL_PERCENT: u64 = 85;
/// Weight of a new sample in running averages.
const AVERAGE_WEIGHT: f64 = 0.05;
/// Shortest advice when to repeat.
const RETRY_MIN: Span = Span::from_ms(50);
/// Interval between finished generations before any was seen.
const INTERVAL_START: Span = Span::from_ms(500);

/// What admission counted since it was made.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionCounters {
    /// Generations handed to the engine, repeats after preemption included.
    pub started: u64,
    /// Generations taken off the engine by this agent.
    pub preempted: u64,
    /// Generations the engine itself preempted.
    pub engine_preempted: u64,
    /// Requests refused because the waiting room was full.
    pub overflowed: u64,
    /// Requests refused because their deadline passed here.
    pub expired: u64,
    /// Times the endpoint was found to have turned cold.
    pub turned_cold: u64,
}

#[derive(Debug)]
struct Running {
    work: GenerationSpec,
    kind: LengthKey,
    generated: TokenCount,
    blocks: Blocks,
    part: Forecast,
    preempted: u32,
    token_at: Option<Time>,
}

/// Decides which generations the engine gets, and when.
pub struct Admission {
    shape: EngineConfig,
    boot: BootId,
    lengths: Box<dyn LengthEstimator>,
    warm: WarmUp,
    running: BTreeMap<AttemptId, Running>,
    waiting: Waiting,
    /// Generations at the engine that are not this agent's.
    foreign: u32,
    up: bool,
    withdrawn: bool,
    deviations: f64,
    forecast: Forecast,
    refresh_at: Time,
    typical: Option<Forecast>,
    blocks_used: Blocks,
    blocks_used_before: Blocks,
    reported: Option<Blocks>,
    unexplained: Blocks,
    interval_us: f64,
    finished_at: Option<Time>,
    sequence: u64,
    counters: AdmissionCounters,
}

impl std::fmt::Debug for Admission {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Admission")
            .field("running", &self.running.len())
            .field("waiting", &self.waiting.len())
            .field("limit", &self.warm.limit())
            .finish_non_exhaustive()
    }
}

impl Admission {
    /// Admission for an engine that was not seen yet.
    #[must_use]
    pub fn new(shape: EngineConfig, boot: BootId, lengths: Box<dyn LengthEstimator>) -> Self {
        Self {
            shape,
            boot,
            lengths,
            warm: WarmUp::new(shape.cold_slots, shape.slots),
            running: BTreeMap::new(),
            waiting: Waiting::default(),
            foreign: 0,
            up: false,
            withdrawn: false,
            deviations: DEVIATIONS_MIN,
            forecast: Forecast::default(),
            refresh_at: Time::ZERO,
            typical: None,
            blocks_used: Blocks::ZERO,
            blocks_used_before: Blocks::ZERO,
            reported: None,
            unexplained: Blocks::ZERO,
            interval_us: f64::from(u32::try_from(INTERVAL_START.as_us()).unwrap_or(0)),
            finished_at: None,
            sequence: 0,
            counters: AdmissionCounters::default(),
        }
    }

    /// Takes one event and says what to do.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Progress { attempt, generated } => {
                self.progress(now, attempt, generated);
                self.relieve(now, &mut actions);
                return actions;
            }
            Event::EndpointStarted { foreign } => {
                self.endpoint_down(now, &mut actions);
                self.endpoint_started(foreign);
            }
            Event::EndpointDown => self.endpoint_down(now, &mut actions),
            Event::Withdrawn(withdrawn) => self.withdraw(now, withdrawn, &mut actions),
            Event::Arrived(work) => self.arrived(now, work, &mut actions),
            Event::Finished { attempt } => self.finished(now, attempt),
            Event::Dropped { attempt } => {
                self.take_running(attempt);
                self.waiting.remove(attempt);
            }
            Event::EnginePreempted { .. } => {
                self.counters.engine_preempted += 1;
                self.be_careful();
            }
            Event::EngineLoad {
                running,
                blocks_used,
            } => self.engine_load(running, blocks_used),
            Event::Tick => self.relieve(now, &mut actions),
        }
        self.refuse_expired(now, &mut actions);
        self.start_waiting(now, &mut actions);
        self.refuse_overflow(now, &mut actions);
        actions
    }

    /// The load to report to entries.
    pub fn load(&mut self, now: Time) -> EndpointLoad {
        self.refresh(now);
        self.sequence += 1;
        let free_slots = self.free_slots();
        EndpointLoad {
            boot: self.boot,
            sequence: self.sequence,
            state: self.state(),
            running: self.concurrency(),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            free_slots,
            blocks_used: self.blocks_used + self.unexplained,
            blocks_total: self.shape.blocks,
            wait: if free_slots > 0 {
                Span::ZERO
            } else {
                self.expected_wait()
            },
        }
    }

    /// What the endpoint may be handed.
    #[must_use]
    pub fn state(&self) -> EndpointState {
        match (self.up, self.withdrawn, self.warm.is_cold()) {
            (false, ..) => EndpointState::Down,
            (_, true, _) => EndpointState::Leaving,
            (_, _, true) => EndpointState::Cold,
            _ => EndpointState::Warm,
        }
    }

    /// Generations the endpoint bears side by side now.
    #[must_use]
    pub const fn limit(&self) -> u32 {
        self.warm.limit()
    }

    /// Generations at the endpoint.
    #[must_use]
    pub fn concurrency(&self) -> u32 {
        u32::try_from(self.running.len())
            .unwrap_or(u32::MAX)
            .saturating_add(self.foreign)
    }

    /// What was counted.
    #[must_use]
    pub const fn counters(&self) -> AdmissionCounters {
        self.counters
    }

    fn endpoint_started(&mut self, foreign: u32) {
        self.up = true;
        self.foreign = foreign;
        self.warm.reset();
        self.reported = None;
        self.unexplained = Blocks::ZERO;
    }

    fn endpoint_down(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.up = false;
        self.foreign = 0;
        self.running.clear();
        self.blocks_used = Blocks::ZERO;
        self.blocks_used_before = Blocks::ZERO;
        self.forecast = Forecast::default();
        let waiting = self.waiting.take_unbegun(|_| true);
        self.waiting.clear();
        self.refuse(now, waiting, RefusalReason::EndpointFailed, actions);
    }

    fn withdraw(&mut self, now: Time, withdrawn: bool, actions: &mut Vec<Action>) {
        self.withdrawn = withdrawn;
        if withdrawn {
            let waiting = self.waiting.take_unbegun(|_| true);
            self.refuse(now, waiting, RefusalReason::EndpointFailed, actions);
        }
    }

    fn arrived(&mut self, now: Time, work: GenerationSpec, actions: &mut Vec<Action>) {
        if !self.state().accepts_requests() {
            return self.refuse(now, [work], RefusalReason::EndpointFailed, actions);
        }
        if self.shape.blocks_for(work.prompt + LOOKAHEAD) > self.shape.blocks {
            return self.refuse(now, [work], RefusalReason::BadRequest, actions);
        }
        if !self.running.contains_key(&work.attempt) {
            self.waiting.push(work);
        }
    }

    fn progress(&mut self, now: Time, attempt: AttemptId, generated: TokenCount) {
        let side_by_side = self.concurrency();
        let Some(running) = self.running.get_mut(&attempt) else {
            return;
        };
        let made = generated.saturating_sub(running.generated).get();
        if made == 0 {
            return;
        }
        running.generated = generated;
        let blocks = self
            .shape
            .blocks_for(running.work.prompt + generated + LOOKAHEAD);
        self.blocks_used = self.blocks_used + blocks - running.blocks;
        running.blocks = blocks;
        let before = running.token_at.replace(now);
        if let Some(before) = before {
            let gap = Span::from_us(now.since(before).as_us() / u64::from(made));
            if self.warm.token_gap(now, gap, side_by_side) {
                self.counters.turned_cold += 1;
            }
        }
    }

    fn finished(&mut self, now: Time, attempt: AttemptId) {
        let side_by_side = self.concurrency();
        let Some(running) = self.take_running(attempt) else {
            return;
        };
        self.lengths.record(&running.kind, running.generated);
        self.warm.finished(now, side_by_side);
        self.deviations -= DEVIATIONS_DECAY * (self.deviations - DEVIATIONS_MIN);
        if let Some(before) = self.finished_at.replace(now) {
            let interval_us = u32::try_from(now.since(before).as_us()).unwrap_or(u32::MAX);
            self.interval_us += AVERAGE_WEIGHT * (f64::from(interval_us) - self.interval_us);
        }
    }

    fn take_running(&mut self, attempt: AttemptId) -> Option<Running> {
        let running = self.running.remove(&attempt)?;
        self.blocks_used -= running.blocks;
        self.refresh_at = Time::ZERO;
        Some(running)
    }

    fn engine_load(&mut self, running: u32, blocks_used: Blocks) {
        let own = self.running.values().filter(|r| r.token_at.is_some());
        let own = u32::try_from(own.count()).unwrap_or(u32::MAX);
        self.foreign = self.foreign.min(running.saturating_sub(own));
        let explained = self.blocks_used.max(self.blocks_used_before);
        self.unexplained = blocks_used - explained;
        self.blocks_used_before = self.blocks_used;
        self.reported = Some(blocks_used);
    }

    fn be_careful(&mut self) {
        self.deviations = (self.deviations + DEVIATIONS_STEP).min(DEVIATIONS_MAX);
    }

    /// Preempts until the next tokens of all others find memory.
    fn relieve(&mut self, now: Time, actions: &mut Vec<Action>) {
        while self.shape.agent_preempts && self.running.len() > 1 && self.is_full() {
            let excess = (self.blocks_used + self.unexplained) - self.shape.blocks;
            let Some(attempt) = self.victim(now, excess) else {
                return;
            };
            let Some(victim) = self.take_running(attempt) else {
                return;
            };
            self.counters.preempted += 1;
            self.be_careful();
            self.waiting
                .push_waiter(victim.work, victim.generated, victim.preempted + 1);
            actions.push(Action::Preempt { attempt });
        }
    }

    fn is_full(&self) -> bool {
        let total = u64::from(self.shape.blocks.get());
        let reported_full = self
            .reported
            .is_none_or(|blocks| u64::from(blocks.get()) * 100 >= total * FULL_PERCENT);
        reported_full && self.blocks_used + self.unexplained > self.shape.blocks
    }

    fn victim(&self, now: Time, needed: Blocks) -> Option<AttemptId> {
        let candidates: Vec<Candidate> = self
            .running
            .iter()
            .map(|(attempt, running)| Candidate {
                attempt: *attempt,
                priority: effective_priority(running.work.priority, running.work.deadline, now),
                held: running.work.prompt + running.generated,
                blocks: running.blocks,
                preempted: running.preempted,
            })
            .collect();
        least_loss(&candidates, needed)
    }

    fn start_waiting(&mut self, now: Time, actions: &mut Vec<Action>) {
        if !self.up {
            return;
        }
        while let Some(waiter) = self.waiting.first(now) {
            let attempt = waiter.work.attempt;
            let generated = waiter.generated;
            let begun = waiter.preempted > 0;
            let kind = LengthKey {
                organisation: waiter.work.organisation.clone(),
                model: waiter.work.model.clone(),
                priority: waiter.work.priority,
            };
            let work = waiter.work.clone();
            self.warm_for_start(now);
            self.refresh(now);
            let part = self.part(&kind, &work, generated);
            if !self.fits(now, &work, &part, begun) {
                return;
            }
            let Some(waiter) = self.waiting.remove(attempt) else {
                return;
            };
            self.start(waiter.work, kind, generated, waiter.preempted, part);
            actions.push(Action::Start { attempt, generated });
        }
    }

    fn warm_for_start(&mut self, now: Time) {
        if self.running.is_empty() {
            self.warm.about_to_start(now);
        }
    }

    fn start(
        &mut self,
        work: GenerationSpec,
        kind: LengthKey,
        generated: TokenCount,
        preempted: u32,
        part: Forecast,
    ) {
        self.counters.started += 1;
        self.forecast.add(&part);
        match &mut self.typical {
            Some(typical) => typical.blend(&part, AVERAGE_WEIGHT),
            None => self.typical = Some(part),
        }
        let blocks = self.shape.blocks_for(work.prompt + generated + LOOKAHEAD);
        self.blocks_used += blocks;
        let running = Running {
            kind,
            generated,
            blocks,
            part,
            preempted,
            token_at: None,
            work,
        };
        self.running.insert(running.work.attempt, running);
    }

    /// Whether one more generation finds a slot and memory to its end.
    ///
    /// Work that has begun needs less room against wrong guesses, so that its
    /// caller does not wait long for the next token.
    fn fits(&self, now: Time, work: &GenerationSpec, part: &Forecast, begun: bool) -> bool {
        let side_by_side = self.concurrency();
        if side_by_side == 0 {
            return true;
        }
        if work.suspect || self.running.values().any(|running| running.work.suspect) {
            return false;
        }
        let priority = effective_priority(work.priority, work.deadline, now);
        if side_by_side >= self.limit_for(priority) {
            return false;
        }
        let mut demand = self.forecast;
        demand.add(part);
        let deviations = if begun {
            DEVIATIONS_BEGUN
        } else {
            self.deviations
        };
        demand.peak(deviations) <= f64::from(self.shape.blocks.get())
    }

    /// Slots open to a class; the rest is kept for more urgent ones.
    fn limit_for(&self, priority: Priority) -> u32 {
        let limit = self.warm.limit();
        let reserve = match priority {
            Priority::Verdict => 0,
            Priority::Interactive => limit / (RESERVE_PART * 2),
            Priority::Report => limit / RESERVE_PART,
        };
        limit - reserve
    }

    fn part(&self, kind: &LengthKey, work: &GenerationSpec, generated: TokenCount) -> Forecast {
        let mut lengths = Vec::with_capacity(HORIZONS.len() + 1);
        lengths.push(generated);
        lengths.extend(HORIZONS.iter().map(|h| generated + TokenCount::new(h - 1)));
        let longer = self.lengths.longer_than(kind, work.attempt.get(), &lengths);
        let reached = longer
            .first()
            .copied()
            .unwrap_or(1.0)
            .max(f64::MIN_POSITIVE);
        let survival: Vec<f64> = longer.iter().skip(1).map(|l| l / reached).collect();
        let outlook = Outlook {
            prompt: work.prompt,
            generated,
            max_tokens: work.max_tokens,
            survival: &survival,
        };
        Forecast::of(&self.shape, outlook)
    }

    fn refresh(&mut self, now: Time) {
        if !self.refresh_at.has_passed(now) {
            return;
        }
        let mut forecast = Forecast::default();
        let parts: Vec<(AttemptId, Forecast)> = self
            .running
            .iter()
            .map(|(attempt, r)| (*attempt, self.part(&r.kind, &r.work, r.generated)))
            .collect();
        for (attempt, part) in parts {
            forecast.add(&part);
            if let Some(running) = self.running.get_mut(&attempt) {
                running.part = part;
            }
        }
        forecast.add_constant(f64::from(self.unexplained.get()));
        self.forecast = forecast;
        self.refresh_at = now + REFRESH;
    }

    fn free_slots(&self) -> u32 {
        if !self.state().accepts_requests() || self.running.values().any(|r| r.work.suspect) {
            return 0;
        }
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let slots = self.warm.limit().saturating_sub(self.concurrency());
        let Some(typical) = &self.typical else {
            return slots.saturating_sub(waiting);
        };
        let mut demand = self.forecast;
        let room = f64::from(self.shape.blocks.get());
        let fitting: u32 = (0..slots)
            .take_while(|_| {
                demand.add(typical);
                demand.peak(self.deviations) <= room
            })
            .fold(0, |count, _| count + 1);
        fitting.saturating_sub(waiting)
    }

    fn expected_wait(&self) -> Span {
        let ahead = u64::try_from(self.waiting.len()).unwrap_or(u64::MAX);
        Span::from(std::time::Duration::from_secs_f64(self.interval_us / 1e6))
            .times(ahead.saturating_add(1))
    }

    fn refuse_expired(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired = self.waiting.expired(now);
        self.counters.expired += u64::try_from(expired.len()).unwrap_or(0);
        self.refuse(now, expired, RefusalReason::DeadlineExceeded, actions);
    }

    fn refuse_overflow(&mut self, now: Time, actions: &mut Vec<Action>) {
        let refused = self.waiting.overflow(now, self.shape.waiting_max);
        self.counters.overflowed += u64::try_from(refused.len()).unwrap_or(0);
        self.refuse(now, refused, RefusalReason::Overloaded, actions);
    }

    fn refuse(
        &self,
        now: Time,
        works: impl IntoIterator<Item = GenerationSpec>,
        reason: RefusalReason,
        actions: &mut Vec<Action>,
    ) {
        let retry_at = now + self.expected_wait().max(RETRY_MIN);
        actions.extend(works.into_iter().map(|work| Action::Refuse {
            attempt: work.attempt,
            reason,
            retry_at,
        }));
    }
}
