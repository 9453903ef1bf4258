//! Subcommands of the daemon, one module each.

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

/// Exit code for invalid settings.
const EXIT_INVALID_SETTINGS: u8 = 2;

/// Parses the option that names the settings file.
fn settings_file() -> impl Parser<PathBuf> {
    bpaf::long("settings")
        .help("Read settings from FILE")
        .argument::<PathBuf>("FILE")
}

/// Loads the settings. On failure, prints the first error and returns the exit code.
fn load_settings(path: &Path) -> Result<Settings, ExitCode> {
    lentil_settings::load(path).map_err(|error| {
        eprintln!("{}: {error}", path.display());
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })
}

/// Loads the settings of a gateway or an observer and starts logging. On failure,
/// prints the first error and returns the exit code.
fn load_node(path: &Path) -> Result<Node, ExitCode> {
    let node = lentil_settings::load_node(path).map_err(|error| {
        eprintln!("{}: {error}", path.display());
        ExitCode::from(EXIT_INVALID_SETTINGS)
    })?;
    start_logs(LogFormat::Json, node.log_level);
    Ok(node)
}

/// Starts logging and tracing as configured and returns the shutdown grace period.
fn start_telemetry(settings: &Settings) -> eyre::Result<Span> {
    let process = Process::try_from(settings)?;
    start_logs(process.log_format, process.log_level);
    start_traces(&process.trace);
    Ok(process.grace)
}
