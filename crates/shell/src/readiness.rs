//! Readiness of a process for new work.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// The process is still starting.
const STARTING: u8 = 0;
/// The process accepts work.
const READY: u8 = 1;
/// The process is stopping; this state is final.
const STOPPING: u8 = 2;

/// Readiness of a process for new work, shared by its threads.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<AtomicU8>);

impl Readiness {
    /// Marks the process ready, unless it is stopping.
    pub fn set_ready(&self) {
        let order = Ordering::AcqRel;
        let _ = self
            .0
            .compare_exchange(STARTING, READY, order, Ordering::Acquire);
    }

    /// Marks the process as stopping.
    pub fn set_stopping(&self) {
        self.0.store(STOPPING, Ordering::Release);
    }

    /// Whether the process accepts new work.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire) == READY
    }
}
