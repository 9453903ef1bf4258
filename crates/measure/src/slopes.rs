//! Measurement `slopes`: the marginal cost of requests, tokens, organisations and other units of
//! load, and the capacity estimate computed from these costs.

mod agent;
mod capacity;
mod claim;
mod config;
mod entry;
mod fit;
mod fixtures;
mod host;
mod link;
mod meter;
mod scale;
mod stream;

use std::process::ExitCode;

use bpaf::Parser;
use serde::Serialize;

use capacity::CapacityLine;
use fit::Slope;
use scale::StateSize;

/// Residual above which the cost does not count as linear in the size.
const RESIDUAL_MAX: f64 = 0.25;

/// Options of `measure slopes`.
#[derive(Debug, Clone)]
pub(crate) struct Options {
    /// Print JSON instead of a table.
    pub(crate) json: bool,
}

/// Returns the parser of the command-line options.
pub(crate) fn options() -> impl Parser<Options> {
    let json = bpaf::long("json").help("Print JSON").switch();
    bpaf::construct!(Options { json })
}

#[derive(Debug, Serialize)]
struct Report {
    slopes: Vec<Slope>,
    capacity: Vec<CapacityLine>,
    state_at_scale: Vec<StateSize>,
    violations: Vec<String>,
}

/// Runs the measurement.
pub(crate) fn execute(options: &Options) -> eyre::Result<ExitCode> {
    let mut slopes = entry::slopes()?;
    slopes.extend(agent::slopes()?);
    slopes.extend(stream::slopes()?);
    slopes.extend(link::slopes());
    slopes.extend(config::slopes()?);
    slopes.extend(claim::slopes()?);
    slopes.extend(host::slopes());
    let capacity = capacity::lines(&slopes);
    let state_at_scale = scale::state_sizes()?;
    let mut violations: Vec<String> = slopes.iter().filter_map(fit_violation).collect();
    violations.extend(state_at_scale.iter().filter_map(StateSize::violation));
    let report = Report {
        slopes,
        capacity,
        state_at_scale,
        violations,
    };
    if options.json {
        println!("{}", serde_json::to_string_pretty(&report)?);
    } else {
        print(&report);
    }
    Ok(match report.violations.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::FAILURE,
    })
}

fn fit_violation(slope: &Slope) -> Option<String> {
    let is_linear = slope.residual <= RESIDUAL_MAX;
    (!is_linear).then(|| format!("{}: residual {:.2}", slope.name, slope.residual))
}

fn print(report: &Report) {
    println!(
        "{:<45} {:>12} {:>4} {:>14} {:>9}",
        "cost per", "slope", "", "fixed", "residual"
    );
    for slope in &report.slopes {
        println!(
            "{:<45} {:>12.1} {:>4} {:>14.0} {:>9.3}",
            slope.name,
            slope.slope,
            slope.unit.as_str(),
            slope.fixed,
            slope.residual
        );
    }
    println!();
    println!(
        "{:<14} {:<28} {:>12} {:>14} {:<17}",
        "role", "line", "count", "value", ""
    );
    for line in &report.capacity {
        println!(
            "{:<14} {:<28} {:>12.4} {:>14.4} {:<17}{}",
            line.role,
            line.line,
            line.count,
            line.value,
            line.measure.as_str(),
            if line.over { "over" } else { "" }
        );
    }
    println!();
    for state_size in &report.state_at_scale {
        println!("{:<60} {:>12.0} B", state_size.state, state_size.bytes);
    }
    for violation in &report.violations {
        println!("violation: {violation}");
    }
}
