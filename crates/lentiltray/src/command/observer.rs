//! `lentiltray observer`

use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use bpaf::Parser;
use eyre::Context;
use lentil_adapter::HttpEndpoints;
use lentil_gateway::{Observer, ObserverOptions, Pool};
use lentil_settings::NodeRole;
use lentil_shell::{BootClock, StopSignals};

use super::{load_node, settings_file};

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
pub(crate) fn execute(options: &Options) -> eyre::Result<ExitCode> {
    let node = match load_node(&options.settings) {
        Ok(node) => node,
        Err(code) => return Ok(code),
    };
    let NodeRole::Observer(settings) = node.role else {
        eyre::bail!("the settings have no section observer");
    };
    let mut signals = StopSignals::listen().context("listening to signals")?;
    let clock = BootClock::start();
    let options = ObserverOptions {
        listen: settings.listen,
        engine: settings.engine,
        clock,
    };
    let _observer = Observer::start(options, move || {
        Rc::new(HttpEndpoints::new(Pool::default(), clock))
    })
    .context("starting the observer")?;
    log::info!(name = node.name.as_str(), engine:% = settings.engine; "observer started");
    signals.wait();
    log::info!(name = node.name.as_str(); "observer stops");
    Ok(ExitCode::SUCCESS)
}
