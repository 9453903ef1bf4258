//! The rate of requests that an endpoint in need accepts from all entries together.

use lentil_core::{RequestRate, Time};

/// A limit that an endpoint named with an answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct NamedLimit {
    pub(crate) rate: RequestRate,
    /// When an answer last named it.
    pub(crate) named_at: Time,
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
}

impl NamedLimit {
    /// Applies a notice to the limit known so far.
    pub(crate) fn apply(
        known: &mut Option<Self>,
        now: Time,
        notice: LimitNotice,
    ) -> Option<LimitChange> {
        match (known.as_mut(), notice.rate) {
            (None, None) => None,
            (None, Some(rate)) => {
                *known = Some(Self {
                    rate,
                    named_at: now,
                });
                Some(LimitChange::Named(rate))
            }
            (Some(limit), Some(rate)) => {
                limit.named_at = now;
                let before = std::mem::replace(&mut limit.rate, rate);
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
}
