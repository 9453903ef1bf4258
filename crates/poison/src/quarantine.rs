//! Isolated execution of suspects at an endpoint.

use std::collections::BTreeMap;

use lentil_core::{AttemptId, Time};

/// A suspect waiting for its isolated run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedSuspect {
    /// The attempt to run the request.
    pub attempt: AttemptId,
    /// Number of strikes against the request.
    pub strikes: u32,
    /// When its caller stops waiting.
    pub expires: Time,
}

/// Input of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A suspect arrived.
    Suspect(QueuedSuspect),
    /// Number of other requests running at the endpoint.
    Running(usize),
    /// The running suspect ended, successfully or not.
    Ended(AttemptId),
    /// Checks for expired suspects.
    Tick,
}

/// Output of the quarantine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Run this suspect; no other request is running at the endpoint.
    RunAlone(AttemptId),
    /// Start no further requests, so that the endpoint drains.
    PauseOthers,
    /// Start other requests again.
    ResumeOthers,
    /// Refuse this suspect because the queue is full or its caller stopped waiting.
    /// It was not started.
    Refuse(AttemptId),
}

/// Queues the suspects of one endpoint and runs them in isolation.
#[derive(Debug)]
pub struct Quarantine {
    /// Suspects by strikes and arrival number.
    queue: BTreeMap<(u32, u64), QueuedSuspect>,
    queue_max: usize,
    arrivals: u64,
    running: Option<AttemptId>,
    others_running: usize,
    others_paused: bool,
    refused: u64,
}

impl Quarantine {
    /// Creates an empty quarantine that queues at most `queue_max` suspects.
    #[must_use]
    pub const fn new(queue_max: usize) -> Self {
        Self {
            queue: BTreeMap::new(),
            queue_max,
            arrivals: 0,
            running: None,
            others_running: 0,
            others_paused: false,
            refused: 0,
        }
    }

    /// Number of suspects refused because the queue was full or they expired.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Suspect(suspect) => self.enqueue(suspect, &mut actions),
            Event::Running(count) => self.others_running = count,
            Event::Ended(attempt) if self.running == Some(attempt) => self.running = None,
            Event::Ended(_) | Event::Tick => {}
        }
        self.refuse_expired(now, &mut actions);
        self.run_next(&mut actions);
        actions
    }

    fn enqueue(&mut self, suspect: QueuedSuspect, actions: &mut Vec<Action>) {
        if self.queue.len() >= self.queue_max {
            self.refused += 1;
            actions.push(Action::Refuse(suspect.attempt));
            return;
        }
        self.arrivals += 1;
        self.queue.insert((suspect.strikes, self.arrivals), suspect);
    }

    fn refuse_expired(&mut self, now: Time, actions: &mut Vec<Action>) {
        let expired = self
            .queue
            .iter()
            .filter(|(_, suspect)| suspect.expires.has_passed(now));
        let expired: Vec<(u32, u64)> = expired.map(|(key, _)| *key).collect();
        for key in expired {
            if let Some(suspect) = self.queue.remove(&key) {
                self.refused += 1;
                actions.push(Action::Refuse(suspect.attempt));
            }
        }
    }

    fn run_next(&mut self, actions: &mut Vec<Action>) {
        let pause = self.running.is_some() || !self.queue.is_empty();
        if pause != self.others_paused {
            self.others_paused = pause;
            actions.push(if pause {
                Action::PauseOthers
            } else {
                Action::ResumeOthers
            });
        }
        if self.running.is_some() || self.others_running > 0 {
            return;
        }
        if let Some((_, suspect)) = self.queue.pop_first() {
            self.running = Some(suspect.attempt);
            actions.push(Action::RunAlone(suspect.attempt));
        }
    }
}
