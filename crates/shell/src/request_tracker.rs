//! Tracking of running requests, so that a shutdown can wait for them.

use std::sync::Arc;

use tokio::sync::watch;

#[derive(Debug, Clone, Copy, Default)]
struct State {
    running: usize,
    closed: bool,
}

/// Counts running requests and refuses new ones once closed.
#[derive(Debug, Clone, Default)]
pub struct RequestTracker(Arc<watch::Sender<State>>);

/// Counts one request as running until it is dropped.
#[derive(Debug)]
pub struct RequestGuard(RequestTracker);

impl RequestTracker {
    /// Registers a running request; returns `None` after [`Self::close`].
    #[must_use]
    pub fn try_start(&self) -> Option<RequestGuard> {
        let started = self.0.send_if_modified(|state| {
            if !state.closed {
                state.running += 1;
            }
            !state.closed
        });
        started.then(|| RequestGuard(self.clone()))
    }

    /// Refuses all further requests.
    pub fn close(&self) {
        self.0.send_modify(|state| state.closed = true);
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.borrow().closed
    }

    /// Number of running requests.
    #[must_use]
    pub fn running(&self) -> usize {
        self.0.borrow().running
    }

    /// Waits until no request is running.
    pub async fn wait_idle(&self) {
        let mut states = self.0.subscribe();
        let _ = states.wait_for(|state| state.running == 0).await;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0
            .0
            .send_modify(|state| state.running = state.running.saturating_sub(1));
    }
}
