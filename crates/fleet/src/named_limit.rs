//! The rate of requests that an endpoint in need accepts from all entries together.

use lentil_core::{RequestRate, Span, Time};

/// Lowest rate at which requests are sent, whatever the limit. An answer is the only sign
/// that a limit has been withdrawn.
const RATE_MIN_PER_S: f64 = 0.1;
/// Fraction of the limit that is used. Entries don't know when the others send, and may
/// for a while not know of all of them.
const LIMIT_FRACTION: f64 = 0.8;
const US_PER_S: f64 = 1e6;

/// A limit that an endpoint named with an answer.
///
/// It applies to all entries together, and they can't agree on every request, so that each
/// of them sends at its share of the rate, evenly and at a phase of its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct NamedLimit {
    pub(crate) rate: RequestRate,
    /// When an answer last named it.
    named_at: Time,
    /// When this entry may send the next request.
    pub(crate) next_at: Time,
}

/// A change of the limit that an endpoint names.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitChange {
    /// The endpoint names this limit.
    Named(RequestRate),
    /// The endpoint no longer names a limit.
    Withdrawn,
}

/// What an answer says about its endpoint's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitNotice {
    /// When the request was sent.
    pub sent_at: Time,
    /// The limit that the answer names, if any.
    pub rate: Option<RequestRate>,
    /// A random number, so that entries that learn of a limit together don't send together.
    pub phase_seed: u64,
}

/// What this entry may send to a service of which every endpoint names a limit or wants
/// no requests for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitedCapacity {
    /// When the next request may be sent.
    pub next_at: Time,
    /// Mean time between further requests; zero if nothing is known about them.
    pub interval: Span,
}

impl NamedLimit {
    /// Applies a notice to the limit known so far, which `entries` entries share.
    pub(crate) fn apply(
        known: &mut Option<Self>,
        now: Time,
        notice: LimitNotice,
        entries: u32,
    ) -> Option<LimitChange> {
        match (known.as_mut(), notice.rate) {
            (None, None) => None,
            (None, Some(rate)) => {
                *known = Some(Self {
                    rate,
                    named_at: now,
                    next_at: now + fraction(send_interval(rate, entries), notice.phase_seed),
                });
                Some(LimitChange::Named(rate))
            }
            (Some(limit), Some(rate)) => {
                limit.named_at = now;
                let before = std::mem::replace(&mut limit.rate, rate);
                if rate > before {
                    let phase = fraction(send_interval(rate, entries), notice.phase_seed);
                    limit.next_at = limit.next_at.min(now + phase);
                }
                (before != rate).then_some(LimitChange::Named(rate))
            }
            // The answer may have been written before the limit was named.
            (Some(limit), None) if notice.sent_at < limit.named_at => None,
            (Some(_), None) => {
                *known = None;
                Some(LimitChange::Withdrawn)
            }
        }
    }

    /// Records a request of this entry.
    pub(crate) fn record_send(&mut self, now: Time, entries: u32) {
        self.next_at = now + send_interval(self.rate, entries);
    }
}

/// The time between two requests of one of `entries` entries.
pub(crate) fn send_interval(rate: RequestRate, entries: u32) -> Span {
    let used_per_s = (rate.per_s() * LIMIT_FRACTION).max(RATE_MIN_PER_S);
    let share_per_s = used_per_s / f64::from(entries.max(1));
    span_of_s(1.0 / share_per_s)
}

/// The mean time between requests at several endpoints; zero for an endpoint without a
/// limit.
pub(crate) fn combined_interval(intervals: impl Iterator<Item = Span>) -> Span {
    let rate_per_us: f64 = intervals
        .map(|interval| 1.0 / to_f64(interval.as_us().max(1)))
        .sum();
    span_of_s(1.0 / rate_per_us / US_PER_S)
}

/// A random part of a span.
pub(crate) fn fraction(span: Span, seed: u64) -> Span {
    // The finalizer of MurmurHash3, as seeds may differ in a few bits only.
    let mixed = (seed ^ (seed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    Span::from_us(span.as_us() / 1_024 * (mixed >> 54))
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn span_of_s(s: f64) -> Span {
    Span::from_us((s * US_PER_S) as u64)
}

#[allow(clippy::cast_precision_loss)]
fn to_f64(number: u64) -> f64 {
    number as f64
}
