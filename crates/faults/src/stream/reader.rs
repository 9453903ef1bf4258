//! Entries and callers of a stream run.

use lentil_core::{AttemptId, GenerationId, Span, Time, TokenIndex};
use lentil_stream::{Cursor, CursorStep, GenerationEnd, OutputToken, StreamEvent};
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;

use super::{CALLERS, ENDPOINTS, Happening, STEP, StreamReport, StreamSimulation, token_text};
use crate::plan::Guard;
use crate::world::CallSimulation;

/// Tokens that an entry buffers for a caller.
const BUFFER_MAX: usize = 16;
/// How long an entry waits for an answer to one question.
const PULL_TIMEOUT: Span = Span::from_ms(1500);
/// Wait before a request is tried again.
const AGAIN_WAIT: Span = Span::from_ms(200);
/// New requests and resumes that an entry tries for one caller.
const TRIES: u32 = 40;
/// Steps of a slow caller between two tokens.
const SLOW_STEPS: u64 = 5;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Idle,
    Reading,
    Whole,
    Failed,
    Left,
}

/// One caller with the entry that serves it.
#[derive(Debug)]
pub(super) struct Caller {
    pub(super) begins: Time,
    pub(super) total: u64,
    number: usize,
    slow: bool,
    leaves_after: Option<u64>,
    state: State,
    cursor: Cursor,
    attempt: Option<AttemptId>,
    endpoint: usize,
    pulls: u64,
    asked: bool,
    tries: u32,
    steps: u64,
    got: u64,
    generation: Option<GenerationId>,
    wrong: u64,
    false_end: bool,
    resumes: u64,
}

impl Caller {
    pub(super) fn draw(number: usize, rng: &mut ChaCha8Rng) -> Self {
        let total = rng.random_range(20..300);
        let leaves = rng.random_bool(0.1);
        Self {
            begins: Time::from_us(rng.random_range(0..3_000_000)),
            total,
            number,
            slow: rng.random_bool(0.25),
            leaves_after: leaves.then(|| rng.random_range(0..total)),
            state: State::Idle,
            cursor: Cursor::new(BUFFER_MAX),
            attempt: None,
            endpoint: number % ENDPOINTS,
            pulls: 0,
            asked: false,
            tries: 0,
            steps: 0,
            got: 0,
            generation: None,
            wrong: 0,
            false_end: false,
            resumes: 0,
        }
    }

    pub(super) const fn is_served(&self) -> bool {
        !matches!(self.state, State::Idle | State::Reading)
    }

    pub(super) const fn count(&self, report: &mut StreamReport) {
        report.streams += 1;
        report.tokens += self.got;
        report.wrong_tokens += self.wrong;
        report.false_ends += if self.false_end { 1 } else { 0 };
        report.resumes += self.resumes;
        match self.state {
            State::Whole => report.whole += 1,
            State::Failed => report.failed += 1,
            State::Left => report.left += 1,
            State::Idle | State::Reading => report.unfinished += 1,
        }
    }

    /// The caller looks at a token as its client would.
    fn receive(&mut self, written: &OutputToken) {
        let fits = self.generation.as_ref().is_some_and(|id| {
            written.index.get() == self.got && written.text == token_text(id, self.number, self.got)
        });
        self.wrong += u64::from(!fits);
        self.got += 1;
    }
}

impl StreamSimulation {
    pub(super) fn on_caller_step(&mut self, number: usize) {
        let now = self.now;
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        match caller.state {
            State::Idle if !caller.begins.has_passed(now) => {}
            State::Idle => {
                caller.state = State::Reading;
                self.begin_attempt(number);
            }
            State::Reading => self.read_on(number),
            State::Whole | State::Failed | State::Left => return,
        }
        self.after(STEP, Happening::CallerStep(number));
    }

    fn read_on(&mut self, number: usize) {
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        caller.steps += 1;
        let most = match (caller.slow, caller.steps % SLOW_STEPS) {
            (false, _) => BUFFER_MAX,
            (true, 0) => 1,
            (true, _) => 0,
        };
        for _ in 0..most {
            let Some(written) = caller.cursor.take() else {
                break;
            };
            caller.receive(&written);
        }
        if caller.leaves_after.is_some_and(|after| caller.got > after) {
            return self.leave(number);
        }
        if caller.cursor.is_finished() && caller.state == State::Reading {
            caller.state = State::Whole;
            caller.false_end = caller.got != caller.total;
            return;
        }
        self.pull(number);
    }

    fn leave(&mut self, number: usize) {
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        caller.state = State::Left;
        if let Some(id) = caller.cursor.generation().cloned() {
            let endpoint = caller.endpoint;
            self.after(STEP, Happening::Cancel(endpoint, id));
        }
    }

    /// A new attempt: from now on only its messages count.
    fn begin_attempt(&mut self, number: usize) {
        self.attempts += 1;
        let attempt = AttemptId::new(self.attempts);
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        caller.tries += 1;
        if caller.tries > TRIES {
            caller.state = State::Failed;
            return;
        }
        caller.cursor.set_attempt(attempt);
        caller.attempt = Some(attempt);
        caller.asked = false;
        self.pull(number);
    }

    /// Asks the agent for as many tokens as the buffer takes.
    fn pull(&mut self, number: usize) {
        let Some(caller) = self.callers.get_mut(number) else {
            return;
        };
        let room = caller.cursor.free_capacity();
        let Some(attempt) = caller.attempt.filter(|_| room > 0 && !caller.asked) else {
            return;
        };
        caller.asked = true;
        caller.pulls += 1;
        let (endpoint, pulls) = (caller.endpoint, caller.pulls);
        let pull = Happening::Pull {
            caller: number,
            attempt,
            endpoint,
            generation: caller.cursor.generation().cloned(),
            from: caller.cursor.next(),
            most: room,
        };
        let at = self.arrival(endpoint);
        self.at(at, pull);
        self.after(PULL_TIMEOUT, Happening::PullTimeout(number, attempt, pulls));
    }

    pub(super) fn on_pull_timeout(&mut self, number: usize, attempt: AttemptId, pulls: u64) {
        let waits = self
            .callers
            .get(number)
            .is_some_and(|caller| caller.asked && caller.pulls == pulls);
        if waits {
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
            // Without the guard an entry writes what arrives.
            for (index, text) in (first.get()..).zip(texts.iter().cloned()) {
                let index = TokenIndex::new(index);
                caller.receive(&OutputToken { index, text });
            }
            return;
        }
        let answers =
            matches!(event, StreamEvent::Tokens { .. }) && caller.attempt == Some(attempt);
        let step = caller.cursor.handle(attempt, event);
        if answers {
            caller.asked = false;
        }
        if caller.got == 0 {
            caller.generation = caller.cursor.generation().cloned();
        }
        self.follow(number, &step);
    }

    fn follow(&mut self, number: usize, step: &CursorStep) {
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
                self.begin_attempt(number);
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
            caller.begins = now + AGAIN_WAIT;
        }
    }

    /// An entry dies: its callers come back at another with what they have.
    pub(super) fn cut_callers(&mut self, victim: usize) {
        for number in (0..CALLERS).filter(|number| number % 2 == victim % 2) {
            let Some(caller) = self.callers.get_mut(number) else {
                continue;
            };
            if caller.state != State::Reading {
                continue;
            }
            caller.cursor = match (&caller.generation, caller.got) {
                (Some(id), got) if got > 0 => {
                    Cursor::resuming(id.clone(), TokenIndex::new(got), BUFFER_MAX)
                }
                _ => Cursor::new(BUFFER_MAX),
            };
            caller.attempt = None;
            let home = caller.cursor.generation().and_then(|id| {
                (0..ENDPOINTS).find(|at| CallSimulation::endpoint_id(*at) == id.endpoint)
            });
            caller.endpoint = home.unwrap_or(number % ENDPOINTS);
            self.begin_attempt(number);
        }
    }
}
