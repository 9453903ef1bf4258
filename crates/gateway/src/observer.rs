//! The process beside a model engine that tells gateways about it.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use lentil_core::Time;
use lentil_fleet::{EngineReport, EngineStage};
use lentil_poison::{Limits, Suspects};
use lentil_shell::{BootClock, ThreadError, WorkerThread, spawn_io};
use lentil_wire::v1;
use lentil_wire::v1::observer_server::{Observer as ObserverService, ObserverServer};
use thiserror::Error;
use tokio::sync::{Semaphore, watch};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::attempt::seconds;
use crate::endpoints::EndpointClient;
use crate::metrics::ObserverMetrics;

/// Pause between two questions to the engine; they are free on its own host.
const ASK_PAUSE: Duration = Duration::from_millis(120);
/// Least time between two reports that differ in load alone.
const LOAD_PAUSE: Duration = Duration::from_millis(240);
/// Most time between two reports.
const REPEAT: Duration = Duration::from_millis(1_000);

/// Longest turn on the engine's link.
const TURN_MAX: Duration = Duration::from_millis(1_000);

/// The observer can't start.
#[derive(Debug, Error)]
pub enum ObserverError {
    /// Its thread.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// Its address.
    #[error("listening at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: std::io::Error,
    },
}

/// What an observer needs.
#[derive(Debug, Clone)]
pub struct ObserverOptions {
    /// Its counters.
    pub metrics: ObserverMetrics,
    /// Where gateways reach it.
    pub listen: SocketAddr,
    /// The engine beside it.
    pub engine: SocketAddr,
    /// The clock of its deadlines.
    pub clock: BootClock,
}

/// A running observer.
#[derive(Debug)]
pub struct Observer {
    _engine: WorkerThread,
    _gateways: WorkerThread,
}

impl Observer {
    /// Starts its threads; `engines` is called on the thread that asks.
    ///
    /// # Errors
    /// The address or a thread is not to be had.
    pub fn start(
        options: ObserverOptions,
        engines: impl FnOnce() -> Rc<dyn EndpointClient> + Send + 'static,
    ) -> Result<Self, ObserverError> {
        let address = options.listen;
        let listen = |source| ObserverError::Listen { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(listen)?;
        listener.set_nonblocking(true).map_err(listen)?;
        let (reports, latest) = watch::channel(v1::EngineReport::default());
        let shared = Shared {
            counters: options.metrics.clone(),
            followers: Arc::new(AtomicU32::new(0)),
            suspects: Arc::new(Mutex::new(Suspects::new(Limits::default()))),
        };
        let asking = shared.clone();
        let clock = options.clock;
        let engine = spawn_io("engine", move || ask(options, engines(), reports, asking))?;
        let service = Service {
            clock,
            latest,
            shared,
            link: Arc::new(Semaphore::new(1)),
        };
        let gateways = spawn_io("gateways", move || serve(listener, service))?;
        Ok(Self {
            _engine: engine,
            _gateways: gateways,
        })
    }
}

/// Asks the engine, for ever.
async fn ask(
    options: ObserverOptions,
    engines: Rc<dyn EndpointClient>,
    reports: watch::Sender<v1::EngineReport>,
    shared: Shared,
) {
    let mut reachable = None;
    loop {
        let now = options.clock.now();
        let answer = engines.inspect(options.engine, now).await;
        let took = options.clock.now().since(now);
        let mut report = match answer {
            Ok(report) => {
                shared.counters.answer_s.observe(seconds(took));
                write(now, &report)
            }
            Err(error) => {
                shared.counters.unanswered.inc();
                if reachable != Some(false) {
                    log::warn!(engine:% = options.engine; "{error}");
                }
                v1::EngineReport::default()
            }
        };
        if reachable != Some(report.reachable) {
            log::info!(engine:% = options.engine, reachable = report.reachable; "engine seen");
            reachable = Some(report.reachable);
        }
        report.followers = shared.followers.load(Ordering::Relaxed);
        shared.counters.followers.set(report.followers.into());
        report.rumours = shared.rumours(now);
        reports.send_if_modified(|before| {
            if report.leaving != before.leaving {
                log::info!(engine:% = options.engine, leaving = report.leaving, gone_in_ms:? = report.gone_in_ms; "engine's stage changed");
            }
            let differs = *before != report;
            *before = report;
            differs
        });
        tokio::time::sleep(ASK_PAUSE).await;
    }
}

fn write(now: Time, report: &EngineReport) -> v1::EngineReport {
    let (leaving, gone_in_ms) = match report.stage {
        EngineStage::Serving => (false, None),
        EngineStage::Leaving { at } => (true, at.map(|at| at.since(now).as_ms())),
    };
    v1::EngineReport {
        reachable: true,
        leaving,
        gone_in_ms,
        born_ms: report.started_at_ms,
        running: report.running,
        waiting: report.waiting,
        memory_used_tokens: report.memory_used.get(),
        memory_total_tokens: report.memory_total.get(),
        followers: 0,
        rumours: Vec::new(),
    }
}

/// Serves gateways, for ever.
async fn serve(listener: std::net::TcpListener, service: Service) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("listening to gateways: {error}");
            return;
        }
    };
    let served = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(Duration::from_secs(2)))
        .http2_keepalive_timeout(Some(Duration::from_secs(2)))
        .add_service(ObserverServer::new(service))
        .serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(error) = served.await {
        log::error!("serving gateways: {error}");
    }
}

/// What both threads use.
#[derive(Clone)]
struct Shared {
    counters: ObserverMetrics,
    followers: Arc<AtomicU32>,
    suspects: Arc<Mutex<Suspects>>,
}

impl Shared {
    /// What gateways should hear of requests that crash endpoints.
    fn rumours(&self, now: Time) -> Vec<String> {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.expire(now);
        suspects.records().iter().map(ToString::to_string).collect()
    }

    fn accuse(&self, now: Time, rumours: &[String]) {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        for text in rumours {
            match text.parse() {
                Ok(rumour) => suspects.merge_record(now, &rumour),
                Err(error) => log::warn!(text = text.as_str(); "a rumour was passed over: {error}"),
            }
        }
    }
}

struct Service {
    clock: BootClock,
    latest: watch::Receiver<v1::EngineReport>,
    shared: Shared,
    /// The engine's link for copies; turns are granted in order.
    link: Arc<Semaphore>,
}

/// Counts a follower while it follows.
struct Follower(Arc<AtomicU32>);

impl Drop for Follower {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

#[tonic::async_trait]
impl ObserverService for Service {
    async fn accuse(
        &self,
        request: Request<v1::AccuseRequest>,
    ) -> Result<Response<v1::AccuseReply>, Status> {
        let rumours = request.into_inner().rumours;
        self.shared.accuse(self.clock.now(), &rumours);
        Ok(Response::new(v1::AccuseReply {}))
    }

    type HoldLinkStream = BoxStream<'static, Result<v1::LinkGranted, Status>>;

    async fn hold_link(
        &self,
        request: Request<v1::HoldLinkRequest>,
    ) -> Result<Response<Self::HoldLinkStream>, Status> {
        let entry = request.into_inner().entry;
        self.shared.counters.turns.inc();
        let link = Arc::clone(&self.link);
        let turn = futures_util::stream::once(async move {
            let turn = link.acquire_owned().await;
            turn.map_err(|_| Status::unavailable("the observer ends"))
        });
        let held = turn.flat_map(move |turn| {
            log::debug!(gateway = entry.as_str(); "a gateway has the link");
            let granted = futures_util::stream::once(std::future::ready(
                turn.as_ref()
                    .map(|_| v1::LinkGranted {})
                    .map_err(Clone::clone),
            ));
            let end = futures_util::stream::once(async move {
                let _turn = turn;
                tokio::time::sleep(TURN_MAX).await;
                Err(Status::deadline_exceeded("the turn is over"))
            });
            granted.chain(end)
        });
        Ok(Response::new(held.boxed()))
    }

    type FollowStream = BoxStream<'static, Result<v1::EngineReport, Status>>;

    async fn follow(
        &self,
        request: Request<v1::FollowRequest>,
    ) -> Result<Response<Self::FollowStream>, Status> {
        let entry = request.into_inner().entry;
        log::info!(gateway = entry.as_str(); "a gateway follows");
        self.shared.followers.fetch_add(1, Ordering::Relaxed);
        let follower = Follower(Arc::clone(&self.shared.followers));
        let state = (self.latest.clone(), follower, None);
        let reports =
            futures_util::stream::unfold(state, |(mut latest, follower, sent)| async move {
                let report = next_report(&mut latest, sent.as_ref()).await?;
                let message = report.clone();
                Some((Ok(message), (latest, follower, Some(report))))
            });
        Ok(Response::new(reports.boxed()))
    }
}

/// The next report that a gateway should have: a change of stage at once, a
/// change of load after a pause, and one now and then without any change.
async fn next_report(
    latest: &mut watch::Receiver<v1::EngineReport>,
    sent: Option<&v1::EngineReport>,
) -> Option<v1::EngineReport> {
    let Some(sent) = sent else {
        return Some(latest.borrow_and_update().clone());
    };
    let begun = tokio::time::Instant::now();
    loop {
        let elapsed = begun.elapsed();
        let report = latest.borrow_and_update().clone();
        let staged = report.leaving != sent.leaving
            || report.reachable != sent.reachable
            || report.rumours != sent.rumours
            || report.born_ms != sent.born_ms;
        if staged || elapsed >= REPEAT || (elapsed >= LOAD_PAUSE && report != *sent) {
            return Some(report);
        }
        let next = if elapsed < LOAD_PAUSE {
            LOAD_PAUSE
        } else {
            REPEAT
        };
        let pause = next.saturating_sub(elapsed);
        if let Ok(Err(_)) = tokio::time::timeout(pause, latest.changed()).await {
            return None;
        }
    }
}
