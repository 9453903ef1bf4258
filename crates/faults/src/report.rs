//! Results of a call simulation.

use std::collections::BTreeSet;

use lentil_core::{AttemptId, Outcome, Span};

/// The final result of a call as its caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The complete answer.
    Answered,
    /// A refusal that states whether the call ran.
    Refused(Outcome),
    /// No reply, because the entry died or the simulation ended first.
    NoReply,
}

/// Counts of one or more simulations.
#[derive(Debug, Clone, Default)]
pub struct CallReport {
    /// Calls made by callers, including retries.
    pub calls: u64,
    /// Calls answered.
    pub answers: u64,
    /// Calls refused with `not_run`.
    pub not_run: u64,
    /// Calls refused with `ran`.
    pub ran: u64,
    /// Calls refused with `unknown`.
    pub unknown: u64,
    /// Calls that got no reply.
    pub cut: u64,
    /// Executions at the service.
    pub executions: u64,
    /// Keys executed more than once.
    pub double_runs: u64,
    /// Calls refused with `not_run` of which an attempt ran, and executed keys whose calls were
    /// all refused with `not_run`.
    pub false_not_run: u64,
    /// Answers that are incomplete or belong to another request.
    pub crossed: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Times from an attempt's arrival at the agent until its request is sent to the endpoint.
    pub claim_latencies: Vec<Span>,
    /// Times from a call to its result.
    pub call_latencies: Vec<Span>,
}

impl CallReport {
    /// Adds the counts of another simulation.
    pub fn add(&mut self, other: Self) {
        self.calls += other.calls;
        self.answers += other.answers;
        self.not_run += other.not_run;
        self.ran += other.ran;
        self.unknown += other.unknown;
        self.cut += other.cut;
        self.executions += other.executions;
        self.double_runs += other.double_runs;
        self.false_not_run += other.false_not_run;
        self.crossed += other.crossed;
        self.appends += other.appends;
        self.claim_latencies.extend(other.claim_latencies);
        self.call_latencies.extend(other.call_latencies);
    }

    /// Whether an invariant was violated.
    #[must_use]
    pub const fn violated(&self) -> bool {
        self.double_runs + self.false_not_run + self.crossed > 0
    }

    pub(crate) fn record(&mut self, result: CallResult, duration: Span) {
        self.call_latencies.push(duration);
        match result {
            CallResult::Answered => self.answers += 1,
            CallResult::Refused(Outcome::NotRun) => self.not_run += 1,
            CallResult::Refused(Outcome::Ran) => self.ran += 1,
            CallResult::Refused(Outcome::Unknown) => self.unknown += 1,
            CallResult::NoReply => self.cut += 1,
        }
    }
}

/// Attempts and result of one request, as input of the final checks.
#[derive(Debug)]
pub(crate) struct RequestSummary {
    pub(crate) attempts: BTreeSet<AttemptId>,
    pub(crate) result: CallResult,
}
