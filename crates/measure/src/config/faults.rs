//! Many short runs with random faults that look for version reverts and splits.

use lentil_config::Change;
use lentil_core::{ConfigVersion, Span, Time};
use serde::Serialize;

use super::build::{
    PARTITIONED_REGION, configuration_file, encode_change, sample_change, spread_over_zones,
};
use super::fleet::Fleet;
use super::memory_log::{LogState, MemoryLog};

/// Number of processes in one run.
const MEMBERS: usize = 12;
/// Number of random steps in one run.
const STEPS: u64 = 24;
/// Time within which all processes must agree after the last fault.
const CONVERGENCE_TIME: Span = Span::from_s(13);
/// Number of threads that the runs are divided between.
const THREADS: u64 = 4;

/// Totals over all runs.
#[derive(Debug, Default, Serialize)]
pub(crate) struct FaultRuns {
    pub(crate) runs: u64,
    pub(crate) versions: u64,
    pub(crate) reverts: u64,
    pub(crate) splits: u64,
    /// Runs at whose end some process lacked the newest version.
    pub(crate) behind: u64,
    pub(crate) first_bad_seed: Option<u64>,
}

/// Runs `count` consecutive seeds, starting with `seed`.
pub(crate) fn measure(seed: u64, count: u64) -> eyre::Result<FaultRuns> {
    let share = count.div_ceil(THREADS);
    let parts = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|part| {
                let begin = seed + part * share;
                let end = (begin + share).min(seed + count);
                scope.spawn(move || run_seeds(begin..end))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| {
                thread
                    .join()
                    .map_err(|_| eyre::eyre!("a thread of runs panicked"))?
            })
            .collect::<eyre::Result<Vec<_>>>()
    })?;
    Ok(parts.iter().fold(FaultRuns::default(), merge))
}

fn merge(mut all: FaultRuns, part: &FaultRuns) -> FaultRuns {
    all.runs += part.runs;
    all.versions += part.versions;
    all.reverts += part.reverts;
    all.splits += part.splits;
    all.behind += part.behind;
    all.first_bad_seed = all.first_bad_seed.or(part.first_bad_seed);
    all
}

fn run_seeds(seeds: std::ops::Range<u64>) -> eyre::Result<FaultRuns> {
    let mut all = FaultRuns::default();
    for seed in seeds {
        let fleet = run_seed(seed)?;
        let newest = fleet.newest();
        let behind = u64::from(!fleet.all_have_version(newest));
        all.runs += 1;
        all.versions += newest.get();
        all.reverts += fleet.reverts;
        all.splits += fleet.splits;
        all.behind += behind;
        if fleet.reverts + fleet.splits + behind > 0 {
            all.first_bad_seed = all.first_bad_seed.or(Some(seed));
        }
    }
    Ok(all)
}

fn run_seed(seed: u64) -> eyre::Result<Fleet> {
    let mut log = MemoryLog::new();
    let first = Change::Replace(configuration_file(4)?);
    log.append(encode_change("first", ConfigVersion::default(), first)?);
    let mut fleet = Fleet::new(&spread_over_zones(MEMBERS, 7), log, seed);
    fleet.run_until(Time::ZERO + Span::from_s(5));
    for step in 0..STEPS {
        inject_fault(&mut fleet, step)?;
        let wait = Span::from_ms(fleet.random_below(1_500));
        fleet.run_until(fleet.now + wait);
    }
    fleet.partitioned_region = None;
    fleet.log.state = LogState::Up;
    for at in 0..MEMBERS {
        fleet.pause(at, fleet.now);
    }
    fleet.run_until(fleet.now + CONVERGENCE_TIME);
    Ok(fleet)
}

fn inject_fault(fleet: &mut Fleet, step: u64) -> eyre::Result<()> {
    let at = usize::try_from(fleet.random_below(12))?;
    match fleet.random_below(16) {
        0 => fleet.log.state = LogState::Down,
        1 => fleet.log.state = LogState::Slow,
        2 => fleet.log.state = LogState::Up,
        3 => fleet.partitioned_region = Some(PARTITIONED_REGION),
        4 => fleet.partitioned_region = None,
        5 => fleet.pause(at, fleet.now + Span::from_s(20)),
        6 | 7 => fleet.replace(at),
        8 => {
            let read = fleet
                .members
                .iter()
                .map(|m| m.config_sync.ledger().next_offset());
            let read = read.max().unwrap_or_default();
            let count = usize::try_from(2 + fleet.random_below(8))?;
            fleet.log.retain_newest(count, read);
        }
        _ => publish_changes(fleet, step)?,
    }
    Ok(())
}

/// Publishes one or two changes at the same time, each on the version of a random process,
/// which may be out of date.
fn publish_changes(fleet: &mut Fleet, step: u64) -> eyre::Result<()> {
    for operator in 0..=fleet.random_below(2) {
        let at = usize::try_from(fleet.random_below(12))?;
        let member = fleet.members.get(at);
        let base = member.map_or_else(ConfigVersion::default, |m| m.config_sync.ledger().version());
        let number = fleet.random_below(1_000);
        let bytes = encode_change(&format!("{step}-{operator}"), base, sample_change(number)?)?;
        fleet.log.append(bytes);
    }
    Ok(())
}
