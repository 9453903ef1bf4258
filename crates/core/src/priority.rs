//! Request priority classes.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Priority class of a request; smaller values are served first.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// A caller waits for a short answer: status calls, confirmations, verdicts.
    Verdict,
    /// A user reads the tokens as they arrive.
    #[default]
    Interactive,
    /// A background request that no user follows; it may have a deadline.
    Report,
}

impl Priority {
    /// All classes, most urgent first.
    pub const ALL: [Self; 3] = [Self::Verdict, Self::Interactive, Self::Report];

    /// The class's name in headers, settings and metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Verdict => "verdict",
            Self::Interactive => "interactive",
            Self::Report => "report",
        }
    }
}

impl fmt::Display for Priority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Error for a string that is not a priority class.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("a priority is verdict, interactive or report")]
pub struct ParsePriorityError;

impl FromStr for Priority {
    type Err = ParsePriorityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|priority| priority.as_str() == text)
            .ok_or(ParsePriorityError)
    }
}
