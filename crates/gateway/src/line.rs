//! Requests that wait for a place.

use std::collections::{BTreeMap, BTreeSet};

use lentil_catalog::PriorityLevel;
use lentil_core::{EndpointId, ServiceName};
use lentil_fleet::PlacementRequest;
use tokio::sync::oneshot;

/// Most requests that wait.
const WAITING_MAX: usize = 4_096;

/// One waiting request.
#[derive(Debug)]
struct Waiter<P> {
    need: PlacementRequest,
    tried: Vec<EndpointId>,
    reply: oneshot::Sender<P>,
}

/// The waiting requests of all services: the most urgent first, and among
/// equals the longest waiting. Nobody overtakes a request of the same service
/// that is as urgent, or a large one would never find room.
#[derive(Debug)]
pub(crate) struct Line<P> {
    waiting: BTreeMap<(PriorityLevel, u64), Waiter<P>>,
    next: u64,
}

impl<P> Default for Line<P> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<P> Line<P> {
    /// Whether a request would overtake another one.
    pub(crate) fn holds_up(&self, service: &ServiceName, rank: PriorityLevel) -> bool {
        self.waiting
            .iter()
            .take_while(|((waiting, _), _)| *waiting <= rank)
            .any(|(_, waiter)| waiter.need.service == *service && !waiter.reply.is_closed())
    }

    /// Adds a request; `None` if no more may wait.
    pub(crate) fn join(
        &mut self,
        rank: PriorityLevel,
        need: PlacementRequest,
        tried: Vec<EndpointId>,
    ) -> Option<oneshot::Receiver<P>> {
        if self.waiting.len() >= WAITING_MAX {
            return None;
        }
        let (reply, place) = oneshot::channel();
        let number = self.next;
        self.next += 1;
        let waiter = Waiter { need, tried, reply };
        self.waiting.insert((rank, number), waiter);
        Some(place)
    }

    /// Hands out what `place` finds; what nobody takes any more is dropped.
    pub(crate) fn pump(
        &mut self,
        mut place: impl FnMut(&PlacementRequest, &[EndpointId]) -> Option<P>,
    ) {
        self.waiting.retain(|_, waiter| !waiter.reply.is_closed());
        let mut held_up: BTreeSet<ServiceName> = BTreeSet::new();
        let keys: Vec<_> = self.waiting.keys().copied().collect();
        for key in keys {
            let Some(waiter) = self.waiting.get(&key) else {
                continue;
            };
            if held_up.contains(&waiter.need.service) {
                continue;
            }
            let Some(found) = place(&waiter.need, &waiter.tried) else {
                held_up.insert(waiter.need.service.clone());
                continue;
            };
            if let Some(waiter) = self.waiting.remove(&key) {
                drop(waiter.reply.send(found));
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }
}
