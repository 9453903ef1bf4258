//! Suspects run alone, one at a time, at an endpoint.

use std::collections::BTreeMap;

use lentil_core::{AttemptId, Time};

/// A suspect that waits for its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedSuspect {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its strikes.
    pub strikes: u32,
    /// When nobody waits for it any more.
    pub expires: Time,
}

/// What the quarantine is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A suspect came.
    Suspect(QueuedSuspect),
    /// This many requests without suspicion are on board.
    Running(usize),
    /// The suspect that ran has ended, well or not.
    Ended(AttemptId),
    /// Time went by.
    Tick,
}

/// What the quarantine asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Hand this suspect to the endpoint; nothing else is on board.
    RunAlone(AttemptId),
    /// Start no further request, so that the endpoint becomes empty.
    PauseOthers,
    /// Start others again.
    ResumeOthers,
    /// Refuse: no place, or nobody waits any more. It did not begin.
    Refuse(AttemptId),
}

/// Order and solitude of suspects at one endpoint.
#[derive(Debug)]
pub struct Quarantine {
    waiting: BTreeMap<(u32, u64), QueuedSuspect>,
    waiting_max: usize,
    arrived: u64,
    running: Option<AttemptId>,
    on_board: usize,
    held: bool,
    refused: u64,
}

impl Quarantine {
    /// Nobody waits; at most `waiting_max` may.
    #[must_use]
    pub const fn new(waiting_max: usize) -> Self {
        Self {
            waiting: BTreeMap::new(),
            waiting_max,
            arrived: 0,
            running: None,
            on_board: 0,
            held: false,
            refused: 0,
        }
    }

    /// Suspects refused for lack of places or time.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// Takes an event and says what to do, in order.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Suspect(waiting) => self.on_suspect(waiting, &mut out),
            Event::Running(count) => self.on_board = count,
            Event::Ended(attempt) if self.running == Some(attempt) => self.running = None,
            Event::Ended(_) | Event::Tick => {}
        }
        self.drop_late(now, &mut out);
        self.start(&mut out);
        out
    }

    fn on_suspect(&mut self, waiting: QueuedSuspect, out: &mut Vec<Action>) {
        if self.waiting.len() >= self.waiting_max {
            self.refused += 1;
            out.push(Action::Refuse(waiting.attempt));
            return;
        }
        self.arrived += 1;
        self.waiting
            .insert((waiting.strikes, self.arrived), waiting);
    }

    fn drop_late(&mut self, now: Time, out: &mut Vec<Action>) {
        let late = self
            .waiting
            .iter()
            .filter(|(_, w)| w.expires.has_passed(now));
        let late: Vec<(u32, u64)> = late.map(|(place, _)| *place).collect();
        for place in late {
            if let Some(waiting) = self.waiting.remove(&place) {
                self.refused += 1;
                out.push(Action::Refuse(waiting.attempt));
            }
        }
    }

    fn start(&mut self, out: &mut Vec<Action>) {
        let wants = self.running.is_some() || !self.waiting.is_empty();
        if wants != self.held {
            self.held = wants;
            out.push(if wants {
                Action::PauseOthers
            } else {
                Action::ResumeOthers
            });
        }
        if self.running.is_some() || self.on_board > 0 {
            return;
        }
        if let Some((_, waiting)) = self.waiting.pop_first() {
            self.running = Some(waiting.attempt);
            out.push(Action::RunAlone(waiting.attempt));
        }
    }
}
