//! The process next to a model engine that reports its state to gateways.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use lentil_capacity::{AnnouncedRuns, TokenMeter};
use lentil_core::{ByteCount, Span, Time, TokenCount};
use lentil_fleet::{EngineReport, EngineStage};
use lentil_shell::{BodyBudget, BootClock, BoundedGrpc, ThreadError, WorkerThread, spawn_io};
use lentil_wire::v1;
use lentil_wire::v1::observer_server::{Observer as ObserverService, ObserverServer};
use thiserror::Error;
use tokio::sync::{Semaphore, watch};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::{Request, Response, Status};

use crate::attempt::seconds;
use crate::endpoints::EndpointClient;
use crate::held_streams::HeldStreams;
use crate::log_relay::LogRelay;
use crate::metrics::ObserverMetrics;
use crate::origin_log::OriginLog;
use crate::poison::{CrashReports, CrashSuspects};
use crate::rollout_exchange::{OrderEvidence, ReportedEvidence};
use crate::store_feed::RecordLog;

/// Interval at which the engine is polled. It is short, as requests from the
/// engine's own host are free.
const POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Interval while announced runs have produced no event, so that gateways soon learn of those
/// that have.
const PENDING_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// Shortest time between two reports to one gateway that differ in announced runs, with up to
/// [`FULL_RATE_FOLLOWERS`].
const ANNOUNCEMENT_REPORT_INTERVAL: Duration = Duration::from_millis(10);
/// Shortest time between two reports to one gateway that differ only in load.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(240);
/// Number of gateways up to which each gets reports at that interval. With more, the
/// interval grows, so that the rate of all reports stays the same.
const FULL_RATE_FOLLOWERS: u32 = 32;
/// Longest time between two reports.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// Longest request of a gateway. The largest are reports of all crashes that it knows of.
const MESSAGE_MAX_BYTES: usize = 256 * 1024;
/// Memory for all requests that are being received.
const MESSAGES_MEMORY: ByteCount = ByteCount::new(8 * 1024 * 1024);
/// Longest id of an announced run.
const RUN_ID_MAX_BYTES: usize = 256;
/// Longest time that a gateway may hold the engine's link.
const LINK_HOLD_MAX: Duration = Duration::from_millis(1_000);

/// The observer could not start.
#[derive(Debug, Error)]
pub enum ObserverError {
    /// A thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// Listening at the address failed.
    #[error("listening at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// Data sources of an observer, created on the thread that polls the engine.
pub struct ObserverSources {
    /// The client that polls the engine.
    pub engine_client: Rc<dyn EndpointClient>,
    /// The platform's log, if the observer reads it for gateways.
    pub log: Option<Rc<dyn RecordLog>>,
    /// The log with the versions that began streams, if the observer appends them for gateways.
    pub origin_log: Option<Rc<dyn OriginLog>>,
}

/// Options of an observer.
#[derive(Debug, Clone)]
pub struct ObserverOptions {
    /// The observer's metrics.
    pub metrics: ObserverMetrics,
    /// The address for gateways.
    pub listen: SocketAddr,
    /// The address of the engine.
    pub engine: SocketAddr,
    /// The clock for all deadlines.
    pub clock: BootClock,
}

/// A running observer.
#[derive(Debug)]
pub struct Observer {
    _engine: WorkerThread,
    _gateways: WorkerThread,
}

impl Observer {
    /// Starts the threads. `sources` is called on the thread that polls the engine.
    ///
    /// # Errors
    /// The address can't be bound or a thread can't be started.
    pub fn start(
        options: ObserverOptions,
        sources: impl FnOnce() -> ObserverSources + Send + 'static,
    ) -> Result<Self, ObserverError> {
        let address = options.listen;
        let listen = |source| ObserverError::Listen { address, source };
        let listener = std::net::TcpListener::bind(address).map_err(listen)?;
        listener.set_nonblocking(true).map_err(listen)?;
        let (reports, latest) = watch::channel(LatestReport::default());
        let shared = Shared {
            metrics: options.metrics.clone(),
            followers: Arc::new(AtomicU32::new(0)),
            suspects: Arc::default(),
            announced: Arc::default(),
            reports,
            rollouts: Arc::default(),
        };
        let poll_state = shared.clone();
        let clock = options.clock;
        let relay = LogRelay::new(clock);
        let held_streams = HeldStreams::new(clock, options.metrics.clone());
        let engine = spawn_io("engine", {
            let (relay, held_streams) = (relay.clone(), held_streams.clone());
            move || {
                let sources = sources();
                async move {
                    if let Some(log) = sources.log {
                        tokio::task::spawn_local(relay.run(log));
                    }
                    if let Some(log) = sources.origin_log {
                        tokio::task::spawn_local(held_streams.run(log));
                    }
                    poll_engine(options, sources.engine_client, poll_state).await;
                }
            }
        })?;
        let service = Service {
            clock,
            latest,
            shared,
            link: Arc::new(Semaphore::new(1)),
            relay,
            held_streams,
        };
        let gateways = spawn_io("gateways", move || serve_gateways(listener, service))?;
        Ok(Self {
            _engine: engine,
            _gateways: gateways,
        })
    }
}

/// Polls the engine for ever and publishes its reports.
async fn poll_engine(
    options: ObserverOptions,
    engine_client: Rc<dyn EndpointClient>,
    shared: Shared,
) {
    let mut reachable = None;
    let mut token_meter = TokenMeter::default();
    loop {
        let now = options.clock.now();
        let response = engine_client.inspect(options.engine, now).await;
        let took = options.clock.now().since(now);
        let mut report = match response {
            Ok(report) => {
                shared.metrics.response_s.observe(seconds(took));
                shared.update_announced(|runs| {
                    runs.apply_report(now, report.started_at_ms, &report.runs, report.waiting);
                });
                let interval = token_meter.record(now, report.started_at_ms, &report.runs);
                LatestReport::new(&report, interval)
            }
            Err(error) => {
                shared.metrics.unanswered.inc();
                if reachable != Some(false) {
                    log::warn!(engine:% = options.engine; "failed to poll the engine: {error}");
                }
                LatestReport::default()
            }
        };
        let message = &mut report.message;
        if reachable != Some(message.reachable) {
            log::info!(engine:% = options.engine, reachable = message.reachable; "engine seen");
            reachable = Some(message.reachable);
        }
        message.followers = shared.followers.load(Ordering::Relaxed);
        shared.metrics.followers.set(message.followers.into());
        let crashes = v1::AccuseRequest::from(&shared.crash_reports(now));
        message.rumours = crashes.rumours;
        message.part_crashes = crashes.part_crashes;
        let pending_runs = shared.set_announced(message);
        message.rollouts = shared.rollout_sums(now);
        shared.reports.send_if_modified(|before| {
            if report.message.leaving != before.message.leaving {
                let gone_in_ms = report.gone_in_ms(options.clock.now());
                log::info!(engine:% = options.engine, leaving = report.message.leaving, gone_in_ms:? = gone_in_ms; "engine changed stage");
            }
            let differs = *before != report;
            *before = report;
            differs
        });
        let interval = if pending_runs > 0 {
            PENDING_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        tokio::time::sleep(interval).await;
    }
}

/// The latest report of the engine. A report may be sent long after its poll and more than
/// once, so it holds the time at which the engine terminates; the time left is computed when it
/// is sent.
#[derive(Debug, Clone, Default, PartialEq)]
struct LatestReport {
    /// The report as it is sent, without the time left.
    message: v1::EngineReport,
    /// When the engine terminates, if it said so.
    terminates_at: Option<Time>,
}

impl LatestReport {
    fn new(report: &EngineReport, token_interval: Option<Span>) -> Self {
        let (leaving, terminates_at) = match report.stage {
            EngineStage::Serving => (false, None),
            EngineStage::Leaving { at } => (true, at),
        };
        let message = v1::EngineReport {
            reachable: true,
            leaving,
            gone_in_ms: None,
            born_ms: report.started_at_ms,
            running: report.running,
            waiting: report.waiting,
            memory_used_tokens: report.memory_used.get(),
            memory_total_tokens: report.memory_total.get(),
            followers: 0,
            rumours: Vec::new(),
            part_crashes: Vec::new(),
            token_interval_us: token_interval
                .map(|interval| u32::try_from(interval.as_us()).unwrap_or(u32::MAX)),
            prefilling: report.prefilling,
            next_prompt_tokens: report.next_prompt.map(TokenCount::get),
            announced_runs: 0,
            announced_prompt_tokens: 0,
            rollouts: Vec::new(),
        };
        Self {
            message,
            terminates_at,
        }
    }

    fn gone_in_ms(&self, now: Time) -> Option<u64> {
        self.terminates_at.map(|at| at.since(now).as_ms())
    }

    /// Returns the message to send to a gateway that was `sent` a report before.
    fn to_message(&self, now: Time, sent: Option<&Self>) -> v1::EngineReport {
        let message = v1::EngineReport {
            gone_in_ms: self.gone_in_ms(now),
            ..self.message.clone()
        };
        without_known_reports(message, sent.map(|sent| &sent.message))
    }
}

/// Serves gateways for ever.
async fn serve_gateways(listener: std::net::TcpListener, service: Service) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("cannot listen for gateways: {error}");
            return;
        }
    };
    let served = tonic::transport::Server::builder()
        .tcp_nodelay(true)
        .http2_keepalive_interval(Some(Duration::from_secs(2)))
        .http2_keepalive_timeout(Some(Duration::from_secs(2)))
        .add_service(BoundedGrpc::new(
            ObserverServer::new(service).max_decoding_message_size(MESSAGE_MAX_BYTES),
            BodyBudget::new(MESSAGES_MEMORY),
        ))
        .serve_with_incoming(TcpListenerStream::new(listener));
    if let Err(error) = served.await {
        log::error!("serving gateways failed: {error}");
    }
}

/// State shared by the two threads.
#[derive(Clone)]
struct Shared {
    metrics: ObserverMetrics,
    followers: Arc<AtomicU32>,
    suspects: Arc<Mutex<CrashSuspects>>,
    announced: Arc<Mutex<AnnouncedRuns>>,
    reports: watch::Sender<LatestReport>,
    rollouts: Arc<Mutex<ReportedEvidence>>,
}

impl Shared {
    /// Returns the known reports of crashes.
    fn crash_reports(&self, now: Time) -> CrashReports {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.expire(now);
        suspects.reports()
    }

    fn update_announced(&self, action: impl FnOnce(&mut AnnouncedRuns)) {
        let mut announced = self
            .announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        action(&mut announced);
    }

    /// Sets the announced runs in a report. Returns their number.
    fn set_announced(&self, report: &mut v1::EngineReport) -> u32 {
        let announced = self
            .announced
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        report.announced_runs = announced.pending_runs();
        report.announced_prompt_tokens = announced.pending_tokens().get();
        report.announced_runs
    }

    /// Adds an announced run to the latest report, so that all gateways soon know of it.
    fn announce(&self, now: Time, run: String, prompt: TokenCount) {
        self.update_announced(|runs| {
            if !runs.announce(now, run, prompt) {
                log::debug!("an announced run is not kept, as there are too many");
            }
        });
        self.reports.send_if_modified(|report| {
            let before = report.message.announced_runs;
            self.set_announced(&mut report.message) != before
        });
    }

    fn merge_crash_reports(&self, now: Time, reports: &CrashReports) {
        let mut suspects = self.suspects.lock().unwrap_or_else(PoisonError::into_inner);
        suspects.merge(now, reports);
    }
}

impl Shared {
    fn record_rollouts(&self, now: Time, gateway: &str, reported: Vec<OrderEvidence>) {
        let mut rollouts = self.rollouts.lock().unwrap_or_else(PoisonError::into_inner);
        rollouts.record(now, gateway, reported);
    }

    /// Returns the sums of the counters of roll-outs over all gateways.
    fn rollout_sums(&self, now: Time) -> Vec<v1::RolloutEvidence> {
        let mut rollouts = self.rollouts.lock().unwrap_or_else(PoisonError::into_inner);
        rollouts.sums(now).iter().map(Into::into).collect()
    }
}

/// The gRPC service for gateways.
struct Service {
    clock: BootClock,
    latest: watch::Receiver<LatestReport>,
    shared: Shared,
    /// The engine's link for copies. It is granted in order of arrival.
    link: Arc<Semaphore>,
    relay: LogRelay,
    held_streams: HeldStreams,
}

/// Decrements the follower count when dropped.
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
        let request = request.into_inner();
        let reports = CrashReports::from_wire(&request.rumours, &request.part_crashes);
        self.shared.merge_crash_reports(self.clock.now(), &reports);
        Ok(Response::new(v1::AccuseReply {}))
    }

    async fn announce_run(
        &self,
        request: Request<v1::AnnounceRunRequest>,
    ) -> Result<Response<v1::AnnounceRunReply>, Status> {
        let request = request.into_inner();
        if request.run.len() > RUN_ID_MAX_BYTES {
            return Err(Status::invalid_argument("the id of the run is too long"));
        }
        let prompt = TokenCount::new(request.prompt_tokens);
        self.shared.announce(self.clock.now(), request.run, prompt);
        Ok(Response::new(v1::AnnounceRunReply {}))
    }

    async fn report_rollout(
        &self,
        request: Request<v1::ReportRolloutRequest>,
    ) -> Result<Response<v1::ReportRolloutReply>, Status> {
        let request = request.into_inner();
        let reported = OrderEvidence::from_wire(&request.rollouts);
        self.shared
            .record_rollouts(self.clock.now(), &request.entry, reported);
        Ok(Response::new(v1::ReportRolloutReply {}))
    }

    async fn read_log(
        &self,
        request: Request<v1::ReadLogRequest>,
    ) -> Result<Response<v1::ReadLogReply>, Status> {
        let reply = self.relay.serve(request.into_inner()).await?;
        Ok(Response::new(reply))
    }

    async fn hold_streams(
        &self,
        request: Request<v1::HoldStreamsRequest>,
    ) -> Result<Response<v1::HoldStreamsReply>, Status> {
        let reply = self.held_streams.hold(request.get_ref())?;
        Ok(Response::new(reply))
    }

    async fn find_stream(
        &self,
        request: Request<v1::FindStreamRequest>,
    ) -> Result<Response<v1::FindStreamReply>, Status> {
        let reply = self.held_streams.find(request.get_ref())?;
        Ok(Response::new(reply))
    }

    type HoldLinkStream = BoxStream<'static, Result<v1::LinkGranted, Status>>;

    async fn hold_link(
        &self,
        request: Request<v1::HoldLinkRequest>,
    ) -> Result<Response<Self::HoldLinkStream>, Status> {
        let entry = request.into_inner().entry;
        self.shared.metrics.link_requests.inc();
        let link = Arc::clone(&self.link);
        let grant = futures_util::stream::once(async move {
            let grant = link.acquire_owned().await;
            grant.map_err(|_| Status::unavailable("the observer ends"))
        });
        let held = grant.flat_map(move |grant| {
            log::debug!(gateway = entry.as_str(); "gateway acquired the lock on the engine's link");
            let granted = futures_util::stream::once(std::future::ready(
                grant
                    .as_ref()
                    .map(|_| v1::LinkGranted {})
                    .map_err(Clone::clone),
            ));
            let end = futures_util::stream::once(async move {
                let _grant = grant;
                tokio::time::sleep(LINK_HOLD_MAX).await;
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
        log::info!(gateway = entry.as_str(); "gateway connected");
        self.shared.followers.fetch_add(1, Ordering::Relaxed);
        let follower = Follower(Arc::clone(&self.shared.followers));
        let state = (self.latest.clone(), follower, None);
        let clock = self.clock;
        let reports =
            futures_util::stream::unfold(state, move |(mut latest, follower, sent)| async move {
                let report = next_report(&mut latest, sent.as_ref()).await?;
                let message = report.to_message(clock.now(), sent.as_ref());
                Some((Ok(message), (latest, follower, Some(report))))
            });
        Ok(Response::new(reports.boxed()))
    }
}

/// The shortest time between two reports to each of `followers` gateways that differ
/// only in load.
fn load_report_interval(followers: u32) -> Duration {
    let interval = LOAD_REPORT_INTERVAL * followers / FULL_RATE_FOLLOWERS;
    interval.clamp(LOAD_REPORT_INTERVAL, HEARTBEAT_INTERVAL)
}

/// The shortest time between two reports to each of `followers` gateways that differ in
/// announced runs.
fn announcement_interval(followers: u32) -> Duration {
    let interval = ANNOUNCEMENT_REPORT_INTERVAL * followers / FULL_RATE_FOLLOWERS;
    interval.clamp(ANNOUNCEMENT_REPORT_INTERVAL, HEARTBEAT_INTERVAL)
}

/// Leaves out the crash reports that the gateway has from the report that was `sent`
/// before.
fn without_known_reports(
    mut report: v1::EngineReport,
    sent: Option<&v1::EngineReport>,
) -> v1::EngineReport {
    let Some(sent) = sent else {
        return report;
    };
    retain_new(&mut report.rumours, &sent.rumours);
    retain_new(&mut report.part_crashes, &sent.part_crashes);
    report
}

fn retain_new(texts: &mut Vec<String>, sent: &[String]) {
    let sent: BTreeSet<_> = sent.iter().collect();
    texts.retain(|text| !sent.contains(text));
}

/// Waits for the next report to send to a gateway: a change of stage, boot or
/// crash reports at once, a change of load at most every
/// [`load_report_interval`], and any report every [`HEARTBEAT_INTERVAL`].
async fn next_report(
    latest: &mut watch::Receiver<LatestReport>,
    sent: Option<&LatestReport>,
) -> Option<LatestReport> {
    let Some(sent) = sent else {
        return Some(latest.borrow_and_update().clone());
    };
    let started = tokio::time::Instant::now();
    loop {
        let elapsed = started.elapsed();
        let report = latest.borrow_and_update().clone();
        let (new, known) = (&report.message, &sent.message);
        let interval = if new.announced_prompt_tokens == known.announced_prompt_tokens {
            load_report_interval(known.followers)
        } else {
            announcement_interval(known.followers)
        };
        let urgent = new.leaving != known.leaving
            || new.reachable != known.reachable
            || new.rumours != known.rumours
            || new.part_crashes != known.part_crashes
            || new.born_ms != known.born_ms;
        if urgent || elapsed >= HEARTBEAT_INTERVAL || (elapsed >= interval && report != *sent) {
            return Some(report);
        }
        let next = if elapsed < interval {
            interval
        } else {
            HEARTBEAT_INTERVAL
        };
        let pause = next.saturating_sub(elapsed);
        if let Ok(Err(_)) = tokio::time::timeout(pause, latest.changed()).await {
            return None;
        }
    }
}
