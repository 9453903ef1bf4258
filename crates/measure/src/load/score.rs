//! A weighted score for each user, and the bounds that the product's policies must keep.

use super::policy::Policy;
use super::run::PolicyResult;
use super::stats::Metrics;

/// Maximum number of attempts per request.
const ATTEMPTS_MAX: f64 = 1.1;

/// One metric within a score.
struct WeightedMetric {
    weight: f64,
    value: fn(&Metrics) -> f64,
    /// Added to the compared values, so that differences far below it hardly count; in the
    /// metric's unit.
    offset: f64,
}

const fn weighted(weight: f64, value: fn(&Metrics) -> f64, offset: f64) -> WeightedMetric {
    WeightedMetric {
        weight,
        value,
        offset,
    }
}

/// Tanaka's weights favour stall time and goodput during a zone's withdrawal and return.
const TANAKA: [WeightedMetric; 5] = [
    weighted(0.35, |m| m.stall_s, 0.1),
    weighted(0.30, |m| 1.0 - m.zone_goodput, 0.005),
    weighted(0.15, |m| m.first_p95_ms, 10.0),
    weighted(0.10, |m| m.preemptions, 0.1),
    weighted(0.10, |m| m.gap_p99_ms, 1.0),
];

/// Hebezeug's weights favour preemptions and tail latency between tokens.
const HEBEZEUG: [WeightedMetric; 5] = [
    weighted(0.30, |m| m.gap_p99_ms, 1.0),
    weighted(0.10, |m| m.gap_p999_ms, 1.0),
    weighted(0.35, |m| m.preemptions, 0.1),
    weighted(0.15, |m| m.stall_s, 0.1),
    weighted(0.10, |m| 1.0 - m.zone_goodput, 0.005),
];

/// Users with their own workloads and weights; workload names start with these.
pub(crate) const USERS: [&str; 2] = ["tanaka", "hebezeug"];

/// Returns the mean of a metric over the seeds.
pub(crate) fn mean(result: &PolicyResult, value: impl Fn(&Metrics) -> f64) -> f64 {
    let sum: f64 = result.metrics.iter().map(value).sum();
    sum / super::numeric::count_to_f64(result.metrics.len()).max(1.0)
}

/// Returns the lowest mean of a metric among the baselines of a workload.
pub(crate) fn best_baseline(
    results: &[PolicyResult],
    workload: &str,
    value: impl Fn(&Metrics) -> f64 + Copy,
) -> f64 {
    results
        .iter()
        .filter(|r| r.workload.name == workload && Policy::BASELINES.contains(&r.policy))
        .map(|r| mean(r, value))
        .fold(f64::INFINITY, f64::min)
}

/// Returns a user's score of a policy: 0.5 equals the best baseline, lower is better.
///
/// Each metric contributes `own / (own + best baseline)`; all workloads of a user count equally.
pub(crate) fn score(results: &[PolicyResult], policy: Policy, user: &str) -> f64 {
    let metrics = if user == "tanaka" { &TANAKA } else { &HEBEZEUG };
    let (mut sum, mut weights) = (0.0, 0.0);
    let own = results
        .iter()
        .filter(|r| r.policy == policy && r.workload.name.starts_with(user));
    for result in own {
        for metric in metrics {
            let value = mean(result, metric.value);
            if value.is_nan() {
                continue;
            }
            let value = value + metric.offset;
            let best = best_baseline(results, result.workload.name, metric.value) + metric.offset;
            sum += metric.weight * value / (value + best);
            weights += metric.weight;
        }
    }
    sum / weights
}

/// Lists the bounds that runs of the product's policies exceeded.
pub(crate) fn violations(results: &[PolicyResult]) -> Vec<String> {
    let mut found = Vec::new();
    for result in results.iter().filter(|r| r.policy.uses_decision_crates()) {
        let name = format!("{}, {}", result.workload.name, result.policy.name());
        for metrics in &result.metrics {
            if metrics.warming_peak > 1.0 {
                let peak = metrics.warming_peak;
                found.push(format!(
                    "{name}: an endpoint that warmed up held {peak:.2} times its bound"
                ));
            }
            if metrics.attempts > ATTEMPTS_MAX {
                found.push(format!("{name}: {} attempts per request", metrics.attempts));
            }
        }
    }
    found
}
