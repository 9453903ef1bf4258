//! Exit codes for scripts.

use std::process::ExitCode;

/// The outcome of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded, or the check found no problem.
    Done,
    /// A service of the platform or a process can't be reached, or the arguments are
    /// invalid.
    Failed,
    /// Another operator's change was accepted first; nothing was changed.
    Lost,
    /// The change is invalid, or dangerous without `--force`; nothing was changed.
    Refused,
    /// The log did not respond in time; the change may still take effect.
    Undecided,
    /// The change was accepted, but was not in force at all processes before the
    /// timeout.
    NotEverywhere,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Done => 0,
            Exit::Failed => 1,
            Exit::Lost => 3,
            Exit::Refused => 4,
            Exit::Undecided => 5,
            Exit::NotEverywhere => 6,
        })
    }
}
