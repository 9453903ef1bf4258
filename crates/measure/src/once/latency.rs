//! Latency that a claim adds to a call.

use hdrhistogram::Histogram;
use lentil_core::Span;
use lentil_faults::{CallSimulation, FaultPlan, Guard, Scenario};
use serde::Serialize;

/// Number of runs, all without faults.
const RUNS: u64 = 200;

/// Time from the arrival of an attempt until its request is sent to the endpoint.
#[derive(Debug, Serialize)]
pub(crate) struct Latency {
    pub(crate) log_one_way_ms: u64,
    pub(crate) claims: u64,
    pub(crate) p50_ms: f64,
    pub(crate) p99_ms: f64,
}

/// Measures the waits for claims in runs without faults.
pub(crate) fn measure(seed: u64) -> Latency {
    let scenario = Scenario {
        keys: 20,
        callers_per_key: 1,
        conflicts_one_in: 0,
        ..Scenario::default()
    };
    let mut waits = Vec::new();
    for run in 0..RUNS {
        let simulation = CallSimulation::new(
            seed + run,
            scenario.clone(),
            FaultPlan::default(),
            Guard::On,
        );
        waits.extend(simulation.run().claim_latencies);
    }
    Latency {
        log_one_way_ms: scenario.log_latency.as_ms(),
        claims: u64::try_from(waits.len()).unwrap_or(u64::MAX),
        p50_ms: quantile_ms(&waits, 0.5),
        p99_ms: quantile_ms(&waits, 0.99),
    }
}

/// Returns a quantile in milliseconds, with three significant digits.
pub(crate) fn quantile_ms(waits: &[Span], quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(3) else {
        return f64::NAN;
    };
    histogram.auto(true);
    for wait in waits {
        let _ = histogram.record(wait.as_us());
    }
    let us = histogram.value_at_quantile(quantile);
    f64::from(u32::try_from(us).unwrap_or(u32::MAX)) / 1000.0
}
