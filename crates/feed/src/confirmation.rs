//! The age of a relay's copy, as passed on to gateways.

use lentil_core::{Span, Time};
use thiserror::Error;

/// The relay claims that the log confirmed its copy in the future.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the copy was confirmed {ahead} after it was received")]
pub struct ConfirmationError {
    /// How far in the future the confirmation is.
    pub ahead: Span,
}

/// When the log was asked for a relay's copy, in microseconds after the relay
/// received the gateway's request; negative if the log was asked before.
///
/// The relay measures it on its own clock, and the gateway adds it to the time at
/// which it sent the request. As the relay can't have received the request before,
/// the result is never later than the actual confirmation, whatever the delays of
/// the network and however long a process was paused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConfirmationOffset(i64);

impl ConfirmationOffset {
    /// The offset on the relay's clock.
    #[must_use]
    pub fn between(received_at: Time, confirmed_at: Time) -> Self {
        let to_i64 = |span: Span| i64::try_from(span.as_us()).unwrap_or(i64::MAX);
        let after = to_i64(confirmed_at.since(received_at));
        Self(after - to_i64(received_at.since(confirmed_at)))
    }

    /// Creates an offset from its wire form.
    #[must_use]
    pub const fn from_us(us: i64) -> Self {
        Self(us)
    }

    /// The offset in microseconds.
    #[must_use]
    pub const fn as_us(self) -> i64 {
        self.0
    }

    /// Returns the time of the confirmation on the gateway's clock, given when it
    /// sent the request and the current time.
    ///
    /// # Errors
    /// The confirmation would be in the future, so the relay's clock can't be trusted.
    pub fn resolve(self, requested_at: Time, now: Time) -> Result<Time, ConfirmationError> {
        let distance = Span::from_us(self.0.unsigned_abs());
        if self.0 <= 0 {
            return Ok(requested_at - distance);
        }
        let confirmed_at = requested_at + distance;
        if confirmed_at > now {
            return Err(ConfirmationError {
                ahead: confirmed_at.since(now),
            });
        }
        Ok(confirmed_at)
    }
}
