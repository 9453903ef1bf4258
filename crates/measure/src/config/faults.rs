//! Many short runs with random faults, in search of a revert.

use lentil_config::Change;
use lentil_core::{ConfigVersion, Span, Time};
use serde::Serialize;

use super::build::{CUT_REGION, change, file, layout, record};
use super::fleet::Fleet;
use super::memory_log::{LogState, MemoryLog};

/// Processes of one run.
const MEMBERS: usize = 12;
/// Steps of one run.
const STEPS: u64 = 24;
/// Time in which all must agree after the last fault.
const SETTLE: Span = Span::from_s(13);
/// Threads that share the runs.
const THREADS: u64 = 4;

/// What the runs gave.
#[derive(Debug, Default, Serialize)]
pub(crate) struct FaultRuns {
    pub(crate) runs: u64,
    pub(crate) versions: u64,
    pub(crate) reverts: u64,
    pub(crate) splits: u64,
    /// Runs after which a process lacked the newest version.
    pub(crate) behind: u64,
    pub(crate) first_bad_seed: Option<u64>,
}

/// Runs `count` seeds from `seed` on.
pub(crate) fn measure(seed: u64, count: u64) -> eyre::Result<FaultRuns> {
    let share = count.div_ceil(THREADS);
    let parts = std::thread::scope(|scope| {
        let threads: Vec<_> = (0..THREADS)
            .map(|part| {
                let begin = seed + part * share;
                let end = (begin + share).min(seed + count);
                scope.spawn(move || runs(begin..end))
            })
            .collect();
        threads
            .into_iter()
            .map(|thread| {
                thread
                    .join()
                    .map_err(|_| eyre::eyre!("a run ended early"))?
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

fn runs(seeds: std::ops::Range<u64>) -> eyre::Result<FaultRuns> {
    let mut all = FaultRuns::default();
    for seed in seeds {
        let fleet = run(seed)?;
        let newest = fleet.newest();
        let behind = u64::from(!fleet.all_have(newest));
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

fn run(seed: u64) -> eyre::Result<Fleet> {
    let mut log = MemoryLog::new();
    let first = Change::Replace(file(4)?);
    log.append(record("first", ConfigVersion::default(), first)?);
    let mut fleet = Fleet::new(&layout(MEMBERS, 7), log, seed);
    fleet.run_until(Time::ZERO + Span::from_s(5));
    for step in 0..STEPS {
        fault(&mut fleet, step)?;
        let wait = Span::from_ms(fleet.draw(1_500));
        fleet.run_until(fleet.now + wait);
    }
    fleet.cut = None;
    fleet.log.state = LogState::Up;
    for at in 0..MEMBERS {
        fleet.pause(at, fleet.now);
    }
    fleet.run_until(fleet.now + SETTLE);
    Ok(fleet)
}

fn fault(fleet: &mut Fleet, step: u64) -> eyre::Result<()> {
    let at = usize::try_from(fleet.draw(12))?;
    match fleet.draw(16) {
        0 => fleet.log.state = LogState::Down,
        1 => fleet.log.state = LogState::Slow,
        2 => fleet.log.state = LogState::Up,
        3 => fleet.cut = Some(CUT_REGION),
        4 => fleet.cut = None,
        5 => fleet.pause(at, fleet.now + Span::from_s(20)),
        6 | 7 => fleet.replace(at),
        8 => {
            let read = fleet
                .members
                .iter()
                .map(|m| m.control.ledger().next_offset());
            let read = read.max().unwrap_or_default();
            let count = usize::try_from(2 + fleet.draw(8))?;
            fleet.log.keep(count, read);
        }
        _ => publish(fleet, step)?,
    }
    Ok(())
}

/// One or two operators publish on a base that is new or a little old.
fn publish(fleet: &mut Fleet, step: u64) -> eyre::Result<()> {
    for racer in 0..=fleet.draw(2) {
        let at = usize::try_from(fleet.draw(12))?;
        let member = fleet.members.get(at);
        let base = member.map_or_else(ConfigVersion::default, |m| m.control.ledger().version());
        let number = fleet.draw(1_000);
        let bytes = record(&format!("{step}-{racer}"), base, change(number)?)?;
        fleet.log.append(bytes);
    }
    Ok(())
}
