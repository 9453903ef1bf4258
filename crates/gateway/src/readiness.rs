//! Whether callers should come to this gateway.

use lentil_core::Time;

/// What readiness depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Until when what is in force may be relied on.
    pub(crate) relied_on_until: Time,
    /// Whether the list of endpoints was read.
    pub(crate) endpoints_known: bool,
    /// Whether the process stops.
    pub(crate) stopping: bool,
}

impl Readiness {
    /// Whether callers should come at `now`.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        !self.stopping && self.endpoints_known && !self.relied_on_until.has_passed(now)
    }
}
