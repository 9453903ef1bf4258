//! The prompts that gateways have announced to an engine's observer.

use std::collections::HashMap;

use lentil_core::{Span, Time, TokenCount};

use crate::token_meter::RunProgress;

/// Most announced runs that are kept. Further ones are estimated from the engine's reports, as
/// those of gateways that announce nothing.
const ANNOUNCED_MAX: usize = 512;
/// Time within which an announced request has arrived at the engine and appears in its reports.
const ARRIVAL_TIME: Span = Span::from_ms(150);
/// Time after which a run is forgotten whatever the reports say, so that a run that never
/// reached the engine doesn't count for ever.
const ANNOUNCEMENT_TTL: Span = Span::from_ms(10_000);

#[derive(Debug, Clone)]
struct AnnouncedRun {
    prompt: TokenCount,
    announced_at: Time,
    /// Prompt tokens that the engine still has to prefill.
    pending: TokenCount,
}

/// Runs that gateways have sent to one engine and that have produced no event yet.
///
/// Dozens of gateways place requests on the same report of an engine. An announcement tells all
/// of them within milliseconds what each has placed there, while the engine's own report shows
/// only the number of waiting prompts, and only after the next poll.
#[derive(Debug, Clone, Default)]
pub struct AnnouncedRuns {
    runs: HashMap<String, AnnouncedRun>,
    started_at_ms: Option<u64>,
}

impl AnnouncedRuns {
    /// Records that a gateway sends a run with this prompt to the engine. Returns `false` if
    /// there are too many.
    pub fn announce(&mut self, now: Time, run: String, prompt: TokenCount) -> bool {
        if self.runs.len() >= ANNOUNCED_MAX && !self.runs.contains_key(&run) {
            return false;
        }
        let announced = AnnouncedRun {
            prompt,
            announced_at: now,
            pending: prompt,
        };
        self.runs.insert(run, announced);
        true
    }

    /// Records that a run has produced its first event, or ended without one.
    pub fn withdraw(&mut self, run: &str) {
        self.runs.remove(run);
    }

    /// Compares the announced runs with an engine's report: its running and its number of
    /// waiting requests. Runs that have produced an event are done, and so are those that
    /// neither run nor can be among the waiting ones.
    pub fn apply_report(
        &mut self,
        now: Time,
        started_at_ms: Option<u64>,
        running: &[RunProgress],
        waiting: u32,
    ) {
        if started_at_ms != self.started_at_ms {
            self.started_at_ms = started_at_ms;
            self.runs
                .retain(|_, run| !(run.announced_at + ARRIVAL_TIME).has_passed(now));
        }
        for progress in running {
            if progress.events > 0 {
                self.runs.remove(&progress.run);
            } else if let Some(run) = self.runs.get_mut(&progress.run) {
                run.pending = pending(run.prompt, progress.memory_tokens);
            }
        }
        let is_running = |id: &str| running.iter().any(|progress| progress.run == id);
        let mut unlisted: Vec<_> = self
            .runs
            .iter()
            .filter(|(id, run)| {
                (run.announced_at + ARRIVAL_TIME).has_passed(now) && !is_running(id)
            })
            .map(|(id, run)| (run.announced_at, id.clone()))
            .collect();
        // The engine starts requests about in order of arrival, so the latest ones wait.
        unlisted.sort_unstable_by(|one, other| other.cmp(one));
        let waiting = usize::try_from(waiting).unwrap_or(usize::MAX);
        for (_, id) in unlisted.into_iter().skip(waiting) {
            self.runs.remove(&id);
        }
        self.runs
            .retain(|_, run| !(run.announced_at + ANNOUNCEMENT_TTL).has_passed(now));
    }

    /// Prompt tokens that the engine still has to prefill for announced runs.
    #[must_use]
    pub fn pending_tokens(&self) -> TokenCount {
        self.runs.values().map(|run| run.pending).sum()
    }

    /// Number of announced runs without an event.
    #[must_use]
    pub fn pending_runs(&self) -> u32 {
        u32::try_from(self.runs.len()).unwrap_or(u32::MAX)
    }
}

/// The tokens that are left of a prompt. Some engines allocate the memory of a whole prompt when
/// they start it; then half of it is left on average.
fn pending(prompt: TokenCount, in_memory: u32) -> TokenCount {
    let half = TokenCount::new(prompt.get() / 2);
    let left = prompt - TokenCount::new(in_memory);
    if left == TokenCount::ZERO { half } else { left }
}
