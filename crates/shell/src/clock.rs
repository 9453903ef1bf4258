//! Monotonic clocks of a process.

use std::time::{Duration, Instant};

use lentil_core::{Span, Time};
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that reports [`Time`] since its origin.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + Span::from(self.origin.elapsed())
    }

    /// Converts a time of this clock to an [`Instant`].
    #[must_use]
    pub fn instant(&self, at: Time) -> Instant {
        let span = at.since(Time::ZERO);
        self.origin
            .checked_add(span.into())
            .unwrap_or_else(Instant::now)
    }
}

/// A monotonic clock that also advances while the host is suspended.
///
/// Leases and other time-limited state must expire by this clock: a host that
/// resumes after a minute of suspension has missed a minute of changes.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin: Duration,
}

impl BootClock {
    /// Creates a clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: read() }
    }

    /// The current time.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + Span::from(read().saturating_sub(self.origin))
    }
}

fn read() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(
        u64::try_from(now.tv_sec).unwrap_or(0),
        u32::try_from(now.tv_nsec).unwrap_or(0),
    )
}
