//! The thread that keeps a gateway's knowledge up to date.

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

/// Places in the ring to the thread that serves callers.
const RING_PLACES: usize = 1_024;
/// First pause after the store failed.
const PAUSE_FIRST: Duration = Duration::from_millis(60);
/// Longest pause after the store failed.
const PAUSE_MAX: Duration = Duration::from_millis(500);

/// The control thread can't start, or ended badly.
#[derive(Debug, Error)]
pub enum ControlError {
    /// Its thread.
    #[error(transparent)]
    Thread(#[from] ThreadError),
}

/// What the control thread learnt.
#[derive(Debug)]
pub(crate) enum Update {
    /// What operators ordered; the store was asked at `asked`.
    Orders {
        asked: Time,
        orders: OperatorChanges,
    },
    /// Entries of endpoints.
    Endpoints(EndpointChanges),
    /// An engine told about itself.
    Report {
        address: SocketAddr,
        report: EngineReport,
    },
    /// Requests that crash endpoints.
    Rumours(Vec<SuspectRecord>),
    /// The store did not answer.
    StoreFailed,
}

/// Where the control thread learns from; made on that thread.
pub struct ControlSources {
    /// What operators order.
    pub operator_changes: Box<dyn StoreFeed>,
    /// Entries of endpoints.
    pub endpoint_changes: Box<dyn StoreFeed>,
    /// Asks engines whose observer can't be reached.
    pub engine_client: Rc<dyn EndpointClient>,
}

/// What the control thread needs.
#[derive(Debug, Clone)]
pub struct ControlOptions {
    /// The name of this gateway.
    pub name: String,
    /// The gateway's clock.
    pub clock: BootClock,
    /// The port of observers.
    pub observer_port: u16,
}

/// The control thread.
#[derive(Debug)]
pub struct ControlThread {
    updates: BoundedReceiver<Update>,
    _duty: WorkerThread,
}

impl ControlThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// The system gives no thread.
    pub fn start(
        options: ControlOptions,
        directories: impl FnOnce() -> ControlSources + Send + 'static,
    ) -> Result<Self, ControlError> {
        let (outbox, updates) = bounded_channel(RING_PLACES);
        let duty = spawn_io("control", move || run(options, directories(), outbox))?;
        Ok(Self {
            updates,
            _duty: duty,
        })
    }

    /// Hands everything that is learnt to the gateway, for ever.
    pub async fn apply_updates(self, gateway: Rc<Gateway>) {
        while let Some(update) = self.updates.recv().await {
            gateway.apply(update);
        }
        log::error!("the control thread ended");
    }
}

/// A part of the store and whether it answers.
struct Source {
    name: &'static str,
    directory: Box<dyn StoreFeed>,
    pause: Duration,
    failing: bool,
    entries: Rc<Cell<u32>>,
}

impl Source {
    fn new(name: &'static str, directory: Box<dyn StoreFeed>, entries: &Rc<Cell<u32>>) -> Self {
        Self {
            name,
            directory,
            pause: PAUSE_FIRST,
            failing: false,
            entries: Rc::clone(entries),
        }
    }

    async fn next(&mut self, outbox: &BoundedSender<Update>) -> Option<StoreChanges> {
        match self.directory.next_changes(self.entries.get()).await {
            Ok(changes) => {
                if self.failing {
                    log::info!(part = self.name; "the store answers again");
                }
                self.failing = false;
                self.pause = PAUSE_FIRST;
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
            log::debug!("nobody takes updates any more");
        }
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(PAUSE_MAX);
    }
}

async fn run(options: ControlOptions, directories: ControlSources, outbox: BoundedSender<Update>) {
    let entries = Rc::default();
    let (engines, known) = tokio::sync::watch::channel(None);
    let orders = follow_orders(
        options.clock,
        Source::new("orders", directories.operator_changes, &entries),
        outbox.clone(),
        engines,
    );
    let followers = Followers {
        options,
        outbox: outbox.clone(),
        engines: directories.engine_client,
        entries: Rc::clone(&entries),
        tasks: HashMap::new(),
    };
    let endpoints = follow_endpoints(
        Source::new("endpoints", directories.endpoint_changes, &entries),
        outbox,
        known,
        followers,
    );
    tokio::join!(orders, endpoints);
}

async fn follow_orders(
    clock: BootClock,
    mut source: Source,
    outbox: BoundedSender<Update>,
    catalogs: tokio::sync::watch::Sender<Option<Arc<Services>>>,
) {
    loop {
        let asked = clock.now();
        let Some(StoreChanges::Operator(orders)) = source.next(&outbox).await else {
            continue;
        };
        if let Some(catalog) = &orders.catalog {
            catalogs.send_replace(Some(Arc::new(Services::of(catalog))));
        }
        if outbox.send(Update::Orders { asked, orders }).await.is_err() {
            return;
        }
    }
}

/// The services whose endpoints are engines.
#[derive(Debug)]
struct Services(Vec<lentil_core::ServiceName>);

impl Services {
    fn of(catalog: &Catalog) -> Self {
        let engines = catalog
            .services()
            .filter(|service| service.engine.is_some());
        Self(engines.map(|service| service.name.clone()).collect())
    }
}

async fn follow_endpoints(
    mut source: Source,
    outbox: BoundedSender<Update>,
    services: tokio::sync::watch::Receiver<Option<Arc<Services>>>,
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
            let at = (listing.service.clone(), listing.address);
            listed.insert(listing.endpoint.clone(), at);
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

/// Tasks that follow engines, by the engine's address.
struct Followers {
    options: ControlOptions,
    outbox: BoundedSender<Update>,
    engines: Rc<dyn EndpointClient>,
    /// Entries that follow the same engines, as their observers tell.
    entries: Rc<Cell<u32>>,
    tasks: HashMap<SocketAddr, JoinHandle<()>>,
}

impl Followers {
    /// Follows just these engines.
    fn follow(&mut self, engines: Vec<SocketAddr>) {
        self.tasks.retain(|engine, task| {
            let stays = engines.contains(engine);
            if !stays {
                task.abort();
            }
            stays
        });
        for engine in engines {
            self.tasks.entry(engine).or_insert_with(|| {
                let observer = SocketAddr::new(engine.ip(), self.options.observer_port);
                tokio::task::spawn_local(follow::follow(
                    follow::Target { engine, observer },
                    self.options.clone(),
                    Rc::clone(&self.engines),
                    Rc::clone(&self.entries),
                    self.outbox.clone(),
                ))
            });
        }
    }
}
