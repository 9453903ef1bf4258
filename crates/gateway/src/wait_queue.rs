//! The queue of requests that wait for capacity.

use std::collections::{BTreeMap, BTreeSet};

use lentil_catalog::PriorityLevel;
use lentil_core::{EndpointId, ServiceName, Time};
use lentil_fleet::{PlacementRequest, VersionNeed};
use tokio::sync::oneshot;

/// Largest number of waiting requests.
const WAITING_MAX: usize = 4_096;

/// What a waiting request needs.
#[derive(Debug)]
pub(crate) struct Wait {
    pub(crate) need: PlacementRequest,
    /// Endpoints that it is not sent to.
    pub(crate) excluded: Vec<EndpointId>,
    /// How long it can wait.
    pub(crate) until: Time,
}

impl Wait {
    /// Whether fewer endpoints than those of other requests may get it. Requests behind it can
    /// find room where it can't.
    pub(crate) fn is_restricted(&self) -> bool {
        !self.excluded.is_empty() || self.need.version != VersionNeed::Any
    }

    fn needs_version(&self) -> bool {
        self.need.version != VersionNeed::Any
    }
}

/// One waiting request.
#[derive(Debug)]
struct Waiter<T> {
    wait: Wait,
    sender: oneshot::Sender<T>,
}

/// The waiting requests of all services, the most urgent first and by
/// arrival within a rank. A request never overtakes one of the same service that
/// is at least as urgent. Otherwise a large request would never get capacity. Those that need
/// one version may be overtaken, as they wait for other room. `T` is what a request gets at the
/// end of its wait.
#[derive(Debug)]
pub(crate) struct WaitQueue<T> {
    waiting: BTreeMap<(PriorityLevel, u64), Waiter<T>>,
    next_sequence: u64,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> WaitQueue<T> {
    /// Returns the number of waiting requests that a request with this rank would overtake.
    pub(crate) fn earlier_waiters(&self, service: &ServiceName, rank: PriorityLevel) -> u64 {
        self.waiting
            .iter()
            .take_while(|((waiting, _), _)| *waiting <= rank)
            .filter(|(_, waiter)| {
                let wait = &waiter.wait;
                wait.need.service == *service && !wait.needs_version() && !waiter.sender.is_closed()
            })
            .fold(0, |count, _| count + 1)
    }

    /// Adds a request to the queue. Returns `None` if the queue is full.
    pub(crate) fn enqueue(
        &mut self,
        rank: PriorityLevel,
        wait: Wait,
    ) -> Option<oneshot::Receiver<T>> {
        if self.waiting.len() >= WAITING_MAX {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.waiting
            .insert((rank, sequence), Waiter { wait, sender });
        Some(receiver)
    }

    /// Ends the waits that `end` returns something for, in order. Requests that no longer
    /// wait are removed.
    pub(crate) fn dispatch(&mut self, mut end: impl FnMut(&Wait) -> Option<T>) {
        self.waiting.retain(|_, waiter| !waiter.sender.is_closed());
        let mut blocked: BTreeSet<ServiceName> = BTreeSet::new();
        let keys: Vec<_> = self.waiting.keys().copied().collect();
        for key in keys {
            let Some(waiter) = self.waiting.get(&key) else {
                continue;
            };
            if blocked.contains(&waiter.wait.need.service) {
                continue;
            }
            let Some(result) = end(&waiter.wait) else {
                if waiter.wait.needs_version() {
                    continue;
                }
                blocked.insert(waiter.wait.need.service.clone());
                continue;
            };
            if let Some(waiter) = self.waiting.remove(&key) {
                drop(waiter.sender.send(result));
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
