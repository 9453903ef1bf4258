//! Runs with single faults and with pairs of faults.

use lentil_core::Span;
use lentil_faults::{
    CallReport, CallSimulation, FaultKind, FaultPlan, Guard, Scenario, StreamReport,
    StreamSimulation,
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Time from the start of a run within which faults begin.
const FAULT_WINDOW: Span = Span::from_s(8);

/// Counters summed over runs.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Totals {
    pub(crate) call_runs: u64,
    pub(crate) calls: u64,
    pub(crate) executions: u64,
    pub(crate) answers: u64,
    pub(crate) not_run: u64,
    pub(crate) ran: u64,
    pub(crate) unknown: u64,
    pub(crate) cut: u64,
    pub(crate) double_runs: u64,
    pub(crate) false_not_run: u64,
    pub(crate) crossed: u64,
    pub(crate) stream_runs: u64,
    pub(crate) streams: u64,
    pub(crate) whole: u64,
    pub(crate) failed: u64,
    pub(crate) unfinished: u64,
    pub(crate) tokens: u64,
    pub(crate) wrong_tokens: u64,
    pub(crate) false_ends: u64,
    pub(crate) resumes: u64,
    pub(crate) leaked: u64,
}

impl Totals {
    /// Returns whether a guarantee was violated.
    pub(crate) const fn has_violations(&self) -> bool {
        let calls = self.double_runs + self.false_not_run + self.crossed;
        let streams = self.wrong_tokens + self.false_ends + self.leaked + self.unfinished;
        calls + streams > 0
    }

    fn add_calls(&mut self, report: &CallReport) {
        self.call_runs += 1;
        self.calls += report.calls;
        self.executions += report.executions;
        self.answers += report.answers;
        self.not_run += report.not_run;
        self.ran += report.ran;
        self.unknown += report.unknown;
        self.cut += report.cut;
        self.double_runs += report.double_runs;
        self.false_not_run += report.false_not_run;
        self.crossed += report.crossed;
    }

    fn add_streams(&mut self, report: &StreamReport) {
        self.stream_runs += 1;
        self.streams += report.streams;
        self.whole += report.whole;
        self.failed += report.failed;
        self.unfinished += report.unfinished;
        self.tokens += report.tokens;
        self.wrong_tokens += report.wrong_tokens;
        self.false_ends += report.false_ends;
        self.resumes += report.resumes;
        self.leaked += report.leaked;
    }
}

/// Totals of the runs listed under one fault.
#[derive(Debug, Serialize)]
pub(crate) struct ByFault {
    pub(crate) fault: String,
    #[serde(flatten)]
    pub(crate) totals: Totals,
}

/// Results of all runs.
#[derive(Debug, Serialize)]
pub(crate) struct Faults {
    pub(crate) total: Totals,
    /// Runs with a single fault.
    pub(crate) alone: Vec<ByFault>,
    /// Runs with two faults, listed under the first.
    pub(crate) pairs: Vec<ByFault>,
}

/// Returns each fault alone, followed by all pairs, including pairs of the same fault.
fn fault_combinations() -> Vec<Vec<FaultKind>> {
    let kinds = FaultKind::ALL;
    let alone = kinds.iter().map(|kind| vec![*kind]);
    let pairs = kinds.iter().enumerate().flat_map(|(index, first)| {
        let rest = kinds.iter().skip(index);
        rest.map(move |second| vec![*first, *second])
    });
    alone.chain(pairs).collect()
}

/// Simulates `runs` runs of calls and as many of streams, cycling through the fault combinations.
pub(crate) fn measure(seed: u64, runs: u64, guard: Guard) -> Faults {
    let mut faults = Faults {
        total: Totals::default(),
        alone: empty_rows(),
        pairs: empty_rows(),
    };
    for (number, kinds) in (0..runs).zip(fault_combinations().iter().cycle()) {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(number);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
        let plan = FaultPlan::random(kinds, &mut rng, FAULT_WINDOW);
        let calls = CallSimulation::new(seed, Scenario::default(), plan.clone(), guard).run();
        let streams = StreamSimulation::new(seed, plan, guard).run();
        let rows = if kinds.len() == 1 {
            &mut faults.alone
        } else {
            &mut faults.pairs
        };
        let fault_name = kinds.first().map(ToString::to_string).unwrap_or_default();
        let row = rows.iter_mut().find(|row| row.fault == fault_name);
        for totals in [Some(&mut faults.total), row.map(|row| &mut row.totals)]
            .into_iter()
            .flatten()
        {
            totals.add_calls(&calls);
            totals.add_streams(&streams);
        }
    }
    faults
}

fn empty_rows() -> Vec<ByFault> {
    FaultKind::ALL
        .iter()
        .map(|kind| ByFault {
            fault: kind.to_string(),
            totals: Totals::default(),
        })
        .collect()
}
