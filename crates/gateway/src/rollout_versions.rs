//! The versions of one service that get requests.

use std::collections::BTreeSet;
use std::sync::Arc;

use lentil_core::{ServiceName, Time};
use lentil_fleet::{EndpointRange, VersionRules};
use lentil_rollout::{Stage, State, Version, VersionGate};

use crate::rollout::VersionStates;
use crate::rollout_order::OrderState;

/// The versions of one service, and its newest order.
#[derive(Debug, Default)]
pub(crate) struct ServiceVersions {
    gate: VersionGate,
    /// The versions that get requests while no order is open; `None` before any endpoint
    /// is known.
    pub(crate) rules: Option<Arc<VersionRules>>,
    pub(crate) order: Option<OrderState>,
    /// Targets of earlier orders that were rolled back.
    pub(crate) rolled_back: BTreeSet<Version>,
    /// Versions without requests, or at most those of an open order, as last logged.
    withheld: Vec<String>,
}

impl ServiceVersions {
    /// Prepares for a newer order. The target of one that was not promoted has proven nothing.
    pub(crate) fn supersede(&mut self) {
        let Some(order) = self.order.take().filter(|order| !order.is_closed) else {
            return;
        };
        if order.stage < Stage::Promoting {
            self.gate.withhold(&order.order().target);
        } else if order.stage == Stage::RolledBack {
            self.rolled_back.insert(order.order().target.clone());
        }
    }

    /// The versions that were rolled back, by earlier orders or the open one.
    pub(crate) fn rolled_back(&self) -> BTreeSet<Version> {
        let mut versions = self.rolled_back.clone();
        let order = self.order.as_ref();
        let order = order.filter(|order| order.stage == Stage::RolledBack);
        versions.extend(order.map(|order| order.order().target.clone()));
        versions
    }

    pub(crate) fn refresh(&mut self, now: Time, name: &ServiceName, versions: &VersionStates) {
        let known = versions
            .iter()
            .filter_map(|(version, state)| Some((version.clone()?, state.known)));
        self.gate.observe(now, &known.collect());
        let rules = self.gate_rules(now, versions);
        let withheld = versions
            .keys()
            .flatten()
            .filter(|version| !rules.endpoints.contains_key(*version));
        let withheld: Vec<_> = withheld.map(ToString::to_string).collect();
        if withheld != self.withheld {
            log::info!(service:% = name, withheld = withheld.join(",").as_str(); "versions that get requests changed");
            self.withheld = withheld;
        }
        self.rules = Some(Arc::new(rules));
    }

    /// The versions that get requests, apart from the target of an open order.
    fn gate_rules(&self, now: Time, versions: &VersionStates) -> VersionRules {
        let open = self.order.as_ref().filter(|order| !order.is_closed);
        let target = open.map(|order| &order.order().target);
        let admitted = versions
            .keys()
            .flatten()
            .filter(|version| Some(*version) != target && self.gate.is_admitted(now, version));
        VersionRules {
            endpoints: admitted
                .map(|version| (version.clone(), EndpointRange::ALL))
                .collect(),
            includes_unversioned: true,
        }
    }

    /// Closes the order if its recorded state never changes again.
    pub(crate) fn close_if_terminal(&mut self, now: Time) {
        let Some(order) = self.order.as_mut().filter(|order| !order.is_closed) else {
            return;
        };
        let id = order.order().id;
        let status = order.status.as_ref().filter(|status| status.order == id);
        let Some(status) = status.filter(|status| status.state.is_terminal()) else {
            return;
        };
        let target = order.order().target.clone();
        log::info!(service:% = order.order().service, target:% = target, order:% = id, state:% = status.state; "the roll-out has ended");
        order.is_closed = true;
        order.stage = status.stage;
        if status.state == State::RolledBack {
            self.gate.withhold(&target);
            self.rolled_back.insert(target);
            return;
        }
        // The old endpoints stop as soon as this state is recorded.
        let old = self
            .rules
            .as_ref()
            .map(|rules| rules.endpoints.keys().cloned());
        for version in old.into_iter().flatten() {
            self.gate.withhold(&version);
        }
        self.gate.admit(now, &target);
    }
}
