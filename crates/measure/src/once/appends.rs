//! Rate of log appends compared with the log's limit, for several deployment sizes.

use lentil_core::{Span, Time};
use lentil_faults::{CallSimulation, FaultPlan, Guard, Scenario};
use lentil_once::Limits;
use serde::Serialize;

use super::latency::quantile_ms;

/// Appends per second that the platform's log accepts: the lower end of "several hundred".
const LOG_LIMIT_PER_S: u64 = 300;
/// Part of the limit that claims may use; the rest is left to configuration.
const CLAIM_APPENDS_PER_S: u64 = 200;
/// Seconds over which the start times of calls are spread.
const ARRIVAL_SECONDS: u64 = 10;

/// Size and load of a deployment.
struct DeploymentSize {
    name: &'static str,
    replicas: usize,
    calls_per_s: usize,
}

const SIZES: [DeploymentSize; 5] = [
    DeploymentSize {
        name: "today, usual",
        replicas: 3,
        calls_per_s: 2,
    },
    DeploymentSize {
        name: "today, rush",
        replicas: 3,
        calls_per_s: 50,
    },
    DeploymentSize {
        name: "target, 2% of 5100/s",
        replicas: 24,
        calls_per_s: 102,
    },
    DeploymentSize {
        name: "target, 5% of 5100/s",
        replicas: 60,
        calls_per_s: 255,
    },
    DeploymentSize {
        name: "target, 10% of 5100/s",
        replicas: 60,
        calls_per_s: 510,
    },
];

/// Results for one deployment size.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) size: &'static str,
    pub(crate) replicas: usize,
    pub(crate) keyed_calls_per_s: usize,
    pub(crate) append_interval_ms: u64,
    pub(crate) appends_per_s: u64,
    /// Appends per second if claims were not batched: two for each call.
    pub(crate) one_append_each_per_s: usize,
    pub(crate) log_limit_per_s: u64,
    pub(crate) claim_p50_ms: f64,
    pub(crate) claim_p99_ms: f64,
}

/// Returns the minimum interval between two appends of one agent, when `replicas` agents share
/// the rate available to claims.
fn append_interval(replicas: usize) -> Span {
    let replicas = u64::try_from(replicas).unwrap_or(u64::MAX);
    Span::from_ms(replicas.saturating_mul(1000) / CLAIM_APPENDS_PER_S).max(Span::from_ms(20))
}

/// Measures each deployment size in a simulation without faults.
pub(crate) fn measure(seed: u64) -> Vec<Row> {
    SIZES.iter().map(|size| measure_size(seed, size)).collect()
}

fn measure_size(seed: u64, size: &DeploymentSize) -> Row {
    let interval = append_interval(size.replicas);
    let seconds = usize::try_from(ARRIVAL_SECONDS).unwrap_or(usize::MAX);
    let scenario = Scenario {
        endpoints: size.replicas,
        keys: size.calls_per_s * seconds,
        callers_per_key: 1,
        conflicts_one_in: 0,
        start_window: Span::from_s(ARRIVAL_SECONDS),
        ends_at: Time::ZERO + Span::from_s(ARRIVAL_SECONDS),
        limits: Limits {
            append_interval: interval,
            linger: interval.max(Span::from_ms(200)),
            ..Limits::default()
        },
        ..Scenario::default()
    };
    let report = CallSimulation::new(seed, scenario, FaultPlan::default(), Guard::On).run();
    Row {
        size: size.name,
        replicas: size.replicas,
        keyed_calls_per_s: size.calls_per_s,
        append_interval_ms: interval.as_ms(),
        appends_per_s: report.appends / ARRIVAL_SECONDS,
        one_append_each_per_s: size.calls_per_s * 2,
        log_limit_per_s: LOG_LIMIT_PER_S,
        claim_p50_ms: quantile_ms(&report.claim_latencies, 0.5),
        claim_p99_ms: quantile_ms(&report.claim_latencies, 0.99),
    }
}
