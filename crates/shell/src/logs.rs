//! Log lines on standard output.

use lentil_settings::{LogFormat, LogLevel};
use logforth::append::{FastraceEvent, Stdout};
use logforth::filter::rustlog::RustLogFilterBuilder;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

/// Begins the names of the project's own modules; libraries tell warnings only.
const OWN_MODULES: &str = "lentil";

/// Starts logging for the whole process; a second call changes nothing.
pub fn start_logs(format: LogFormat, level: LogLevel) {
    let own = severity(level);
    let filter = || {
        RustLogFilterBuilder::default()
            .filter_level(LevelFilter::MoreSevereEqual(Level::Warn))
            .filter_module(OWN_MODULES, LevelFilter::MoreSevereEqual(own))
            .build()
    };
    let append = match format {
        LogFormat::Text => Stdout::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stdout::default().with_layout(JsonLayout::default()),
    };
    let started = logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(filter()).append(append))
        .dispatch(|dispatch| dispatch.filter(filter()).append(FastraceEvent::default()))
        .try_apply();
    if let Err(error) = started {
        log::debug!("logging was started before: {error}");
    }
}

const fn severity(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
