//! Newtypes for sizes, counts and rates; their arithmetic saturates.

use std::fmt;
use std::ops::{Add, AddAssign, Sub, SubAssign};
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Span;

/// Error for a string that is not a quantity.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("invalid quantity: expected a whole number, optionally followed by its unit")]
pub struct ParseUnitError;

macro_rules! unit {
    ($($(#[$doc:meta])* $name:ident($inner:ty), $suffix:literal;)+) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name($inner);

        impl $name {
            /// Zero.
            pub const ZERO: Self = Self(0);

            /// Creates a quantity from a plain number.
            #[must_use]
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// The quantity as a plain number.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// The difference, or zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                *self = *self - other;
            }
        }

        impl std::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
                iter.fold(Self::ZERO, Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $suffix), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.strip_suffix($suffix)
                    .unwrap_or(text)
                    .parse()
                    .map(Self)
                    .map_err(|_| ParseUnitError)
            }
        }
    )+};
}

unit! {
    /// A number of blocks in an engine's key-value cache.
    Blocks(u32), "blocks";
    /// A size in bytes.
    ByteCount(u64), "B";
    /// A fraction in thousandths.
    Permille(u32), "permille";
    /// A number of tokens.
    TokenCount(u32), "tokens";
    /// A token rate.
    TokensPerSecond(u64), "tokens/s";
    /// A relative weight.
    Weight(u32), "";
}

/// A rate of requests, which may be a fraction.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct RequestRate(f64);

impl RequestRate {
    /// The rate in requests per second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} requests/s", self.0)
    }
}

/// Error for a string that is not a rate of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a rate of requests is a decimal number, not negative")]
pub struct ParseRequestRateError;

impl FromStr for RequestRate {
    type Err = ParseRequestRateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix(" requests/s").unwrap_or(text);
        let per_s: f64 = number.trim().parse().map_err(|_| ParseRequestRateError)?;
        let valid = per_s.is_finite() && per_s >= 0.0;
        valid.then_some(Self(per_s)).ok_or(ParseRequestRateError)
    }
}

/// How long an endpoint wants no further requests, as it states in `Retry-After`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct RetryAfter(Span);

impl RetryAfter {
    /// The longest time that is honoured. An endpoint that states a longer one, or any
    /// number by mistake, is tried again after this time.
    pub const MAX: Self = Self(Span::from_s(30 * 60));

    /// The time as a span.
    #[must_use]
    pub const fn span(self) -> Span {
        self.0
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = self.0.as_ms();
        write!(f, "{}.{:03} s", ms / 1_000, ms % 1_000)
    }
}

/// Error for a string that is not a `Retry-After` time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("Retry-After is a number of seconds, not negative")]
pub struct ParseRetryAfterError;

impl FromStr for RetryAfter {
    type Err = ParseRetryAfterError;

    /// Parses seconds, which may have a fraction. A longer time than [`Self::MAX`] is
    /// limited to it.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = text.strip_suffix(" s").unwrap_or(text);
        let s: f64 = number.trim().parse().map_err(|_| ParseRetryAfterError)?;
        if s.is_nan() || s < 0.0 {
            return Err(ParseRetryAfterError);
        }
        let stated = Self(Span::from_ms(saturating_u64((s * 1_000.0).ceil())));
        Ok(stated.min(Self::MAX))
    }
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn saturating_u64(number: f64) -> u64 {
    number as u64
}
