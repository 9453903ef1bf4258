//! Ten-minute outage of the log: refusing keyed calls compared with leases on key ranges.
//!
//! Models the calls only and does not run the product's code, which does not implement leases.

use lentil_core::{Span, Time};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use super::latency::quantile_ms;

/// Duration of the log outage.
const OUTAGE: Span = Span::from_s(600);
/// How long a caller retries before it gives up.
const CALLER_TIMEOUT: Span = Span::from_s(120);
/// Delay that a refused caller is told to wait; jitter of up to the same duration is added.
const RETRY_AFTER: Span = Span::from_s(5);
/// Latency that a claim in the log adds to a call.
const CLAIM_LATENCY: Span = Span::from_ms(15);
/// Time until the endpoint answers.
const SERVICE_LATENCY: Span = Span::from_ms(30);
/// Share of calls whose answer does not reach the caller, which then repeats them, in thousandths.
const REPEATS_PERMILLE: u32 = 20;
/// Time at which agent 0 crashes, the only agent lost during the outage.
const CRASH_AT: Time = Time::from_us(300_000_000);

/// How agents handle keyed calls while the log is unavailable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OutagePolicy {
    /// Refuse them.
    Refuse,
    /// Run them while the lease on their key range, of this duration, is valid.
    Lease(Span),
}

/// Results for one policy and one deployment size.
#[derive(Debug, Serialize)]
pub(crate) struct Row {
    pub(crate) size: &'static str,
    pub(crate) way: String,
    pub(crate) calls: u64,
    pub(crate) executions_in_outage: u64,
    pub(crate) executions_after: u64,
    pub(crate) given_up: u64,
    pub(crate) refusals: u64,
    pub(crate) p99_wait_ms: f64,
    /// Executions that have no record in the log and whose agent crashed. A repeat of such a call
    /// may run a second time, unless all calls of the key range are answered with `unknown`.
    pub(crate) unrecorded: u64,
    /// Keys that cannot be distinguished from those of `unrecorded`: the key ranges of crashed
    /// agents.
    pub(crate) keys_in_doubt: u64,
}

/// Size and load of a deployment.
struct DeploymentSize {
    name: &'static str,
    replicas: u32,
    calls_per_s: u64,
}

const SIZES: [DeploymentSize; 2] = [
    DeploymentSize {
        name: "today",
        replicas: 3,
        calls_per_s: 2,
    },
    DeploymentSize {
        name: "target",
        replicas: 60,
        calls_per_s: 255,
    },
];

/// Simulates each policy at each deployment size.
pub(crate) fn measure(seed: u64) -> Vec<Row> {
    let policies = [
        OutagePolicy::Refuse,
        OutagePolicy::Lease(Span::from_s(30)),
        OutagePolicy::Lease(Span::from_s(900)),
    ];
    SIZES
        .iter()
        .flat_map(|size| {
            policies
                .iter()
                .map(move |policy| simulate(seed, size, *policy))
        })
        .collect()
}

fn simulate(seed: u64, size: &DeploymentSize, policy: OutagePolicy) -> Row {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut row = Row {
        size: size.name,
        way: match policy {
            OutagePolicy::Refuse => "refuse".to_owned(),
            OutagePolicy::Lease(span) => format!("lease of {} s", span.as_us() / 1_000_000),
        },
        calls: size.calls_per_s * OUTAGE.as_us() / 1_000_000,
        executions_in_outage: 0,
        executions_after: 0,
        given_up: 0,
        refusals: 0,
        p99_wait_ms: 0.0,
        unrecorded: 0,
        keys_in_doubt: 0,
    };
    let mut waits = Vec::new();
    for _ in 0..row.calls {
        let started_at = Time::from_us(rng.random_range(0..OUTAGE.as_us()));
        let agent = rng.random_range(0..size.replicas);
        let crash_at = (agent == 0).then_some(CRASH_AT);
        waits.extend(simulate_call(
            &mut rng, &mut row, started_at, policy, crash_at,
        ));
    }
    row.p99_wait_ms = quantile_ms(&waits, 0.99);
    row
}

/// Simulates one caller until it is answered or gives up. Returns how long it waited for the
/// answer, or `None` if it gave up.
fn simulate_call(
    rng: &mut ChaCha8Rng,
    row: &mut Row,
    started_at: Time,
    policy: OutagePolicy,
    crash_at: Option<Time>,
) -> Option<Span> {
    let mut now = started_at;
    let outage_end = Time::ZERO + OUTAGE;
    loop {
        if outage_end <= now {
            row.executions_after += 1;
            return Some(now.since(started_at) + CLAIM_LATENCY + SERVICE_LATENCY);
        }
        if lease_is_valid(policy, now) && crash_at.is_none_or(|at| now < at) {
            row.executions_in_outage += 1;
            if crash_at.is_some() {
                row.unrecorded += u64::from(rng.random_range(0..1000) < REPEATS_PERMILLE);
                row.keys_in_doubt += 1;
            }
            return Some(now.since(started_at) + SERVICE_LATENCY);
        }
        row.refusals += 1;
        let jitter = Span::from_us(rng.random_range(0..RETRY_AFTER.as_us()));
        now = now + RETRY_AFTER + jitter;
        if now.since(started_at) > CALLER_TIMEOUT {
            row.given_up += 1;
            return None;
        }
    }
}

/// Returns whether the holder of the key range may still run calls at `now`.
fn lease_is_valid(policy: OutagePolicy, now: Time) -> bool {
    match policy {
        OutagePolicy::Refuse => false,
        // Assumes that the last renewal was half a lease before the start of the outage.
        OutagePolicy::Lease(span) => now < Time::ZERO + Span::from_us(span.as_us() / 2),
    }
}
