//! One order to change the version of a service, and how it stands.

use std::collections::BTreeMap;
use std::sync::Arc;

use lentil_core::{Span, Time};
use lentil_fleet::{EndpointRange, VersionRules};
use lentil_rollout::{
    Decision, Evidence, ExposureBudget, Observation, RecordedStatus, Rollout, RolloutLimits,
    RolloutOrder, Side, Stage, write_jitter,
};

use crate::rollout::VersionStates;
use crate::rollout_split::Split;

/// An order and what is known about it.
#[derive(Debug)]
pub(crate) struct OrderState {
    pub(crate) rollout: Rollout,
    pub(crate) budget: ExposureBudget,
    pub(crate) own: Evidence,
    pub(crate) fleet: Evidence,
    pub(crate) fleet_at: Option<Time>,
    pub(crate) status: Option<RecordedStatus>,
    pub(crate) status_at: Option<Time>,
    pub(crate) split: Split,
    pub(crate) stage: Stage,
    pub(crate) pending: Option<PendingWrite>,
    pub(crate) next_read_at: Time,
    /// Whether the status is being read or written.
    pub(crate) is_syncing: bool,
    pub(crate) is_closed: bool,
}

/// A status to write.
#[derive(Debug, Clone)]
pub(crate) struct PendingWrite {
    pub(crate) status: RecordedStatus,
    pub(crate) due_at: Time,
}

impl OrderState {
    pub(crate) fn new(order: RolloutOrder, limits: RolloutLimits, is_new: bool) -> Self {
        Self {
            budget: ExposureBudget::new(limits, order.ends_at, is_new),
            rollout: Rollout::new(order, limits),
            own: Evidence::new(),
            fleet: Evidence::new(),
            fleet_at: None,
            status: None,
            status_at: None,
            split: Split {
                at_old: Some(Arc::default()),
                ..Split::default()
            },
            stage: Stage::Waiting,
            pending: None,
            next_read_at: Time::ZERO,
            is_syncing: false,
            is_closed: false,
        }
    }

    pub(crate) const fn order(&self) -> &RolloutOrder {
        self.rollout.order()
    }

    pub(crate) fn decide(
        &mut self,
        now: Time,
        versions: &VersionStates,
        has_observers: bool,
        name: &str,
    ) {
        let target = self.order().target.clone();
        let at_target = versions
            .get(&Some(target.clone()))
            .copied()
            .unwrap_or_default();
        let old = versions
            .iter()
            .filter(|(version, _)| version.as_ref() != Some(&target));
        let (old_endpoints, old_busy) = old.fold((0, false), |(available, busy), (_, state)| {
            (available + state.available, busy || state.busy)
        });
        // Without observers there is no exchange, and each gateway decides on its own counters.
        let (fleet, fleet_age) = if has_observers {
            (&self.fleet, self.fleet_at.map(|at| now.since(at)))
        } else {
            (&self.own, Some(Span::ZERO))
        };
        let decision = self.rollout.observe(
            now,
            &Observation {
                own: &self.own,
                fleet,
                fleet_age,
                status: self.status.clone(),
                status_age: self.status_at.map(|at| now.since(at)),
                old_busy,
                target_endpoints: at_target.available,
                old_endpoints,
            },
        );
        let endpoints = Rollout::target_endpoint_limit(
            decision.target_share,
            at_target.available,
            old_endpoints,
        );
        self.apply(now, decision, endpoints, name);
    }

    fn apply(&mut self, now: Time, decision: Decision, target_endpoints: u32, name: &str) {
        if decision.stage != self.stage || decision.target_share != self.split.target_share {
            self.log_decision(now, &decision, target_endpoints);
        }
        let range = EndpointRange {
            first: decision.first_endpoint,
            count: target_endpoints,
        };
        self.stage = decision.stage;
        self.split = Split {
            target_share: decision.target_share,
            is_budgeted: decision.is_budgeted,
            at_target: Arc::new(VersionRules {
                endpoints: BTreeMap::from([(self.order().target.clone(), range)]),
                includes_unversioned: false,
            }),
            at_old: decision.may_place_at_old.then(Arc::default),
        };
        let due_at = now + write_jitter(name, self.order().id);
        self.pending = decision.write.map(|status| match self.pending.take() {
            Some(pending) if pending.status == status => pending,
            _ => PendingWrite { status, due_at },
        });
    }

    fn log_decision(&self, now: Time, decision: &Decision, target_endpoints: u32) {
        let (old, target) = (self.fleet.total(Side::Old), self.fleet.total(Side::Target));
        let own = self.own.total(Side::Target);
        let age_ms = |at: Option<Time>| at.map(|at| now.since(at).as_ms());
        log::info!(
            service:% = self.order().service,
            target:% = self.order().target,
            order:% = self.order().id,
            stage:% = decision.stage,
            share_permille = decision.target_share.get(),
            target_endpoints = target_endpoints,
            verdict:% = decision.verdict,
            own_sent = own.sent,
            own_failed = own.failed,
            fleet_answered = target.answered,
            fleet_failed = target.failed,
            old_answered = old.answered,
            old_failed = old.failed,
            evidence_age_ms:? = age_ms(self.fleet_at),
            status_age_ms:? = age_ms(self.status_at);
            "roll-out step"
        );
    }
}
