//! Time until a change is in force on every process.

use lentil_config::{Change, ConfigLedger, Exchange};
use lentil_core::{ConfigVersion, Offset, ProcessId, Span, Time};
use serde::Serialize;

use super::build::{
    PARTITIONED_REGION, configuration_file, encode_change, sample_change, spread_over_zones,
};
use super::fleet::Fleet;
use super::memory_log::{LogState, MemoryLog};

/// Time before the change in which all processes start and converge.
const WARM_UP: Span = Span::from_s(20);
/// How long a region stays partitioned.
const PARTITION_TIME: Span = Span::from_s(60);
/// Time that the run continues after the change, or after the end of a partition.
const CONVERGENCE_WAIT: Span = Span::from_s(40);
/// Number of processes to which `lentilctl` sends an accepted change.
const OPERATOR_RECIPIENTS: u64 = 3;
/// Time over which the replacement of a third of the processes is spread.
const REPLACEMENT_WINDOW_MS: u64 = 6_000;

/// The fault injected around the change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Fault {
    /// No fault.
    LogUp,
    /// The log answers after 0.5 to 1.9 seconds.
    LogSlow,
    /// The log goes down as soon as the change is accepted.
    LogDown,
    /// A third of the processes is replaced after the change.
    ThirdReplaced,
    /// A region is partitioned from the others and from the log for a minute.
    RegionCut,
}

/// All faults, in the order of the report.
pub(crate) const ALL_FAULTS: [Fault; 5] = [
    Fault::LogUp,
    Fault::LogSlow,
    Fault::LogDown,
    Fault::ThirdReplaced,
    Fault::RegionCut,
];

/// Results for one fleet size and fault over all runs.
#[derive(Debug, Serialize)]
pub(crate) struct Propagation {
    pub(crate) members: usize,
    pub(crate) organisations: usize,
    pub(crate) fault: Fault,
    pub(crate) runs: u64,
    pub(crate) p50_ms: u64,
    pub(crate) p99_ms: u64,
    pub(crate) max_ms: u64,
    /// Longest time from the end of the partition until the partitioned region had the change.
    pub(crate) after_heal_ms: Option<u64>,
    /// Longest time after the change at which an entry without it could still send work to an
    /// agent of the withdrawn zone that also lacked it.
    pub(crate) last_dispatch_ms: u64,
    pub(crate) missing: usize,
    pub(crate) reverts: u64,
}

/// Measures one fleet size under one fault.
pub(crate) fn measure(
    members: usize,
    organisations: usize,
    fault: Fault,
    seeds: std::ops::Range<u64>,
) -> eyre::Result<Propagation> {
    let runs = seeds.end - seeds.start;
    let mut samples = Samples::default();
    for seed in seeds {
        run_seed(members, organisations, fault, seed, &mut samples)?;
    }
    samples.waits_ms.sort_unstable();
    Ok(Propagation {
        members,
        organisations,
        fault,
        runs,
        p50_ms: quantile(&samples.waits_ms, 500),
        p99_ms: quantile(&samples.waits_ms, 990),
        max_ms: quantile(&samples.waits_ms, 1_000),
        after_heal_ms: samples.after_heal_ms,
        last_dispatch_ms: samples.last_dispatch_ms,
        missing: samples.missing,
        reverts: samples.reverts,
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

/// Returns the quantile of sorted samples at `permille`, or 0 without samples.
pub(crate) fn quantile(sorted: &[u64], permille: usize) -> u64 {
    let last = sorted.len().saturating_sub(1);
    sorted.get(last * permille / 1_000).copied().unwrap_or(0)
}

fn run_seed(
    members: usize,
    organisations: usize,
    fault: Fault,
    seed: u64,
    samples: &mut Samples,
) -> eyre::Result<()> {
    let zones = if members < 50 { 3 } else { 7 };
    let mut log = MemoryLog::new();
    let first = Change::Replace(configuration_file(organisations)?);
    log.append(encode_change("first", ConfigVersion::default(), first)?);
    let mut fleet = Fleet::new(&spread_over_zones(members, zones), log, seed);
    fleet.run_until(Time::ZERO + WARM_UP + Span::from_ms(seed * 37 % 1_000));
    let partitioned_region = if zones == 7 {
        PARTITIONED_REGION
    } else {
        "none"
    };
    if fault == Fault::RegionCut {
        fleet.partitioned_region = Some(partitioned_region);
    }
    if fault == Fault::LogSlow {
        fleet.log.state = LogState::Slow;
        fleet.run_until(fleet.now + Span::from_s(5));
    }
    let begin = fleet.now;
    publish_zone_withdrawal(&mut fleet, fault)?;
    if fault == Fault::ThirdReplaced {
        replace_third(&mut fleet);
    }
    if fault == Fault::RegionCut {
        fleet.run_until(begin + PARTITION_TIME);
        fleet.partitioned_region = None;
    }
    fleet.run_until(fleet.now + CONVERGENCE_WAIT);
    record_samples(&fleet, begin, partitioned_region, fault, samples);
    Ok(())
}

/// Appends the withdrawal of a zone to the log and sends it to a few processes, as `lentilctl`
/// does.
fn publish_zone_withdrawal(fleet: &mut Fleet, fault: Fault) -> eyre::Result<()> {
    let base = fleet.newest();
    let bytes = encode_change("out", base, sample_change(1)?)?;
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
    for _ in 0..OPERATOR_RECIPIENTS {
        let count = u64::try_from(fleet.members.len())?;
        let at = usize::try_from(fleet.random_below(count))?;
        let exchange = Exchange {
            sender: sender.clone(),
            digest: ledger.digest(),
            update: ledger.last_change(),
            follow_up: false,
        };
        fleet.deliver_from_operator(at, exchange);
    }
    Ok(())
}

fn replace_third(fleet: &mut Fleet) {
    let count = fleet.members.len();
    let begin = fleet.now;
    let mut moments: Vec<(u64, usize)> = (0..count)
        .step_by(3)
        .map(|at| (fleet.random_below(REPLACEMENT_WINDOW_MS), at))
        .collect();
    moments.sort_unstable();
    for (ms, at) in moments {
        fleet.run_until(begin + Span::from_ms(ms));
        fleet.replace(at);
    }
}

fn record_samples(
    fleet: &Fleet,
    begin: Time,
    partitioned_region: &str,
    fault: Fault,
    samples: &mut Samples,
) {
    let version = ConfigVersion::new(2);
    let healed = begin + PARTITION_TIME;
    let mut entries_ms = 0;
    let mut agents_ms = 0;
    for (number, member) in fleet.members.iter().enumerate() {
        let Some((_, at)) = member.in_force.range(version..).next() else {
            samples.missing += 1;
            continue;
        };
        if fault == Fault::RegionCut && member.peer.region.as_str() == partitioned_region {
            let wait_ms = at.since(healed).as_ms();
            samples.after_heal_ms = Some(samples.after_heal_ms.unwrap_or(0).max(wait_ms));
            continue;
        }
        let wait_ms = at.since(begin.max(member.started_at)).as_ms();
        samples.waits_ms.push(wait_ms);
        // Three of every eight processes are entries, the others agents. Of the agents, only
        // those of the withdrawn zone count.
        if number % 8 < 3 {
            entries_ms = entries_ms.max(wait_ms);
        } else if member.peer.zone.as_str() == "tosu-b" {
            agents_ms = agents_ms.max(wait_ms);
        }
    }
    samples.last_dispatch_ms = samples.last_dispatch_ms.max(entries_ms.min(agents_ms));
    samples.reverts += fleet.reverts + fleet.splits;
}
