//! Network traffic and CPU time that configuration distribution costs each member.

use lentil_config::Change;
use lentil_core::{ConfigVersion, Span, Time};
use serde::Serialize;

use super::build::{configuration_file, encode_change, sample_change, spread_over_zones};
use super::fleet::Fleet;
use super::memory_log::MemoryLog;

/// Length of the observation, in seconds.
const OBSERVATION_S: u64 = 200;
/// Time before the observation in which all members start and converge.
const WARM_UP: Span = Span::from_s(30);
/// Rate of changes per day that the fleet must sustain.
const CHANGES_PER_DAY: u64 = 460;
const SECONDS_PER_DAY: u64 = 86_400;

/// Costs per member and second.
#[derive(Debug, Serialize)]
pub(crate) struct Cost {
    pub(crate) members: usize,
    pub(crate) changes: u64,
    pub(crate) bytes_per_s_mean: u64,
    pub(crate) bytes_per_s_max: u64,
    /// CPU time of the decision code alone, in millionths of a core.
    pub(crate) cpu_ppm: u64,
    pub(crate) messages_per_s_mean_milli: u64,
}

/// Measures a fleet either without changes or at the rate of [`CHANGES_PER_DAY`].
pub(crate) fn measure(members: usize, changing: bool, seed: u64) -> eyre::Result<Cost> {
    let mut log = MemoryLog::new();
    let first = Change::Replace(configuration_file(16)?);
    log.append(encode_change("first", ConfigVersion::default(), first)?);
    let mut fleet = Fleet::new(&spread_over_zones(members, 7), log, seed);
    fleet.run_until(Time::ZERO + WARM_UP);
    for member in &mut fleet.members {
        member.bytes = 0;
    }
    (fleet.steps, fleet.cpu_ns) = (0, 0);
    let changes = if changing {
        CHANGES_PER_DAY * OBSERVATION_S / SECONDS_PER_DAY
    } else {
        0
    };
    let begin = fleet.now;
    for number in 0..changes {
        fleet.run_until(begin + Span::from_ms(OBSERVATION_S * 1_000 * number / changes));
        let bytes = encode_change(
            &number.to_string(),
            fleet.newest(),
            sample_change(4 * number + 3)?,
        )?;
        fleet.log.append(bytes);
    }
    fleet.run_until(begin + Span::from_s(OBSERVATION_S));
    let count = u64::try_from(members)?;
    let total_bytes: u64 = fleet.members.iter().map(|member| member.bytes).sum();
    let max_bytes = fleet.members.iter().map(|member| member.bytes).max();
    Ok(Cost {
        members,
        changes,
        bytes_per_s_mean: total_bytes / count / OBSERVATION_S,
        bytes_per_s_max: max_bytes.unwrap_or(0) / OBSERVATION_S,
        cpu_ppm: fleet.cpu_ns / 1_000 / count / OBSERVATION_S,
        messages_per_s_mean_milli: fleet.steps * 1_000 / count / OBSERVATION_S,
    })
}
