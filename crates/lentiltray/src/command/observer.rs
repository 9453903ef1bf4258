//! `lentiltray observer`

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use bpaf::Parser;
use eyre::Context;
use lentil_adapter::{HttpEndpointClient, MetricsHandler};
use lentil_gateway::{
    ConnectionPool, Connections, Observer, ObserverMetrics, ObserverOptions, ShutdownStage, serve,
};
use lentil_settings::NodeRole;
use lentil_shell::{BootClock, StopSignals, spawn_io};
use tokio::sync::watch;

use super::{load_node, settings_file};

/// Connections to the metrics page.
const PAGES_MAX: usize = 16;
/// Idle time of connections to the metrics page.
const IDLE: Duration = Duration::from_secs(20);

/// Options of `lentiltray observer`.
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
    let NodeRole::Observer(settings) = node.role else {
        eyre::bail!("the settings have no section observer");
    };
    let clock = BootClock::start();
    let counters = ObserverMetrics::default();
    let metrics = TcpListener::bind(settings.metrics)
        .and_then(|listener| listener.set_nonblocking(true).map(|()| listener))
        .with_context(|| format!("listening at {}", settings.metrics))?;
    let bound = metrics.local_addr().context("reading a bound address")?;
    let options = ObserverOptions {
        metrics: counters.clone(),
        listen: settings.listen,
        engine: settings.engine,
        clock,
    };
    let _observer = Observer::start(options, move || {
        Rc::new(HttpEndpointClient::new(ConnectionPool::default(), clock))
    })
    .context("starting the observer")?;
    let (_ending, stage) = watch::channel(ShutdownStage::Serving);
    spawn_io("metrics", move || show(metrics, counters, stage))?;
    log::info!(name = node.name.as_str(), engine:% = settings.engine, metrics:% = bound; "observer started");
    signals.wait();
    log::info!(name = node.name.as_str(); "observer stops");
    Ok(ExitCode::SUCCESS)
}

/// Shows the metrics until the process ends.
async fn show(
    listener: TcpListener,
    counters: ObserverMetrics,
    stage: watch::Receiver<ShutdownStage>,
) {
    match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => {
            let page = Rc::new(MetricsHandler::new(counters));
            let connections = Rc::new(Connections::new(PAGES_MAX, IDLE));
            serve(listener, page, connections, stage).await;
        }
        Err(error) => log::error!("showing metrics: {error}"),
    }
}
