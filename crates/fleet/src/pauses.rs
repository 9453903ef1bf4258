//! The risk that an engine is too slow for a stream's longest allowed pause.
//!
//! It is designed for engines of one service that differ in speed and share their hosts with
//! others. A long generation at a slow engine meets a slow phase of the host while another
//! prompt is prefilled, and one pause that is too long makes the whole answer late. Short ones
//! rarely do, so they can use the slow engines.

use lentil_core::{EndpointId, Span, Time};

use crate::Fleet;
use crate::endpoint::{Endpoint, PacePercent};
use crate::placement::PlacementRequest;

/// Relative increase of the usual token interval with each report that is slower, so that it
/// follows a lasting change within seconds, and not a slow phase of the host.
const USUAL_INTERVAL_DRIFT: f64 = 0.015;
/// Time of a decoding step with a chunk of a prompt relative to one without: a chunk takes
/// about as long as the step itself.
const PREFILL_STEP_RATIO: f64 = 2.0;
/// Part of the longest allowed pause from which on pauses count as a risk, as the interval is
/// known to about a tenth.
const RISK_FROM: f64 = 0.9;
/// Part of the longest allowed pause from which on a pause is taken as certain.
const RISK_FULL: f64 = 1.3;
/// Output tokens of a generation that lasts through several slow phases of a host.
const LONG_OUTPUT_TOKENS: f64 = 160.0;
/// Score of a certain pause, relative to a full memory.
const RISK_WEIGHT: f64 = 0.6;
/// How long the slowest stated pace of a service is expected to come again.
const SLOW_PACE_TTL: Span = Span::from_ms(30_000);

/// An engine's time per output token outside slow phases of its host.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct UsualInterval(Option<f64>);

impl UsualInterval {
    /// Records a measured interval.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn record(&mut self, interval: Span) {
        let latest = interval.as_us() as f64;
        let known = self.0.unwrap_or(latest);
        self.0 = Some(latest.min(known * (1.0 + USUAL_INTERVAL_DRIFT)));
    }

    /// The interval in microseconds, if any was measured.
    pub(crate) const fn as_us(self) -> Option<f64> {
        self.0
    }
}

/// The slowest pace that endpoints of a service have stated recently.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlowestPace {
    pace: PacePercent,
    expires_at: Time,
}

impl SlowestPace {
    pub(crate) fn record(known: &mut Option<Self>, now: Time, pace: PacePercent) {
        let is_slower =
            known.is_none_or(|known| known.pace <= pace || known.expires_at.has_passed(now));
        if is_slower {
            *known = Some(Self {
                pace,
                expires_at: now + SLOW_PACE_TTL,
            });
        }
    }

    /// The pace relative to the usual one, and at least 1.
    fn factor(known: Option<Self>, now: Time) -> f64 {
        let known = known.filter(|known| !known.expires_at.has_passed(now));
        known
            .map_or(1.0, |known| f64::from(known.pace.get()) / 100.0)
            .max(1.0)
    }
}

impl Fleet {
    /// The score of the risk that a generation pauses too long at an engine; 0 for services
    /// that are not scheduled adaptively.
    pub(crate) fn pause_cost(&self, now: Time, id: &EndpointId, request: &PlacementRequest) -> f64 {
        let (Some(gap_target), Some(size)) = (request.gap_target, request.generation) else {
            return 0.0;
        };
        if !self.is_adaptive(&request.service) {
            return 0.0;
        }
        let usual = self.endpoints.get(id).map(Endpoint::usual_interval);
        let Some(interval_us) = usual.and_then(UsualInterval::as_us) else {
            return 0.0;
        };
        let catalog = self.catalog.as_ref();
        let service = catalog.and_then(|catalog| catalog.service(&request.service));
        let engine = service.and_then(|service| service.engine);
        let event_tokens = engine.map_or(1, |engine| engine.event_tokens.get());
        let slowest = self.slowest_paces.get(&request.service).copied();
        let pause_us = f64::from(event_tokens)
            * interval_us
            * PREFILL_STEP_RATIO
            * SlowestPace::factor(slowest, now);
        let filled = pause_us / to_f64(gap_target).max(1.0);
        let risk = ((filled - RISK_FROM) / (RISK_FULL - RISK_FROM)).clamp(0.0, 1.0);
        let length = f64::from(size.expected_output_tokens.get()) / LONG_OUTPUT_TOKENS;
        risk * length.min(1.0) * RISK_WEIGHT
    }
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(span: Span) -> f64 {
    span.as_us() as f64
}
