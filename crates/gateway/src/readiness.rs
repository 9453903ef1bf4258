//! Readiness of the gateway for new callers.

use lentil_core::Time;

/// The state that readiness depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Readiness {
    /// Until when the active configuration is trusted.
    pub(crate) config_trusted_until: Time,
    /// Whether the list of endpoints has been read.
    pub(crate) endpoints_known: bool,
    /// Whether the process is stopping.
    pub(crate) stopping: bool,
}

impl Readiness {
    /// Returns whether the gateway is ready for new callers at `now`.
    #[must_use]
    pub fn is_ready(&self, now: Time) -> bool {
        !self.stopping && self.endpoints_known && !self.config_trusted_until.has_passed(now)
    }
}
