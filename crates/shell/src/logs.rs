//! Logging to standard output.

use lentil_settings::{LogFormat, LogLevel};
use logforth::append::Stdout;
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

/// Module prefix of the project's own crates; all other crates log warnings and
/// errors only.
const PROJECT_MODULES: &str = "lentil";

/// Starts logging for the whole process; later calls have no effect.
pub fn start_logs(format: LogFormat, level: LogLevel) {
    let project_level = log_level(level);
    let filter = || {
        RustLogFilterBuilder::default()
            .filter_level(LevelFilter::MoreSevereEqual(Level::Warn))
            .filter_module(PROJECT_MODULES, LevelFilter::MoreSevereEqual(project_level))
            .build()
    };
    let append = match format {
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter()).append(append))
        .try_apply();
    if let Err(error) = started {
        log::debug!("logging is already initialized: {error}");
    }
}

const fn log_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
