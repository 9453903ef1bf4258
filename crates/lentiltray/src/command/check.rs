//! The `lentiltray check` subcommand.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;

use super::{load_settings, settings_file};

/// Options of `lentiltray check`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    settings: PathBuf,
}

/// Returns the parser of the command-line options.
pub(crate) fn options() -> impl Parser<Options> {
    settings_file().map(|settings| Options { settings })
}

/// Validates the settings file without starting anything.
pub(crate) fn execute(options: &Options) -> ExitCode {
    match load_settings(&options.settings) {
        Ok(_) => {
            println!("{} is valid", options.settings.display());
            ExitCode::SUCCESS
        }
        Err(code) => code,
    }
}
