//! Monotonic timestamps and durations.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

/// A point on the process's monotonic clock, in microseconds since an origin
/// that is specific to the process.
///
/// Clocks of different hosts are never compared: a deadline is sent to another
/// process as the remaining [`Span`].
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Time(u64);

/// A duration in microseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(u64);

impl Time {
    /// The clock's origin.
    pub const ZERO: Self = Self(0);
    /// A time that is never reached.
    pub const NEVER: Self = Self(u64::MAX);

    /// The time `us` microseconds after the origin.
    #[must_use]
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// The duration since `earlier`; zero if `earlier` is after `self`.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }

    /// Whether this time, taken as a deadline, has been reached at `now`.
    #[must_use]
    pub const fn has_passed(self, now: Self) -> bool {
        self.0 <= now.0
    }
}

impl Span {
    /// The empty duration.
    pub const ZERO: Self = Self(0);

    /// A span of `us` microseconds.
    #[must_use]
    pub const fn from_us(us: u64) -> Self {
        Self(us)
    }

    /// A span of `ms` milliseconds.
    #[must_use]
    pub const fn from_ms(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// A span of `s` seconds.
    #[must_use]
    pub const fn from_s(s: u64) -> Self {
        Self(s.saturating_mul(1_000_000))
    }

    /// The span in microseconds.
    #[must_use]
    pub const fn as_us(self) -> u64 {
        self.0
    }

    /// The span in whole milliseconds, rounded down.
    #[must_use]
    pub const fn as_ms(self) -> u64 {
        self.0 / 1_000
    }

    /// The span multiplied by `times`, saturating.
    #[must_use]
    pub const fn times(self, times: u64) -> Self {
        Self(self.0.saturating_mul(times))
    }
}

impl Add<Span> for Time {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl Sub<Span> for Time {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}us", self.0)
    }
}

impl From<Span> for std::time::Duration {
    fn from(span: Span) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<std::time::Duration> for Span {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}
