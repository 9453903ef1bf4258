//! Roll-outs of versions: the orders by service, and what was recorded about them.
//!
//! The decisions are those of [`lentil_rollout`]. This module supplies its observations
//! and applies its decisions to the placement of requests.

use std::cell::RefCell;
use std::collections::BTreeMap;

use lentil_core::{EndpointId, Offset, Permille, ServiceName, Span, Time};
use lentil_fleet::{
    AttemptResult, Fleet, Placement, PlacementId, PlacementRequest, VersionNeed, VersionState,
    ZonePreference,
};
use lentil_rollout::{
    Evidence, EvidenceKey, RecordedStatus, RolloutLimits, RolloutOrder, Stage, Version,
    write_jitter,
};

use crate::rollout_evidence::{ActiveRequest, ActiveRequests};
use crate::rollout_exchange::OrderEvidence;
use crate::rollout_order::OrderState;
use crate::rollout_versions::ServiceVersions;
use crate::store_feed::ReadOrder;

/// Interval at which the status is read from the store while an order is open.
const STATUS_READ_INTERVAL: Span = Span::from_ms(900);
/// Delay before a status that was not written is written again.
const REWRITE_DELAY: Span = Span::from_ms(300);

/// Limits of roll-outs that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// Share of a service's requests that a bad version may get, over all gateways.
    pub exposure_share: f64,
    /// Requests that it may get in excess of the share, over all gateways.
    pub exposure_slack: u32,
    /// Time after the 50th bad answer after which no request goes to a bad version.
    pub rollback: Span,
}

/// The versions of one service with their endpoints.
pub(crate) type VersionStates = BTreeMap<Option<Version>, VersionState>;

/// The roll-outs of all services.
#[derive(Debug)]
pub(crate) struct Rollouts {
    name: String,
    bounds: Option<RolloutBounds>,
    table: RefCell<Table>,
}

#[derive(Debug, Default)]
struct Table {
    services: BTreeMap<ServiceName, ServiceVersions>,
    active: ActiveRequests,
}

/// What the metrics show of an order.
#[derive(Debug, Clone)]
pub(crate) struct RolloutProgress {
    pub(crate) service: ServiceName,
    pub(crate) stage: Stage,
    pub(crate) target_share: Permille,
    pub(crate) evidence_age: Option<Span>,
}

/// A status to read and, if it is due, to write.
#[derive(Debug, Clone)]
pub(crate) struct StatusSync {
    pub(crate) order: RolloutOrder,
    pub(crate) write: Option<RecordedStatus>,
}

impl Rollouts {
    pub(crate) fn new(name: String, bounds: Option<RolloutBounds>) -> Self {
        Self {
            name,
            bounds,
            table: RefCell::default(),
        }
    }

    pub(crate) const fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Takes over an order. `run_max` is the longest time that a request of the service runs.
    pub(crate) fn apply_order(&self, now: Time, read: ReadOrder, run_max: Span) {
        let ReadOrder { order, is_new } = read;
        let Some(bounds) = self.bounds else {
            log::info!(service:% = order.service, target:% = order.target, order:% = order.id; "an order to change a version is ignored, as the settings name no limits");
            return;
        };
        let mut table = self.table.borrow_mut();
        let Table { services, active } = &mut *table;
        let service = services.entry(order.service.clone()).or_default();
        if service
            .order
            .as_ref()
            .is_some_and(|known| known.rollout.order().id >= order.id)
        {
            return;
        }
        let ends_in_ms = order.ends_at.since(now).as_ms();
        log::info!(service:% = order.service, target:% = order.target, order:% = order.id, ends_in_ms = ends_in_ms, is_new = is_new; "an order to change a version is open");
        service.supersede();
        service.rolled_back.remove(&order.target);
        let limits = RolloutLimits {
            exposure_share: bounds.exposure_share,
            exposure_slack: bounds.exposure_slack,
            rollback: bounds.rollback,
            run_max,
        };
        let mut state = OrderState::new(order, limits, is_new);
        state.next_read_at = now + self.read_jitter(state.order().id);
        let target = &state.rollout.order().target;
        for request in active.values() {
            if request.service == state.rollout.order().service {
                state.own.record_sent(&request.key(target));
            }
        }
        service.order = Some(state);
    }

    /// A part of a second that differs between gateways, so that they don't read together.
    fn read_jitter(&self, order: Offset) -> Span {
        Span::from_us(write_jitter(&self.name, order).as_us() / 4)
    }

    /// Decides anew for all services, from the endpoints that are known.
    pub(crate) fn refresh(&self, now: Time, fleet: &mut Fleet, has_observers: bool) {
        if !self.is_enabled() {
            return;
        }
        let states = fleet.version_states(now);
        let mut table = self.table.borrow_mut();
        for service in states.keys() {
            table.services.entry(service.clone()).or_default();
        }
        let none = VersionStates::new();
        for (name, service) in &mut table.services {
            let versions = states.get(name).unwrap_or(&none);
            service.refresh(now, name, versions);
            let rules = service.rules.clone();
            if let Some(order) = service.order.as_mut().filter(|order| !order.is_closed) {
                order.decide(now, versions, has_observers, &self.name);
                order.split.at_old = order.split.at_old.take().and(rules);
            }
            fleet.set_rolled_back(name, service.rolled_back());
        }
    }

    /// Places a request at an endpoint of the version that is chosen for it.
    pub(crate) fn place(
        &self,
        now: Time,
        fleet: &mut Fleet,
        need: &PlacementRequest,
        tried: &[EndpointId],
    ) -> Placement {
        if let VersionNeed::Only(version) = &need.version {
            return self.place_continued(now, fleet, need, version.as_ref(), tried);
        }
        let mut table = self.table.borrow_mut();
        let Some(service) = table.services.get_mut(&need.service) else {
            return fleet.place(now, need, tried);
        };
        if let Some(order) = service.order.as_mut().filter(|order| !order.is_closed) {
            return order
                .split
                .place(now, fleet, &mut order.budget, need, tried);
        }
        fleet.set_version_rules(&need.service, service.rules.clone());
        fleet.place(now, need, tried)
    }

    /// Places a request whose stream goes on at the version that began it. Another run at the
    /// target of an open order is taken from the exposure budget, as it is one more request. A
    /// run that moves is counted only: it is lost if it is not placed.
    fn place_continued(
        &self,
        now: Time,
        fleet: &mut Fleet,
        need: &PlacementRequest,
        version: Option<&Version>,
        tried: &[EndpointId],
    ) -> Placement {
        let placement = fleet.place(now, need, tried);
        let Placement::Placed(place) = &placement else {
            return placement;
        };
        let mut table = self.table.borrow_mut();
        let order = open_order(&mut table.services, &need.service);
        let Some(order) = order.filter(|order| Some(&order.order().target) == version) else {
            return placement;
        };
        if matches!(need.zone_preference, ZonePreference::CopySource(_)) {
            order.budget.record_unbudgeted();
        } else if !order.split.withdraw(now, fleet, &mut order.budget) {
            fleet.finish(now, place.id, AttemptResult::Inconclusive);
            return Placement::NoCapacity;
        }
        placement
    }

    /// Counts a request that reached a service.
    pub(crate) fn record_arrival(&self, service: &ServiceName) {
        self.with_order(service, |order| order.budget.record_arrival());
    }

    /// Counts a request that is sent to an endpoint or, after a move, continues there.
    pub(crate) fn record_sent(&self, id: PlacementId, request: ActiveRequest) {
        if !self.is_enabled() {
            return;
        }
        let mut table = self.table.borrow_mut();
        let Table { services, active } = &mut *table;
        if active.contains_key(&id) {
            return;
        }
        if let Some(order) = open_order(services, &request.service) {
            let key = request.key(&order.rollout.order().target);
            order.own.record_sent(&key);
        }
        active.insert(id, request);
    }

    /// Counts what became of a request, if an order is open.
    pub(crate) fn record(
        &self,
        id: PlacementId,
        record: impl FnOnce(&mut ActiveRequest, &mut Evidence, &EvidenceKey),
    ) {
        let mut table = self.table.borrow_mut();
        let Table { services, active } = &mut *table;
        let Some(request) = active.get_mut(&id) else {
            return;
        };
        if let Some(order) = open_order(services, &request.service) {
            let key = request.key(&order.rollout.order().target);
            record(request, &mut order.own, &key);
        }
    }

    /// Leaves it open how a request ended until [`Self::record_lost`].
    pub(crate) fn settle_later(&self, id: PlacementId) -> Option<ActiveRequest> {
        let mut table = self.table.borrow_mut();
        let request = table.active.get_mut(&id)?;
        let unsettled = request.clone();
        request.settled = true;
        Some(unsettled)
    }

    /// Counts a request whose answer was lost.
    pub(crate) fn record_lost(&self, now: Time, mut request: ActiveRequest) {
        let mut table = self.table.borrow_mut();
        if let Some(order) = open_order(&mut table.services, &request.service) {
            let key = request.key(&order.order().target);
            request.record_failure(&mut order.own, &key, now);
        }
    }

    /// Counts a request that no longer runs. One without an answer at its deadline failed.
    pub(crate) fn record_end(&self, now: Time, id: PlacementId) {
        self.record(id, |request, own, key| {
            if request.deadline.has_passed(now) {
                request.record_failure(own, key, now);
            }
            own.record_end(key);
        });
        self.table.borrow_mut().active.remove(&id);
    }

    fn with_order(&self, service: &ServiceName, action: impl FnOnce(&mut OrderState)) {
        if let Some(order) = open_order(&mut self.table.borrow_mut().services, service) {
            action(order);
        }
    }

    /// What the metrics show of each order.
    pub(crate) fn progress(&self, now: Time) -> Vec<RolloutProgress> {
        let table = self.table.borrow();
        let orders = table
            .services
            .values()
            .filter_map(|service| service.order.as_ref());
        let progress = orders.map(|order| RolloutProgress {
            service: order.order().service.clone(),
            stage: order.stage,
            target_share: order.split.target_share,
            evidence_age: order.fleet_at.map(|at| now.since(at)),
        });
        progress.collect()
    }

    /// This gateway's counters for each open order.
    pub(crate) fn own_evidence(&self) -> Vec<OrderEvidence> {
        let table = self.table.borrow();
        let orders = table.services.values().filter_map(|service| {
            let order = service.order.as_ref()?;
            (!order.is_closed).then(|| OrderEvidence {
                service: order.order().service.clone(),
                order: order.order().id,
                evidence: order.own.clone(),
            })
        });
        orders.collect()
    }

    /// Merges the sums of all gateways, as one observer reported them.
    pub(crate) fn merge_fleet(&self, now: Time, sums: &OrderEvidence) {
        self.with_order(&sums.service, |order| {
            if order.order().id == sums.order {
                order.fleet.merge(&sums.evidence);
                order.fleet_at = Some(now);
            }
        });
    }

    /// The status records to read or to write now.
    pub(crate) fn due_syncs(&self, now: Time) -> Vec<StatusSync> {
        let mut table = self.table.borrow_mut();
        let orders = table
            .services
            .values_mut()
            .filter_map(|service| service.order.as_mut());
        let due = orders.filter_map(|order| {
            let due_write = order
                .pending
                .as_ref()
                .filter(|write| write.due_at.has_passed(now));
            let is_due = due_write.is_some() || order.next_read_at.has_passed(now);
            if order.is_closed || order.is_syncing || !is_due {
                return None;
            }
            let write = due_write.map(|write| write.status.clone());
            order.is_syncing = true;
            order.next_read_at = now + STATUS_READ_INTERVAL;
            Some(StatusSync {
                order: order.order().clone(),
                write,
            })
        });
        due.collect()
    }

    /// Notes that reading or writing the status has ended. `status` is the newest one if the
    /// store returned it, and `asked_at` when it was asked.
    pub(crate) fn finish_sync(
        &self,
        now: Time,
        sync: &StatusSync,
        asked_at: Time,
        status: Result<Option<RecordedStatus>, ()>,
    ) {
        let jitter = self.read_jitter(sync.order.id);
        let mut table = self.table.borrow_mut();
        let Some(service) = table.services.get_mut(&sync.order.service) else {
            return;
        };
        let Some(order) = service
            .order
            .as_mut()
            .filter(|order| order.order().id == sync.order.id)
        else {
            return;
        };
        order.is_syncing = false;
        order.next_read_at = now + STATUS_READ_INTERVAL + jitter;
        if sync.write.is_some()
            && let Some(pending) = &mut order.pending
        {
            pending.due_at = now + REWRITE_DELAY;
        }
        let Ok(status) = status else {
            return;
        };
        order.status_at = Some(asked_at);
        order.status = status;
        service.close_if_terminal(now);
    }
}

fn open_order<'a>(
    services: &'a mut BTreeMap<ServiceName, ServiceVersions>,
    service: &ServiceName,
) -> Option<&'a mut OrderState> {
    let order = services.get_mut(service)?.order.as_mut()?;
    (!order.is_closed).then_some(order)
}
