//! Runs all workloads, policies and seeds in parallel.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::thread;

use lentil_core::{Span, Time};

use super::numeric::u64_to_f64;
use super::policy::Policy;
use super::simulation::simulate;
use super::stats::{Metrics, RunStats, quantile_us};
use super::workload::{Incident, ORGANISATION_SHARES, SampledRequest, Workload};

/// Number of worker threads.
const THREADS_MAX: usize = 5;
/// Time after a zone's return that still counts towards the zone's goodput.
const ZONE_RECOVERY: Span = Span::from_s(20);
/// Shorter waits are raised to this value, as ratios of very short waits mean little.
const WAIT_MIN_US: f64 = 100_000.0;
/// Minimum number of an organisation's waits for a p95.
const WAIT_SAMPLES_MIN: usize = 20;

/// Metrics of one workload under one policy, one set for each seed.
#[derive(Debug, Clone)]
pub(crate) struct PolicyResult {
    pub(crate) workload: Workload,
    pub(crate) policy: Policy,
    pub(crate) metrics: Vec<Metrics>,
}

/// Runs every workload under every policy with every seed.
pub(crate) fn run_all(workloads: &[Workload], seeds: &[u64]) -> eyre::Result<Vec<PolicyResult>> {
    let jobs: Vec<(Workload, Policy, u64)> = workloads
        .iter()
        .flat_map(|w| Policy::ALL.map(|policy| (*w, policy)))
        .flat_map(|(w, policy)| seeds.iter().map(move |seed| (w, policy, *seed)))
        .collect();
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..THREADS_MAX {
            scope.spawn(|| {
                while let Some((number, job)) = next_job(&next, &jobs) {
                    let metrics = run_one(&job.0, job.1, job.2);
                    done.lock()
                        .unwrap_or_else(PoisonError::into_inner)
                        .push((number, metrics));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_else(PoisonError::into_inner);
    done.sort_by_key(|(number, _)| *number);
    let metrics: eyre::Result<Vec<Metrics>> = done.into_iter().map(|(_, f)| f).collect();
    Ok(jobs
        .chunks(seeds.len())
        .zip(metrics?.chunks(seeds.len()))
        .filter_map(|(jobs, metrics)| {
            let (workload, policy, _) = jobs.first()?;
            Some(PolicyResult {
                workload: *workload,
                policy: *policy,
                metrics: metrics.to_vec(),
            })
        })
        .collect())
}

fn next_job<'a, T>(next: &AtomicUsize, jobs: &'a [T]) -> Option<(usize, &'a T)> {
    let number = next.fetch_add(1, Ordering::Relaxed);
    jobs.get(number).map(|job| (number, job))
}

fn run_one(workload: &Workload, policy: Policy, seed: u64) -> eyre::Result<Metrics> {
    let (stats, requests) = simulate(workload, policy, workload.sample_requests(seed), seed)?;
    let mut metrics = stats.metrics(&requests, zone_change(workload));
    if workload.alone {
        metrics.wait_ratio = wait_ratio(workload, policy, seed, &stats, &requests)?;
    }
    Ok(metrics)
}

/// Returns the period from a zone's withdrawal until its recovery, if the workload has one.
fn zone_change(workload: &Workload) -> Option<(Time, Time)> {
    let second = |wanted: fn(&Incident) -> bool| {
        workload
            .incidents
            .iter()
            .find(|(_, incident)| wanted(incident))
            .map(|(second, _)| Time::ZERO + Span::from_s(*second))
    };
    let out = second(|incident| matches!(incident, Incident::ZoneOut(_)))?;
    let back = second(|incident| matches!(incident, Incident::ZoneReturns(_)))?;
    Some((out, back + ZONE_RECOVERY))
}

/// Returns the largest ratio of an organisation's p95 wait to its p95 wait in a run alone.
fn wait_ratio(
    workload: &Workload,
    policy: Policy,
    seed: u64,
    stats: &RunStats,
    requests: &[SampledRequest],
) -> eyre::Result<f64> {
    let mut worst = 0.0_f64;
    for organisation in 0..ORGANISATION_SHARES.len() {
        let own: Vec<SampledRequest> = requests
            .iter()
            .filter(|request| request.organisation == organisation)
            .cloned()
            .collect();
        let (alone, own) = simulate(workload, policy, own, seed)?;
        let mut waits = stats.waits(requests, Some(organisation));
        let mut waits_alone = alone.waits(&own, None);
        if waits.len() < WAIT_SAMPLES_MIN || waits_alone.len() < WAIT_SAMPLES_MIN {
            continue;
        }
        let wait = u64_to_f64(quantile_us(&mut waits, 950)).max(WAIT_MIN_US);
        let wait_alone = u64_to_f64(quantile_us(&mut waits_alone, 950)).max(WAIT_MIN_US);
        worst = worst.max(wait / wait_alone);
    }
    Ok(worst)
}
