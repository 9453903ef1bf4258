//! Errors in settings.

use std::fmt;
use std::path::PathBuf;

use lentil_core::ParseIdError;
use thiserror::Error;

/// Reason why settings cannot be loaded.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("failed to read settings from {}: {source}", path.display())]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The underlying I/O error.
        source: std::io::Error,
    },
    /// A key or value is invalid.
    #[error("{0}")]
    Invalid(#[from] InvalidSetting),
}

/// The first invalid key or value, with its position in the text.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct InvalidSetting {
    /// Line of the field, or of the section in which it is missing, counted from 1.
    pub line: u64,
    /// Column, counted from 1.
    pub column: u64,
    /// Path of the field, such as `agent.idempotent[0].method`; empty for the whole text.
    pub field: String,
    /// The problem with the field.
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

/// The first invalid field, without a position in a text.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field}: {problem}")]
pub struct InvalidField {
    /// Path of the field.
    pub field: String,
    /// The problem with the field.
    pub problem: Problem,
}

/// A problem with a setting.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum Problem {
    /// The text is not valid YAML or does not match the schema.
    #[error("{0}")]
    Malformed(String),
    /// The value is not a valid name.
    #[error("{0}")]
    Name(#[from] ParseIdError),
    /// The value is not an IP address with a port.
    #[error("expected an address of the form IP:PORT")]
    Address,
    /// The value is not a valid URL.
    #[error("expected a URL of the form http://HOST:PORT or https://HOST:PORT")]
    Url,
    /// The value is not an HTTP method.
    #[error("expected an HTTP method in upper case")]
    Method,
    /// The value is not an absolute path.
    #[error("expected a path that begins with /")]
    Path,
    /// The value is out of range.
    #[error("expected a number from {min} to {max}")]
    Range {
        /// Minimum value.
        min: u64,
        /// Maximum value.
        max: u64,
    },
    /// The key is too short to be secure.
    #[error("a key must have at least {min} characters")]
    ShortKey {
        /// Minimum number of characters.
        min: usize,
    },
    /// Two fields that must differ have the same value.
    #[error("must differ from {other}")]
    SameAs {
        /// Path of the other field.
        other: &'static str,
    },
    /// A required field is missing.
    #[error("is required {reason}")]
    Missing {
        /// The condition, as the end of the error message.
        reason: &'static str,
    },
    /// The field is not allowed in combination with another one.
    #[error("is not allowed {reason}")]
    Misplaced {
        /// The condition, as the end of the error message.
        reason: &'static str,
    },
    /// The value exceeds the value of another field.
    #[error("must not exceed {other}")]
    MoreThan {
        /// Path of the other field.
        other: &'static str,
    },
}
