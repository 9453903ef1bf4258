//! The `lentiltray gateway` subcommand.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bpaf::Parser;
use eyre::Context;
use lentil_adapter::{
    CallerHandler, DefaultVersions, EndpointFeed, HttpEndpointClient, MetricsHandler, OperatorFeed,
    ReadinessHandler, StoreClient, has_memory_pressure,
};
use lentil_core::Span;
use lentil_fleet::{FleetConfig, RetryBudgetConfig};
use lentil_gateway::{
    ConnectionPool, Connections, ControlOptions, ControlSources, ControlThread, Gateway,
    GatewayBounds, GatewayMetrics, GatewayOptions, Handler, RelayDirectory, RelayedLog,
    RolloutBounds, ShutdownStage, StopPlan, StoreRestores, serve,
};
use lentil_settings::{Node, NodeRole};
use lentil_shell::{BodyBudget, BootClock, Eviction, SignalAction, StopSignals, spawn_io};
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot, watch};

use super::{load_node, settings_file};

/// Maximum number of open connections from callers. The remaining file descriptors
/// are left for connections to endpoints.
const MAX_CALLER_CONNECTIONS: usize = 2_800;
/// Maximum number of open connections to each of the readiness and metrics pages.
const MAX_PAGE_CONNECTIONS: usize = 32;
/// Idle timeout of connections until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for the load balancer to stop sending new callers: it checks readiness once
/// a second and takes a gateway out after two failed checks.
const BALANCER_DRAIN_DELAY: Duration = Duration::from_millis(2_300);
/// How long before the end of the grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);
/// How long before that the last answers are sent.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(300);
/// Time after the last failed request to the store within which records that expired are
/// back: the platform promises about two seconds, and the topic is read every 0.7 s. Three
/// seconds after the store served it again, a gateway must know each removal.
const RECORD_RETURN: Span = Span::from_ms(2_900);
/// Time since its last renewal after which a record may expire, in percent of the interval
/// at which endpoints renew their records. The platform removes a record after three missed
/// intervals, which are approximate.
const RECORD_TTL_PERCENT: u64 = 250;

/// Options of `lentiltray gateway`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    settings: PathBuf,
}

/// Returns the parser of the command-line options.
pub(crate) fn options() -> impl Parser<Options> {
    settings_file().map(|settings| Options { settings })
}

/// Runs the gateway until the process receives a stop signal.
pub(crate) fn execute(options: &Options, mut signals: StopSignals) -> eyre::Result<ExitCode> {
    let node = match load_node(&options.settings) {
        Ok(node) => node,
        Err(code) => return Ok(code),
    };
    let NodeRole::Gateway(settings) = node.role.clone() else {
        eyre::bail!("the settings have no `gateway` section");
    };
    let (stop, stop_requested) = oneshot::channel();
    let server_thread = spawn_io("callers", {
        let node = node.clone();
        move || async move {
            if let Err(error) = run(node, settings, stop_requested).await {
                log::error!("gateway failed: {error:#}");
                std::process::exit(1);
            }
        }
    })?;
    while signals.wait_any() == SignalAction::Reload {
        reload(&options.settings, &node);
    }
    if stop.send(()).is_err() {
        log::warn!("the server for callers had already exited when the stop signal arrived");
    }
    server_thread.join()?;
    Ok(ExitCode::SUCCESS)
}

fn bounds(settings: &lentil_settings::Gateway) -> GatewayBounds {
    GatewayBounds {
        revocation_timeout: settings.revoke,
        receiver_link_timeout: settings.receiver_wait,
        stream_stall_timeout: settings.stream_stall,
        backup_copies: settings.backup_copies,
        memory_pressure: has_memory_pressure(&settings.contracts),
        fleet: FleetConfig {
            cold_slack: settings.cold_slack_per_s,
            drain: settings.drain,
            record_ttl: Span::from_ms(settings.renewal.as_ms() / 100 * RECORD_TTL_PERCENT),
            record_return: RECORD_RETURN,
            adaptive: has_memory_pressure(&settings.contracts),
        },
        budget: RetryBudgetConfig {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
        },
        rollouts: settings.rollouts.map(|limits| RolloutBounds {
            exposure_share: limits.exposure_share,
            exposure_slack: whole(limits.exposure_slack),
            rollback: limits.rollback,
        }),
    }
}

/// Rounds a number of requests down.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
const fn whole(number: f64) -> u32 {
    number as u32
}

fn body_budget(settings: &lentil_settings::Gateway) -> BodyBudget {
    let eviction = if has_memory_pressure(&settings.contracts) {
        Eviction::LargestOrSlow
    } else {
        Eviction::Largest
    };
    BodyBudget::with_eviction(settings.body_memory, eviction)
}

fn start_control(
    node: &Node,
    settings: &lentil_settings::Gateway,
    clock: BootClock,
    defaults_wanted: Arc<Notify>,
) -> eyre::Result<ControlThread> {
    let options = ControlOptions {
        name: node.name.clone(),
        clock,
        observer_port: settings.observer_port,
        zone: node.zone.clone(),
        followed_engines_max: usize::try_from(settings.followed_engines_max)?,
        defaults_wanted,
    };
    let address = settings.store;
    let sharing = (settings.direct_readers_max, bounds(settings).config_trust());
    Ok(ControlThread::start(options, move || {
        let pool = ConnectionPool::default();
        let store = StoreClient::new(pool.clone(), address, clock);
        let relays = Rc::<RelayDirectory>::default();
        let restores = StoreRestores::new(clock);
        let log = || {
            let store = Box::new(store.clone());
            Box::new(RelayedLog::new(store, Rc::clone(&relays), clock, sharing))
        };
        ControlSources {
            operator_changes: Box::new(OperatorFeed::new(log(), clock, Rc::clone(&restores))),
            endpoint_changes: Box::new(EndpointFeed::new(log(), clock, Rc::clone(&restores))),
            default_versions: Box::new(DefaultVersions::new(log())),
            engine_client: Rc::new(HttpEndpointClient::new(pool, clock)),
            relays,
            restores,
            restore_log: Box::new(store.clone()),
        }
    })?)
}

/// The address to listen at, with the handler and the connection limits.
struct ListenerConfig {
    address: SocketAddr,
    handler: Rc<dyn Handler>,
    connections: Rc<Connections>,
}

/// A bound listener and the task that serves it.
struct BoundListener {
    bound: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

async fn listen(
    config: ListenerConfig,
    stage: watch::Receiver<ShutdownStage>,
) -> eyre::Result<BoundListener> {
    let listener = TcpListener::bind(config.address)
        .await
        .with_context(|| format!("binding {}", config.address))?;
    let bound = listener.local_addr().context("reading the bound address")?;
    let served = serve(listener, config.handler, config.connections, stage);
    let task = tokio::task::spawn_local(served);
    Ok(BoundListener { bound, task })
}

fn page_connections() -> Rc<Connections> {
    Rc::new(Connections::new(MAX_PAGE_CONNECTIONS, DEFAULT_IDLE_TIMEOUT))
}

async fn run(
    node: Node,
    settings: lentil_settings::Gateway,
    stop_requested: oneshot::Receiver<()>,
) -> eyre::Result<()> {
    let clock = BootClock::start();
    let counters = GatewayMetrics::default();
    let store = Rc::new(StoreClient::new(
        ConnectionPool::default(),
        settings.store,
        clock,
    ));
    let gateway = Gateway::new(GatewayOptions {
        name: node.name.clone(),
        observer_port: settings.observer_port,
        zone: node.zone.clone(),
        bounds: bounds(&settings),
        clock,
        endpoint_client: Rc::new(HttpEndpointClient::new(ConnectionPool::default(), clock)),
        status_log: Rc::clone(&store) as Rc<_>,
        origin_log: store,
        metrics: counters.clone(),
    });
    let control = start_control(&node, &settings, clock, gateway.defaults_wanted())?;
    tokio::task::spawn_local(control.apply_updates(Rc::clone(&gateway)));
    tokio::task::spawn_local(Rc::clone(&gateway).run_timers());
    let (stage, callers_stage) = watch::channel(ShutdownStage::Serving);
    // The pages are served until the process exits.
    let (_pages_stage_sender, pages_stage) = watch::channel(ShutdownStage::Serving);
    let connections = Rc::new(Connections::new(
        MAX_CALLER_CONNECTIONS,
        DEFAULT_IDLE_TIMEOUT,
    ));
    let readiness = ListenerConfig {
        address: settings.readiness,
        handler: Rc::new(ReadinessHandler::new(Rc::clone(&gateway))),
        connections: page_connections(),
    };
    let readiness = listen(readiness, pages_stage.clone()).await?;
    let metrics = ListenerConfig {
        address: settings.metrics,
        handler: Rc::new(MetricsHandler::new(counters)),
        connections: page_connections(),
    };
    let metrics = listen(metrics, pages_stage).await?;
    let callers = ListenerConfig {
        address: settings.callers,
        handler: Rc::new(CallerHandler::new(
            Rc::clone(&gateway),
            Rc::clone(&connections),
            body_budget(&settings),
        )),
        connections,
    };
    let caller_listener = listen(callers, callers_stage).await?;
    log::info!(
        name = node.name.as_str(),
        zone:% = node.zone,
        callers:% = caller_listener.bound,
        readiness:% = readiness.bound,
        metrics:% = metrics.bound;
        "gateway started"
    );
    stop_requested
        .await
        .context("waiting for the stop request")?;
    log::info!(name = node.name.as_str(), connections_drain_ms = BALANCER_DRAIN_DELAY.as_millis(); "gateway is stopping");
    let deadline =
        tokio::time::Instant::now() + Duration::from(settings.grace).saturating_sub(EXIT_MARGIN);
    let now = clock.now();
    gateway.stop(StopPlan {
        closes_at: now + span(BALANCER_DRAIN_DELAY),
        last_answers_at: now + settings.grace - span(EXIT_MARGIN) - span(LAST_ANSWER_MARGIN),
    });
    stage.send_replace(ShutdownStage::Draining);
    tokio::time::sleep(BALANCER_DRAIN_DELAY).await;
    stage.send_replace(ShutdownStage::Closing);
    match tokio::time::timeout_at(deadline, caller_listener.task).await {
        Ok(_) => log::info!("gateway stopped; no request was interrupted"),
        Err(_) => log::warn!("gateway stopped; the grace period ended with requests still running"),
    }
    std::process::exit(0);
}

fn span(duration: Duration) -> Span {
    Span::from_us(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
}

/// Reloads the settings and logs whether they changed. Changes take effect only
/// after a restart.
fn reload(path: &std::path::Path, node: &Node) {
    match lentil_settings::load_node(path) {
        Ok(reloaded) if reloaded == *node => log::info!("settings reloaded; nothing changed"),
        Ok(_) => log::warn!("settings changed; restart the gateway to apply them"),
        Err(error) => log::error!("failed to reload settings; keeping the current ones: {error}"),
    }
}
