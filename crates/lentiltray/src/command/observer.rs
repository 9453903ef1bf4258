//! The `lentiltray observer` subcommand.

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Parser;
use eyre::Context;
use lentil_adapter::{HttpEndpointClient, MetricsHandler, StoreClient};
use lentil_gateway::{
    ConnectionPool, Connections, Observer, ObserverMetrics, ObserverOptions, ObserverSources,
    OriginLog, RecordLog, ShutdownStage, serve,
};
use lentil_settings::NodeRole;
use lentil_shell::{BootClock, StopSignals, spawn_io};
use tokio::sync::watch;

use super::{load_node, settings_file};

/// Maximum number of open connections to the metrics page.
const MAX_METRICS_CONNECTIONS: usize = 16;
/// Idle timeout of connections to the metrics page.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of `lentiltray observer`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    settings: PathBuf,
}

/// Returns the parser of the command-line options.
pub(crate) fn options() -> impl Parser<Options> {
    settings_file().map(|settings| Options { settings })
}

/// Runs the observer until the process receives a stop signal.
pub(crate) fn execute(options: &Options, mut signals: StopSignals) -> eyre::Result<ExitCode> {
    let node = match load_node(&options.settings) {
        Ok(node) => node,
        Err(code) => return Ok(code),
    };
    let NodeRole::Observer(settings) = node.role else {
        eyre::bail!("the settings have no `observer` section");
    };
    let clock = BootClock::start();
    let counters = ObserverMetrics::default();
    let metrics = TcpListener::bind(settings.metrics)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .with_context(|| format!("binding {}", settings.metrics))?;
    let metrics_address = metrics.local_addr().context("reading the bound address")?;
    let options = ObserverOptions {
        metrics: counters.clone(),
        listen: settings.listen,
        engine: settings.engine,
        clock,
    };
    let store = settings.store;
    let _observer = Observer::start(options, move || {
        let pool = ConnectionPool::default();
        let store = store.map(|store| Rc::new(StoreClient::new(pool.clone(), store, clock)));
        ObserverSources {
            log: store.clone().map(|store| -> Rc<dyn RecordLog> { store }),
            origin_log: store.map(|store| -> Rc<dyn OriginLog> { store }),
            engine_client: Rc::new(HttpEndpointClient::new(pool, clock)),
        }
    })
    .context("starting the observer")?;
    let (_stage_sender, stage) = watch::channel(ShutdownStage::Serving);
    spawn_io("metrics", move || serve_metrics(metrics, counters, stage))?;
    log::info!(name = node.name.as_str(), engine:% = settings.engine, metrics:% = metrics_address; "observer started");
    signals.wait();
    log::info!(name = node.name.as_str(); "observer is stopping");
    Ok(ExitCode::SUCCESS)
}

/// Serves the metrics page until the process exits.
async fn serve_metrics(
    listener: TcpListener,
    counters: ObserverMetrics,
    stage: watch::Receiver<ShutdownStage>,
) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            let page = Rc::new(MetricsHandler::new(counters));
            let connections = Rc::new(Connections::new(MAX_METRICS_CONNECTIONS, IDLE_TIMEOUT));
            serve(listener, page, connections, stage).await;
        }
        Err(error) => log::error!("failed to serve metrics: {error}"),
    }
}
