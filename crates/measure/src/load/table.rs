//! Formats the results as text tables and as JSON.

use std::fmt::Write as _;

use serde::Serialize;

use super::policy::Policy;
use super::run::PolicyResult;
use super::score::{USERS, mean, score};
use super::stats::Metrics;

/// A column: title, value and number of decimals.
type Column = (&'static str, fn(&Metrics) -> f64, usize);

const COLUMNS: [Column; 14] = [
    ("stall s/k", |m| m.stall_s, 1),
    ("preempt/k", |m| m.preemptions, 1),
    ("gap p99", |m| m.gap_p99_ms, 1),
    ("gap p99.9", |m| m.gap_p999_ms, 1),
    ("first p95", |m| m.first_p95_ms, 0),
    ("goodput %", |m| m.goodput * 100.0, 1),
    ("zone %", |m| m.zone_goodput * 100.0, 1),
    ("refused %", |m| m.refused * 100.0, 1),
    ("late %", |m| m.late * 100.0, 1),
    ("failed %", |m| m.failed * 100.0, 1),
    ("fairness", |m| m.fairness, 3),
    ("warming", |m| m.warming_peak, 2),
    ("attempts", |m| m.attempts, 3),
    ("wait x", |m| m.wait_ratio, 2),
];

/// Formats all results as text tables.
pub(crate) fn text(results: &[PolicyResult], violations: &[String]) -> String {
    let mut text = String::new();
    let mut last = "";
    for result in results {
        if result.workload.name != last {
            last = result.workload.name;
            head(&mut text, result);
        }
        row(&mut text, result);
    }
    scores(&mut text, results);
    for violation in violations {
        let _ = writeln!(text, "VIOLATION {violation}");
    }
    text
}

fn head(text: &mut String, result: &PolicyResult) {
    let requests = mean(result, |m| m.requests);
    let seeds = result.metrics.len();
    let name = result.workload.name;
    let _ = writeln!(
        text,
        "\n{name} ({requests:.0} requests, {seeds} seeds; mean, then +- spread)"
    );
    let _ = write!(text, "{:<15}", "");
    for (title, ..) in COLUMNS {
        let _ = write!(text, "{title:>16}");
    }
    text.push('\n');
}

fn row(text: &mut String, result: &PolicyResult) {
    let _ = write!(text, "{:<15}", result.policy.name());
    for (_, value, digits) in COLUMNS {
        let average = mean(result, value);
        if average.is_nan() {
            let _ = write!(text, "{:>16}", "-");
            continue;
        }
        let cell = format!("{average:.digits$} +-{:.digits$}", spread(result, value));
        let _ = write!(text, "{cell:>16}");
    }
    text.push('\n');
}

/// Returns half the difference between the largest and the smallest value.
fn spread(result: &PolicyResult, value: fn(&Metrics) -> f64) -> f64 {
    let values = || result.metrics.iter().map(value);
    let low = values().fold(f64::INFINITY, f64::min);
    let high = values().fold(f64::NEG_INFINITY, f64::max);
    (high - low) / 2.0
}

fn scores(text: &mut String, results: &[PolicyResult]) {
    let _ = writeln!(
        text,
        "\nscores (0.5 is the best baseline in each metric; lower is better)"
    );
    for policy in Policy::ALL {
        let _ = write!(text, "{:<15}", policy.name());
        for user in USERS {
            let _ = write!(text, "{user:>12} {:.3}", score(results, policy, user));
        }
        text.push('\n');
    }
}

#[derive(Serialize)]
struct JsonOutcome<'a> {
    workload: &'a str,
    policy: &'a str,
    figures: &'a [Metrics],
}

#[derive(Serialize)]
struct JsonScore<'a> {
    policy: &'a str,
    tanaka: f64,
    hebezeug: f64,
}

#[derive(Serialize)]
struct JsonReport<'a> {
    outcomes: Vec<JsonOutcome<'a>>,
    scores: Vec<JsonScore<'a>>,
    violations: &'a [String],
}

/// Formats all results as one JSON document.
pub(crate) fn json(results: &[PolicyResult], violations: &[String]) -> serde_json::Result<String> {
    let report = JsonReport {
        outcomes: results
            .iter()
            .map(|result| JsonOutcome {
                workload: result.workload.name,
                policy: result.policy.name(),
                figures: &result.metrics,
            })
            .collect(),
        scores: Policy::ALL
            .iter()
            .map(|policy| JsonScore {
                policy: policy.name(),
                tanaka: score(results, *policy, "tanaka"),
                hebezeug: score(results, *policy, "hebezeug"),
            })
            .collect(),
        violations,
    };
    serde_json::to_string_pretty(&report)
}
