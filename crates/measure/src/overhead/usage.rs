//! CPU time and memory of a process, read from `/proc`.

use std::fs;

/// Clock ticks per second (`USER_HZ`), the unit of CPU times in `/proc/*/stat`.
const TICKS_PER_S: u64 = 100;
const US_PER_S: u64 = 1_000_000;
/// Index of the user time among the fields that follow the process name in `/proc/*/stat`.
/// The system time is the next field.
const USER_TIME_FIELD: usize = 11;
const BYTES_PER_KIB: u64 = 1_024;

/// Resources that a process has used.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Usage {
    /// User and system CPU time since the start of the process.
    pub(crate) cpu_us: u64,
    /// Resident set size.
    pub(crate) resident_bytes: u64,
}

/// Reads the CPU time and memory of a process.
pub(crate) fn read_usage(pid: u32) -> eyre::Result<Usage> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks: u64 = fields
        .split_whitespace()
        .skip(USER_TIME_FIELD)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let resident_kib: u64 = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0);
    Ok(Usage {
        cpu_us: ticks * US_PER_S / TICKS_PER_S,
        resident_bytes: resident_kib * BYTES_PER_KIB,
    })
}
