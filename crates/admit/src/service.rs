//! Admission control for one replica of a plain service.

use std::collections::{BTreeMap, VecDeque};

use lentil_capacity::ConcurrencyLimit;
use lentil_core::{
    AttemptId, Blocks, BootId, EndpointLoad, EndpointState, RefusalReason, Span, Time,
};

/// Capacity of a replica and limits of its agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceConfig {
    /// Most calls that a warm replica runs concurrently.
    pub slots: u32,
    /// Calls that a cold replica may run concurrently.
    pub cold_slots: u32,
    /// Calls that may wait at the agent.
    pub waiting_max: u32,
}

/// A call to be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceCall {
    /// The attempt.
    pub attempt: AttemptId,
    /// Time by which the answer is needed.
    pub deadline: Time,
}

/// Something that happened at the agent or its replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceEvent {
    /// The replica was started, or this agent saw it for the first time.
    Started,
    /// The replica died.
    Down,
    /// An operator or the platform withdrew the replica (`true`) or brought it back.
    Withdrawn(bool),
    /// A call arrived.
    Arrived(ServiceCall),
    /// A call was answered.
    Answered {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the replica rejected the call for lack of capacity.
        overloaded: bool,
    },
    /// A call failed or was cancelled.
    Dropped {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Time passed.
    Tick,
}

/// An action for the agent to carry out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceAction {
    /// Send the call to the replica.
    Start {
        /// The attempt.
        attempt: AttemptId,
    },
    /// Refuse the call, which was never sent to the replica.
    Refuse {
        /// The attempt.
        attempt: AttemptId,
        /// Reason for the refusal.
        reason: RefusalReason,
    },
}

/// Decides which calls a replica gets and when.
#[derive(Debug)]
pub struct ServiceAdmission {
    config: ServiceConfig,
    boot: BootId,
    limit: ConcurrencyLimit,
    running: BTreeMap<AttemptId, Time>,
    waiting: VecDeque<ServiceCall>,
    up: bool,
    withdrawn: bool,
    sequence: u64,
    average_latency_us: f64,
}

impl ServiceAdmission {
    /// Creates the admission control of a replica that was not seen yet.
    #[must_use]
    pub fn new(config: ServiceConfig, boot: BootId) -> Self {
        Self {
            config,
            boot,
            limit: ConcurrencyLimit::new(config.cold_slots, config.slots),
            running: BTreeMap::new(),
            waiting: VecDeque::new(),
            up: false,
            withdrawn: false,
            sequence: 0,
            average_latency_us: 0.0,
        }
    }

    /// Processes an event and returns the actions to carry out.
    pub fn on(&mut self, now: Time, event: ServiceEvent) -> Vec<ServiceAction> {
        let mut actions = Vec::new();
        match event {
            ServiceEvent::Started => {
                self.up = true;
                self.limit.reset();
            }
            ServiceEvent::Down => {
                self.up = false;
                self.running.clear();
                self.refuse_waiting(&mut actions);
            }
            ServiceEvent::Withdrawn(withdrawn) => {
                self.withdrawn = withdrawn;
                if withdrawn {
                    self.refuse_waiting(&mut actions);
                }
            }
            ServiceEvent::Arrived(call) => self.arrived(call, &mut actions),
            ServiceEvent::Answered {
                attempt,
                overloaded,
            } => self.answered(now, attempt, overloaded),
            ServiceEvent::Dropped { attempt } => {
                self.running.remove(&attempt);
                self.waiting.retain(|call| call.attempt != attempt);
            }
            ServiceEvent::Tick => {}
        }
        self.start_waiting(now, &mut actions);
        actions
    }

    /// Load figures to report to entries; each call uses the next sequence number.
    pub fn load(&mut self) -> EndpointLoad {
        self.sequence += 1;
        let running = self.running();
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        let state = self.state();
        let available = self.limit.available(running.saturating_add(waiting));
        let rounds_to_wait = f64::from(waiting + 1) / f64::from(running.max(1));
        let wait =
            std::time::Duration::from_secs_f64(self.average_latency_us / 1e6 * rounds_to_wait);
        EndpointLoad {
            boot: self.boot,
            sequence: self.sequence,
            state,
            running,
            waiting,
            free_slots: if state.accepts_requests() {
                available
            } else {
                0
            },
            blocks_used: Blocks::ZERO,
            blocks_total: Blocks::ZERO,
            wait: if available > 0 {
                Span::ZERO
            } else {
                Span::from(wait)
            },
        }
    }

    /// State of the replica, which decides whether it may get calls.
    #[must_use]
    pub fn state(&self) -> EndpointState {
        match (self.up, self.withdrawn, self.limit.is_at_max()) {
            (false, ..) => EndpointState::Down,
            (_, true, _) => EndpointState::Leaving,
            (_, _, false) => EndpointState::Cold,
            _ => EndpointState::Warm,
        }
    }

    /// Number of calls running at the replica.
    #[must_use]
    pub fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    fn arrived(&mut self, call: ServiceCall, actions: &mut Vec<ServiceAction>) {
        let refusal = |reason| ServiceAction::Refuse {
            attempt: call.attempt,
            reason,
        };
        let waiting_max = usize::try_from(self.config.waiting_max).unwrap_or(usize::MAX);
        if !self.state().accepts_requests() {
            actions.push(refusal(RefusalReason::EndpointFailed));
        } else if self.waiting.len() >= waiting_max && !self.limit.admits(self.running()) {
            actions.push(refusal(RefusalReason::Overloaded));
        } else {
            self.waiting.push_back(call);
        }
    }

    fn answered(&mut self, now: Time, attempt: AttemptId, overloaded: bool) {
        let running = self.running();
        let Some(started) = self.running.remove(&attempt) else {
            return;
        };
        let latency = now.since(started);
        if overloaded {
            self.limit.overloaded();
        } else {
            self.limit.answered(latency, running);
        }
        let us = u32::try_from(latency.as_us()).map_or(f64::from(u32::MAX), f64::from);
        self.average_latency_us += 0.1 * (us - self.average_latency_us);
    }

    fn refuse_waiting(&mut self, actions: &mut Vec<ServiceAction>) {
        actions.extend(self.waiting.drain(..).map(|call| ServiceAction::Refuse {
            attempt: call.attempt,
            reason: RefusalReason::EndpointFailed,
        }));
    }

    fn start_waiting(&mut self, now: Time, actions: &mut Vec<ServiceAction>) {
        while self.up && !self.withdrawn {
            let Some(call) = self.waiting.front().copied() else {
                return;
            };
            let attempt = call.attempt;
            if call.deadline.has_passed(now) {
                let reason = RefusalReason::DeadlineExceeded;
                actions.push(ServiceAction::Refuse { attempt, reason });
            } else if self.limit.admits(self.running()) {
                self.running.insert(attempt, now);
                actions.push(ServiceAction::Start { attempt });
            } else {
                return;
            }
            self.waiting.pop_front();
        }
    }
}
