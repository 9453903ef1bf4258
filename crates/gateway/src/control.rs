//! The thread that keeps the gateway's view of the store and of engines current.

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use lentil_catalog::Catalog;
use lentil_core::Time;
use lentil_fleet::EngineReport;
use lentil_poison::SuspectRecord;
use lentil_shell::{
    BootClock, BoundedReceiver, BoundedSender, ThreadError, WorkerThread, bounded_channel, spawn_io,
};
use thiserror::Error;
use tokio::task::JoinHandle;

use crate::endpoints::EndpointClient;
use crate::follow;
use crate::gateway::Gateway;
use crate::store_feed::{EndpointChanges, OperatorChanges, StoreChanges, StoreError, StoreFeed};

/// Capacity of the update queue to the thread that serves callers.
const UPDATE_RING_CAPACITY: usize = 1_024;
/// Delay before the first retry after a store failure.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);
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
    /// Changes made by operators. `requested_at` is when the store was asked.
    Operator {
        requested_at: Time,
        changes: OperatorChanges,
    },
    /// Changed endpoint entries.
    Endpoints(EndpointChanges),
    /// A report of an engine.
    Report {
        address: SocketAddr,
        report: EngineReport,
    },
    /// Reports of requests that crash endpoints.
    CrashReports(Vec<SuspectRecord>),
    /// The store failed to respond.
    StoreFailed,
}

/// Data sources of the control thread, created on that thread.
pub struct ControlSources {
    /// The feed of operators' changes.
    pub operator_changes: Box<dyn StoreFeed>,
    /// The feed of endpoint entries.
    pub endpoint_changes: Box<dyn StoreFeed>,
    /// The client that queries engines whose observer can't be reached.
    pub engine_client: Rc<dyn EndpointClient>,
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
    retry_delay: Duration,
    failing: bool,
    gateway_count: Rc<Cell<u32>>,
}

impl FeedSource {
    fn new(name: &'static str, feed: Box<dyn StoreFeed>, gateway_count: &Rc<Cell<u32>>) -> Self {
        Self {
            name,
            feed,
            retry_delay: RETRY_DELAY_MIN,
            failing: false,
            gateway_count: Rc::clone(gateway_count),
        }
    }

    async fn next(&mut self, outbox: &BoundedSender<Update>) -> Option<StoreChanges> {
        match self.feed.next_changes(self.gateway_count.get()).await {
            Ok(changes) => {
                if self.failing {
                    log::info!(part = self.name; "the store is reachable again");
                }
                self.failing = false;
                self.retry_delay = RETRY_DELAY_MIN;
                Some(changes)
            }
            Err(error) => {
                self.fail(outbox, &error).await;
                None
            }
        }
    }

    async fn fail(&mut self, outbox: &BoundedSender<Update>, error: &StoreError) {
        if !self.failing {
            log::warn!(part = self.name; "{error}");
        }
        self.failing = true;
        if outbox.send(Update::StoreFailed).await.is_err() {
            log::debug!("the update queue is closed");
        }
        tokio::time::sleep(self.retry_delay).await;
        self.retry_delay = (self.retry_delay * 2).min(RETRY_DELAY_MAX);
    }
}

async fn run(options: ControlOptions, sources: ControlSources, outbox: BoundedSender<Update>) {
    let gateway_count = Rc::default();
    let (services_sender, services) = tokio::sync::watch::channel(None);
    let operator_changes = follow_operator_changes(
        options.clock,
        FeedSource::new("orders", sources.operator_changes, &gateway_count),
        outbox.clone(),
        services_sender,
    );
    let followers = Followers {
        options,
        outbox: outbox.clone(),
        engine_client: sources.engine_client,
        gateway_count: Rc::clone(&gateway_count),
        tasks: HashMap::new(),
    };
    let endpoint_changes = follow_endpoints(
        FeedSource::new("endpoints", sources.endpoint_changes, &gateway_count),
        outbox,
        services,
        followers,
    );
    tokio::join!(operator_changes, endpoint_changes);
}

async fn follow_operator_changes(
    clock: BootClock,
    mut source: FeedSource,
    outbox: BoundedSender<Update>,
    services: tokio::sync::watch::Sender<Option<Arc<EngineServices>>>,
) {
    loop {
        let requested_at = clock.now();
        let Some(StoreChanges::Operator(changes)) = source.next(&outbox).await else {
            continue;
        };
        if let Some(catalog) = &changes.catalog {
            services.send_replace(Some(Arc::new(EngineServices::from_catalog(catalog))));
        }
        if outbox
            .send(Update::Operator {
                requested_at,
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
struct EngineServices(Vec<lentil_core::ServiceName>);

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
        let Some(StoreChanges::Endpoints(changes)) = source.next(&outbox).await else {
            continue;
        };
        if changes.is_snapshot {
            listed.clear();
        }
        for listing in &changes.listed {
            let location = (listing.service.clone(), listing.address);
            listed.insert(listing.endpoint.clone(), location);
        }
        for id in &changes.unlisted {
            listed.remove(id);
        }
        if outbox.send(Update::Endpoints(changes)).await.is_err() {
            return;
        }
        let services = services.borrow().clone();
        if let Some(services) = services {
            let engines = listed
                .values()
                .filter(|(service, _)| services.0.contains(service))
                .map(|(_, address)| *address);
            followers.follow(engines.collect());
        }
    }
}

/// Tasks that follow engines, keyed by the engine's address.
struct Followers {
    options: ControlOptions,
    outbox: BoundedSender<Update>,
    engine_client: Rc<dyn EndpointClient>,
    /// Number of gateways that follow the same engines, as reported by observers.
    gateway_count: Rc<Cell<u32>>,
    tasks: HashMap<SocketAddr, JoinHandle<()>>,
}

impl Followers {
    /// Follows exactly these engines.
    fn follow(&mut self, engines: Vec<SocketAddr>) {
        self.tasks.retain(|engine, task| {
            let keep = engines.contains(engine);
            if !keep {
                task.abort();
            }
            keep
        });
        for engine in engines {
            self.tasks.entry(engine).or_insert_with(|| {
                let observer = SocketAddr::new(engine.ip(), self.options.observer_port);
                tokio::task::spawn_local(follow::follow(
                    follow::FollowTarget { engine, observer },
                    self.options.clone(),
                    Rc::clone(&self.engine_client),
                    Rc::clone(&self.gateway_count),
                    self.outbox.clone(),
                ))
            });
        }
    }
}
