//! Counters of how requests fare at the versions of a service during a roll-out.

use std::collections::BTreeMap;

use lentil_core::{ServiceName, Span, Time, ZoneId};
use lentil_fleet::PlacementId;
use lentil_rollout::{Evidence, EvidenceKey, Side, Version};

/// Longest pause between two events of a stream that callers accept.
pub(crate) const PAUSE_MAX: Span = Span::from_ms(180);

/// A request that runs at an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct ActiveRequest {
    pub(crate) service: ServiceName,
    pub(crate) route: String,
    pub(crate) zone: ZoneId,
    pub(crate) version: Option<Version>,
    pub(crate) sent_at: Time,
    /// When the caller must have the complete answer.
    pub(crate) deadline: Time,
    /// Whether its answer counts. Those of requests that are suspected of crashing endpoints
    /// do not.
    pub(crate) counts: bool,
    /// Whether its answer or its first event has been counted.
    pub(crate) answered: bool,
    /// Whether it is known how the request ended.
    pub(crate) settled: bool,
    /// Whether a pause of its answer has been counted.
    pub(crate) stalled: bool,
}

impl ActiveRequest {
    pub(crate) fn key(&self, target: &Version) -> EvidenceKey {
        let is_target = self.version.as_ref() == Some(target);
        EvidenceKey {
            route: self.route.clone(),
            zone: self.zone.clone(),
            side: if is_target { Side::Target } else { Side::Old },
        }
    }

    /// Counts an answer, or the first event of a stream, once.
    pub(crate) fn record_answer(
        &mut self,
        evidence: &mut Evidence,
        key: &EvidenceKey,
        latency: Span,
        ok: bool,
    ) {
        if self.counts && !std::mem::replace(&mut self.answered, true) {
            evidence.record_answer(key, latency, ok);
        }
        self.settled |= !ok;
    }

    /// Counts a failure, once, whether or not the answer had begun.
    pub(crate) fn record_failure(&mut self, evidence: &mut Evidence, key: &EvidenceKey, now: Time) {
        if std::mem::replace(&mut self.settled, true) || !self.counts {
            return;
        }
        if std::mem::replace(&mut self.answered, true) {
            evidence.record_late_failure(key);
        } else {
            evidence.record_answer(key, now.since(self.sent_at), false);
        }
    }

    /// Counts an answer that a pause made late, once.
    pub(crate) fn record_pause(&mut self, evidence: &mut Evidence, key: &EvidenceKey, pause: Span) {
        let is_late = pause > PAUSE_MAX && self.counts;
        if is_late && !std::mem::replace(&mut self.stalled, true) {
            evidence.record_stall(key);
        }
    }
}

/// The requests of this gateway that run, by their placement.
pub(crate) type ActiveRequests = BTreeMap<PlacementId, ActiveRequest>;
