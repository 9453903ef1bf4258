//! The entry's view of one keyed call: its attempts, and the word to its caller.

use lentil_core::{AttemptId, EndpointId, NotRunProof, Outcome, Refusal, RefusalReason};

use crate::record::Executor;

/// How one attempt ended, as far as the entry knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptReport {
    /// It was never handed to a link.
    NeverSent(RefusalReason),
    /// The agent refused it; the outcome is the agent's.
    Refused(Outcome, RefusalReason),
    /// The link broke or the time ran out, and nobody could be asked.
    Lost,
    /// Another process stands for the key.
    Follow(Executor),
}

/// What the entry does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Try again, at any endpoint or at the one that stands for the key.
    Retry(Option<EndpointId>),
    /// Tell the caller.
    Refuse(Refusal),
}

/// Follows one caller's request through its attempts.
///
/// The caller hears `not_run` only when every single attempt is proved not to
/// have run, and no other process stands for the key.
#[derive(Debug)]
pub struct CallTracker {
    tries_left: u32,
    current: Option<AttemptId>,
    lost: Vec<AttemptId>,
    follows: bool,
    worst: Outcome,
    proof: NotRunProof,
}

impl CallTracker {
    /// A call that may make `tries` attempts.
    #[must_use]
    pub const fn new(tries: u32) -> Self {
        Self {
            tries_left: tries,
            current: None,
            lost: Vec::new(),
            follows: false,
            worst: Outcome::NotRun,
            proof: NotRunProof::NeverSent,
        }
    }

    /// Begins an attempt.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.tries_left = self.tries_left.saturating_sub(1);
        self.current = Some(attempt);
    }

    /// Whether a reply that names `attempt` belongs to the attempt in hand.
    #[must_use]
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        self.current == Some(attempt)
    }

    /// Attempts of which nobody could be asked yet.
    #[must_use]
    pub fn lost_attempts(&self) -> &[AttemptId] {
        &self.lost
    }

    /// Takes the end of the attempt in hand; `None` when it is another's.
    pub fn report(&mut self, attempt: AttemptId, report: &AttemptReport) -> Option<NextStep> {
        if !self.is_current(attempt) {
            return None;
        }
        self.current = None;
        Some(match report {
            AttemptReport::NeverSent(reason) => self.again_or(None, *reason),
            AttemptReport::Refused(outcome, reason) => self.on_refused(attempt, *outcome, *reason),
            AttemptReport::Lost => {
                self.lost.push(attempt);
                self.again_or(None, RefusalReason::EndpointFailed)
            }
            AttemptReport::Follow(executor) => {
                self.follows = true;
                let endpoint = Some(executor.endpoint.clone());
                self.again_or(endpoint, RefusalReason::EndpointFailed)
            }
        })
    }

    /// Takes the agent's word on an attempt that was lost.
    pub fn resolve_lost(&mut self, attempt: AttemptId, outcome: Outcome) {
        let lost = self.lost.len();
        self.lost.retain(|known| *known != attempt);
        if self.lost.len() < lost {
            self.raise(attempt, outcome);
        }
    }

    /// The word to a caller whose time is up.
    #[must_use]
    pub fn give_up(&self, reason: RefusalReason) -> Refusal {
        let unsettled = self.current.is_some() || !self.lost.is_empty() || self.follows;
        match self.worst {
            Outcome::Ran => Refusal::ran(reason),
            Outcome::Unknown => Refusal::unknown(reason),
            Outcome::NotRun if unsettled => Refusal::unknown(reason),
            Outcome::NotRun => Refusal::not_run(self.proof, reason),
        }
    }

    fn on_refused(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> NextStep {
        self.raise(attempt, outcome);
        // An agent that looked at the key says more than one that pointed on.
        self.follows &= retries(reason);
        if outcome == Outcome::NotRun && retries(reason) {
            return self.again_or(None, reason);
        }
        NextStep::Refuse(self.give_up(reason))
    }

    fn again_or(&self, endpoint: Option<EndpointId>, reason: RefusalReason) -> NextStep {
        if self.tries_left == 0 {
            return NextStep::Refuse(self.give_up(reason));
        }
        NextStep::Retry(endpoint)
    }

    /// Evidence only ever gets worse: `ran` stays, `unknown` beats `not_run`.
    fn raise(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.worst = match (self.worst, outcome) {
            (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
            (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
            (Outcome::NotRun, Outcome::NotRun) => {
                self.proof = NotRunProof::AgentTombstone(attempt);
                Outcome::NotRun
            }
        };
    }
}

/// Whether another endpoint may do what this one refused.
const fn retries(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::Stopping
            | RefusalReason::EndpointFailed
            | RefusalReason::LogUnavailable
    )
}
