//! The state of a service's engines on which adaptive placement decides, and the estimated time to
//! a request's first event at each of them.

use std::collections::HashMap;

use lentil_capacity::{PrefillModel, PrefillWork};
use lentil_catalog::Service;
use lentil_core::{EndpointId, ServiceName, Span, Time, TokenCount};

use crate::Fleet;
use crate::endpoint::{Endpoint, EngineReport};
use crate::placement::{GenerationSize, MEMORY_FILL_MAX, PlacementRequest};
use crate::scheduling::unit;

/// How long an engine's measurements are used. After that the means of its service are.
const MEASUREMENT_TTL: Span = Span::from_ms(2_000);
/// Time per output token if no engine of a service has reported it.
const DEFAULT_TOKEN_INTERVAL: Span = Span::from_ms(10);
/// Time within which entries place requests without knowing of each other: an interval between
/// reports, and up to half a second until one arrives.
const SHARED_REPORT_S: f64 = 0.7;
/// The same if requests are announced to the engine's observer, which reports them at once.
const ANNOUNCEMENT_S: f64 = 0.05;
/// Score of a second until the first event, relative to a full memory: 1.5 s count as much as the
/// 9,000 pending tokens of [`crate::placement::PREFILL_FULL_TOKENS`], of which the score has a part.
const FIRST_EVENT_WEIGHT: f64 = 0.3;
/// Weight of the latest prompt in the mean size of prompts.
const PROMPT_WEIGHT: f64 = 0.05;
/// Assumed size of a prompt before any was placed.
const DEFAULT_PROMPT_TOKENS: f64 = 2_500.0;
/// Window in which placements are counted.
const RATE_WINDOW: Span = Span::from_ms(1_000);

/// What this entry has learned about a service.
#[derive(Debug, Clone)]
pub(crate) struct ServiceHistory {
    pub(crate) prefill: PrefillModel,
    mean_prompt: f64,
    window_ends_at: Time,
    placed: u32,
    placed_before: u32,
    /// Differs between entries, so that each has room at other engines.
    seed: u64,
}

impl Default for ServiceHistory {
    fn default() -> Self {
        Self {
            prefill: PrefillModel::default(),
            mean_prompt: DEFAULT_PROMPT_TOKENS,
            window_ends_at: Time::ZERO,
            placed: 0,
            placed_before: 0,
            seed: 0,
        }
    }
}

impl ServiceHistory {
    /// Creates a history without observations.
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    pub(crate) fn record_placement(&mut self, now: Time, prompt: TokenCount) {
        self.mean_prompt += PROMPT_WEIGHT * (f64::from(prompt.get()) - self.mean_prompt);
        if self.window_ends_at.has_passed(now) {
            let skipped = (self.window_ends_at + RATE_WINDOW).has_passed(now);
            self.placed_before = if skipped { 0 } else { self.placed };
            self.placed = 0;
            self.window_ends_at = now + RATE_WINDOW;
        }
        self.placed = self.placed.saturating_add(1);
    }

    /// Placements of this entry in a second: those of the last whole window, as the current one
    /// may have just begun.
    fn placements_per_s(&self) -> f64 {
        f64::from(self.placed.max(self.placed_before))
    }
}

/// This entry's requests at one engine.
#[derive(Debug, Clone, Copy, Default)]
struct OwnWork {
    /// Requests without an event.
    pending: u32,
    /// Their prompt tokens.
    pending_tokens: u32,
    /// Prompt tokens placed since the engine's report, whether prefilled or not.
    tokens_since: u32,
    /// Requests without an event that the report's announced runs don't include, and their
    /// prompt tokens.
    unannounced: u32,
    unannounced_tokens: u32,
}

/// The state of a service's engines that all estimates of one placement share.
pub(crate) struct EngineView<'a> {
    history: &'a ServiceHistory,
    own: HashMap<&'a EndpointId, OwnWork>,
    mean_interval: Span,
    /// Mean number of prompts that are not prefilled, at engines with a recent report.
    mean_pending: f64,
    /// Number of entries that are expected to place a request on the same report.
    sharing: f64,
    /// The same if they announce their requests.
    announced_sharing: f64,
    /// Seed of this entry's random numbers.
    seed: u64,
    event_tokens: TokenCount,
}

/// The estimated time to a request's first event at one engine.
pub(crate) struct FirstEvent {
    pub(crate) work: PrefillWork,
    pub(crate) expected: Span,
    /// Tokens to be prefilled, and those of them that the engine reported.
    tokens: f64,
    ahead: f64,
    /// This entry's tokens since the report, and a random part of the request's: whether the
    /// request fits into a share that is smaller than itself is left to chance.
    own: f64,
    /// Number of entries that share the room.
    sharing: f64,
    /// Whether the prompt fits into the engine's memory with those that are queued there. Its
    /// prefill otherwise waits for other runs to end.
    pub(crate) fits: bool,
}

impl FirstEvent {
    /// Whether this entry's share of the tokens that the engine can prefill within `limit`
    /// allows the request.
    pub(crate) fn in_share(&self, limit: Span) -> bool {
        let total = self.tokens * to_f64(limit) / to_f64(self.expected).max(1.0);
        self.own <= (total - self.ahead) / self.sharing
    }
}

impl Fleet {
    pub(crate) fn engine_view<'a>(
        &'a self,
        now: Time,
        request: &PlacementRequest,
        history: &'a ServiceHistory,
        entries: u32,
    ) -> EngineView<'a> {
        let engines = self.endpoints.values();
        let engines = engines.filter(|endpoint| {
            endpoint.record.service == request.service && endpoint.is_available(now)
        });
        let (mut measured, mut reporting) = (0_u64, 0_u32);
        let (mut interval_us, mut pending) = (0_u64, 0_u32);
        for endpoint in engines {
            if let Some((_, report)) = measurements(now, endpoint) {
                reporting += 1;
                pending = pending.saturating_add(unprefilled(report));
                if let Some(interval) = report.token_interval {
                    measured += 1;
                    interval_us = interval_us.saturating_add(interval.as_us());
                }
            }
        }
        let mean_interval = interval_us
            .checked_div(measured)
            .map_or(DEFAULT_TOKEN_INTERVAL, Span::from_us);
        let all_per_s = history.placements_per_s() * f64::from(entries);
        let sharing = |within_s: f64| (1.0 + all_per_s * within_s).min(f64::from(entries.max(1)));
        let service = self.service(&request.service);
        let engine = service.and_then(|service| service.engine);
        EngineView {
            history,
            own: self.own_work(),
            mean_interval,
            mean_pending: f64::from(pending) / f64::from(reporting.max(1)),
            sharing: sharing(SHARED_REPORT_S),
            announced_sharing: sharing(ANNOUNCEMENT_S),
            seed: history.seed,
            event_tokens: engine.map_or(TokenCount::new(1), |engine| engine.event_tokens),
        }
    }

    fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.catalog.as_ref()?.service(name)
    }

    /// This entry's requests by engine, from one pass over all of them.
    fn own_work(&self) -> HashMap<&EndpointId, OwnWork> {
        let mut works: HashMap<&EndpointId, OwnWork> = HashMap::new();
        for request in self.in_flight.values() {
            let work = works.entry(&request.endpoint).or_default();
            if !request.prefilled {
                work.pending += 1;
                work.pending_tokens = work.pending_tokens.saturating_add(request.prompt.get());
            }
            let report = self
                .endpoints
                .get(&request.endpoint)
                .and_then(|endpoint| endpoint.report.as_ref());
            if report.is_some_and(|(at, _)| request.placed_at > *at) {
                work.tokens_since = work.tokens_since.saturating_add(request.prompt.get());
            }
            let reported_at = report.map_or(Time::ZERO, |(at, _)| *at);
            let is_announced = request.announced_at.is_some_and(|at| at <= reported_at);
            if !request.prefilled && !is_announced {
                work.unannounced += 1;
                work.unannounced_tokens =
                    work.unannounced_tokens.saturating_add(request.prompt.get());
            }
        }
        works
    }
}

impl EngineView<'_> {
    /// Estimates when an engine produces a request's first event, from its latest report and from
    /// the requests placed there since.
    pub(crate) fn first_event(
        &self,
        now: Time,
        id: &EndpointId,
        endpoint: &Endpoint,
        size: &GenerationSize,
    ) -> FirstEvent {
        let own = self.own.get(id).copied().unwrap_or_default();
        let report = measurements(now, endpoint);
        let is_announced = own.unannounced < own.pending
            || report.is_some_and(|(_, report)| report.announced_runs > 0);
        let ahead = match report {
            Some((_, report)) if is_announced => self.announced_ahead(report, own),
            _ => self.estimated_ahead(report, own),
        };
        let prompt = f64::from(size.prompt_tokens.get());
        let interval = report.and_then(|(_, report)| report.token_interval);
        let work = PrefillWork {
            tokens: to_tokens(ahead + prompt),
            event_tokens: self.event_tokens,
            token_interval: interval.unwrap_or(self.mean_interval),
            prefilling: report.is_some_and(|(_, report)| report.prefilling > 0),
        };
        let expected = self.history.prefill.first_event(&work);
        let since = f64::from(own.tokens_since);
        let chance = report.map_or(0.0, |(at, _)| unit(id, self.seed ^ at.as_us()));
        let fits = report.is_none_or(|(_, report)| {
            let queued = f64::from(report.waiting) * self.mean_prompt(report) + since;
            let used = f64::from(report.memory_used.get()) + queued + prompt;
            used <= f64::from(report.memory_total.get()) * MEMORY_FILL_MAX
        });
        FirstEvent {
            work,
            expected,
            tokens: ahead + prompt,
            ahead: ahead - since,
            own: since + prompt * chance,
            sharing: if is_announced {
                self.announced_sharing
            } else {
                self.sharing
            },
            fits,
        }
    }

    /// Prompt tokens ahead of a new request at an engine whose runs are announced. Those of
    /// entries that announce nothing are estimated by their number.
    fn announced_ahead(&self, report: &EngineReport, own: OwnWork) -> f64 {
        let known = report.announced_runs.saturating_add(own.unannounced);
        let unknown = unprefilled(report).saturating_sub(known);
        f64::from(report.announced_prompt.get())
            + f64::from(own.unannounced_tokens)
            + f64::from(unknown) * self.history.mean_prompt
    }

    /// Prompt tokens ahead of a new request at an engine, estimated from the number of its
    /// prompts.
    fn estimated_ahead(&self, report: Option<(Time, &EngineReport)>, own: OwnWork) -> f64 {
        let pending = report.map_or(self.mean_pending, |(_, report)| {
            // The first of them is half done on average.
            (f64::from(unprefilled(report)) - 0.5).max(0.0)
        });
        let others = (pending - f64::from(own.pending)).max(0.0);
        let mean_prompt = report.map_or(self.history.mean_prompt, |(_, report)| {
            self.mean_prompt(report)
        });
        f64::from(own.pending_tokens) + others * mean_prompt
    }

    /// Mean size of the prompts that wait at an engine.
    fn mean_prompt(&self, report: &EngineReport) -> f64 {
        report.next_prompt.map_or(self.history.mean_prompt, |next| {
            f64::midpoint(f64::from(next.get()), self.history.mean_prompt)
        })
    }

    /// What a request costs the others at an engine: the time that they wait for its prefill, and
    /// the memory that it holds for longer if the engine is slow.
    pub(crate) fn cost(
        &self,
        first: &FirstEvent,
        endpoint: &Endpoint,
        size: &GenerationSize,
    ) -> f64 {
        let wait_s = to_f64(first.expected) / 1e6;
        let slowness = to_f64(first.work.token_interval) / to_f64(self.mean_interval).max(1.0);
        let memory = endpoint.report.as_ref().map_or(1, |(_, report)| {
            report.memory_total.get().max(size.prompt_tokens.get())
        });
        let tokens = f64::from((size.prompt_tokens + size.expected_output_tokens).get());
        let held = tokens / f64::from(memory.max(1)) * (slowness - 1.0);
        wait_s * FIRST_EVENT_WEIGHT + held.clamp(-1.0, 1.0)
    }

    /// The time to the first event at an engine of the usual speed without other prompts.
    pub(crate) fn shortest(&self, size: &GenerationSize) -> Span {
        self.history.prefill.first_event(&PrefillWork {
            tokens: size.prompt_tokens,
            event_tokens: self.event_tokens,
            token_interval: self.mean_interval,
            prefilling: false,
        })
    }
}

/// An engine's report, if its measurements are recent.
fn measurements(now: Time, endpoint: &Endpoint) -> Option<(Time, &EngineReport)> {
    let (at, report) = endpoint.report.as_ref()?;
    (!(*at + MEASUREMENT_TTL).has_passed(now)).then_some((*at, report))
}

/// Number of an engine's prompts that are not prefilled.
const fn unprefilled(report: &EngineReport) -> u32 {
    report.prefilling.saturating_add(report.waiting)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_tokens(tokens: f64) -> TokenCount {
    TokenCount::new(tokens as u32)
}

#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_f64(span: Span) -> f64 {
    span.as_us() as f64
}
