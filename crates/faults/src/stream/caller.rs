//! Entries and callers of a stream simulation.

use lentil_core::{AttemptId, GenerationId, Span, Time, TokenIndex};
use lentil_stream::{Cursor, CursorStep, GenerationEnd, OutputToken, StreamEvent};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::{
    CALLERS, ENDPOINTS, STEP_INTERVAL, SimulationEvent, StreamReport, StreamSimulation, token_text,
};
use crate::plan::Guard;
use crate::simulation::CallSimulation;

/// Maximum number of tokens that an entry buffers for a caller.
const BUFFER_MAX: usize = 16;
/// Time after which an entry treats an unanswered pull as a broken link.
const PULL_TIMEOUT: Span = Span::from_ms(1500);
/// Delay before a request is restarted.
const RETRY_DELAY: Span = Span::from_ms(200);
/// Maximum number of starts and resumes that an entry attempts for one caller.
const ATTEMPTS_MAX: u32 = 40;
/// Number of steps in which a slow caller reads one token.
const SLOW_READ_STEPS: u64 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Reading,
    Complete,
    Failed,
    Disconnected,
}

/// A caller and the entry that serves it.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) starts_at: Time,
    pub(super) total: u64,
    number: usize,
    slow: bool,
    disconnects_after: Option<u64>,
    state: State,
    cursor: Cursor,
    attempt: Option<AttemptId>,
    endpoint: usize,
    pulls_sent: u64,
    pull_pending: bool,
    attempts: u32,
    steps: u64,
    received: u64,
    generation: Option<GenerationId>,
    wrong_tokens: u64,
    false_end: bool,
    resumes: u64,
}

impl Caller {
    pub(super) fn random(number: usize, rng: &mut ChaCha8Rng) -> Self {
        let total = rng.random_range(20..300);
        let disconnects = rng.random_bool(0.1);
        Self {
            starts_at: Time::from_us(rng.random_range(0..3_000_000)),
            total,
            number,
            slow: rng.random_bool(0.25),
            disconnects_after: disconnects.then(|| rng.random_range(0..total)),
            state: State::Idle,
            cursor: Cursor::new(BUFFER_MAX),
            attempt: None,
            endpoint: number % ENDPOINTS,
            pulls_sent: 0,
            pull_pending: false,
            attempts: 0,
            steps: 0,
            received: 0,
            generation: None,
            wrong_tokens: 0,
            false_end: false,
            resumes: 0,
        }
    }

    pub(super) const fn is_done(&self) -> bool {
        !matches!(self.state, State::Idle | State::Reading)
    }

    pub(super) const fn add_to_report(&self, report: &mut StreamReport) {
        report.streams += 1;
        report.tokens += self.received;
        report.wrong_tokens += self.wrong_tokens;
        report.false_ends += if self.false_end { 1 } else { 0 };
        report.resumes += self.resumes;
        match self.state {
            State::Complete => report.whole += 1,
            State::Failed => report.failed += 1,
            State::Disconnected => report.left += 1,
            State::Idle | State::Reading => report.unfinished += 1,
        }
    }

    /// Counts a received token and checks its index, generation and text.
    fn receive(&mut self, token: &OutputToken) {
        let is_expected = self.generation.as_ref().is_some_and(|id| {
            token.index.get() == self.received
                && token.text == token_text(id, self.number, self.received)
        });
        self.wrong_tokens += u64::from(!is_expected);
        self.received += 1;
    }
}

impl StreamSimulation {
    pub(super) fn on_caller_step(&mut self, number: usize) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        match caller.state {
            State::Idle if !caller.starts_at.has_passed(now) => {}
            State::Idle => {
                caller.state = State::Reading;
                self.start_attempt(number);
            }
            State::Reading => self.read_tokens(number),
            State::Complete | State::Failed | State::Disconnected => return,
        }
        self.schedule_after(STEP_INTERVAL, SimulationEvent::CallerStep(number));
    }

    fn read_tokens(&mut self, number: usize) {
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        caller.steps += 1;
        let limit = match (caller.slow, caller.steps % SLOW_READ_STEPS) {
            (false, _) => BUFFER_MAX,
            (true, 0) => 1,
            (true, _) => 0,
        };
        for _ in 0..limit {
            let Some(token) = caller.cursor.take() else {
                break;
            };
            caller.receive(&token);
        }
        if caller
            .disconnects_after
            .is_some_and(|after| caller.received > after)
        {
            return self.disconnect(number);
        }
        if caller.cursor.is_finished() && caller.state == State::Reading {
            caller.state = State::Complete;
            caller.false_end = caller.received != caller.total;
            return;
        }
        self.pull(number);
    }

    fn disconnect(&mut self, number: usize) {
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        caller.state = State::Disconnected;
        if let Some(id) = caller.cursor.generation().cloned() {
            let endpoint = caller.endpoint;
            self.schedule_after(STEP_INTERVAL, SimulationEvent::Cancel(endpoint, id));
        }
    }

    /// Starts a new attempt; messages of earlier attempts are ignored from now on.
    fn start_attempt(&mut self, number: usize) {
        self.attempts_started += 1;
        let attempt = AttemptId::new(self.attempts_started);
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        caller.attempts += 1;
        if caller.attempts > ATTEMPTS_MAX {
            caller.state = State::Failed;
            return;
        }
        caller.cursor.set_attempt(attempt);
        caller.attempt = Some(attempt);
        caller.pull_pending = false;
        self.pull(number);
    }

    /// Requests as many tokens as fit into the buffer, unless a pull is pending.
    fn pull(&mut self, number: usize) {
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        let room = caller.cursor.free_capacity();
        let Some(attempt) = caller.attempt.filter(|_| room > 0 && !caller.pull_pending) else {
            return;
        };
        caller.pull_pending = true;
        caller.pulls_sent += 1;
        let (endpoint, pulls_sent) = (caller.endpoint, caller.pulls_sent);
        let pull = SimulationEvent::Pull {
            caller: number,
            attempt,
            endpoint,
            generation: caller.cursor.generation().cloned(),
            from: caller.cursor.next(),
            limit: room,
        };
        let at = self.link_arrival_time(endpoint);
        self.schedule_at(at, pull);
        self.schedule_after(
            PULL_TIMEOUT,
            SimulationEvent::PullTimeout(number, attempt, pulls_sent),
        );
    }

    pub(super) fn on_pull_timeout(&mut self, number: usize, attempt: AttemptId, pulls_sent: u64) {
        let is_pending = self
            .callers
            .get(number)
            .is_some_and(|caller| caller.pull_pending && caller.pulls_sent == pulls_sent);
        if is_pending {
            self.on_reply(number, attempt, StreamEvent::LinkBroken);
        }
    }

    pub(super) fn on_reply(&mut self, number: usize, attempt: AttemptId, event: StreamEvent) {
        let guard = self.guard;
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        if caller.state != State::Reading {
            return;
        }
        if guard == Guard::Off
            && let StreamEvent::Tokens { first, texts } = &event
        {
            // With the guard off, the entry passes on tokens as they arrive, unchecked.
            for (index, text) in (first.get()..).zip(texts.iter().cloned()) {
                let index = TokenIndex::new(index);
                caller.receive(&OutputToken { index, text });
            }
            return;
        }
        let is_answer =
            matches!(event, StreamEvent::Tokens { .. }) && caller.attempt == Some(attempt);
        let step = caller.cursor.handle(attempt, event);
        if is_answer {
            caller.pull_pending = false;
        }
        if caller.received == 0 {
            caller.generation = caller.cursor.generation().cloned();
        }
        self.apply_step(number, &step);
    }

    fn apply_step(&mut self, number: usize, step: &CursorStep) {
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        match step {
            CursorStep::Continue | CursorStep::Ignore => {}
            CursorStep::Finish(GenerationEnd::Finished(_)) => {}
            CursorStep::Finish(_) => caller.state = State::Failed,
            CursorStep::Resume(_, _) => {
                caller.resumes += 1;
                caller.attempt = None;
                self.start_attempt(number);
            }
            CursorStep::Restart => {
                caller.attempt = None;
                caller.endpoint = (caller.endpoint + 1) % ENDPOINTS;
                self.restart(number);
            }
        }
    }

    fn restart(&mut self, number: usize) {
        let now = self.now;
        if let Some(caller) = self.callers.get_mut(number) {
            caller.state = State::Idle;
            caller.starts_at = now + RETRY_DELAY;
        }
    }

    /// Simulates the death of an entry: its callers reconnect to another entry and resume after the
    /// tokens that they have received.
    pub(super) fn move_callers(&mut self, target: usize) {
        for number in (0..CALLERS).filter(|number| number % 2 == target % 2) {
            let Some(caller) = self.callers.get_mut(number) else {
                continue;
            };
            if caller.state != State::Reading {
                continue;
            }
            caller.cursor = match (&caller.generation, caller.received) {
                (Some(id), received) if received > 0 => {
                    Cursor::resuming(id.clone(), TokenIndex::new(received), BUFFER_MAX)
                }
                _ => Cursor::new(BUFFER_MAX),
            };
            caller.attempt = None;
            let endpoint_of_generation = caller.cursor.generation().and_then(|id| {
                (0..ENDPOINTS).find(|at| CallSimulation::endpoint_id(*at) == id.endpoint)
            });
            caller.endpoint = endpoint_of_generation.unwrap_or(number % ENDPOINTS);
            self.start_attempt(number);
        }
    }
}
