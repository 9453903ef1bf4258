//! `lentiltray entry`

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;
use eyre::Context;
use lentil_entry::Entry;
use lentil_shell::StopSignals;

use super::{load_settings, prepare, settings_file};

/// Options of `lentiltray entry`.
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
    let entry = Entry::start(&settings).context("starting the entry")?;
    log::info!(
        name:% = settings.name,
        callers:% = entry.address(),
        operations:% = entry.operations();
        "entry started"
    );
    signals.wait();
    log::info!(name:% = settings.name; "entry stops");
    signals.enforce(grace)?;
    entry.stop().context("stopping the entry")?;
    Ok(ExitCode::SUCCESS)
}
