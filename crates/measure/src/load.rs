//! Measurement `load`: admission and routing compared with common load-balancing policies.
//!
//! A simulation in virtual time runs the decision crates that the daemon uses against fake
//! engines, and the baseline policies against the same engines with the same requests.

mod baseline;
mod engine;
mod numeric;
mod plot;
mod policy;
mod product;
mod run;
mod score;
mod simulation;
mod stats;
mod table;
mod workload;

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Parser;

/// Default seed of the first run; further runs use the seeds that follow it.
const SEED: u64 = 20_261_204;
/// Default number of seeds for each workload and policy.
const SEED_COUNT: u64 = 5;

/// Options of `measure load`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Print JSON instead of tables.
    pub(crate) json: bool,
    seed: u64,
    seeds: u64,
    only: Option<String>,
    plots: Option<PathBuf>,
}

/// Declares the options.
pub(crate) fn options() -> impl Parser<Options> {
    let json = bpaf::long("json").help("Print JSON").switch();
    let seed = bpaf::long("seed")
        .help("Seed of the first run")
        .argument::<u64>("SEED")
        .fallback(SEED);
    let seeds = bpaf::long("seeds")
        .help("Number of seeds")
        .argument::<u64>("COUNT")
        .fallback(SEED_COUNT);
    let only = bpaf::long("only")
        .help("Run only workloads whose name contains TEXT")
        .argument::<String>("TEXT")
        .optional();
    let plots = bpaf::long("plots")
        .help("Write SVG plots into DIRECTORY")
        .argument::<PathBuf>("DIRECTORY")
        .optional();
    bpaf::construct!(Options {
        json,
        seed,
        seeds,
        only,
        plots
    })
}

/// Runs the measurement and prints its report; fails if a bound is exceeded.
///
/// # Errors
/// Returns an error if no workload matches, a run can't be set up or a plot can't be written.
pub(crate) fn execute(options: &Options) -> eyre::Result<ExitCode> {
    let selected: Vec<workload::Workload> = workload::WORKLOADS
        .into_iter()
        .filter(|w| {
            options
                .only
                .as_ref()
                .is_none_or(|text| w.name.contains(text.as_str()))
        })
        .collect();
    if selected.is_empty() {
        return Err(eyre::eyre!(
            "no workload name contains the text given with --only"
        ));
    }
    let seeds: Vec<u64> = (0..options.seeds.max(1))
        .map(|n| options.seed + n)
        .collect();
    let results = run::run_all(&selected, &seeds)?;
    let violations = score::violations(&results);
    if options.json {
        println!("{}", table::json(&results, &violations)?);
    } else {
        print!("{}", table::text(&results, &violations));
    }
    if let Some(directory) = &options.plots {
        plot::write(directory, &results)?;
    }
    Ok(if violations.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
