//! The latency and the sustained concurrency of one endpoint of a plain service.

use lentil_core::{Span, Time};

use crate::ConcurrencyLimit;

/// Concurrencies with a mean latency each; the last one stands for all above.
const LEVELS: usize = 32;
/// Weight of the latest answer in the mean latency of its concurrency. Work differs by four
/// times between requests, and an endpoint that changes has to be seen within a few answers.
const LATEST_WEIGHT: f64 = 0.3;
/// Answers that weigh as much as what is assumed about a concurrency without any.
const ASSUMED_ANSWERS: f64 = 0.5;
/// Answers that count at most, so that a mean follows a change.
const ANSWERS_MAX: f64 = 8.0;
/// Latency relative to the unloaded one up to which a concurrency counts as sustained.
const SUSTAINED_RATIO: f64 = 2.0;
/// Requests beyond its slots that an endpoint may hold, as a multiple of the slots. Loads are
/// known late, and an endpoint without a queue would stand idle meanwhile.
const HELD_PER_SLOT: u32 = 2;
/// How long a stated pace is valid.
const PACE_TTL: Span = Span::from_ms(600);
/// Smallest and largest pace that counts; a false one must not change an estimate by orders of
/// magnitude.
const PACE_MIN: f64 = 0.25;
const PACE_MAX: f64 = 8.0;
/// Slots of an endpoint that has not stated them.
const DEFAULT_SLOTS: u32 = 6;
/// Latency that is assumed before any answer of the service.
const DEFAULT_LATENCY_US: f64 = 40_000.0;
/// Time without an answer after which an endpoint is tried again.
const PROBE_INTERVAL: Span = Span::from_ms(2_000);
/// Senders that may try an endpoint again in one such interval. At 133 requests a second, four
/// tries a second are 3% of all requests.
const SENDERS_PER_PROBE: u32 = 8;

#[derive(Debug, Clone, Copy, Default)]
struct Level {
    mean_us: f64,
    answers: f64,
}

/// What is known of one endpoint: how its latency grows with its concurrency, from its answers.
///
/// Latencies are kept as they would be at the usual pace.
#[derive(Debug, Clone)]
pub struct EndpointCapacity {
    levels: [Level; LEVELS],
    /// Mean latency of the latest answers at any concurrency.
    recent_us: Option<f64>,
    usual_us: f64,
    slots: u32,
    /// When the pace was stated last, that pace, and the mean of those stated.
    pace: Option<(Time, f64, f64)>,
    /// When an answer or a probe last ended or began.
    known_at: Time,
    probe_interval: Span,
    /// Whether a request was sent since the knowledge became outdated.
    probing: bool,
    limit: ConcurrencyLimit,
    /// The limit as last returned by [`Self::changed_limit`].
    noted_limit: Option<u32>,
}

impl Default for EndpointCapacity {
    fn default() -> Self {
        Self {
            levels: [Level::default(); LEVELS],
            recent_us: None,
            usual_us: DEFAULT_LATENCY_US,
            slots: DEFAULT_SLOTS,
            pace: None,
            known_at: Time::ZERO,
            probe_interval: PROBE_INTERVAL,
            probing: false,
            limit: ConcurrencyLimit::open(1, DEFAULT_SLOTS * HELD_PER_SLOT),
            noted_limit: None,
        }
    }
}

impl EndpointCapacity {
    /// Records the load that the endpoint states.
    pub fn record_load(&mut self, now: Time, slots: u32, pace_percent: Option<u32>) {
        let slots = slots.max(1);
        if slots != self.slots {
            self.slots = slots;
            self.limit = ConcurrencyLimit::open(1, slots.saturating_mul(HELD_PER_SLOT));
        }
        if let Some(percent) = pace_percent {
            let pace = (f64::from(percent) / 100.0).clamp(PACE_MIN, PACE_MAX);
            let mean = self
                .pace
                .map_or(pace, |(_, _, mean)| mean + LATEST_WEIGHT * (pace - mean));
            self.pace = Some((now, pace, mean));
        }
    }

    /// Sets the usual unloaded latency of the service, and the number of senders that try an
    /// endpoint again. Each does so less often, so that together they send few requests to an
    /// endpoint that may be slow.
    pub fn set_service(&mut self, usual: Span, senders: u32) {
        self.usual_us = to_f64(usual);
        self.probe_interval = PROBE_INTERVAL.times(u64::from(senders / SENDERS_PER_PROBE).max(1));
    }

    /// Records a successful answer, with `concurrency` requests at the endpoint including it. A
    /// failure says nothing about the latency and is not recorded.
    pub fn record_answer(&mut self, now: Time, latency: Span, concurrency: u32) {
        let us = to_f64(latency) / self.pace_at(now);
        self.known_at = now;
        if std::mem::take(&mut self.probing) {
            // The endpoint may have changed while it had no requests.
            self.recent_us = None;
            for level in &mut self.levels {
                level.answers = level.answers.min(ASSUMED_ANSWERS);
            }
        }
        let recent = self.recent_us.get_or_insert(us);
        *recent += LATEST_WEIGHT * (us - *recent);
        if let Some(level) = self.levels.get_mut(level_index(concurrency)) {
            level.answers = (level.answers + 1.0).min(ANSWERS_MAX);
            let weight = LATEST_WEIGHT.max(1.0 / level.answers);
            level.mean_us += weight * (us - level.mean_us);
            // Single requests differ by more than the ratio that counts as slow.
            let smoothed = to_span(level.mean_us);
            self.limit.answered(smoothed, concurrency);
        }
    }

    /// Records a request that the endpoint rejected for lack of capacity.
    pub fn record_overload(&mut self) {
        self.limit.overloaded();
    }

    /// Records that a request was sent.
    pub fn record_send(&mut self, now: Time) {
        if self.is_outdated(now) {
            self.known_at = now;
            self.probing = true;
        }
    }

    /// The expected latency of a request that finds `ahead` others at the endpoint.
    #[must_use]
    pub fn expected_latency(&self, now: Time, ahead: u32) -> Span {
        let us = self.latency_us(now, ahead.saturating_add(1));
        to_span(us * self.pace_at(now))
    }

    /// The expected latency of a request where the load is not known: that of the latest answers.
    #[must_use]
    pub fn recent_latency(&self, now: Time) -> Span {
        let recent = self.recent_us.filter(|_| !self.is_outdated(now));
        to_span(recent.unwrap_or(self.usual_us) * self.pace_at(now))
    }

    /// The unloaded latency at the usual pace, if it was observed.
    #[must_use]
    pub fn unloaded(&self) -> Option<Span> {
        let mut levels = self.levels.iter().take(usize::try_from(self.slots).ok()?);
        let level = levels.find(|level| level.answers > 0.0)?;
        Some(to_span(level.mean_us))
    }

    /// The concurrency that the endpoint sustains.
    #[must_use]
    pub fn limit(&self, now: Time) -> u32 {
        let unloaded = self.latency_us(now, 1);
        let max = self.slots.saturating_mul(HELD_PER_SLOT);
        let sustained = (1..=max)
            .take_while(|concurrency| {
                self.latency_us(now, *concurrency) <= unloaded * SUSTAINED_RATIO
            })
            .last();
        sustained.unwrap_or(1).min(self.limit.available(0)).max(1)
    }

    /// The limit, if it has changed by more than a third since it was last returned.
    pub fn changed_limit(&mut self, now: Time) -> Option<u32> {
        self.recent_us?;
        let limit = self.limit(now);
        let known = self.noted_limit.unwrap_or(limit);
        let changed = known.abs_diff(limit) * 3 > known;
        if changed || self.noted_limit.is_none() {
            self.noted_limit = Some(limit);
        }
        changed.then_some(limit)
    }

    /// The latency at a concurrency: what was observed, or that at the next lower one, which
    /// grows beyond the slots.
    fn latency_us(&self, now: Time, concurrency: u32) -> f64 {
        let outdated = self.is_outdated(now);
        let mut us = self.usual_us;
        for (number, level) in (1..=concurrency).zip(&self.levels) {
            if number > self.slots {
                us *= f64::from(number) / f64::from(number - 1);
            }
            if !outdated {
                let known = level.answers * level.mean_us + ASSUMED_ANSWERS * us;
                us = known / (level.answers + ASSUMED_ANSWERS);
            }
        }
        us
    }

    fn is_outdated(&self, now: Time) -> bool {
        (self.known_at + self.probe_interval).has_passed(now)
    }

    fn pace_at(&self, now: Time) -> f64 {
        // A host that is always slow is not at its usual pace where it has not just stated it.
        self.pace.map_or(1.0, |(at, latest, mean)| {
            if (at + PACE_TTL).has_passed(now) {
                mean
            } else {
                latest
            }
        })
    }
}

fn level_index(concurrency: u32) -> usize {
    let index = usize::try_from(concurrency.max(1)).unwrap_or(LEVELS) - 1;
    index.min(LEVELS - 1)
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(span: Span) -> f64 {
    span.as_us() as f64
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn to_span(us: f64) -> Span {
    Span::from_us(us as u64)
}
