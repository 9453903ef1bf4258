//! Graceful shutdown of a process.

use lentil_core::{Span, Time};

/// Time limits of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShutdownLimits {
    /// Longest time that running work may take to finish.
    pub grace: Span,
    /// How long the process keeps answering after it announced the shutdown, so
    /// that requests already in transit receive a response.
    pub linger: Span,
}

/// Progress of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStage {
    /// The process accepts new work.
    Serving,
    /// The process rejects new work while running work finishes.
    Draining,
    /// No work is running and the linger time is over; the process may exit.
    Finished,
    /// The grace period is over, but work is still running.
    GraceExpired,
}

/// Tracks the graceful shutdown of one process.
#[derive(Debug, Clone)]
pub struct GracefulShutdown {
    limits: ShutdownLimits,
    grace_until: Option<Time>,
    linger_until: Time,
}

impl GracefulShutdown {
    /// Creates the state of a process that is serving.
    #[must_use]
    pub const fn new(limits: ShutdownLimits) -> Self {
        Self {
            limits,
            grace_until: None,
            linger_until: Time::ZERO,
        }
    }

    /// Starts the shutdown. Returns true on the first call only, when the caller
    /// must announce the shutdown.
    pub fn begin(&mut self, now: Time) -> bool {
        if self.grace_until.is_some() {
            return false;
        }
        self.grace_until = Some(now + self.limits.grace);
        self.linger_until = now + self.limits.linger;
        true
    }

    /// Whether the process accepts new work.
    #[must_use]
    pub const fn accepts_work(&self) -> bool {
        self.grace_until.is_none()
    }

    /// The stage of the shutdown while `running` requests are in progress.
    #[must_use]
    pub const fn stage(&self, now: Time, running: usize) -> ShutdownStage {
        let Some(grace_until) = self.grace_until else {
            return ShutdownStage::Serving;
        };
        if running == 0 && self.linger_until.has_passed(now) {
            ShutdownStage::Finished
        } else if grace_until.has_passed(now) {
            ShutdownStage::GraceExpired
        } else {
            ShutdownStage::Draining
        }
    }
}
