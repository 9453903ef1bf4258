//! Measurement `orders`: conflicting orders under faults, and the time until returning capacity
//! serves.

mod case;
mod engine;
mod guard;
mod takeover;
mod zone;

use std::process::ExitCode;

use bpaf::Parser;
use serde::Serialize;

use case::{Case, ZoneResult};
pub(crate) use engine::assignment;
use guard::{GuardSet, Tally};

/// Number of threads among which the runs are divided.
const THREADS: u64 = 4;

/// Options of `measure orders`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Print JSON instead of tables.
    pub(crate) json: bool,
    /// Number of runs for each guard set with all guards on; the others get a tenth of it.
    runs: u64,
    /// Seed of the first run; each further run adds one.
    seed: u64,
}

/// Returns the command-line parser of `measure orders`.
pub(crate) fn options() -> impl Parser<Options> {
    let json = bpaf::long("json").help("Print JSON").switch();
    let runs = bpaf::long("runs")
        .help("Number of runs for each kind of engine")
        .argument("RUNS")
        .fallback(10_000);
    let seed = bpaf::long("seed")
        .help("Seed of the first run")
        .argument("SEED")
        .fallback(20_261_204);
    bpaf::construct!(Options { json, runs, seed })
}

/// Results for one guard set.
#[derive(Debug, Serialize)]
struct Row {
    engine: &'static str,
    guard: &'static str,
    #[serde(flatten)]
    tally: Tally,
}

/// Results of all parts of the measurement.
#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    conflicts: Vec<Row>,
    returns: Vec<ZoneResult>,
    violations: Vec<String>,
}

/// Runs the measurement and prints its report; fails if there are violations.
pub(crate) fn execute(options: &Options) -> eyre::Result<ExitCode> {
    let conflicts: Vec<Row> = GuardSet::ALL
        .into_iter()
        .map(|guard| {
            let runs = match guard.has_all_guards() {
                true => options.runs,
                false => options.runs.div_ceil(10),
            };
            Row {
                engine: guard.engine(),
                guard: guard.as_str(),
                tally: run_in_threads(guard, options.seed, runs),
            }
        })
        .collect();
    let returns: Vec<ZoneResult> = Case::ALL
        .into_iter()
        .map(|case| zone::run(case, options.seed))
        .collect();
    let mut violations = conflict_violations(&conflicts);
    violations.extend(returns.iter().filter_map(ZoneResult::violation));
    let report = Report {
        seed: options.seed,
        conflicts,
        returns,
        violations,
    };
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print_report(&report);
    }
    Ok(match report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

/// Divides the runs among the threads and sums their counters.
fn run_in_threads(guard: GuardSet, seed: u64, runs: u64) -> Tally {
    let runs_per_thread = runs.div_ceil(THREADS);
    let parts = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|thread| {
                let range = thread * runs_per_thread..runs.min((thread + 1) * runs_per_thread);
                scope.spawn(move || takeover::run_all(guard, seed, range))
            })
            .collect();
        let join = |thread: std::thread::ScopedJoinHandle<'_, Tally>| thread.join().ok();
        threads.into_iter().filter_map(join).collect::<Vec<_>>()
    });
    parts.into_iter().fold(Tally::default(), Tally::plus)
}

/// With all guards on there must be no conflict. With one guard off there must be some; otherwise
/// the measurement detects nothing.
fn conflict_violations(rows: &[Row]) -> Vec<String> {
    let violation = |row: &Row| match (row.guard, row.tally.conflicts) {
        ("whole", 0) => None,
        ("whole", conflicts) => Some(format!("{}: {conflicts} conflicts", row.engine)),
        (guard, 0) => Some(format!(
            "{}: no conflict detected with guard set `{guard}`",
            row.engine
        )),
        _ => None,
    };
    rows.iter().filter_map(violation).collect()
}

fn print_report(report: &Report) {
    println!("seed {}", report.seed);
    println!(
        "{:<10} {:<18} {:>7} {:>8} {:>9} {:>7} {:>7} {:>7} {:>7} {:>9}",
        "engine",
        "guard",
        "runs",
        "orders",
        "conflicts",
        "pauses",
        "lapsed",
        "refused",
        "lost",
        "takeovers"
    );
    for row in &report.conflicts {
        let tally = &row.tally;
        println!(
            "{:<10} {:<18} {:>7} {:>8} {:>9} {:>7} {:>7} {:>7} {:>7} {:>9}",
            row.engine,
            row.guard,
            tally.runs,
            tally.orders,
            tally.conflicts,
            tally.pauses,
            tally.lapsed,
            tally.refused,
            tally.answers_lost,
            tally.takeovers
        );
    }
    println!();
    println!(
        "{:<34} {:>8} {:>8} {:>8} {:>8} {:>6} {:>9} {:>8} {:>8} {:>8} {:>7}",
        "returning capacity",
        "first s",
        "models s",
        "median s",
        "last s",
        "limit",
        "last/lim",
        "unserved",
        "appends",
        "peak /s",
        "B/s"
    );
    for row in &report.returns {
        println!(
            "{:<34} {:>8.1} {:>8.1} {:>8.1} {:>8.1} {:>6.1} {:>9.3} {:>8} {:>8} {:>8} {:>7.0}",
            row.case,
            row.first_s,
            row.models_s,
            row.median_s,
            row.last_s,
            row.limit_s,
            row.last_s / row.limit_s,
            row.models_lost,
            row.appends,
            row.appends_peak_per_s,
            row.read_bytes_per_s
        );
    }
    for violation in &report.violations {
        println!("violation: {violation}");
    }
}
