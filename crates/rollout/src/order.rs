//! Orders to roll out a version, and the status that is recorded for them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use lentil_core::{Offset, ServiceName, Span, Time};
use thiserror::Error;

/// Maximum length of a version, in bytes.
const VERSION_MAX_BYTES: usize = 64;
/// Maximum delay before a gateway writes a status, so that usually one gateway writes and
/// the others read what it wrote.
const WRITE_JITTER_MAX: Span = Span::from_ms(800);

/// Error for a string that is not a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ParseVersionError {
    /// The string is empty.
    #[error("a version must not be empty")]
    Empty,
    /// The string is longer than 64 bytes.
    #[error("a version has at most {VERSION_MAX_BYTES} bytes, this one has {len_bytes}")]
    TooLong {
        /// Length of the rejected string.
        len_bytes: usize,
    },
    /// The string contains a control character, or begins or ends with white space.
    #[error("a version holds no control characters, and no white space at its ends")]
    Character,
}

/// The version of a service's software.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version(Arc<str>);

impl Version {
    /// The version as a string slice.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Version {
    type Err = ParseVersionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseVersionError::Empty);
        }
        if text.len() > VERSION_MAX_BYTES {
            return Err(ParseVersionError::TooLong {
                len_bytes: text.len(),
            });
        }
        if text.trim() != text || text.chars().any(char::is_control) {
            return Err(ParseVersionError::Character);
        }
        Ok(Self(Arc::from(text)))
    }
}

/// An order to move a service's requests to endpoints of another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The service.
    pub service: ServiceName,
    /// The version to move to.
    pub target: Version,
    /// When the order was acknowledged, on this process's clock; the earliest possible
    /// time if it is known only roughly.
    pub ordered_at: Time,
    /// When the order must have reached a terminal state.
    pub ends_at: Time,
    /// Offset of the order's record, which identifies it.
    pub id: Offset,
}

/// Error for a string that is not a state of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the state of an order is in_progress, completed or rolled_back")]
pub struct ParseStateError;

/// The state of an order, as recorded for the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum State {
    /// Neither completed nor rolled back.
    InProgress,
    /// All requests go to the target version; the old endpoints stop immediately.
    Completed,
    /// No requests go to the target version any more.
    RolledBack,
}

impl State {
    /// Whether the state never changes again.
    #[must_use]
    pub const fn is_terminal(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }
}

impl fmt::Display for State {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InProgress => "in_progress",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        })
    }
}

impl FromStr for State {
    type Err = ParseStateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::InProgress, Self::Completed, Self::RolledBack]
            .into_iter()
            .find(|state| state.to_string() == text)
            .ok_or(ParseStateError)
    }
}

/// Error for a string that is not a stage of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stage of a roll-out is waiting, trial, promoting, completed or rolled_back")]
pub struct ParseStageError;

/// The stage of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stage {
    /// No request goes to the target yet.
    Waiting,
    /// The target gets a small share of the requests, within the exposure budget.
    Trial,
    /// The trial has succeeded; the target's share grows in steps.
    Promoting,
    /// All requests go to the target; the old version has no runs left.
    Completed,
    /// No request goes to the target any more.
    RolledBack,
}

impl Stage {
    /// The recorded state that belongs to this stage.
    #[must_use]
    pub const fn state(self) -> State {
        match self {
            Self::Waiting | Self::Trial | Self::Promoting => State::InProgress,
            Self::Completed => State::Completed,
            Self::RolledBack => State::RolledBack,
        }
    }
}

impl fmt::Display for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Waiting => "waiting",
            Self::Trial => "trial",
            Self::Promoting => "promoting",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        })
    }
}

impl FromStr for Stage {
    type Err = ParseStageError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [
            Self::Waiting,
            Self::Trial,
            Self::Promoting,
            Self::Completed,
            Self::RolledBack,
        ]
        .into_iter()
        .find(|stage| stage.to_string() == text)
        .ok_or(ParseStageError)
    }
}

/// The newest status record of a service, which all gateways share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedStatus {
    /// The order that the status is about.
    pub order: Offset,
    /// The order's target.
    pub target: Version,
    /// The state as the platform understands it.
    pub state: State,
    /// The fleet-wide stage.
    pub stage: Stage,
}

/// How long the gateway `name` waits before it writes a status of `order`.
///
/// The delay differs between gateways and between orders, so that neither all gateways
/// nor always the same one write.
#[must_use]
pub fn write_jitter(name: &str, order: Offset) -> Span {
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), order.get());
    Span::from_us(hash % WRITE_JITTER_MAX.as_us())
}
