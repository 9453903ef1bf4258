//! Tracks the attempts of one keyed call at the entry and determines the outcome for the caller.

use lentil_core::{AttemptId, EndpointId, NotRunProof, Outcome, Refusal, RefusalReason};

use crate::record::Executor;

/// How an attempt ended, as far as the entry knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptReport {
    /// The attempt was never sent over a connection.
    NeverSent(RefusalReason),
    /// The agent refused the attempt and reported this outcome.
    Refused(Outcome, RefusalReason),
    /// The connection broke or the attempt timed out, and its outcome could not be requested.
    Lost,
    /// Another process holds the key.
    Follow(Executor),
}

/// The next action of the entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NextStep {
    /// Start another attempt, at any endpoint or at the one that holds the key.
    Retry(Option<EndpointId>),
    /// Return the refusal to the caller.
    Refuse(Refusal),
}

/// Tracks the attempts of one caller's request.
///
/// The caller receives `not_run` only if every attempt is proven not to have run and no other
/// process holds the key.
#[derive(Debug)]
pub struct CallTracker {
    attempts_left: u32,
    current: Option<AttemptId>,
    lost: Vec<AttemptId>,
    referred_elsewhere: bool,
    worst_outcome: Outcome,
    proof: NotRunProof,
}

impl CallTracker {
    /// Creates a tracker that allows the given number of attempts.
    #[must_use]
    pub const fn new(attempts: u32) -> Self {
        Self {
            attempts_left: attempts,
            current: None,
            lost: Vec::new(),
            referred_elsewhere: false,
            worst_outcome: Outcome::NotRun,
            proof: NotRunProof::NeverSent,
        }
    }

    /// Registers the start of an attempt.
    pub fn begin(&mut self, attempt: AttemptId) {
        self.attempts_left = self.attempts_left.saturating_sub(1);
        self.current = Some(attempt);
    }

    /// Whether `attempt` is the current attempt.
    #[must_use]
    pub fn is_current(&self, attempt: AttemptId) -> bool {
        self.current == Some(attempt)
    }

    /// Lost attempts whose outcome is still unresolved.
    #[must_use]
    pub fn lost_attempts(&self) -> &[AttemptId] {
        &self.lost
    }

    /// Processes the end of the current attempt. Returns `None` for any other attempt.
    pub fn report(&mut self, attempt: AttemptId, report: &AttemptReport) -> Option<NextStep> {
        if !self.is_current(attempt) {
            return None;
        }
        self.current = None;
        Some(match report {
            AttemptReport::NeverSent(reason) => self.retry_or_refuse(None, *reason),
            AttemptReport::Refused(outcome, reason) => self.on_refused(attempt, *outcome, *reason),
            AttemptReport::Lost => {
                self.lost.push(attempt);
                self.retry_or_refuse(None, RefusalReason::EndpointFailed)
            }
            AttemptReport::Follow(executor) => {
                self.referred_elsewhere = true;
                let endpoint = Some(executor.endpoint.clone());
                self.retry_or_refuse(endpoint, RefusalReason::EndpointFailed)
            }
        })
    }

    /// Records the outcome that the agent reported for a lost attempt.
    pub fn resolve_lost(&mut self, attempt: AttemptId, outcome: Outcome) {
        let lost = self.lost.len();
        self.lost.retain(|known| *known != attempt);
        if self.lost.len() < lost {
            self.add_outcome(attempt, outcome);
        }
    }

    /// The refusal for a caller whose call is abandoned now.
    #[must_use]
    pub fn give_up(&self, reason: RefusalReason) -> Refusal {
        let unresolved = self.current.is_some() || !self.lost.is_empty() || self.referred_elsewhere;
        match self.worst_outcome {
            Outcome::Ran => Refusal::ran(reason),
            Outcome::Unknown => Refusal::unknown(reason),
            Outcome::NotRun if unresolved => Refusal::unknown(reason),
            Outcome::NotRun => Refusal::not_run(self.proof, reason),
        }
    }

    fn on_refused(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        reason: RefusalReason,
    ) -> NextStep {
        self.add_outcome(attempt, outcome);
        // An agent that checked the key itself supersedes an earlier referral to another process.
        self.referred_elsewhere &= is_retryable(reason);
        if outcome == Outcome::NotRun && is_retryable(reason) {
            return self.retry_or_refuse(None, reason);
        }
        NextStep::Refuse(self.give_up(reason))
    }

    fn retry_or_refuse(&self, endpoint: Option<EndpointId>, reason: RefusalReason) -> NextStep {
        if self.attempts_left == 0 {
            return NextStep::Refuse(self.give_up(reason));
        }
        NextStep::Retry(endpoint)
    }

    /// Merges an outcome into the worst one: `ran` is final, and `unknown` overrides `not_run`.
    fn add_outcome(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.worst_outcome = match (self.worst_outcome, outcome) {
            (Outcome::Ran, _) | (_, Outcome::Ran) => Outcome::Ran,
            (Outcome::Unknown, _) | (_, Outcome::Unknown) => Outcome::Unknown,
            (Outcome::NotRun, Outcome::NotRun) => {
                self.proof = NotRunProof::AgentTombstone(attempt);
                Outcome::NotRun
            }
        };
    }
}

/// Whether another endpoint may accept a request refused for this reason.
const fn is_retryable(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overloaded
            | RefusalReason::Stopping
            | RefusalReason::EndpointFailed
            | RefusalReason::LogUnavailable
    )
}
