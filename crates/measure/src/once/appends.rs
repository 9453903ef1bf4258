//! Appends a second against the log's limit, by size.

use lentil_core::{Span, Time};
use lentil_faults::{CallSimulation, FaultPlan, Guard, Scenario};
use lentil_once::Limits;
use serde::Serialize;

use super::latency::quantile_ms;

/// What the platform's log takes, at the least of "several hundred".
const LOG_LIMIT_PER_S: u64 = 300;
/// The share of the limit that claims may use; configuration has the rest.
const CLAIMS_PER_S: u64 = 200;
/// Time over which calls begin.
const SECONDS: u64 = 10;

/// A size of deployment.
struct Size {
    name: &'static str,
    replicas: usize,
    calls_per_s: usize,
}

const SIZES: [Size; 5] = [
    Size {
        name: "today, usual",
        replicas: 3,
        calls_per_s: 2,
    },
    Size {
        name: "today, rush",
        replicas: 3,
        calls_per_s: 50,
    },
    Size {
        name: "target, 2% of 5100/s",
        replicas: 24,
        calls_per_s: 102,
    },
    Size {
        name: "target, 5% of 5100/s",
        replicas: 60,
        calls_per_s: 255,
    },
    Size {
        name: "target, 10% of 5100/s",
        replicas: 60,
        calls_per_s: 510,
    },
];

/// One size.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) size: &'static str,
    pub(crate) replicas: usize,
    pub(crate) keyed_calls_per_s: usize,
    pub(crate) append_interval_ms: u64,
    pub(crate) appends_per_s: u64,
    pub(crate) one_append_each_per_s: usize,
    pub(crate) log_limit_per_s: u64,
    pub(crate) claim_p50_ms: f64,
    pub(crate) claim_p99_ms: f64,
}

/// The least time between two appends of one of `replicas` agents.
fn append_interval(replicas: usize) -> Span {
    let replicas = u64::try_from(replicas).unwrap_or(u64::MAX);
    Span::from_ms(replicas.saturating_mul(1000) / CLAIMS_PER_S).max(Span::from_ms(20))
}

pub(crate) fn measure(seed: u64) -> Vec<Row> {
    SIZES.iter().map(|size| row(seed, size)).collect()
}

fn row(seed: u64, size: &Size) -> Row {
    let interval = append_interval(size.replicas);
    let seconds = usize::try_from(SECONDS).unwrap_or(usize::MAX);
    let scene = Scenario {
        endpoints: size.replicas,
        keys: size.calls_per_s * seconds,
        callers_per_key: 1,
        conflicts_one_in: 0,
        start_window: Span::from_s(SECONDS),
        ends_at: Time::ZERO + Span::from_s(SECONDS),
        limits: Limits {
            append_interval: interval,
            linger: interval.max(Span::from_ms(200)),
            ..Limits::default()
        },
        ..Scenario::default()
    };
    let report = CallSimulation::new(seed, scene, FaultPlan::default(), Guard::On).run();
    Row {
        size: size.name,
        replicas: size.replicas,
        keyed_calls_per_s: size.calls_per_s,
        append_interval_ms: interval.as_ms(),
        appends_per_s: report.appends / SECONDS,
        one_append_each_per_s: size.calls_per_s * 2,
        log_limit_per_s: LOG_LIMIT_PER_S,
        claim_p50_ms: quantile_ms(&report.claim_latencies, 0.5),
        claim_p99_ms: quantile_ms(&report.claim_latencies, 0.99),
    }
}
