//! Measurement `overhead`: latency, CPU time and memory that entry and agent add to a stream,
//! compared with calling the same engine directly.

mod idle;
mod processes;
mod reader;
mod report;
mod runner;
mod usage;

use std::process::ExitCode;

use bpaf::Parser;

use processes::{Deployment, Role};
use report::Report;
use runner::Load;

/// Default of `--rate`, in requests per second.
const RATE_DEFAULT: u64 = 40;
/// Default of `--tokens`, in tokens per generation.
const TOKENS_DEFAULT: u64 = 250;
/// Default of `--seconds`, the duration of each run.
const SECONDS_DEFAULT: u64 = 15;
/// Concurrent streams of the idle run.
const IDLE_STREAMS: u64 = 1_000;
/// Requests per second of the run that measures the CPU time per request.
const REQUEST_COST_RATE: u64 = 200;
/// Tokens per generation of the run that measures the CPU time per request.
const REQUEST_COST_TOKENS: u64 = 1;

/// Options of `measure overhead`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Print JSON instead of a table.
    pub(crate) json: bool,
    /// Requests per second.
    pub(crate) rate: u64,
    /// Tokens per generation.
    pub(crate) tokens: u64,
    /// Duration of each run in seconds.
    pub(crate) seconds: u64,
    /// Run as this program of the measured deployment instead of measuring.
    pub(crate) role: Option<Role>,
}

/// Returns the parser of the command-line options.
pub(crate) fn options() -> impl Parser<Options> {
    let json = bpaf::long("json").help("Print JSON").switch();
    let number = |name, help, default| {
        bpaf::long(name)
            .help(help)
            .argument::<u64>("N")
            .fallback(default)
    };
    let rate = number("rate", "Requests per second", RATE_DEFAULT);
    let tokens = number("tokens", "Tokens per generation", TOKENS_DEFAULT);
    let seconds = number(
        "seconds",
        "Duration of each run in seconds",
        SECONDS_DEFAULT,
    );
    let role = bpaf::long("part")
        .argument::<Role>("PART")
        .optional()
        .hide();
    bpaf::construct!(Options {
        json,
        rate,
        tokens,
        seconds,
        role
    })
}

/// Runs the measurement, or one of its programs if `--part` is given.
pub(crate) fn execute(options: &Options) -> eyre::Result<ExitCode> {
    if let Some(role) = options.role {
        role.run()?;
        return Ok(ExitCode::SUCCESS);
    }
    let report = measure(options)?;
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print!("{report}");
    }
    Ok(if report.is_complete() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

fn measure(options: &Options) -> eyre::Result<Report> {
    let load = Load {
        rate: options.rate,
        tokens: options.tokens,
        seconds: options.seconds,
    };
    let short_load = Load {
        rate: REQUEST_COST_RATE,
        tokens: REQUEST_COST_TOKENS,
        seconds: options.seconds,
    };
    let deployment = Deployment::start(processes::EngineMode::Steady)?;
    let direct = runner::run(&deployment, &load, runner::RequestPath::Direct)?;
    eprintln!("direct: {direct:?}");
    let through = runner::run(&deployment, &load, runner::RequestPath::ViaEntry)?;
    eprintln!("through: {through:?}");
    let short = runner::run(&deployment, &short_load, runner::RequestPath::ViaEntry)?;
    eprintln!("short: {short:?}");
    deployment.stop();
    let deployment = Deployment::start(processes::EngineMode::Idle)?;
    let idle = idle::run(&deployment, IDLE_STREAMS)?;
    deployment.stop();
    Ok(Report {
        rate: options.rate,
        tokens: options.tokens,
        seconds: options.seconds,
        direct,
        through,
        short,
        idle,
    })
}
