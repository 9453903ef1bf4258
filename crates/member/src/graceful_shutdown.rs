//! The planned stop of a process.

use lentil_core::{Span, Time};

/// Limits of a planned stop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShutdownLimits {
    /// Longest time given to running work.
    pub grace: Span,
    /// How long a process goes on answering after its notice, so that work on
    /// its way meets an answer.
    pub linger: Span,
}

/// How far a planned stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownStage {
    /// New work is taken.
    Serving,
    /// No new work is taken; running work goes on.
    Draining,
    /// Nothing runs any more; the process may end.
    Finished,
    /// Work still runs, but its time is over.
    GraceExpired,
}

/// The planned stop of one process.
#[derive(Debug, Clone)]
pub struct GracefulShutdown {
    limits: ShutdownLimits,
    ends_at: Option<Time>,
    lingers_until: Time,
}

impl GracefulShutdown {
    /// A process that serves.
    #[must_use]
    pub const fn new(limits: ShutdownLimits) -> Self {
        Self {
            limits,
            ends_at: None,
            lingers_until: Time::ZERO,
        }
    }

    /// Begins the stop; true the first time, when the notice is to be sent.
    pub fn begin(&mut self, now: Time) -> bool {
        if self.ends_at.is_some() {
            return false;
        }
        self.ends_at = Some(now + self.limits.grace);
        self.lingers_until = now + self.limits.linger;
        true
    }

    /// Whether new work is taken.
    #[must_use]
    pub const fn accepts_work(&self) -> bool {
        self.ends_at.is_none()
    }

    /// How far the stop is while `running` pieces of work run.
    #[must_use]
    pub const fn stage(&self, now: Time, running: usize) -> ShutdownStage {
        let Some(ends_at) = self.ends_at else {
            return ShutdownStage::Serving;
        };
        if running == 0 && self.lingers_until.has_passed(now) {
            ShutdownStage::Finished
        } else if ends_at.has_passed(now) {
            ShutdownStage::GraceExpired
        } else {
            ShutdownStage::Draining
        }
    }
}
