//! Requests waiting at the agent.

use lentil_core::{AttemptId, Priority, Span, Time, TokenCount};

use crate::event::GenerationSpec;

/// A report this close to its deadline is treated as interactive.
const PROMOTION_WINDOW: Span = Span::from_s(10);

/// The priority with which a request is treated at `now`.
pub(crate) fn effective_priority(priority: Priority, deadline: Time, now: Time) -> Priority {
    let near_deadline = deadline != Time::NEVER && (deadline - PROMOTION_WINDOW).has_passed(now);
    match priority {
        Priority::Report if near_deadline => Priority::Interactive,
        other => other,
    }
}

/// A request in the queue.
#[derive(Debug, Clone)]
pub(crate) struct QueuedGeneration {
    pub(crate) spec: GenerationSpec,
    pub(crate) arrival: u64,
    /// Output tokens generated before it was preempted.
    pub(crate) generated: TokenCount,
    /// Number of times it was preempted. Work that has begun is completed, so a preempted
    /// request is not refused as overflow or for its deadline.
    pub(crate) preempted: u32,
}

impl QueuedGeneration {
    fn rank(&self, now: Time) -> (bool, Priority, Time, u64) {
        let priority = effective_priority(self.spec.priority, self.spec.deadline, now);
        (
            self.preempted == 0,
            priority,
            self.spec.deadline,
            self.arrival,
        )
    }
}

/// The wait queue of one agent.
#[derive(Debug, Default)]
pub(crate) struct WaitQueue {
    queue: Vec<QueuedGeneration>,
    arrivals: u64,
}

impl WaitQueue {
    pub(crate) fn len(&self) -> usize {
        self.queue.len()
    }

    /// Adds a request that was not started yet.
    pub(crate) fn push(&mut self, spec: GenerationSpec) {
        self.enqueue(spec, TokenCount::ZERO, 0);
    }

    /// Adds a request; one that was preempted goes ahead of those not started yet.
    pub(crate) fn enqueue(&mut self, spec: GenerationSpec, generated: TokenCount, preempted: u32) {
        self.arrivals += 1;
        self.queue.push(QueuedGeneration {
            spec,
            arrival: self.arrivals,
            generated,
            preempted,
        });
    }

    /// The next request to start.
    pub(crate) fn peek(&self, now: Time) -> Option<&QueuedGeneration> {
        self.queue.iter().min_by_key(|queued| queued.rank(now))
    }

    /// Removes a request.
    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<QueuedGeneration> {
        let index = self
            .queue
            .iter()
            .position(|queued| queued.spec.attempt == attempt)?;
        Some(self.queue.swap_remove(index))
    }

    /// Removes requests not started yet, last in order first, until at most `max` of them
    /// are left.
    pub(crate) fn remove_overflow(&mut self, now: Time, max: u32) -> Vec<GenerationSpec> {
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let mut refused = Vec::new();
        while self.not_started() > max {
            let last = self
                .queue
                .iter()
                .filter(|queued| queued.preempted == 0)
                .max_by_key(|queued| queued.rank(now))
                .map(|queued| queued.spec.attempt);
            match last.and_then(|attempt| self.remove(attempt)) {
                Some(queued) => refused.push(queued.spec),
                None => break,
            }
        }
        refused
    }

    fn not_started(&self) -> usize {
        self.queue
            .iter()
            .filter(|queued| queued.preempted == 0)
            .count()
    }

    /// Removes the requests not started yet whose deadline has passed.
    pub(crate) fn remove_expired(&mut self, now: Time) -> Vec<GenerationSpec> {
        self.remove_not_started(|spec| spec.deadline.has_passed(now))
    }

    /// Removes the requests not started yet that match `predicate`.
    pub(crate) fn remove_not_started(
        &mut self,
        predicate: impl Fn(&GenerationSpec) -> bool,
    ) -> Vec<GenerationSpec> {
        let (removed, kept) =
            std::mem::take(&mut self.queue)
                .into_iter()
                .partition(|queued: &QueuedGeneration| {
                    queued.preempted == 0 && predicate(&queued.spec)
                });
        self.queue = kept;
        let removed: Vec<QueuedGeneration> = removed;
        removed.into_iter().map(|queued| queued.spec).collect()
    }

    /// Removes all requests.
    pub(crate) fn clear(&mut self) -> Vec<GenerationSpec> {
        std::mem::take(&mut self.queue)
            .into_iter()
            .map(|queued| queued.spec)
            .collect()
    }
}
