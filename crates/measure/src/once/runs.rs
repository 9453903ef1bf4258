//! Runs with faults alone and in pairs.

use lentil_core::Span;
use lentil_faults::{
    CallReport, CallSimulation, FaultKind, FaultPlan, Guard, Scenario, StreamReport,
    StreamSimulation,
};
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

/// Faults begin within this span of a run.
const FAULTS_WITHIN: Span = Span::from_s(8);

/// Counts over some runs.
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
    /// Whether a promise was broken.
    pub(crate) const fn violated(&self) -> bool {
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

/// Totals of the runs that a fault took part in.
#[derive(Debug, Serialize)]
pub(crate) struct ByFault {
    pub(crate) fault: String,
    #[serde(flatten)]
    pub(crate) totals: Totals,
}

/// All runs.
#[derive(Debug, Serialize)]
pub(crate) struct Faults {
    pub(crate) total: Totals,
    /// Runs with one fault alone.
    pub(crate) alone: Vec<ByFault>,
    /// Runs with two, counted under the first.
    pub(crate) pairs: Vec<ByFault>,
}

/// One fault alone, or two.
fn combinations() -> Vec<Vec<FaultKind>> {
    let kinds = FaultKind::ALL;
    let alone = kinds.iter().map(|kind| vec![*kind]);
    let pairs = kinds.iter().enumerate().flat_map(|(at, first)| {
        let rest = kinds.iter().skip(at);
        rest.map(move |second| vec![*first, *second])
    });
    alone.chain(pairs).collect()
}

/// Runs `runs` worlds of calls and as many of streams.
pub(crate) fn measure(seed: u64, runs: u64, guard: Guard) -> Faults {
    let mut faults = Faults {
        total: Totals::default(),
        alone: rows(),
        pairs: rows(),
    };
    for (number, kinds) in (0..runs).zip(combinations().iter().cycle()) {
        let seed = seed.wrapping_mul(1_000_003).wrapping_add(number);
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xfa17);
        let plan = FaultPlan::random(kinds, &mut rng, FAULTS_WITHIN);
        let calls = CallSimulation::new(seed, Scenario::default(), plan.clone(), guard).run();
        let streams = StreamSimulation::new(seed, plan, guard).run();
        let rows = if kinds.len() == 1 {
            &mut faults.alone
        } else {
            &mut faults.pairs
        };
        let named = kinds.first().map(ToString::to_string).unwrap_or_default();
        let row = rows.iter_mut().find(|row| row.fault == named);
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

fn rows() -> Vec<ByFault> {
    FaultKind::ALL
        .iter()
        .map(|kind| ByFault {
            fault: kind.to_string(),
            totals: Totals::default(),
        })
        .collect()
}
