//! The `lentiltray agent` subcommand.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use eyre::Context;
use lentil_agent::Agent;
use lentil_shell::StopSignals;

use super::{load_settings, settings_file, start_telemetry};

/// Options of `lentiltray agent`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    settings: PathBuf,
}

/// Returns the parser of the command-line options.
pub(crate) fn options() -> impl Parser<Options> {
    settings_file().map(|settings| Options { settings })
}

/// Runs the agent until the process receives a stop signal.
pub(crate) fn execute(options: &Options, mut signals: StopSignals) -> eyre::Result<ExitCode> {
    let settings = match load_settings(&options.settings) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    let grace = start_telemetry(&settings)?;
    let agent = Agent::start(&settings).context("starting the agent")?;
    log::info!(
        name:% = settings.name,
        peers:% = agent.peers(),
        operations:% = agent.operations();
        "agent started"
    );
    signals.wait();
    log::info!(name:% = settings.name; "agent is stopping");
    signals.enforce(grace)?;
    agent.stop().context("stopping the agent")?;
    Ok(ExitCode::SUCCESS)
}
