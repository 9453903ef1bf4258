//! The gateway's state, and how requests are placed on endpoints.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lentil_catalog::{Catalog, CurrentCatalog, ReplaceOutcome, Route, RouteKind};
use lentil_core::{
    EndpointId, NotRunProof, OrganisationId, Refusal, RefusalReason, ServiceName, Span, Time,
    TokenCount, ZoneId,
};
use lentil_fleet::{
    AttemptResult, Fleet, FleetChange, FleetConfig, PlacedRequest, Placement, PlacementRequest,
    RetryBudget, RetryBudgetConfig,
};
use lentil_shell::BootClock;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::adaptive::{PendingDeparture, SharedWaits};
use crate::announcements::ObserverClients;
use crate::attempt::Job;
use crate::backups::{Backup, BackupPlanners};
use crate::control::Update;
use crate::drain::{self, DrainTurn};
use crate::endpoints::EndpointClient;
use crate::link_lock::LinkLock;
use crate::metrics::GatewayMetrics;
use crate::origin_log::OriginLog;
use crate::origins::{self, StreamOrigins};
use crate::poison::{self, PoisonTracker};
use crate::read_ahead::ReadAhead;
use crate::readiness::Readiness;
use crate::response_buffers::ResponseBuffers;
use crate::rollout::{RolloutBounds, Rollouts};
use crate::rollout_exchange;
use crate::runs::Runs;
use crate::serve::DEFAULT_TIMEOUT;
use crate::status_log::StatusLog;
use crate::store_feed::{EndpointChange, ReadCatalog};
use crate::stream_holders;
use crate::wait_queue::{Wait, WaitQueue};

/// `retry-after` of a refusal when no endpoint can take the request now.
pub(crate) const RETRY_AFTER_REFUSAL: Span = Span::from_ms(700);
/// `retry-after` of a refusal when this gateway can't reach the store. It is
/// shorter because another gateway may still reach it.
pub(crate) const RETRY_AFTER_STORE_FAILURE: Span = Span::from_ms(200);
/// Share of the key revocation timeout, in percent, for which the active
/// configuration is trusted after the store confirmed it. The rest is left for
/// requests in flight.
const CONFIG_TRUST_PERCENT: u64 = 86;
/// The same while the store, which has come back from an older copy, can't confirm it.
const RESTORING_TRUST_PERCENT: u64 = 96;
/// Longest delay of a dispatch after a report. A report reaches all gateways at the same time,
/// and those that dispatch later know what the others have announced.
const REPORT_JITTER_MAX: Span = Span::from_ms(30);
/// Interval of the timer that applies time-based changes.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Limits that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayBounds {
    /// Time after which a revoked key is no longer accepted anywhere.
    pub revocation_timeout: Span,
    /// Longest wait for the link of an engine that would receive a copy. It can
    /// be short, as another engine's link is probably free.
    pub receiver_link_timeout: Span,
    /// Time without an event after which a stream that has begun counts as stalled.
    pub stream_stall_timeout: Span,
    /// Whether generations that may not run twice get a backup engine.
    pub backup_copies: bool,
    /// Whether callers and endpoints compete for memory. Streams are then read ahead of slow
    /// callers.
    pub memory_pressure: bool,
    /// Limits of the endpoint table.
    pub fleet: FleetConfig,
    /// Limits of the retry budget.
    pub budget: RetryBudgetConfig,
    /// Limits of roll-outs; without them, orders to change a version are ignored.
    pub rollouts: Option<RolloutBounds>,
}

impl GatewayBounds {
    /// How long the active configuration is trusted after the store confirmed it.
    #[must_use]
    pub const fn config_trust(&self) -> Span {
        Span::from_ms(self.revocation_timeout.as_ms() * CONFIG_TRUST_PERCENT / 100)
    }

    /// The same while the store can't confirm it after it has come back from an older copy.
    const fn restoring_config_trust(&self) -> Span {
        Span::from_ms(self.revocation_timeout.as_ms() * RESTORING_TRUST_PERCENT / 100)
    }
}

/// Options for [`Gateway::new`].
pub struct GatewayOptions {
    /// The gateway's name.
    pub name: String,
    /// The port on which observers listen.
    pub observer_port: u16,
    /// The gateway's availability zone.
    pub zone: ZoneId,
    /// Limits that the deployment sets.
    pub bounds: GatewayBounds,
    /// The clock for all deadlines.
    pub clock: BootClock,
    /// The client for requests to endpoints.
    pub endpoint_client: Rc<dyn EndpointClient>,
    /// The log with the status of roll-outs.
    pub status_log: Rc<dyn StatusLog>,
    /// The log with the versions that began streams.
    pub origin_log: Rc<dyn OriginLog>,
    /// The gateway's metrics.
    pub metrics: GatewayMetrics,
}

/// When a gateway that was told to stop ends its work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopPlan {
    /// When it stops accepting connections.
    pub closes_at: Time,
    /// When requests that are still running get their last answer.
    pub last_answers_at: Time,
}

/// The state of one gateway, owned by the thread that serves callers.
pub struct Gateway {
    name: String,
    observer_port: u16,
    pub(crate) bounds: GatewayBounds,
    clock: BootClock,
    pub(crate) endpoint_client: Rc<dyn EndpointClient>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) active_config: RefCell<CurrentCatalog>,
    pub(crate) fleet: Rc<RefCell<Fleet>>,
    wait_queue: RefCell<WaitQueue<Result<Permit, Refusal>>>,
    pub(crate) adaptive_waits: SharedWaits,
    /// When the next dispatch is due for services that are scheduled adaptively, if before
    /// the next change.
    dispatch_due: Cell<Option<Time>>,
    wake: Rc<Wake>,
    pub(crate) runs: Rc<Runs>,
    /// The drains of engines that leave.
    pub(crate) drains: RefCell<HashMap<EndpointId, Rc<DrainTurn>>>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    pub(crate) backup_planners: BackupPlanners,
    pub(crate) poison: PoisonTracker,
    pub(crate) rollouts: Rc<Rollouts>,
    pub(crate) status_log: Rc<dyn StatusLog>,
    pub(crate) origins: StreamOrigins,
    readiness: Cell<Readiness>,
    /// Engines whose observers all gateways follow.
    common_engines: RefCell<Vec<EndpointId>>,
    pub(crate) response_buffers: ResponseBuffers,
    pub(crate) observer_clients: ObserverClients,
    pub(crate) read_ahead: Rc<ReadAhead>,
    stop_plan: watch::Sender<Option<StopPlan>>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Gateway(..)")
    }
}

/// Capacity reserved at an endpoint. Dropping it releases the capacity.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) place: PlacedRequest,
    fleet: Rc<RefCell<Fleet>>,
    wake: Rc<Wake>,
    clock: BootClock,
    result: Cell<AttemptResult>,
    /// The backup engine of the run at this place.
    backup: RefCell<Option<Backup>>,
    pub(crate) departure: PendingDeparture,
    rollouts: Rc<Rollouts>,
}

/// Wakes the dispatch of waiting requests.
#[derive(Debug, Default)]
struct Wake {
    notify: Notify,
    /// Whether more than a report of an engine has changed since the last dispatch.
    changed: Cell<bool>,
}

impl Wake {
    fn notify_change(&self) {
        self.changed.set(true);
        self.notify.notify_one();
    }
}

impl Permit {
    /// Sets the result of the attempt, which counts towards the endpoint's health.
    /// Without it the attempt does not count.
    pub(crate) fn record_result(&self, result: AttemptResult) {
        self.result.set(result);
        self.departure.record_result(self.clock.now(), result);
    }

    /// Sets the backup engine of the run.
    pub(crate) fn set_backup(&self, backup: Option<Backup>) {
        self.backup.replace(backup);
    }

    /// The address of the backup engine.
    pub(crate) fn backup_address(&self) -> Option<SocketAddr> {
        let backup = self.backup.borrow();
        backup.as_ref().map(|backup| backup.address)
    }

    /// Takes the backup engine.
    pub(crate) fn take_backup(&self) -> Option<Backup> {
        self.backup.take()
    }

    /// Leaves out the latency of an answer that says nothing about the endpoint's speed.
    pub(crate) fn exclude_latency(&self) {
        self.fleet.borrow_mut().exclude_latency(self.place.id);
    }

    /// Sets the number of output tokens so far.
    pub(crate) fn record_progress(&self, generated_tokens: TokenCount) {
        let now = self.clock.now();
        let mut fleet = self.fleet.borrow_mut();
        fleet.record_first_event(now, self.place.id);
        fleet.record_progress(self.place.id, generated_tokens);
        drop(fleet);
        self.departure.record_first_event(now);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.rollouts.record_end(now, self.place.id);
        self.fleet
            .borrow_mut()
            .finish(now, self.place.id, self.result.get());
        self.wake.notify_change();
    }
}

impl Gateway {
    /// Creates a gateway without configuration or endpoints.
    #[must_use]
    pub fn new(options: GatewayOptions) -> Rc<Self> {
        Rc::new(Self {
            rollouts: Rc::new(Rollouts::new(options.name.clone(), options.bounds.rollouts)),
            status_log: options.status_log,
            origins: StreamOrigins::new(options.origin_log),
            name: options.name,
            observer_port: options.observer_port,
            bounds: options.bounds,
            clock: options.clock,
            endpoint_client: options.endpoint_client,
            metrics: options.metrics,
            active_config: RefCell::new(CurrentCatalog::new(options.bounds.config_trust())),
            fleet: Rc::new(RefCell::new(Fleet::new(options.bounds.fleet, options.zone))),
            wait_queue: RefCell::default(),
            adaptive_waits: Rc::default(),
            dispatch_due: Cell::default(),
            wake: Rc::default(),
            runs: Rc::default(),
            drains: RefCell::default(),
            budgets: RefCell::default(),
            backup_planners: RefCell::default(),
            poison: PoisonTracker::default(),
            readiness: Cell::default(),
            common_engines: RefCell::default(),
            response_buffers: ResponseBuffers::default(),
            observer_clients: ObserverClients::default(),
            read_ahead: Rc::default(),
            stop_plan: watch::Sender::new(None),
        })
    }

    /// Returns the gateway's name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Wakes the thread that reads the default versions.
    #[must_use]
    pub fn defaults_wanted(&self) -> Arc<Notify> {
        self.origins.defaults_wanted()
    }

    /// Returns the address of the observer next to an engine.
    pub(crate) fn observer_address(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.observer_port)
    }

    /// Returns the lock on an engine's link.
    pub(crate) fn link_lock(&self, engine: SocketAddr) -> LinkLock {
        LinkLock::new(engine, self.observer_address(engine))
    }

    /// Returns the current time of the gateway's clock.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Converts a time of the gateway's clock to an instant of the runtime.
    pub(crate) fn instant(&self, time: Time) -> Instant {
        Instant::now() + Duration::from(time.since(self.now()))
    }

    /// Returns whether the gateway is ready for new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.readiness.get().is_ready(self.now())
    }

    /// Marks the gateway as stopping, so that it is no longer ready.
    pub fn stop(&self, plan: StopPlan) {
        self.stop_plan.send_replace(Some(plan));
        self.update_readiness(|readiness| readiness.stopping = true);
    }

    /// Returns whether a request that begins now can be expected to end before the gateway
    /// does. A stream that begins late would be cut.
    pub(crate) fn ends_before_stop(&self, now: Time, route: &Route) -> bool {
        let plan = *self.stop_plan.borrow();
        plan.is_none_or(|plan| {
            if is_stream(route) {
                return !plan.closes_at.has_passed(now);
            }
            now + route.target_latency <= plan.last_answers_at
        })
    }

    /// Returns when requests that are still running must get their last answer.
    pub(crate) async fn last_answers_due(&self) {
        let mut plans = self.stop_plan.subscribe();
        let plan = plans.wait_for(Option::is_some).await;
        let due = plan.ok().and_then(|plan| *plan);
        match due {
            Some(plan) => tokio::time::sleep_until(self.instant(plan.last_answers_at)).await,
            None => std::future::pending().await,
        }
    }

    /// Returns the active configuration, if one has been read.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.active_config.borrow().catalog().cloned()
    }

    fn update_readiness(&self, change: impl FnOnce(&mut Readiness)) {
        let mut readiness = self.readiness.get();
        let before = readiness.is_ready(self.now());
        change(&mut readiness);
        self.readiness.set(readiness);
        let after = readiness.is_ready(self.now());
        if before != after {
            log::info!(ready = after, version:% = self.active_config.borrow().version(); "readiness changed");
        }
    }

    /// Applies time-based changes and dispatches waiting requests, until dropped.
    pub async fn run_timers(self: Rc<Self>) {
        tokio::task::spawn_local(rollout_exchange::run(Rc::clone(&self)));
        tokio::task::spawn_local(origins::run_appends(Rc::clone(&self)));
        tokio::task::spawn_local(stream_holders::run_holds(Rc::clone(&self)));
        loop {
            let woken = tokio::time::timeout(self.dispatch_delay(), self.wake.notify.notified());
            let is_timer = woken.await.is_err();
            if is_timer {
                self.wake.changed.set(true);
            }
            let changes = self.fleet.borrow_mut().tick(self.now());
            self.log_changed_limits();
            self.handle_fleet_changes(changes);
            self.update_defaults();
            self.update_displaced(self.now());
            self.dispatch_waiting();
        }
    }

    /// The longest time until the next dispatch.
    fn dispatch_delay(&self) -> Duration {
        let due = self.dispatch_due.get();
        let delay = due.map(|due| due.since(self.now()).into());
        delay.map_or(TICK_INTERVAL, |delay: Duration| TICK_INTERVAL.min(delay))
    }

    /// Asks for a dispatch at this time at the latest.
    pub(crate) fn request_dispatch(&self, due: Time) {
        if self.dispatch_due.get().is_none_or(|known| due < known) {
            self.dispatch_due.set(Some(due));
            self.wake.notify.notify_one();
        }
    }

    fn dispatch_waiting(&self) {
        let now = self.now();
        let was_requested = self
            .dispatch_due
            .get()
            .is_some_and(|due| due.has_passed(now));
        let is_due = self.wake.changed.take() || was_requested;
        if is_due {
            self.dispatch_due.set(None);
            self.dispatch_in_order(now);
        }
        let mut wait_queue = self.wait_queue.borrow_mut();
        wait_queue.dispatch(|wait| self.try_end_wait(now, wait, 0));
        let waiting = wait_queue.len() + self.adaptive_waits.borrow().len();
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.metrics.waiting.set(waiting);
        let running = i64::try_from(self.runs.len()).unwrap_or(i64::MAX);
        self.metrics.running.set(running);
        let limited = self.fleet.borrow().limited_endpoints();
        let limited = i64::try_from(limited).unwrap_or(i64::MAX);
        self.metrics.limited.set(limited);
        let resting = self.fleet.borrow().resting_endpoints(now);
        let resting = i64::try_from(resting).unwrap_or(i64::MAX);
        self.metrics.resting.set(resting);
    }

    /// Applies an update from the control thread.
    pub(crate) fn apply_update(self: &Rc<Self>, update: Update) {
        let now = self.now();
        match update {
            Update::Operator {
                confirmed_at,
                changes,
            } => {
                match changes.catalog {
                    Some(ReadCatalog::Usable(catalog)) => self.activate_catalog(*catalog),
                    Some(ReadCatalog::Unusable) => {
                        log::error!(version:% = self.version(); "callers with API keys are refused until a newer configuration can be read");
                        self.active_config.borrow_mut().supersede();
                    }
                    None => {}
                }
                if let Some(zones) = changes.zones_out {
                    log::info!(zones:? = zones; "availability zones out of service changed");
                    self.fleet.borrow_mut().set_excluded_zones(zones);
                }
                for order in changes.rollouts {
                    let run_max = self.longest_run(&order.order.service);
                    self.rollouts.apply_order(now, order, run_max);
                    self.refresh_rollouts();
                }
                if let Some(confirmed_at) = confirmed_at {
                    self.active_config.borrow_mut().confirm(confirmed_at);
                }
                if changes.is_restoring {
                    let trust = self.bounds.restoring_config_trust();
                    self.active_config.borrow_mut().prolong(trust);
                }
                // The store may confirm that it holds no configuration yet.
                let is_known = self.active_config.borrow().catalog().is_some();
                let trusted_until = self.active_config.borrow().valid_until();
                self.update_readiness(|readiness| {
                    readiness.config_trusted_until =
                        if is_known { trusted_until } else { Time::ZERO };
                });
            }
            Update::Endpoints {
                confirmed_at,
                changes: update,
            } => {
                let mut changes = Vec::new();
                {
                    let mut fleet = self.fleet.borrow_mut();
                    let mut listed_ids = BTreeSet::new();
                    for change in update.changes {
                        match change {
                            EndpointChange::Listed(record) => {
                                listed_ids.insert(record.endpoint.clone());
                                changes.extend(fleet.upsert_endpoint(now, record));
                            }
                            EndpointChange::Copied(record) => {
                                listed_ids.insert(record.endpoint.clone());
                                changes.extend(fleet.apply_copied_record(now, record));
                            }
                            EndpointChange::Unlisted(id) => {
                                changes.extend(fleet.remove_endpoint(now, &id));
                            }
                        }
                    }
                    if update.is_restored {
                        changes.extend(fleet.await_missing(now, &listed_ids));
                    } else if update.is_snapshot {
                        changes.extend(fleet.retain_only(now, &listed_ids));
                    }
                }
                self.refresh_rollouts();
                self.observe_versions();
                if let Some(confirmed_at) = confirmed_at {
                    self.origins.confirm_list(confirmed_at);
                }
                self.handle_fleet_changes(changes);
                self.update_readiness(|readiness| readiness.endpoints_known = true);
            }
            Update::Report { address, report } => {
                let change = self.fleet.borrow_mut().apply_report(now, address, report);
                self.handle_fleet_changes(change);
                // Reports are frequent; without waiting requests the timer suffices.
                let waits = self.adaptive_waits.borrow();
                if waits.len() > 0 && self.dispatch_due.get().is_none() {
                    let jitter_us = rand::random_range(0..=REPORT_JITTER_MAX.as_us());
                    let due = now + Span::from_us(jitter_us);
                    self.request_dispatch(due.max(waits.next_extra_dispatch()));
                }
                if self.wait_queue.borrow().len() > 0 {
                    self.wake.notify.notify_one();
                }
                return;
            }
            Update::CrashReports(reports) => self.poison.merge_reports(now, &reports),
            Update::RolloutEvidence(sums) => {
                for sums in sums {
                    self.rollouts.merge_fleet(now, &sums);
                }
                return;
            }
            Update::Followed(engines) => {
                self.fleet.borrow_mut().set_followed(engines.placement);
                let known = self.common_observers();
                self.common_engines.replace(engines.common);
                let mut added = self.common_observers();
                added.retain(|observer| !known.contains(observer));
                poison::notify_observers(&self.poison.reports(), added);
            }
            Update::DefaultVersions(read) => {
                self.origins.record_defaults(now, &read);
                return;
            }
            Update::StoreEra { era, restored_at } => {
                if self.origins.record_era(now, era) {
                    self.origins.set_restored_at(era, restored_at);
                    let number = i64::try_from(era.get()).unwrap_or(i64::MAX);
                    self.metrics.store_era.set(number);
                }
                return;
            }
            Update::StoreFailed { asked_at } => {
                self.fleet.borrow_mut().record_store_failure(asked_at);
                self.origins.record_store_failure(asked_at);
            }
        }
        self.wake.notify_change();
    }

    fn activate_catalog(self: &Rc<Self>, catalog: Catalog) {
        let version = catalog.version();
        match self.active_config.borrow_mut().replace(catalog) {
            ReplaceOutcome::Newer { previous } => {
                log::info!(version:% = version, before:% = previous; "a version is in force");
            }
            ReplaceOutcome::Same => return,
            ReplaceOutcome::Older => {
                log::warn!(version:% = version; "an older version was read and dropped");
                return;
            }
        }
        if let Some(catalog) = self.catalog() {
            let changes = self.fleet.borrow_mut().set_catalog(self.now(), catalog);
            self.observe_versions();
            self.handle_fleet_changes(changes);
        }
        let number = i64::try_from(version.get()).unwrap_or(i64::MAX);
        self.metrics.catalog_version.set(number);
    }

    pub(crate) fn handle_fleet_changes(
        self: &Rc<Self>,
        changes: impl IntoIterator<Item = FleetChange>,
    ) {
        for change in changes {
            match change {
                FleetChange::Joined(endpoint) => {
                    log::info!(endpoint:% = endpoint; "endpoint joined");
                }
                FleetChange::Restarted(endpoint) => {
                    log::info!(endpoint:% = endpoint; "endpoint restarted");
                    self.drop_backups_at(&endpoint);
                }
                FleetChange::Contested {
                    endpoint,
                    claimed_by,
                } => {
                    log::info!(endpoint:% = endpoint, claimed_by:% = claimed_by; "an endpoint's address is claimed by another one");
                }
                FleetChange::Unlisted { endpoint, until } => {
                    let returns_in_ms = until.since(self.now()).as_ms();
                    log::info!(endpoint:% = endpoint, returns_in_ms = returns_in_ms; "an endpoint's record is missing and may have expired");
                }
                FleetChange::Leaving(leaving) => {
                    let in_ms = leaving.terminates_at.since(self.now()).as_ms();
                    log::info!(
                        endpoint:% = leaving.endpoint,
                        known_by:% = leaving.evidence,
                        gone_in_ms = in_ms,
                        runs = self.runs.on_endpoint(&leaving.endpoint).len();
                        "endpoint leaves"
                    );
                    self.drop_backups_at(&leaving.endpoint);
                    self.update_displaced(self.now());
                    tokio::task::spawn_local(drain::drain_engine(Rc::clone(self), leaving));
                }
            }
        }
    }

    /// Decides anew about roll-outs.
    pub(crate) fn refresh_rollouts(&self) {
        let has_observers = !self.common_engines.borrow().is_empty();
        let now = self.now();
        self.rollouts
            .refresh(now, &mut self.fleet.borrow_mut(), has_observers);
        for progress in self.rollouts.progress(now) {
            self.metrics.record_rollout(&progress);
        }
    }

    /// Returns the longest time that a request of a service runs.
    fn longest_run(&self, service: &ServiceName) -> Span {
        let catalog = self.catalog();
        let longest = catalog.and_then(|catalog| catalog.longest_timeout(service));
        longest.unwrap_or(DEFAULT_TIMEOUT)
    }

    /// Returns the addresses of the observers that all gateways follow.
    pub(crate) fn common_observers(&self) -> Vec<SocketAddr> {
        let fleet = self.fleet.borrow();
        let engines = self.common_engines.borrow();
        let addresses = engines.iter().filter_map(|engine| fleet.address(engine));
        addresses
            .map(|engine| self.observer_address(engine))
            .collect()
    }

    /// Returns whether the endpoints of this service are engines, which report their state.
    pub(crate) fn has_engines(&self, service: &ServiceName) -> bool {
        self.catalog()
            .and_then(|catalog| catalog.service(service)?.engine)
            .is_some()
    }

    /// Returns whether engines of this service can transfer runs to each other.
    pub(crate) fn supports_moves(&self, service: &ServiceName) -> bool {
        self.catalog()
            .and_then(|catalog| catalog.service(service)?.engine)
            .is_some_and(|engine| engine.supports_migration)
    }

    /// Returns the number of tokens per event in streams of this service.
    pub(crate) fn tokens_per_event(&self, service: &ServiceName) -> TokenCount {
        self.catalog()
            .and_then(|catalog| catalog.service(service)?.engine)
            .map_or(TokenCount::new(1), |engine| engine.event_tokens)
    }

    /// Takes one retry from the service's budget. Returns `false` if none is left.
    pub(crate) fn spend_retry(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let spent = self.with_retry_budget(service, |budget| budget.try_withdraw(now));
        if spent {
            self.metrics.retries.inc();
        }
        spent
    }

    pub(crate) fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        action: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let now = self.now();
        let gateway_count = self.fleet.borrow().entry_count(now);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(self.bounds.budget, gateway_count, now));
        budget.set_entry_count(gateway_count);
        action(budget)
    }

    fn log_changed_limits(&self) {
        let changed = self.fleet.borrow_mut().changed_limits(self.now());
        for (endpoint, limit) in changed {
            log::info!(endpoint:% = endpoint, limit = limit; "learned limit changed");
        }
    }

    /// Reserves capacity at an endpoint, without waiting. Frees copies at an engine that has no
    /// room because of them.
    pub(crate) fn try_place(
        &self,
        now: Time,
        need: &PlacementRequest,
        excluded: &[EndpointId],
    ) -> Result<Permit, RefusalReason> {
        let place = |fleet: &mut Fleet| self.rollouts.place(now, fleet, need, excluded);
        let mut placement = place(&mut self.fleet.borrow_mut());
        while placement == Placement::NoCapacity && self.free_copies_for(now, need, excluded) {
            placement = place(&mut self.fleet.borrow_mut());
        }
        match placement {
            Placement::Placed(place) => Ok(self.permit(place)),
            Placement::NoCapacity => Err(RefusalReason::Overloaded),
            Placement::NoEndpoint if self.is_version_gone(now, need) => {
                Err(RefusalReason::VersionGone)
            }
            Placement::NoEndpoint => Err(RefusalReason::EndpointFailed),
        }
    }

    /// Whether no endpoint of the version that a request needs is available.
    pub(crate) fn is_version_gone(&self, now: Time, need: &PlacementRequest) -> bool {
        let fleet = self.fleet.borrow();
        !fleet.serves_version(now, &need.service, &need.version)
    }

    pub(crate) fn permit(&self, place: PlacedRequest) -> Permit {
        Permit {
            place,
            fleet: Rc::clone(&self.fleet),
            wake: Rc::clone(&self.wake),
            clock: self.clock,
            result: Cell::new(AttemptResult::Inconclusive),
            backup: RefCell::default(),
            departure: PendingDeparture::default(),
            rollouts: Rc::clone(&self.rollouts),
        }
    }

    /// Reserves capacity at an endpoint, queueing until `until` if there is none.
    pub(crate) async fn wait_for_place(
        &self,
        job: &Job,
        need: PlacementRequest,
        excluded: &[EndpointId],
        until: Time,
    ) -> Result<Permit, Refusal> {
        let now = self.now();
        let wait = Wait {
            need,
            excluded: excluded.to_vec(),
            until,
        };
        let waiting = self
            .wait_queue
            .borrow()
            .earlier_waiters(&wait.need.service, job.rank);
        if let Some(result) = self.try_end_wait(now, &wait, waiting) {
            return result;
        }
        let place = self.wait_queue.borrow_mut().enqueue(job.rank, wait);
        let Some(place) = place else {
            return Err(not_sent(RefusalReason::Overloaded));
        };
        match tokio::time::timeout_at(self.instant(until), place).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(not_sent(RefusalReason::Overloaded)),
        }
    }

    /// Places a request that `waiting` others are ahead of, or refuses it if it is known
    /// that it can't be placed in time. Returns `None` if it has to wait.
    pub(crate) fn try_end_wait(
        &self,
        now: Time,
        wait: &Wait,
        waiting: u64,
    ) -> Option<Result<Permit, Refusal>> {
        if waiting == 0 {
            match self.try_place(now, &wait.need, &wait.excluded) {
                Ok(permit) => return Some(Ok(permit)),
                Err(reason @ (RefusalReason::EndpointFailed | RefusalReason::VersionGone)) => {
                    return Some(Err(not_sent(reason)));
                }
                Err(_) => {}
            }
        }
        let fleet = self.fleet.borrow();
        let limited = fleet.limited_capacity(now, &wait.need, &wait.excluded)?;
        let expected_at = limited.next_at + limited.interval.times(waiting);
        (expected_at > wait.until).then(|| {
            let retry_after = expected_at.since(now);
            Err(not_sent(RefusalReason::Overloaded).retry_after(retry_after))
        })
    }

    /// Checks that the active configuration is recent enough to trust the
    /// caller's key.
    pub(crate) fn check_config_trusted(
        &self,
        organisation: Option<&OrganisationId>,
    ) -> Result<(), Refusal> {
        let config_expired = self
            .active_config
            .borrow()
            .valid_until()
            .has_passed(self.now());
        if organisation.is_some() && config_expired {
            let reason = RefusalReason::LogUnavailable;
            return Err(Refusal::not_run(NotRunProof::NeverSent, reason)
                .retry_after(RETRY_AFTER_STORE_FAILURE));
        }
        Ok(())
    }
}

pub(crate) fn not_sent(reason: RefusalReason) -> Refusal {
    Refusal::not_run(NotRunProof::NeverSent, reason).retry_after(RETRY_AFTER_REFUSAL)
}

/// Returns whether requests on this route are streamed generations.
pub(crate) const fn is_stream(route: &Route) -> bool {
    matches!(route.kind, RouteKind::Streaming)
}
