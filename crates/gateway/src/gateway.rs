//! One gateway's state, and the way of a request through it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lentil_catalog::{Catalog, CurrentCatalog, ReplaceOutcome, Route, RouteKind};
use lentil_core::{
    NotRunProof, OrganisationId, Refusal, RefusalReason, ServiceName, Span, Time, TokenCount,
    ZoneId,
};
use lentil_fleet::{
    AttemptResult, Fleet, FleetChange, FleetConfig, PlacedRequest, Placement, PlacementRequest,
    RetryBudget, RetryBudgetConfig,
};
use lentil_shell::BootClock;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::attempt::Job;
use crate::control::Update;
use crate::endpoints::EndpointClient;
use crate::line::Line;
use crate::metrics::GatewayMetrics;
use crate::mover;
use crate::poison::Poison;
use crate::readiness::Readiness;
use crate::runs::Runs;
use crate::turns::Turns;

/// Advice to callers when nothing serves their request now.
pub(crate) const RETRY_SOON: Span = Span::from_ms(700);
/// Advice to callers when the store can't be reached: another gateway may do.
pub(crate) const RETRY_ELSEWHERE: Span = Span::from_ms(200);
/// How long after its last failure the store counts as disturbed: entries that
/// lapsed meanwhile are back within two seconds of its return.
const DISTURBED: Span = Span::from_ms(2_500);
/// Part of the time for taking keys away that what is in force is relied on;
/// the rest is for requests that are on their way.
const RELIANCE_PERCENT: u64 = 86;
/// Time between two looks at what time alone changes.
const TICK: Duration = Duration::from_millis(100);

/// Bounds that the deployment sets.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayBounds {
    /// Time after which a key that was taken away works nowhere.
    pub revocation_timeout: Span,
    /// Longest wait for a turn at an engine that would receive a copy; another
    /// engine's link is probably free.
    pub receiver_link_timeout: Span,
    /// Bounds of the table of endpoints.
    pub fleet: FleetConfig,
    /// The budget of repeats.
    pub budget: RetryBudgetConfig,
}

/// What a gateway is made of.
pub struct GatewayOptions {
    /// Its name.
    pub name: String,
    /// The port of observers.
    pub observer_port: u16,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Bounds that the deployment sets.
    pub bounds: GatewayBounds,
    /// The clock that all its deadlines are on.
    pub clock: BootClock,
    /// How endpoints are spoken with.
    pub endpoint_client: Rc<dyn EndpointClient>,
    /// Its counters.
    pub metrics: GatewayMetrics,
}

/// One gateway; it belongs to the thread that serves callers.
pub struct Gateway {
    name: String,
    observer_port: u16,
    pub(crate) bounds: GatewayBounds,
    clock: BootClock,
    pub(crate) endpoints: Rc<dyn EndpointClient>,
    pub(crate) counters: GatewayMetrics,
    pub(crate) in_force: RefCell<CurrentCatalog>,
    pub(crate) fleet: Rc<RefCell<Fleet>>,
    line: RefCell<Line<Permit>>,
    wake: Rc<Notify>,
    pub(crate) runs: Rc<Runs>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    pub(crate) poison: Poison,
    readiness: Cell<Readiness>,
    store_failed_at: Cell<Option<Time>>,
}

impl std::fmt::Debug for Gateway {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Gateway(..)")
    }
}

/// A place at an endpoint, held until it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    pub(crate) place: PlacedRequest,
    fleet: Rc<RefCell<Fleet>>,
    wake: Rc<Notify>,
    clock: BootClock,
    ending: Cell<AttemptResult>,
}

impl Permit {
    /// Tells how the flight ends; without it nothing is told of the endpoint.
    pub(crate) fn ending(&self, ending: AttemptResult) {
        self.ending.set(ending);
    }

    /// The output has reached this many tokens.
    pub(crate) fn progress(&self, made: TokenCount) {
        self.fleet.borrow_mut().record_progress(self.place.id, made);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let now = self.clock.now();
        self.fleet
            .borrow_mut()
            .finish(now, self.place.id, self.ending.get());
        self.wake.notify_one();
    }
}

impl Gateway {
    /// A gateway that knows nothing yet.
    #[must_use]
    pub fn new(options: GatewayOptions) -> Rc<Self> {
        let revoke_ms = options.bounds.revocation_timeout.as_ms();
        let reliance = Span::from_ms(revoke_ms * RELIANCE_PERCENT / 100);
        Rc::new(Self {
            name: options.name,
            observer_port: options.observer_port,
            bounds: options.bounds,
            clock: options.clock,
            endpoints: options.endpoint_client,
            counters: options.metrics,
            in_force: RefCell::new(CurrentCatalog::new(reliance)),
            fleet: Rc::new(RefCell::new(Fleet::new(options.bounds.fleet, options.zone))),
            line: RefCell::default(),
            wake: Rc::default(),
            runs: Rc::default(),
            budgets: RefCell::default(),
            poison: Poison::default(),
            readiness: Cell::default(),
            store_failed_at: Cell::default(),
        })
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The observer beside an engine.
    pub(crate) fn observer(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.observer_port)
    }

    /// Turns on the link of an engine.
    pub(crate) fn turns_at(&self, engine: SocketAddr) -> Turns {
        Turns::new(engine, self.observer(engine))
    }

    /// The present.
    #[must_use]
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// The runtime's instant for a point of this gateway's clock.
    pub(crate) fn instant(&self, at: Time) -> Instant {
        Instant::now() + Duration::from(at.since(self.now()))
    }

    /// Whether callers should come.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.readiness.get().is_ready(self.now())
    }

    /// The process stops; callers should go elsewhere.
    pub fn stop(&self) {
        self.change_readiness(|readiness| readiness.stopping = true);
    }

    /// What is in force, if anything is known.
    #[must_use]
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.in_force.borrow().catalog().cloned()
    }

    fn change_readiness(&self, change: impl FnOnce(&mut Readiness)) {
        let mut readiness = self.readiness.get();
        let before = readiness.is_ready(self.now());
        change(&mut readiness);
        self.readiness.set(readiness);
        let after = readiness.is_ready(self.now());
        if before != after {
            log::info!(ready = after, version:% = self.in_force.borrow().version(); "readiness changed");
        }
    }

    /// Runs what time alone brings about, until it is dropped.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let _ = tokio::time::timeout(TICK, self.wake.notified()).await;
            let changes = self.fleet.borrow_mut().tick(self.now());
            self.react(changes);
            self.pump();
        }
    }

    fn pump(&self) {
        let now = self.now();
        let mut line = self.line.borrow_mut();
        line.pump(|need, tried| self.try_place(now, need, tried).ok());
        let waiting = i64::try_from(line.len()).unwrap_or(i64::MAX);
        self.counters.waiting.set(waiting);
        let running = i64::try_from(self.runs.len()).unwrap_or(i64::MAX);
        self.counters.running.set(running);
    }

    /// Takes in what the control thread learnt.
    pub(crate) fn apply(self: &Rc<Self>, update: Update) {
        let now = self.now();
        match update {
            Update::Orders { asked, orders } => {
                if let Some(catalog) = orders.catalog {
                    self.put_in_force(catalog);
                }
                if let Some(zones) = orders.zones_out {
                    log::info!(zones:? = zones; "availability zones out of service changed");
                    self.fleet.borrow_mut().set_excluded_zones(zones);
                }
                self.in_force.borrow_mut().confirm(asked);
                let relied_on_until = self.in_force.borrow().valid_until();
                self.change_readiness(|readiness| readiness.relied_on_until = relied_on_until);
            }
            Update::Endpoints(update) => {
                let disturbed = self
                    .store_failed_at
                    .get()
                    .is_some_and(|failed| !(failed + DISTURBED).has_passed(now));
                let mut changes = Vec::new();
                {
                    let mut fleet = self.fleet.borrow_mut();
                    let ids = update
                        .listed
                        .iter()
                        .map(|listing| listing.endpoint.clone())
                        .collect();
                    for listing in update.listed {
                        changes.extend(fleet.upsert_endpoint(now, listing));
                    }
                    for id in &update.unlisted {
                        changes.extend(fleet.remove_endpoint(now, id, disturbed));
                    }
                    if update.is_snapshot {
                        changes.extend(fleet.retain_only(now, &ids, disturbed));
                    }
                }
                self.react(changes);
                self.change_readiness(|readiness| readiness.endpoints_known = true);
            }
            Update::Report { address, report } => {
                let change = self.fleet.borrow_mut().apply_report(now, address, report);
                self.react(change);
            }
            Update::Rumours(rumours) => self.poison.hear(now, &rumours),
            Update::StoreFailed => self.store_failed_at.set(Some(now)),
        }
        self.wake.notify_one();
    }

    fn put_in_force(&self, catalog: Catalog) {
        let version = catalog.version();
        match self.in_force.borrow_mut().replace(catalog) {
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
            self.fleet.borrow_mut().set_catalog(catalog);
        }
        let number = i64::try_from(version.get()).unwrap_or(i64::MAX);
        self.counters.version.set(number);
    }

    fn react(self: &Rc<Self>, changes: impl IntoIterator<Item = FleetChange>) {
        for change in changes {
            match change {
                FleetChange::Joined(endpoint) => {
                    log::info!(endpoint:% = endpoint; "endpoint joined");
                }
                FleetChange::Restarted(endpoint) => {
                    log::info!(endpoint:% = endpoint; "endpoint started anew");
                }
                FleetChange::Leaving(leaving) => {
                    let in_ms = leaving.terminates_at.since(self.now()).as_ms();
                    log::info!(
                        endpoint:% = leaving.endpoint,
                        gone_in_ms = in_ms,
                        runs = self.runs.at(&leaving.endpoint).len();
                        "endpoint leaves"
                    );
                    tokio::task::spawn_local(mover::depart(Rc::clone(self), leaving));
                }
            }
        }
    }

    /// Observers of some listed engines.
    pub(crate) fn some_observers(&self, most: usize) -> Vec<SocketAddr> {
        let addresses = self.fleet.borrow().addresses();
        let engines = addresses.into_iter().filter(|(service, _)| {
            self.catalog()
                .is_some_and(|catalog| catalog.service(service).is_some_and(|s| s.engine.is_some()))
        });
        engines
            .map(|(_, engine)| self.observer(engine))
            .take(most)
            .collect()
    }

    /// Whether an engine of this service can hand its runs to another.
    pub(crate) fn moves(&self, service: &ServiceName) -> bool {
        self.catalog()
            .and_then(|catalog| catalog.service(service)?.engine)
            .is_some_and(|engine| engine.supports_migration)
    }

    /// Tokens in one event of a service's streams.
    pub(crate) fn event_tokens(&self, service: &ServiceName) -> TokenCount {
        self.catalog()
            .and_then(|catalog| catalog.service(service)?.engine)
            .map_or(TokenCount::new(1), |engine| engine.event_tokens)
    }

    /// Takes one repeat at a service out of the budget.
    pub(crate) fn spend_repeat(&self, service: &ServiceName) -> bool {
        let now = self.now();
        let spent = self.with_budget(service, |budget| budget.try_withdraw(now));
        if spent {
            self.counters.repeats.inc();
        }
        spent
    }

    pub(crate) fn with_budget<T>(
        &self,
        service: &ServiceName,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let now = self.now();
        let entries = self.fleet.borrow().entry_count(now);
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(self.bounds.budget, entries, now));
        budget.set_entry_count(entries);
        act(budget)
    }

    /// Tries to find a place now.
    pub(crate) fn try_place(
        &self,
        now: Time,
        need: &PlacementRequest,
        tried: &[lentil_core::EndpointId],
    ) -> Result<Permit, RefusalReason> {
        match self.fleet.borrow_mut().place(now, need, tried) {
            Placement::Placed(place) => Ok(Permit {
                place,
                fleet: Rc::clone(&self.fleet),
                wake: Rc::clone(&self.wake),
                clock: self.clock,
                ending: Cell::new(AttemptResult::Inconclusive),
            }),
            Placement::NoCapacity => Err(RefusalReason::Overloaded),
            Placement::NoEndpoint => Err(RefusalReason::EndpointFailed),
        }
    }

    /// Finds a place now or in line, until `until`.
    pub(crate) async fn find_place(
        &self,
        job: &Job,
        need: PlacementRequest,
        tried: &[lentil_core::EndpointId],
        until: Time,
    ) -> Result<Permit, Refusal> {
        let now = self.now();
        let refuse =
            |reason| Refusal::not_run(NotRunProof::NeverSent, reason).retry_after(RETRY_SOON);
        let held_up = self.line.borrow().holds_up(&need.service, job.rank);
        if !held_up {
            match self.try_place(now, &need, tried) {
                Ok(permit) => return Ok(permit),
                Err(RefusalReason::EndpointFailed) => {
                    return Err(refuse(RefusalReason::EndpointFailed));
                }
                Err(_) => {}
            }
        }
        let place = self.line.borrow_mut().join(job.rank, need, tried.to_vec());
        let Some(place) = place else {
            return Err(refuse(RefusalReason::Overloaded));
        };
        match tokio::time::timeout_at(self.instant(until), place).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(refuse(RefusalReason::Overloaded)),
        }
    }

    /// Whether what is in force may be relied on for this caller now.
    pub(crate) fn may_rely(&self, organisation: Option<&OrganisationId>) -> Result<(), Refusal> {
        let lapsed = self.in_force.borrow().valid_until().has_passed(self.now());
        if organisation.is_some() && lapsed {
            let reason = RefusalReason::LogUnavailable;
            return Err(
                Refusal::not_run(NotRunProof::NeverSent, reason).retry_after(RETRY_ELSEWHERE)
            );
        }
        Ok(())
    }
}

/// Whether a route's requests are generations.
pub(crate) const fn is_stream(route: &Route) -> bool {
    matches!(route.kind, RouteKind::Streaming)
}
