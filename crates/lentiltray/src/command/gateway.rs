//! `lentiltray gateway`

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Parser;
use eyre::Context;
use lentil_adapter::{
    CallerHandler, EndpointFeed, HttpEndpointClient, MetricsHandler, OperatorFeed,
    ReadinessHandler, StoreClient,
};
use lentil_core::Span;
use lentil_fleet::{FleetConfig, RetryBudgetConfig};
use lentil_gateway::{
    ConnectionPool, Connections, ControlOptions, ControlSources, ControlThread, Gateway,
    GatewayBounds, GatewayMetrics, GatewayOptions, Handler, ShutdownStage, serve,
};
use lentil_settings::{Node, NodeRole};
use lentil_shell::{BootClock, SignalAction, StopSignals, spawn_io};
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch};

use super::{load_node, settings_file};

/// Connections of callers; the rest of the descriptors is for endpoints.
const CALLERS_MAX: usize = 2_800;
/// Connections to the readiness and metrics pages.
const PAGES_MAX: usize = 32;
/// Idle time of connections before a configuration names one.
const IDLE_DEFAULT: Duration = Duration::from_secs(20);
/// Time in which the balancer notices that no more callers should come: it asks
/// once a second and counts two misses.
const NOTICE: Duration = Duration::from_millis(2_300);
/// Time before the end of the grace in which the process ends by itself.
const END_MARGIN: Duration = Duration::from_millis(400);
/// How long an entry that vanished while the store was disturbed is waited
/// for; the platform promises about two seconds.
const LAPSE_GRACE: Span = Span::from_ms(2_300);

/// Options of `lentiltray gateway`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    settings: PathBuf,
}

/// Declares the options.
pub(crate) fn options() -> impl Parser<Options> {
    settings_file().map(|settings| Options { settings })
}

/// Runs until the process is told to stop.
pub(crate) fn execute(options: &Options, mut signals: StopSignals) -> eyre::Result<ExitCode> {
    let node = match load_node(&options.settings) {
        Ok(node) => node,
        Err(code) => return Ok(code),
    };
    let NodeRole::Gateway(settings) = node.role.clone() else {
        eyre::bail!("the settings have no section gateway");
    };
    let (stop, told_to_stop) = oneshot::channel();
    let serving = spawn_io("callers", {
        let node = node.clone();
        move || async move {
            if let Err(error) = run(node, settings, told_to_stop).await {
                log::error!("the gateway ends: {error:#}");
                std::process::exit(1);
            }
        }
    })?;
    while signals.wait_any() == SignalAction::Reload {
        reload(&options.settings, &node);
    }
    if stop.send(()).is_err() {
        log::warn!("callers were served no more before the signal to stop");
    }
    serving.join()?;
    Ok(ExitCode::SUCCESS)
}

fn bounds(settings: &lentil_settings::Gateway) -> GatewayBounds {
    GatewayBounds {
        revocation_timeout: settings.revoke,
        receiver_link_timeout: settings.receiver_wait,
        fleet: FleetConfig {
            cold_slack: settings.cold_slack_per_s,
            drain: settings.drain,
            expiry_grace: LAPSE_GRACE,
        },
        budget: RetryBudgetConfig {
            ratio: settings.retry_ratio,
            slack: settings.retry_slack,
            window: settings.retry_window,
        },
    }
}

fn start_control(
    node: &Node,
    settings: &lentil_settings::Gateway,
    clock: BootClock,
) -> eyre::Result<ControlThread> {
    let options = ControlOptions {
        name: node.name.clone(),
        clock,
        observer_port: settings.observer_port,
    };
    let address = settings.store;
    Ok(ControlThread::start(options, move || {
        let pool = ConnectionPool::default();
        let store = StoreClient::new(pool.clone(), address);
        ControlSources {
            operator_changes: Box::new(OperatorFeed::new(store.clone())),
            endpoint_changes: Box::new(EndpointFeed::new(store)),
            engine_client: Rc::new(HttpEndpointClient::new(pool, clock)),
        }
    })?)
}

/// A listener and what answers its requests.
struct Site {
    address: SocketAddr,
    handler: Rc<dyn Handler>,
    connections: Rc<Connections>,
}

/// A listener that accepts connections.
struct Serving {
    bound: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

async fn listen(site: Site, stage: watch::Receiver<ShutdownStage>) -> eyre::Result<Serving> {
    let listener = TcpListener::bind(site.address)
        .await
        .with_context(|| format!("listening at {}", site.address))?;
    let bound = listener.local_addr().context("reading a bound address")?;
    let served = serve(listener, site.handler, site.connections, stage);
    let task = tokio::task::spawn_local(served);
    Ok(Serving { bound, task })
}

fn pages() -> Rc<Connections> {
    Rc::new(Connections::new(PAGES_MAX, IDLE_DEFAULT))
}

async fn run(
    node: Node,
    settings: lentil_settings::Gateway,
    told_to_stop: oneshot::Receiver<()>,
) -> eyre::Result<()> {
    let clock = BootClock::start();
    let counters = GatewayMetrics::default();
    let gateway = Gateway::new(GatewayOptions {
        name: node.name.clone(),
        observer_port: settings.observer_port,
        zone: node.zone.clone(),
        bounds: bounds(&settings),
        clock,
        endpoint_client: Rc::new(HttpEndpointClient::new(ConnectionPool::default(), clock)),
        metrics: counters.clone(),
    });
    let control = start_control(&node, &settings, clock)?;
    tokio::task::spawn_local(control.apply_updates(Rc::clone(&gateway)));
    tokio::task::spawn_local(Rc::clone(&gateway).run_timers());
    let (stage, seen) = watch::channel(ShutdownStage::Serving);
    // The pages go on until the process ends.
    let (_ending, pages_stage) = watch::channel(ShutdownStage::Serving);
    let connections = Rc::new(Connections::new(CALLERS_MAX, IDLE_DEFAULT));
    let readiness = Site {
        address: settings.readiness,
        handler: Rc::new(ReadinessHandler::new(Rc::clone(&gateway))),
        connections: pages(),
    };
    let readiness = listen(readiness, pages_stage.clone()).await?;
    let metrics = Site {
        address: settings.metrics,
        handler: Rc::new(MetricsHandler::new(counters)),
        connections: pages(),
    };
    let metrics = listen(metrics, pages_stage).await?;
    let callers = Site {
        address: settings.callers,
        handler: Rc::new(CallerHandler::new(
            Rc::clone(&gateway),
            Rc::clone(&connections),
        )),
        connections,
    };
    let serving = listen(callers, seen).await?;
    log::info!(
        name = node.name.as_str(),
        zone:% = node.zone,
        callers:% = serving.bound,
        readiness:% = readiness.bound,
        metrics:% = metrics.bound;
        "gateway started"
    );
    told_to_stop.await.context("waiting for the end")?;
    log::info!(name = node.name.as_str(), connections_drain_ms = NOTICE.as_millis(); "gateway stops");
    let end =
        tokio::time::Instant::now() + Duration::from(settings.grace).saturating_sub(END_MARGIN);
    gateway.stop();
    stage.send_replace(ShutdownStage::Draining);
    tokio::time::sleep(NOTICE).await;
    stage.send_replace(ShutdownStage::Closing);
    match tokio::time::timeout_at(end, serving.task).await {
        Ok(_) => log::info!("gateway ended; no request was cut"),
        Err(_) => log::warn!("gateway ends; requests outlast its grace"),
    }
    std::process::exit(0);
}

/// Reads the settings again; what they change takes a restart.
fn reload(path: &std::path::Path, node: &Node) {
    match lentil_settings::load_node(path) {
        Ok(read) if read == *node => log::info!("settings read again; nothing changed"),
        Ok(_) => log::warn!("settings changed; they are applied at the next start"),
        Err(error) => log::error!("settings not read again; the old ones hold: {error}"),
    }
}
