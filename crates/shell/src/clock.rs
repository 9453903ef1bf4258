//! The process's clocks.

use std::time::{Duration, Instant};

use lentil_core::{Span, Time};
use rustix::time::{ClockId, clock_gettime};

/// Reads a monotonic clock as [`Time`].
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
}

impl Clock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self {
            origin: Instant::now(),
        }
    }

    /// The present.
    #[must_use]
    pub fn now(&self) -> Time {
        Time::ZERO + Span::from(self.origin.elapsed())
    }

    /// The runtime's instant for a point of this clock.
    #[must_use]
    pub fn instant(&self, at: Time) -> Instant {
        let span = at.since(Time::ZERO);
        self.origin
            .checked_add(span.into())
            .unwrap_or_else(Instant::now)
    }
}

/// Reads a clock that goes on while the host is suspended.
///
/// What may be relied on for a time must lapse on this clock: a host that wakes
/// up after a minute has missed a minute of changes.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    origin: Duration,
}

impl BootClock {
    /// A clock whose origin is now.
    #[must_use]
    pub fn start() -> Self {
        Self { origin: read() }
    }

    /// The present.
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
