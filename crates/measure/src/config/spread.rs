//! How long a change takes to be in force everywhere.

use lentil_config::{Change, ConfigLedger, Exchange};
use lentil_core::{ConfigVersion, Offset, ProcessId, Span, Time};
use serde::Serialize;

use super::build::{CUT_REGION, change, file, layout, record};
use super::fleet::Fleet;
use super::memory_log::{LogState, MemoryLog};

/// Time to start before the change.
const WARM_UP: Span = Span::from_s(20);
/// How long a region stays cut.
const CUT: Span = Span::from_s(60);
/// Time after the change in which it must have come in force.
const AFTER: Span = Span::from_s(40);
/// Processes that the operators' tool hands an accepted change to.
const HANDED_TO: u64 = 3;
/// Time within which a third of the processes is replaced.
const REPLACED_WITHIN_MS: u64 = 6_000;

/// What goes wrong around the change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Fault {
    /// Nothing.
    LogUp,
    /// The log answers after half a second to two.
    LogSlow,
    /// The log goes down as soon as the change is accepted.
    LogDown,
    /// A third of the processes is replaced meanwhile.
    ThirdReplaced,
    /// A region is cut from the others and from the log for a minute.
    RegionCut,
}

/// All of them.
pub(crate) const FAULTS: [Fault; 5] = [
    Fault::LogUp,
    Fault::LogSlow,
    Fault::LogDown,
    Fault::ThirdReplaced,
    Fault::RegionCut,
];

/// What one size and fault gave over all runs.
#[derive(Debug, Serialize)]
pub(crate) struct Spread {
    pub(crate) members: usize,
    pub(crate) organisations: usize,
    pub(crate) fault: Fault,
    pub(crate) runs: u64,
    pub(crate) p50_ms: u64,
    pub(crate) p99_ms: u64,
    pub(crate) max_ms: u64,
    /// Longest time after the heal until the cut region had it.
    pub(crate) after_heal_ms: Option<u64>,
    /// Last moment at which an entry that doesn't know yet meets an agent that
    /// doesn't either.
    pub(crate) last_dispatch_ms: u64,
    pub(crate) missing: usize,
    pub(crate) reverts: u64,
}

/// Measures one size and fault.
pub(crate) fn measure(
    members: usize,
    organisations: usize,
    fault: Fault,
    seeds: std::ops::Range<u64>,
) -> eyre::Result<Spread> {
    let runs = seeds.end - seeds.start;
    let mut all = Samples::default();
    for seed in seeds {
        run(members, organisations, fault, seed, &mut all)?;
    }
    all.waits_ms.sort_unstable();
    Ok(Spread {
        members,
        organisations,
        fault,
        runs,
        p50_ms: quantile(&all.waits_ms, 500),
        p99_ms: quantile(&all.waits_ms, 990),
        max_ms: quantile(&all.waits_ms, 1_000),
        after_heal_ms: all.after_heal_ms,
        last_dispatch_ms: all.last_dispatch_ms,
        missing: all.missing,
        reverts: all.reverts,
    })
}

#[derive(Debug, Default)]
struct Samples {
    waits_ms: Vec<u64>,
    after_heal_ms: Option<u64>,
    last_dispatch_ms: u64,
    missing: usize,
    reverts: u64,
}

/// The value below which `permille` of the sorted samples lie.
pub(crate) fn quantile(sorted: &[u64], permille: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * permille / 1_000).copied().unwrap_or(0)
}

fn run(
    members: usize,
    organisations: usize,
    fault: Fault,
    seed: u64,
    all: &mut Samples,
) -> eyre::Result<()> {
    let zones = if members < 50 { 3 } else { 7 };
    let mut log = MemoryLog::new();
    let first = Change::Replace(file(organisations)?);
    log.append(record("first", ConfigVersion::default(), first)?);
    let mut fleet = Fleet::new(&layout(members, zones), log, seed);
    fleet.run_until(Time::ZERO + WARM_UP + Span::from_ms(seed * 37 % 1_000));
    let cut_region = if zones == 7 { CUT_REGION } else { "none" };
    if fault == Fault::RegionCut {
        fleet.cut = Some(cut_region);
    }
    if fault == Fault::LogSlow {
        fleet.log.state = LogState::Slow;
        fleet.run_until(fleet.now + Span::from_s(5));
    }
    let begin = fleet.now;
    accept(&mut fleet, fault)?;
    if fault == Fault::ThirdReplaced {
        replace_third(&mut fleet);
    }
    if fault == Fault::RegionCut {
        fleet.run_until(begin + CUT);
        fleet.cut = None;
    }
    fleet.run_until(fleet.now + AFTER);
    collect(&fleet, begin, cut_region, fault, all);
    Ok(())
}

/// Appends a zone's leaving, and hands it to a few processes as the tool does.
fn accept(fleet: &mut Fleet, fault: Fault) -> eyre::Result<()> {
    let base = fleet.newest();
    let bytes = record("out", base, change(1)?)?;
    fleet.log.append(bytes);
    let mut ledger = ConfigLedger::default();
    let page = fleet.log.read(Offset::default());
    for (offset, bytes) in page.map(|page| page.records).unwrap_or_default() {
        ledger.apply_record(offset, &bytes);
    }
    if fault == Fault::LogDown {
        fleet.log.state = LogState::Down;
    }
    let sender: ProcessId = "lentilctl".parse()?;
    for _ in 0..HANDED_TO {
        let count = u64::try_from(fleet.members.len())?;
        let at = usize::try_from(fleet.draw(count))?;
        let exchange = Exchange {
            sender: sender.clone(),
            digest: ledger.digest(),
            update: ledger.last_change(),
            follow_up: false,
        };
        fleet.hand_over(at, exchange);
    }
    Ok(())
}

fn replace_third(fleet: &mut Fleet) {
    let count = fleet.members.len();
    let begin = fleet.now;
    let mut moments: Vec<(u64, usize)> = (0..count)
        .step_by(3)
        .map(|at| (fleet.draw(REPLACED_WITHIN_MS), at))
        .collect();
    moments.sort_unstable();
    for (ms, at) in moments {
        fleet.run_until(begin + Span::from_ms(ms));
        fleet.replace(at);
    }
}

fn collect(fleet: &Fleet, begin: Time, cut_region: &str, fault: Fault, all: &mut Samples) {
    let version = ConfigVersion::new(2);
    let healed = begin + CUT;
    let mut entries_ms = 0;
    let mut agents_ms = 0;
    for (number, member) in fleet.members.iter().enumerate() {
        let Some((_, at)) = member.in_force.range(version..).next() else {
            all.missing += 1;
            continue;
        };
        if fault == Fault::RegionCut && member.peer.region.as_str() == cut_region {
            let wait_ms = at.since(healed).as_ms();
            all.after_heal_ms = Some(all.after_heal_ms.unwrap_or(0).max(wait_ms));
            continue;
        }
        let wait_ms = at.since(begin.max(member.born)).as_ms();
        all.waits_ms.push(wait_ms);
        // Three of eight processes are entries; agents of the zone that left count.
        if number % 8 < 3 {
            entries_ms = entries_ms.max(wait_ms);
        } else if member.peer.zone.as_str() == "tosu-b" {
            agents_ms = agents_ms.max(wait_ms);
        }
    }
    all.last_dispatch_ms = all.last_dispatch_ms.max(entries_ms.min(agents_ms));
    all.reverts += fleet.reverts + fleet.splits;
}
