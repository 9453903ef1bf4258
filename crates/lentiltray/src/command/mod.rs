//! Subcommands of the daemon, a file each.

pub(crate) mod agent;
pub(crate) mod check;
pub(crate) mod entry;
pub(crate) mod gateway;
pub(crate) mod observer;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Parser;
use lentil_core::Span;
use lentil_settings::{LogFormat, Node, Process, Settings};
use lentil_shell::{start_logs, start_traces};

/// Exit code of a process whose settings are wrong.
const WRONG_SETTINGS: u8 = 2;

/// The option that names the settings file.
fn settings_file() -> impl Parser<PathBuf> {
    bpaf::long("settings")
        .help("Read settings from FILE")
        .argument::<PathBuf>("FILE")
}

/// Reads settings, or tells the first wrong one and gives the exit code.
fn load_settings(path: &Path) -> Result<Settings, ExitCode> {
    lentil_settings::load(path).map_err(|error| {
        eprintln!("{}: {error}", path.display());
        ExitCode::from(WRONG_SETTINGS)
    })
}

/// Reads the settings of a gateway or an observer and starts its logs, or tells
/// the first wrong setting and gives the exit code.
fn load_node(path: &Path) -> Result<Node, ExitCode> {
    let node = lentil_settings::load_node(path).map_err(|error| {
        eprintln!("{}: {error}", path.display());
        ExitCode::from(WRONG_SETTINGS)
    })?;
    start_logs(LogFormat::Json, node.log_level);
    Ok(node)
}

/// Starts logs and traces as the settings say, and gives the grace time.
fn prepare(settings: &Settings) -> eyre::Result<Span> {
    let process = Process::try_from(settings)?;
    start_logs(process.log_format, process.log_level);
    start_traces(&process.trace);
    Ok(process.grace)
}
