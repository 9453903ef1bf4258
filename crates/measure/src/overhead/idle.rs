//! Memory and CPU time that open streams take while no tokens arrive.

use std::time::{Duration, Instant};

use futures_util::StreamExt;
use serde::Serialize;

use super::processes::Deployment;
use super::runner::{block_on, build_client, send_request, wait_until_ready};
use super::usage::read_usage;

/// How long CPU time is measured with all streams open.
const OBSERVATION_TIME: Duration = Duration::from_secs(10);
/// Maximum wait for the response headers, and again for the first token.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Tokens requested per stream. The idle engine generates only the first.
const REQUESTED_TOKENS: u64 = 1_000;
/// Streams opened between two pauses.
const STREAMS_PER_BATCH: u64 = 50;
/// Pause after each batch of opened streams.
const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Resources taken by open, idle streams.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Idle {
    pub(crate) streams: u64,
    pub(crate) entry_bytes_per_stream: u64,
    pub(crate) agent_bytes_per_stream: u64,
    pub(crate) entry_cpu_us_per_s: u64,
    pub(crate) agent_cpu_us_per_s: u64,
}

/// Opens the streams, waits for the first token of each and measures memory and CPU time.
pub(crate) fn run(deployment: &Deployment, streams: u64) -> eyre::Result<Idle> {
    let target = deployment.entry.address;
    let pids = (deployment.entry.pid(), deployment.agent.pid());
    block_on(async move {
        let client = build_client().await?;
        wait_until_ready(&client, target).await?;
        let before = (read_usage(pids.0)?, read_usage(pids.1)?);
        let mut responses = Vec::new();
        for number in 0..streams {
            let request = send_request(&client, target, number, REQUESTED_TOKENS);
            let mut response = tokio::time::timeout(FIRST_TOKEN_TIMEOUT, request).await??;
            let first = tokio::time::timeout(FIRST_TOKEN_TIMEOUT, response.next()).await;
            if !response.status().is_success() || !matches!(first, Ok(Some(Ok(_)))) {
                return Err(eyre::eyre!("stream {number} did not open"));
            }
            responses.push(response);
            if number % STREAMS_PER_BATCH == 0 {
                tokio::time::sleep(BATCH_DELAY).await;
            }
        }
        let opened = (read_usage(pids.0)?, read_usage(pids.1)?);
        let started = Instant::now();
        tokio::time::sleep(OBSERVATION_TIME).await;
        let after = (read_usage(pids.0)?, read_usage(pids.1)?);
        let seconds = started.elapsed().as_secs().max(1);
        drop(responses);
        let bytes_per_stream =
            |opened: u64, before: u64| opened.saturating_sub(before) / streams.max(1);
        Ok(Idle {
            streams,
            entry_bytes_per_stream: bytes_per_stream(
                opened.0.resident_bytes,
                before.0.resident_bytes,
            ),
            agent_bytes_per_stream: bytes_per_stream(
                opened.1.resident_bytes,
                before.1.resident_bytes,
            ),
            entry_cpu_us_per_s: (after.0.cpu_us - opened.0.cpu_us) / seconds,
            agent_cpu_us_per_s: (after.1.cpu_us - opened.1.cpu_us) / seconds,
        })
    })
}
