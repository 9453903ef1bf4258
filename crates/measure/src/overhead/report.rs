//! The measurement results and their output as a table.

use std::fmt;

use serde::Serialize;

use super::idle::Idle;
use super::runner::{Outcome, Quantiles};

/// Target for the p99 latency added to the first token and between tokens.
const TARGET_ADDED_P99_US: u64 = 1_000;
/// Target for the CPU time per token of the entry and of the agent.
const TARGET_CPU_NS_PER_TOKEN: u64 = 10_000;
const NS_PER_US: u64 = 1_000;

/// Results of all runs.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) rate: u64,
    pub(crate) tokens: u64,
    pub(crate) seconds: u64,
    pub(crate) direct: Outcome,
    pub(crate) through: Outcome,
    pub(crate) short: Outcome,
    pub(crate) idle: Idle,
}

impl Report {
    /// Whether every stream delivered all its tokens.
    pub(crate) const fn is_complete(&self) -> bool {
        self.direct.failed + self.through.failed + self.short.failed == 0
    }

    fn write_rows(
        f: &mut fmt::Formatter<'_>,
        name: &str,
        direct: Quantiles,
        through: Quantiles,
    ) -> fmt::Result {
        for (quantile, direct_us, through_us) in [
            ("p50", direct.p50_us, through.p50_us),
            ("p99", direct.p99_us, through.p99_us),
        ] {
            let added_us = i128::from(through_us) - i128::from(direct_us);
            writeln!(
                f,
                "{name:<24} {quantile} {direct_us:>10} {through_us:>10} {added_us:>+10}"
            )?;
        }
        Ok(())
    }
}

fn cpu_ns_per(cpu_us: u64, count: u64) -> u64 {
    cpu_us * NS_PER_US / count.max(1)
}

fn target_status(reached: bool) -> &'static str {
    if reached { "reached" } else { "not reached" }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (direct, through) = (&self.direct, &self.through);
        writeln!(
            f,
            "{} requests/s of {} tokens for {} s: {} requests, {} failed, {} tokens/s",
            self.rate,
            self.tokens,
            self.seconds,
            through.requests,
            through.failed,
            through.tokens_per_s,
        )?;
        writeln!(
            f,
            "{:<28} {:>10} {:>10} {:>10}",
            "microseconds", "direct", "through", "added"
        )?;
        Self::write_rows(f, "first token", direct.first, through.first)?;
        Self::write_rows(f, "between tokens", direct.gap, through.gap)?;
        Self::write_rows(f, "generation to receipt", direct.delay, through.delay)?;
        let entry_ns = cpu_ns_per(through.entry_cpu_us, through.tokens);
        let agent_ns = cpu_ns_per(through.agent_cpu_us, through.tokens);
        writeln!(f, "CPU ns per token: entry {entry_ns}, agent {agent_ns}")?;
        writeln!(
            f,
            "CPU us per one-token request ({} requests/s): entry {}, agent {}",
            self.short.requests / self.seconds.max(1),
            self.short.entry_cpu_us / self.short.requests.max(1),
            self.short.agent_cpu_us / self.short.requests.max(1),
        )?;
        let idle = &self.idle;
        writeln!(
            f,
            "{} idle streams: entry {} B each and {} CPU us/s in total, agent {} B and {} CPU us/s",
            idle.streams,
            idle.entry_bytes_per_stream,
            idle.entry_cpu_us_per_s,
            idle.agent_bytes_per_stream,
            idle.agent_cpu_us_per_s,
        )?;
        let within_target = |direct: Quantiles, through: Quantiles| {
            through.p99_us.saturating_sub(direct.p99_us) <= TARGET_ADDED_P99_US
        };
        writeln!(
            f,
            "target <= {TARGET_ADDED_P99_US} us added at p99: first token {}, between tokens {}",
            target_status(within_target(direct.first, through.first)),
            target_status(within_target(direct.gap, through.gap)),
        )?;
        writeln!(
            f,
            "target <= {TARGET_CPU_NS_PER_TOKEN} CPU ns per token: entry {}, agent {}",
            target_status(entry_ns <= TARGET_CPU_NS_PER_TOKEN),
            target_status(agent_ns <= TARGET_CPU_NS_PER_TOKEN),
        )
    }
}
