//! Requests that wait at the agent.

use lentil_core::{AttemptId, Priority, Span, Time, TokenCount};

use crate::event::GenerationSpec;

/// A report this close to its deadline is served as interactive work.
const PROMOTION: Span = Span::from_s(10);

/// The class in which a request is served at `now`.
pub(crate) fn effective_priority(priority: Priority, deadline: Time, now: Time) -> Priority {
    let near = deadline != Time::NEVER && (deadline - PROMOTION).has_passed(now);
    match priority {
        Priority::Report if near => Priority::Interactive,
        other => other,
    }
}

/// One waiting request.
#[derive(Debug, Clone)]
pub(crate) struct Waiter {
    pub(crate) work: GenerationSpec,
    pub(crate) arrived: u64,
    /// Tokens it had made before it was preempted.
    pub(crate) generated: TokenCount,
    /// Times it was preempted; work once begun is finished.
    pub(crate) preempted: u32,
}

impl Waiter {
    fn rank(&self, now: Time) -> (bool, Priority, Time, u64) {
        let priority = effective_priority(self.work.priority, self.work.deadline, now);
        (
            self.preempted == 0,
            priority,
            self.work.deadline,
            self.arrived,
        )
    }
}

/// The bounded waiting room of one agent.
#[derive(Debug, Default)]
pub(crate) struct Waiting {
    waiters: Vec<Waiter>,
    arrivals: u64,
}

impl Waiting {
    pub(crate) fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Adds a request that has not begun.
    pub(crate) fn push(&mut self, work: GenerationSpec) {
        self.push_waiter(work, TokenCount::ZERO, 0);
    }

    /// Adds a request that was preempted; it goes ahead of those not begun.
    pub(crate) fn push_waiter(
        &mut self,
        work: GenerationSpec,
        generated: TokenCount,
        preempted: u32,
    ) {
        self.arrivals += 1;
        self.waiters.push(Waiter {
            work,
            arrived: self.arrivals,
            generated,
            preempted,
        });
    }

    /// The next one to start.
    pub(crate) fn first(&self, now: Time) -> Option<&Waiter> {
        self.waiters.iter().min_by_key(|waiter| waiter.rank(now))
    }

    /// Takes one out.
    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Waiter> {
        let place = self
            .waiters
            .iter()
            .position(|waiter| waiter.work.attempt == attempt)?;
        Some(self.waiters.swap_remove(place))
    }

    /// Takes out the last ones not begun until at most `max` of these are left.
    pub(crate) fn overflow(&mut self, now: Time, max: u32) -> Vec<GenerationSpec> {
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let mut refused = Vec::new();
        while self.unbegun() > max {
            let last = self
                .waiters
                .iter()
                .filter(|waiter| waiter.preempted == 0)
                .max_by_key(|waiter| waiter.rank(now))
                .map(|waiter| waiter.work.attempt);
            match last.and_then(|attempt| self.remove(attempt)) {
                Some(waiter) => refused.push(waiter.work),
                None => break,
            }
        }
        refused
    }

    fn unbegun(&self) -> usize {
        self.waiters.iter().filter(|w| w.preempted == 0).count()
    }

    /// Takes out those not begun whose deadline passed.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<GenerationSpec> {
        self.take_unbegun(|work| work.deadline.has_passed(now))
    }

    /// Takes out those not begun that `pick` names.
    pub(crate) fn take_unbegun(
        &mut self,
        pick: impl Fn(&GenerationSpec) -> bool,
    ) -> Vec<GenerationSpec> {
        let (taken, kept) = std::mem::take(&mut self.waiters)
            .into_iter()
            .partition(|waiter: &Waiter| waiter.preempted == 0 && pick(&waiter.work));
        self.waiters = kept;
        let taken: Vec<Waiter> = taken;
        taken.into_iter().map(|waiter| waiter.work).collect()
    }

    /// Takes out all.
    pub(crate) fn clear(&mut self) -> Vec<GenerationSpec> {
        std::mem::take(&mut self.waiters)
            .into_iter()
            .map(|waiter| waiter.work)
            .collect()
    }
}
