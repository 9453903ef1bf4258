//! Measurement `once`: at-most-once calls, complete answers and exactly-once tokens, in seeded
//! runs with injected faults.

mod appends;
mod latency;
mod outage;
mod poison;
mod print;
mod runs;

use std::process::ExitCode;

use bpaf::Parser;
use lentil_faults::Guard;
use serde::Serialize;

/// Seed used unless `--seed` is given.
const DEFAULT_SEED: u64 = 20_261_204;
/// Number of call runs, and of stream runs, unless `--runs` is given.
const DEFAULT_RUNS: u64 = 11_000;
/// Number of runs with the guard off. They must show violations; otherwise the checks detect
/// nothing and the measurement fails.
const UNGUARDED_RUNS: u64 = 400;

/// Options of `measure once`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Print JSON instead of tables.
    pub(crate) json: bool,
    /// Seed from which the seed of each run is derived.
    pub(crate) seed: u64,
    /// Number of call runs, and of stream runs.
    pub(crate) runs: u64,
    /// Whether agents share the log and entries keep the order of tokens.
    pub(crate) guard: Guard,
}

/// Results of all parts of the measurement.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) seed: u64,
    pub(crate) faults: runs::Faults,
    pub(crate) without_guard: runs::Totals,
    pub(crate) latency: latency::Latency,
    pub(crate) appends: Vec<appends::Row>,
    pub(crate) outage: Vec<outage::Row>,
    pub(crate) poison: Vec<poison::Row>,
}

/// Returns the command-line parser of `measure once`.
pub(crate) fn options() -> impl Parser<Options> {
    let json = bpaf::long("json").help("Print JSON").switch();
    let seed = bpaf::long("seed")
        .help("Seed of the runs")
        .argument::<u64>("SEED")
        .fallback(DEFAULT_SEED);
    let runs = bpaf::long("runs")
        .help("Number of call runs, and of stream runs")
        .argument::<u64>("RUNS")
        .fallback(DEFAULT_RUNS);
    let guard = bpaf::long("guard")
        .help("on, or off to show that the checks detect violations")
        .argument::<String>("GUARD")
        .parse(|text| match text.as_str() {
            "on" => Ok(Guard::On),
            "off" => Ok(Guard::Off),
            _ => Err("guard must be `on` or `off`"),
        })
        .fallback(Guard::On);
    bpaf::construct!(Options {
        json,
        seed,
        runs,
        guard
    })
}

/// Runs the measurement and prints its report; fails if a guarantee was violated, or if the runs
/// with the guard off show no violation.
pub(crate) fn execute(options: &Options) -> eyre::Result<ExitCode> {
    let faults = runs::measure(options.seed, options.runs, options.guard);
    let without_guard = runs::measure(options.seed, UNGUARDED_RUNS, Guard::Off).total;
    let report = Report {
        seed: options.seed,
        latency: latency::measure(options.seed),
        appends: appends::measure(options.seed),
        outage: outage::measure(options.seed),
        poison: poison::measure(options.seed),
        faults,
        without_guard,
    };
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print::print_report(&report);
    }
    let checks_ineffective =
        report.without_guard.double_runs == 0 || report.without_guard.wrong_tokens == 0;
    if report.faults.total.has_violations() || checks_ineffective {
        return Ok(ExitCode::FAILURE);
    }
    Ok(ExitCode::SUCCESS)
}
