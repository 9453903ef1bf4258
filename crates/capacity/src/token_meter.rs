//! The time per output token of a model engine.

use std::collections::HashMap;

use lentil_core::{Span, Time};

/// Largest number of runs that are compared between two reports.
const RUNS_MAX: usize = 256;
/// Weight of the latest measurement. At eight polls a second it follows a host that slows
/// down for 600 ms within two or three polls.
const LATEST_WEIGHT: f64 = 0.5;
/// Tokens of one event if the tokens in memory don't show it.
const DEFAULT_EVENT_TOKENS: u32 = 4;
/// Longest time between two reports that are compared, as the host's pace changes meanwhile.
const COMPARED_MAX: Span = Span::from_ms(1_000);

/// The progress of one run, as its engine reports it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunProgress {
    /// Identifies the run at its engine.
    pub run: String,
    /// Tokens that it holds in memory.
    pub memory_tokens: u32,
    /// Events that it has produced.
    pub events: u32,
}

/// Measures the time per output token from successive reports of one engine.
#[derive(Debug, Clone, Default)]
pub struct TokenMeter {
    started_at_ms: Option<u64>,
    compared_at: Time,
    runs: HashMap<String, (u32, u32)>,
    interval_us: Option<f64>,
}

impl TokenMeter {
    /// Records a report and returns the time per output token of one run; `None` if no output
    /// was seen in this lifetime of the engine.
    pub fn record(
        &mut self,
        now: Time,
        started_at_ms: Option<u64>,
        runs: &[RunProgress],
    ) -> Option<Span> {
        if started_at_ms != self.started_at_ms {
            *self = Self {
                started_at_ms,
                ..Self::default()
            };
        }
        let elapsed = now.since(self.compared_at);
        let (producing, made) = self.output_since(runs);
        // A poll between two events sees no output; the next one is then compared with the
        // report before.
        let is_comparable = producing > 0 && elapsed <= COMPARED_MAX;
        if is_comparable && made == 0 {
            return self.interval();
        }
        if is_comparable {
            let latest = to_f64(elapsed) * f64::from(producing) / f64::from(made);
            let known = self.interval_us.get_or_insert(latest);
            *known += LATEST_WEIGHT * (latest - *known);
        }
        self.compared_at = now;
        let kept = runs.iter().take(RUNS_MAX);
        self.runs = kept
            .map(|run| (run.run.clone(), (run.memory_tokens, run.events)))
            .collect();
        self.interval()
    }

    /// Number of runs that were producing output at the last report and still are, and the
    /// tokens that they have produced since.
    fn output_since(&self, runs: &[RunProgress]) -> (u32, u32) {
        let mut producing = 0_u32;
        let mut made = 0_u32;
        for run in runs.iter().take(RUNS_MAX) {
            let Some((tokens, events)) = self.runs.get(&run.run).filter(|known| known.1 > 0) else {
                continue;
            };
            let new_events = run.events.saturating_sub(*events);
            let new_tokens = run.memory_tokens.saturating_sub(*tokens);
            let new_tokens = if new_tokens >= new_events {
                new_tokens
            } else {
                new_events.saturating_mul(DEFAULT_EVENT_TOKENS)
            };
            producing += 1;
            made = made.saturating_add(new_tokens);
        }
        (producing, made)
    }

    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    fn interval(&self) -> Option<Span> {
        self.interval_us.map(|us| Span::from_us(us as u64))
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(span: Span) -> f64 {
    span.as_us() as f64
}
