//! The thread that keeps the gateway's view of the store and of engines current.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lentil_catalog::Catalog;
use lentil_core::{EndpointId, ServiceName, Span, StoreEra, Time, ZoneId};
use lentil_fleet::{EngineReport, FollowedEngines};
use lentil_shell::{
    BootClock, BoundedReceiver, BoundedSender, ThreadError, WorkerThread, bounded_channel, spawn_io,
};
use thiserror::Error;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::endpoints::EndpointClient;
use crate::follow;
use crate::gateway::Gateway;
use crate::origin_log::{DefaultsReader, ReadDefaults};
use crate::poison::CrashReports;
use crate::relayed_log::RelayDirectory;
use crate::rollout_exchange::OrderEvidence;
use crate::store_feed::{
    ConfirmedChanges, EndpointChange, EndpointChanges, FeedError, OperatorChanges, ReadCatalog,
    StoreChanges, StoreFeed,
};
use crate::store_restores::{RestoreLog, StoreRestores, follow_restores, wait_for_first_read};

/// Capacity of the update queue to the thread that serves callers.
const UPDATE_RING_CAPACITY: usize = 1_024;
/// Delay before the first retry after a store failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);
/// How long an engine is still followed after others were chosen in its place. Most
/// generations that run there end within this time.
const LINGER: Span = Span::from_ms(10_000);
/// Longest delay between retries during a store failure.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

/// The control thread could not start, or failed.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The thread could not be started or failed.
    #[error(transparent)]
    Thread(#[from] ThreadError),
}

/// An update from the control thread.
#[derive(Debug)]
pub(crate) enum Update {
    /// Changes made by operators. `confirmed_at` is when the store was asked; `None` if it
    /// has newer changes than these.
    Operator {
        confirmed_at: Option<Time>,
        changes: OperatorChanges,
    },
    /// Changed endpoint entries. `confirmed_at` is when the store was asked; `None` if it has newer
    /// changes than these, or may have.
    Endpoints {
        confirmed_at: Option<Time>,
        changes: EndpointChanges,
    },
    /// A report of an engine.
    Report {
        address: SocketAddr,
        report: EngineReport,
    },
    /// Reports of crashes, from other gateways.
    CrashReports(CrashReports),
    /// Sums of the counters of roll-outs over all gateways, from an observer.
    RolloutEvidence(Vec<OrderEvidence>),
    /// The engines to follow and to place generations at.
    Followed(FollowedEngines),
    /// The default versions of all services.
    DefaultVersions(ReadDefaults),
    /// The store states this era, and reads of it are complete from `restored_at` on. If the era has
    /// risen, the store has come back from an older copy.
    StoreEra { era: StoreEra, restored_at: Time },
    /// The store failed to respond to a request that was sent at this time.
    StoreFailed { asked_at: Time },
}

/// Data sources of the control thread, created on that thread.
pub struct ControlSources {
    /// The feed of operators' changes.
    pub operator_changes: Box<dyn StoreFeed>,
    /// The feed of endpoint entries.
    pub endpoint_changes: Box<dyn StoreFeed>,
    /// The reader of default versions.
    pub default_versions: Box<dyn DefaultsReader>,
    /// The client that queries engines whose observer can't be reached.
    pub engine_client: Rc<dyn EndpointClient>,
    /// Tells the feeds which relays there are.
    pub relays: Rc<RelayDirectory>,
    /// Tells the feeds whether the store's last restore is over.
    pub restores: Rc<StoreRestores>,
    /// The record that a restore is over.
    pub restore_log: Box<dyn RestoreLog>,
}

/// Options of the control thread.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// The gateway's name.
    pub name: String,
    /// The gateway's clock.
    pub clock: BootClock,
    /// The port on which observers listen.
    pub observer_port: u16,
    /// The gateway's availability zone.
    pub zone: ZoneId,
    /// Number of engines that the gateway places generations at.
    pub followed_engines_max: usize,
    /// Wakes the thread to read the default versions.
    pub defaults_wanted: Arc<Notify>,
}

/// A handle to the running control thread.
#[derive(Debug)]
pub struct ControlThread {
    updates: BoundedReceiver<Update>,
    _duty: WorkerThread,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// The thread could not be started.
    pub fn start(
        options: ControlOptions,
        sources: impl FnOnce() -> ControlSources + Send + 'static,
    ) -> Result<Self, ControlError> {
        let (outbox, updates) = bounded_channel(UPDATE_RING_CAPACITY);
        let duty = spawn_io("control", move || run(options, sources(), outbox))?;
        Ok(Self {
            updates,
            _duty: duty,
        })
    }

    /// Applies updates to the gateway until the control thread ends.
    pub async fn apply_updates(self, gateway: Rc<Gateway>) {
        while let Some(update) = self.updates.recv().await {
            gateway.apply_update(update);
        }
        log::error!("the control thread ended");
    }
}

/// A feed of the store with its retry state.
struct FeedSource {
    name: &'static str,
    feed: Box<dyn StoreFeed>,
    clock: BootClock,
    retry_delay: Duration,
    failing: bool,
    relays: Rc<RelayDirectory>,
    /// The last failure of the store that was reported.
    store_failed_at: Option<Time>,
    restores: Rc<StoreRestores>,
    /// The era of the store that was reported, and when reads of it are complete.
    era: Option<(StoreEra, Time)>,
}

impl FeedSource {
    fn new(
        name: &'static str,
        feed: Box<dyn StoreFeed>,
        clock: BootClock,
        (relays, restores): (&Rc<RelayDirectory>, &Rc<StoreRestores>),
    ) -> Self {
        Self {
            name,
            feed,
            clock,
            retry_delay: RETRY_DELAY_MIN,
            failing: false,
            relays: Rc::clone(relays),
            restores: Rc::clone(restores),
            store_failed_at: None,
            era: None,
        }
    }

    async fn next(&mut self, outbox: &BoundedSender<Update>) -> Option<ConfirmedChanges> {
        let gateways = self.relays.gateway_count(self.clock.now());
        match self.feed.next_changes(gateways).await {
            Ok(changes) => {
                if let Some(at) = changes.store_failed_at
                    && self.store_failed_at < Some(at)
                {
                    self.report_store_failure(outbox, at).await;
                }
                if self.failing {
                    log::info!(part = self.name; "the store is reachable again");
                }
                self.failing = false;
                self.retry_delay = RETRY_DELAY_MIN;
                let era = changes.era;
                let restored_at = self.restores.with(|watch| watch.restored_at(era));
                let is_known = restored_at < Time::NEVER;
                if is_known && self.era.replace((era, restored_at)) != Some((era, restored_at)) {
                    send(outbox, Update::StoreEra { era, restored_at }).await;
                }
                Some(changes)
            }
            Err(error) => {
                self.fail(outbox, &error).await;
                None
            }
        }
    }

    async fn fail(&mut self, outbox: &BoundedSender<Update>, error: &FeedError) {
        if !self.failing {
            log::warn!(part = self.name; "{error}");
        }
        self.failing = true;
        self.report_store_failure(outbox, error.asked_at).await;
        tokio::time::sleep(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
    }

    async fn report_store_failure(&mut self, outbox: &BoundedSender<Update>, asked_at: Time) {
        self.store_failed_at = Some(asked_at);
        send(outbox, Update::StoreFailed { asked_at }).await;
    }
}

async fn send(outbox: &BoundedSender<Update>, update: Update) {
    if outbox.send(update).await.is_err() {
        log::debug!("the update queue is closed");
    }
}

async fn run(options: ControlOptions, sources: ControlSources, outbox: BoundedSender<Update>) {
    let relays = sources.relays;
    let shared = (&relays, &sources.restores);
    let clock = options.clock;
    let (read_sender, is_read) = tokio::sync::watch::channel(false);
    let restores = follow_restores(
        Rc::clone(&sources.restores),
        sources.restore_log,
        Rc::clone(&relays),
        read_sender,
    );
    let (services_sender, services) = tokio::sync::watch::channel(None);
    let operator_changes = follow_operator_changes(
        FeedSource::new("orders", sources.operator_changes, clock, shared),
        outbox.clone(),
        services_sender,
    );
    let default_versions = read_default_versions(
        sources.default_versions,
        Arc::clone(&options.defaults_wanted),
        outbox.clone(),
    );
    let followers = Followers {
        options,
        outbox: outbox.clone(),
        engine_client: sources.engine_client,
        relays: Rc::clone(&relays),
        chosen: FollowedEngines::default(),
        tasks: HashMap::new(),
    };
    let endpoint_changes = follow_endpoints(
        FeedSource::new("endpoints", sources.endpoint_changes, clock, shared),
        outbox,
        services,
        followers,
    );
    let followed = async {
        wait_for_first_read(is_read).await;
        tokio::join!(operator_changes, endpoint_changes, default_versions);
    };
    tokio::select! {
        () = restores => {}
        () = followed => {}
    }
}

/// Reads the default versions whenever they are wanted, until the update queue closes. After a
/// failure they are wanted again.
async fn read_default_versions(
    reader: Box<dyn DefaultsReader>,
    wanted: Arc<Notify>,
    outbox: BoundedSender<Update>,
) {
    loop {
        wanted.notified().await;
        match reader.read().await {
            Ok(read) => {
                if outbox.send(Update::DefaultVersions(read)).await.is_err() {
                    return;
                }
            }
            Err(error) => log::info!("the default versions were not read: {error}"),
        }
    }
}

async fn follow_operator_changes(
    mut source: FeedSource,
    outbox: BoundedSender<Update>,
    services: tokio::sync::watch::Sender<Option<Arc<EngineServices>>>,
) {
    loop {
        let Some(ConfirmedChanges {
            changes: StoreChanges::Operator(changes),
            confirmed_at,
            ..
        }) = source.next(&outbox).await
        else {
            continue;
        };
        if let Some(ReadCatalog::Usable(catalog)) = &changes.catalog {
            services.send_replace(Some(Arc::new(EngineServices::from_catalog(catalog))));
        }
        if outbox
            .send(Update::Operator {
                confirmed_at,
                changes,
            })
            .await
            .is_err()
        {
            return;
        }
    }
}

/// The names of services whose endpoints are engines.
#[derive(Debug)]
struct EngineServices(Vec<ServiceName>);

impl EngineServices {
    fn from_catalog(catalog: &Catalog) -> Self {
        let engines = catalog
            .services()
            .filter(|service| service.engine.is_some());
        Self(engines.map(|service| service.name.clone()).collect())
    }
}

async fn follow_endpoints(
    mut source: FeedSource,
    outbox: BoundedSender<Update>,
    services: tokio::sync::watch::Receiver<Option<Arc<EngineServices>>>,
    mut followers: Followers,
) {
    let mut listed = HashMap::new();
    loop {
        let Some(ConfirmedChanges {
            changes: StoreChanges::Endpoints(changes),
            confirmed_at,
            ..
        }) = source.next(&outbox).await
        else {
            continue;
        };
        let mut previous = if changes.is_snapshot && !changes.is_restored {
            std::mem::take(&mut listed)
        } else {
            HashMap::new()
        };
        for change in &changes.changes {
            match change {
                EndpointChange::Copied(listing) => {
                    listed.extend(previous.remove_entry(&listing.endpoint));
                }
                EndpointChange::Listed(listing) => {
                    let listed_engine = ListedEndpoint {
                        service: listing.service.clone(),
                        address: listing.address,
                        zone: listing.zone.clone(),
                        draining: listing.draining,
                    };
                    listed.insert(listing.endpoint.clone(), listed_engine);
                }
                EndpointChange::Unlisted(id) => {
                    listed.remove(id);
                }
            }
        }
        let update = Update::Endpoints {
            confirmed_at,
            changes,
        };
        if outbox.send(update).await.is_err() {
            return;
        }
        let services = services.borrow().clone();
        if let Some(services) = services {
            let engines = listed
                .iter()
                .filter(|(_, endpoint)| services.0.contains(&endpoint.service));
            if let Some(chosen) = followers.follow(&engines.collect())
                && outbox.send(Update::Followed(chosen)).await.is_err()
            {
                return;
            }
        }
    }
}

/// What the list says of an endpoint, as far as following it needs it.
#[derive(Debug)]
struct ListedEndpoint {
    service: ServiceName,
    address: SocketAddr,
    zone: ZoneId,
    draining: bool,
}

/// Tasks that follow engines, keyed by the engine's address.
struct Followers {
    options: ControlOptions,
    outbox: BoundedSender<Update>,
    engine_client: Rc<dyn EndpointClient>,
    relays: Rc<RelayDirectory>,
    chosen: FollowedEngines,
    tasks: HashMap<SocketAddr, FollowTask>,
}

/// A task that follows one engine.
#[derive(Debug)]
struct FollowTask {
    handle: JoinHandle<()>,
    wanted_until: Time,
}

impl Followers {
    /// Follows a bounded share of the listed engines. Returns the choice if it changed.
    fn follow(
        &mut self,
        engines: &HashMap<&EndpointId, &ListedEndpoint>,
    ) -> Option<FollowedEngines> {
        let staying = engines
            .iter()
            .filter(|(_, endpoint)| !endpoint.draining)
            .map(|(id, endpoint)| (*id, &endpoint.zone));
        let options = &self.options;
        let chosen = FollowedEngines::choose(
            &options.name,
            &options.zone,
            staying,
            options.followed_engines_max,
        );
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(error) => {
                log::error!(name = options.name.as_str(); "no engine is followed: {error}");
                return None;
            }
        };
        let address_of = |id: &EndpointId| engines.get(id).map(|endpoint| endpoint.address);
        let observers = chosen.relays.iter().filter_map(address_of);
        let observers = observers.map(|engine| self.observer_of(engine));
        self.relays.set_relays(observers.collect());
        let needed: BTreeSet<_> = chosen
            .placement
            .iter()
            .chain(&chosen.common)
            .filter_map(address_of)
            .collect();
        let now = self.options.clock.now();
        self.end_tasks(engines, now);
        for engine in needed {
            let observer = self.observer_of(engine);
            let task = self.tasks.entry(engine).or_insert_with(|| FollowTask {
                handle: tokio::task::spawn_local(follow::follow(
                    follow::FollowTarget { engine, observer },
                    self.options.clone(),
                    Rc::clone(&self.engine_client),
                    Rc::clone(&self.relays),
                    self.outbox.clone(),
                )),
                wanted_until: Time::ZERO,
            });
            task.wanted_until = now + LINGER;
        }
        if chosen == self.chosen {
            return None;
        }
        self.chosen.clone_from(&chosen);
        Some(chosen)
    }

    /// Ends the tasks of engines that are no longer listed, or not wanted for a while.
    fn end_tasks(&mut self, engines: &HashMap<&EndpointId, &ListedEndpoint>, now: Time) {
        let listed: BTreeSet<_> = engines.values().map(|endpoint| endpoint.address).collect();
        self.tasks.retain(|engine, task| {
            let keep = listed.contains(engine) && !task.wanted_until.has_passed(now);
            if !keep {
                task.handle.abort();
            }
            keep
        });
    }

    const fn observer_of(&self, engine: SocketAddr) -> SocketAddr {
        SocketAddr::new(engine.ip(), self.options.observer_port)
    }
}
