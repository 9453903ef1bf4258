//! The `lentiltray entry` subcommand.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use eyre::Context;
use lentil_entry::Entry;
use lentil_shell::StopSignals;

use super::{load_settings, settings_file, start_telemetry};

/// Options of `lentiltray entry`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    settings: PathBuf,
}

/// Returns the parser of the command-line options.
pub(crate) fn options() -> impl Parser<Options> {
    settings_file().map(|settings| Options { settings })
}

/// Runs the entry until the process receives a stop signal.
pub(crate) fn execute(options: &Options, mut signals: StopSignals) -> eyre::Result<ExitCode> {
    let settings = match load_settings(&options.settings) {
        Ok(settings) => settings,
        Err(code) => return Ok(code),
    };
    let grace = start_telemetry(&settings)?;
    let entry = Entry::start(&settings).context("starting the entry")?;
    log::info!(
        name:% = settings.name,
        callers:% = entry.address(),
        operations:% = entry.operations();
        "entry started"
    );
    signals.wait();
    log::info!(name:% = settings.name; "entry is stopping");
    signals.enforce(grace)?;
    entry.stop().context("stopping the entry")?;
    Ok(ExitCode::SUCCESS)
}
