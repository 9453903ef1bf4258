//! What a run showed.

use std::collections::BTreeSet;

use lentil_core::{AttemptId, Outcome, Span};

/// What a caller was told in the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The whole answer.
    Answered,
    /// A refusal.
    Refused(Outcome),
    /// Nothing: its entry died.
    NoReply,
}

/// Counts over one run or many.
#[derive(Debug, Clone, Default)]
pub struct CallReport {
    /// Calls made by callers, repeats included.
    pub calls: u64,
    /// Calls answered.
    pub answers: u64,
    /// Calls refused with `not_run`.
    pub not_run: u64,
    /// Calls refused with `ran`.
    pub ran: u64,
    /// Calls refused with `unknown`.
    pub unknown: u64,
    /// Calls whose entry died.
    pub cut: u64,
    /// Executions at the service.
    pub executions: u64,
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Calls told `not_run` of which an attempt ran.
    pub false_not_run: u64,
    /// Answers that belong to another request, or are not whole.
    pub crossed: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Times from an attempt's arrival to the request leaving for the endpoint.
    pub claim_latencies: Vec<Span>,
    /// Times from a call to the word its caller got.
    pub call_latencies: Vec<Span>,
}

impl CallReport {
    /// Adds another run.
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

    /// Whether a promise was broken.
    #[must_use]
    pub const fn violated(&self) -> bool {
        self.double_runs + self.false_not_run + self.crossed > 0
    }

    pub(crate) fn note(&mut self, told: CallResult, wait: Span) {
        self.call_latencies.push(wait);
        match told {
            CallResult::Answered => self.answers += 1,
            CallResult::Refused(Outcome::NotRun) => self.not_run += 1,
            CallResult::Refused(Outcome::Ran) => self.ran += 1,
            CallResult::Refused(Outcome::Unknown) => self.unknown += 1,
            CallResult::NoReply => self.cut += 1,
        }
    }
}

/// One caller's request at one entry, as the checks see it.
#[derive(Debug)]
pub(crate) struct Heard {
    pub(crate) attempts: BTreeSet<AttemptId>,
    pub(crate) told: CallResult,
}
