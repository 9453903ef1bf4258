//! `lentiltray agent`

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use eyre::Context;
use lentil_agent::Agent;
use lentil_shell::StopSignals;

use super::{load_settings, prepare, settings_file};

/// Options of `lentiltray agent`.
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
    let settings = match load_settings(&options.settings) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    let grace = prepare(&settings)?;
    let agent = Agent::start(&settings).context("starting the agent")?;
    log::info!(
        name:% = settings.name,
        peers:% = agent.peers(),
        operations:% = agent.operations();
        "agent started"
    );
    signals.wait();
    log::info!(name:% = settings.name; "agent stops");
    signals.enforce(grace)?;
    agent.stop().context("stopping the agent")?;
    Ok(ExitCode::SUCCESS)
}
