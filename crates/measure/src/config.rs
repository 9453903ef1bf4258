//! Measurement `config`: propagation time, cost and consistency of the configuration.

mod build;
mod cost;
mod faults;
mod fleet;
mod memory_log;
mod propagation;

use std::process::ExitCode;

use bpaf::Parser;
use serde::Serialize;

use cost::Cost;
use faults::FaultRuns;
use propagation::{ALL_FAULTS, Fault, Propagation};

/// Seed of the first run.
const SEED: u64 = 20_261_204;
/// Upper bound on the time until a change is in force on every member.
const IN_FORCE_MAX_MS: u64 = 13_000;
/// Upper bound on the time for which a withdrawn zone still receives new work.
const DISPATCH_MAX_MS: u64 = 3_000;
/// Upper bound on a member's control traffic, in bytes per second.
const BYTES_PER_S_MAX: u64 = 3_000;
/// Upper bound on a member's use of a CPU core, in millionths.
const CPU_PPM_MAX: u64 = 11_000;
/// Numbers of members, each with its number of runs.
const FLEET_SIZES: [(usize, u64); 3] = [(15, 200), (100, 30), (960, 4)];
/// Number of organisations in the run with a large configuration.
const LARGE_ORGANISATION_COUNT: usize = 9_200;

/// Options of `measure config`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Print JSON instead of tables.
    pub(crate) json: bool,
    /// Seed of the first run.
    pub(crate) seed: u64,
    /// Number of runs with random faults.
    pub(crate) runs: u64,
}

/// Declares the options.
pub(crate) fn options() -> impl Parser<Options> {
    let json = bpaf::long("json").help("Print JSON").switch();
    let seed = bpaf::long("seed")
        .help("Seed of the first run")
        .argument("SEED")
        .fallback(SEED);
    let runs = bpaf::long("runs")
        .help("Number of runs with random faults")
        .argument("COUNT")
        .fallback(10_000);
    bpaf::construct!(Options { json, seed, runs })
}

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    spread: Vec<Propagation>,
    cost: Vec<Cost>,
    faults: FaultRuns,
    violations: Vec<String>,
}

/// Runs the measurement and prints its report; fails if a bound is exceeded.
pub(crate) fn execute(options: &Options) -> eyre::Result<ExitCode> {
    let mut spread = Vec::new();
    for (members, runs) in FLEET_SIZES {
        spread.extend(measure_all_faults(
            members,
            options.seed..options.seed + runs,
        )?);
    }
    let seeds = options.seed..options.seed + 1;
    spread.push(propagation::measure(
        960,
        LARGE_ORGANISATION_COUNT,
        Fault::ThirdReplaced,
        seeds,
    )?);
    let cost = vec![
        cost::measure(960, false, options.seed)?,
        cost::measure(960, true, options.seed)?,
    ];
    let faults = faults::measure(options.seed, options.runs)?;
    let violations = violations(&spread, &cost, &faults);
    let report = Report {
        seed: options.seed,
        spread,
        cost,
        faults,
        violations,
    };
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(if report.violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

/// Measures one fleet size under every fault, with one thread per fault.
fn measure_all_faults(
    members: usize,
    seeds: std::ops::Range<u64>,
) -> eyre::Result<Vec<Propagation>> {
    std::thread::scope(|scope| {
        let run = |fault| {
            let seeds = seeds.clone();
            scope.spawn(move || propagation::measure(members, 16, fault, seeds))
        };
        let threads = ALL_FAULTS.map(run);
        let join = |thread: std::thread::ScopedJoinHandle<'_, _>| {
            let done = thread.join();
            done.map_err(|_| eyre::eyre!("a measurement thread panicked"))?
        };
        threads.into_iter().map(join).collect()
    })
}

fn violations(spread: &[Propagation], cost: &[Cost], faults: &FaultRuns) -> Vec<String> {
    let mut found = Vec::new();
    for row in spread {
        let name = format!("{} members, {:?}", row.members, row.fault);
        if row.max_ms.max(row.after_heal_ms.unwrap_or(0)) > IN_FORCE_MAX_MS {
            found.push(format!("{name}: in force after {} ms", row.max_ms));
        }
        if row.missing > 0 {
            found.push(format!("{name}: not in force on {} members", row.missing));
        }
        if row.last_dispatch_ms > DISPATCH_MAX_MS {
            found.push(format!(
                "{name}: new work dispatched after {} ms",
                row.last_dispatch_ms
            ));
        }
        if row.reverts > 0 {
            found.push(format!("{name}: {} reverts", row.reverts));
        }
    }
    for row in cost {
        if row.bytes_per_s_max > BYTES_PER_S_MAX {
            found.push(format!("{} bytes per second", row.bytes_per_s_max));
        }
        if row.cpu_ppm > CPU_PPM_MAX {
            found.push(format!("{} millionths of a core", row.cpu_ppm));
        }
    }
    if faults.reverts + faults.splits + faults.behind > 0 {
        found.push(format!(
            "runs with faults: first failing seed {:?}",
            faults.first_bad_seed
        ));
    }
    found
}

fn print(report: &Report) {
    println!("seed {}", report.seed);
    println!(
        "members  organisations  fault           runs  p50 ms  p99 ms  max ms  after heal ms  last dispatch ms  missing  reverts"
    );
    for row in &report.spread {
        println!(
            "{:>7}  {:>13}  {:<14}  {:>4}  {:>6}  {:>6}  {:>6}  {:>13}  {:>16}  {:>7}  {:>7}",
            row.members,
            row.organisations,
            format!("{:?}", row.fault),
            row.runs,
            row.p50_ms,
            row.p99_ms,
            row.max_ms,
            row.after_heal_ms
                .map_or_else(|| "-".to_owned(), |ms| ms.to_string()),
            row.last_dispatch_ms,
            row.missing,
            row.reverts,
        );
    }
    println!("members  changes  bytes/s mean  bytes/s max  millionths of a core  steps/s/1000");
    for row in &report.cost {
        println!(
            "{:>7}  {:>7}  {:>12}  {:>11}  {:>20}  {:>12}",
            row.members,
            row.changes,
            row.bytes_per_s_mean,
            row.bytes_per_s_max,
            row.cpu_ppm,
            row.messages_per_s_mean_milli,
        );
    }
    let faults = &report.faults;
    println!(
        "runs with faults {}, versions {}, reverts {}, splits {}, behind at the end {}",
        faults.runs, faults.versions, faults.reverts, faults.splits, faults.behind
    );
    for violation in &report.violations {
        println!("violation: {violation}");
    }
}
