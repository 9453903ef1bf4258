//! The queue of requests that wait for capacity.

use std::collections::{BTreeMap, BTreeSet};

use lentil_catalog::PriorityLevel;
use lentil_core::{EndpointId, ServiceName};
use lentil_fleet::PlacementRequest;
use tokio::sync::oneshot;

/// Largest number of waiting requests.
const WAITING_MAX: usize = 4_096;

/// One waiting request.
#[derive(Debug)]
struct Waiter<P> {
    need: PlacementRequest,
    excluded: Vec<EndpointId>,
    sender: oneshot::Sender<P>,
}

/// The waiting requests of all services, the most urgent first and by
/// arrival within a rank. A request never overtakes one of the same service that
/// is at least as urgent. Otherwise a large request would never get capacity.
#[derive(Debug)]
pub(crate) struct WaitQueue<P> {
    waiting: BTreeMap<(PriorityLevel, u64), Waiter<P>>,
    next_sequence: u64,
}

impl<P> Default for WaitQueue<P> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<P> WaitQueue<P> {
    /// Returns the number of waiting requests that a request with this rank would overtake.
    pub(crate) fn earlier_waiters(&self, service: &ServiceName, rank: PriorityLevel) -> u64 {
        self.waiting
            .iter()
            .take_while(|((waiting, _), _)| *waiting <= rank)
            .filter(|(_, waiter)| waiter.need.service == *service && !waiter.sender.is_closed())
            .fold(0, |count, _| count + 1)
    }

    /// Adds a request to the queue. Returns `None` if the queue is full.
    pub(crate) fn enqueue(
        &mut self,
        rank: PriorityLevel,
        need: PlacementRequest,
        excluded: Vec<EndpointId>,
    ) -> Option<oneshot::Receiver<P>> {
        if self.waiting.len() >= WAITING_MAX {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let waiter = Waiter {
            need,
            excluded,
            sender,
        };
        self.waiting.insert((rank, sequence), waiter);
        Some(receiver)
    }

    /// Places waiting requests with `place`, in order. Requests that no longer wait
    /// are removed.
    pub(crate) fn dispatch(
        &mut self,
        mut place: impl FnMut(&PlacementRequest, &[EndpointId]) -> Option<P>,
    ) {
        self.waiting.retain(|_, waiter| !waiter.sender.is_closed());
        let mut blocked: BTreeSet<ServiceName> = BTreeSet::new();
        let keys: Vec<_> = self.waiting.keys().copied().collect();
        for key in keys {
            let Some(waiter) = self.waiting.get(&key) else {
                continue;
            };
            if blocked.contains(&waiter.need.service) {
                continue;
            }
            let Some(placed) = place(&waiter.need, &waiter.excluded) else {
                blocked.insert(waiter.need.service.clone());
                continue;
            };
            if let Some(waiter) = self.waiting.remove(&key) {
                drop(waiter.sender.send(placed));
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
