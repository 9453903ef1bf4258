//! Why settings can't be used.

use std::fmt;
use std::path::PathBuf;

use lentil_core::ParseIdError;
use thiserror::Error;

/// Why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("reading settings from {}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// A key or value is wrong.
    #[error("{0}")]
    Invalid(#[from] InvalidSetting),
}

/// The first key or value that is wrong, with its place.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct InvalidSetting {
    /// Line of the field or of the section that lacks it, counted from 1.
    pub line: u64,
    /// Column, counted from 1.
    pub column: u64,
    /// The field, as in `agent.idempotent[0].method`; empty for the whole text.
    pub field: String,
    /// What is wrong.
    pub problem: Problem,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, column {}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        self.problem.fmt(f)
    }
}

/// The first field that is wrong, where there is no text to name a line of.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct InvalidField {
    /// The field.
    pub field: String,
    /// What is wrong.
    pub problem: Problem,
}

/// What is wrong with a setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// The text is not YAML of the schema's shape.
    #[error("{0}")]
    Malformed(String),
    /// Not a name.
    #[error("{0}")]
    Name(#[from] ParseIdError),
    /// Not an address.
    #[error("expected an address of the form IP:PORT")]
    Address,
    /// Not a URL.
    #[error("expected a URL of the form http://HOST:PORT or https://HOST:PORT")]
    Url,
    /// Not a method.
    #[error("expected an HTTP method in capital letters")]
    Method,
    /// Not a path.
    #[error("expected a path that begins with /")]
    Path,
    /// Outside its bounds.
    #[error("expected a number from {min} to {max}")]
    Range {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A key that can be guessed.
    #[error("a key has at least {min} characters")]
    ShortKey {
        /// Fewest characters.
        min: usize,
    },
    /// Two keys that must differ are equal.
    #[error("must differ from {other}")]
    SameAs {
        /// The other field.
        other: &'static str,
    },
    /// A field that another one needs is missing.
    #[error("is needed {reason}")]
    Missing {
        /// Why.
        reason: &'static str,
    },
    /// A field that doesn't go with another one.
    #[error("does not belong {reason}")]
    Misplaced {
        /// Why.
        reason: &'static str,
    },
    /// More than another field allows.
    #[error("must not be more than {other}")]
    MoreThan {
        /// The other field.
        other: &'static str,
    },
}
