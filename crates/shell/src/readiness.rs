//! Whether a process wants new work.

use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

/// The process has not yet learnt what it needs.
const STARTING: u8 = 0;
/// It wants work.
const READY: u8 = 1;
/// It stops and never wants work again.
const STOPPING: u8 = 2;

/// Whether a process wants new work, shared by its threads.
#[derive(Debug, Clone, Default)]
pub struct Readiness(Arc<AtomicU8>);

impl Readiness {
    /// Wants work from now on, unless the process stops.
    pub fn set_ready(&self) {
        let order = Ordering::AcqRel;
        let _ = self
            .0
            .compare_exchange(STARTING, READY, order, Ordering::Acquire);
    }

    /// Wants no more work.
    pub fn set_stopping(&self) {
        self.0.store(STOPPING, Ordering::Release);
    }

    /// Whether new work is wanted.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.0.load(Ordering::Acquire) == READY
    }
}
