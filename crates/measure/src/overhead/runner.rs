//! Sends requests at a constant rate and summarises the times of their streams.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ntex::client::{Client, ClientResponse, Connector};
use ntex::rt::{DefaultRuntime, System};
use serde::Serialize;
use serde_json::json;

use super::processes::{Deployment, MODEL};
use super::reader::{StreamTimes, read_stream};
use super::usage::read_usage;

/// Maximum number of concurrent connections of the client.
const CONNECTIONS_MAX: usize = 4_096;
/// Maximum number of requests sent while waiting for the entry to discover the agent.
const READY_ATTEMPTS_MAX: u32 = 200;
/// Delay between two readiness attempts.
const READY_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Precision of the latency histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Load of a run: requests per second, tokens per generation and duration.
#[derive(Debug, Clone)]
pub(crate) struct Load {
    pub(crate) rate: u64,
    pub(crate) tokens: u64,
    pub(crate) seconds: u64,
}

/// Where the requests are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RequestPath {
    /// Directly to the engine.
    Direct,
    /// To the entry, which sends them on to the agent and the engine.
    ViaEntry,
}

/// Quantiles of a latency distribution.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Quantiles {
    pub(crate) p50_us: u64,
    pub(crate) p99_us: u64,
}

/// Results of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Outcome {
    pub(crate) requests: u64,
    pub(crate) failed: u64,
    pub(crate) tokens: u64,
    pub(crate) tokens_per_s: u64,
    pub(crate) first: Quantiles,
    pub(crate) gap: Quantiles,
    pub(crate) delay: Quantiles,
    pub(crate) entry_cpu_us: u64,
    pub(crate) agent_cpu_us: u64,
}

/// Builds the HTTP client, without a request timeout.
pub(crate) async fn build_client() -> eyre::Result<Client> {
    let client = Client::builder()
        .connector::<()>(Connector::default().limit(CONNECTIONS_MAX))
        .disable_timeout()
        .build(ntex::SharedCfg::default())
        .await;
    client.map_err(|error| eyre::eyre!("cannot build the HTTP client: {error}"))
}

/// Sends one streaming completion request.
pub(crate) async fn send_request(
    client: &Client,
    address: SocketAddr,
    number: u64,
    tokens: u64,
) -> eyre::Result<ClientResponse> {
    let body = json!({
        "request_id": format!("direct-{number}-{}", std::process::id()),
        "model": MODEL,
        "prompt": format!("request {number} tokens={tokens}"),
        "stream": true,
    });
    let url = format!("http://{address}/v1/completions");
    let sent = client.post(url).send_json(&body).await;
    sent.map_err(|error| eyre::eyre!("{error}"))
}

/// Sends requests to the entry until one succeeds.
pub(crate) async fn wait_until_ready(client: &Client, entry: SocketAddr) -> eyre::Result<()> {
    for _ in 0..READY_ATTEMPTS_MAX {
        if let Ok(response) = send_request(client, entry, 0, 1).await
            && response.status().is_success()
        {
            read_stream(Instant::now(), response).await;
            return Ok(());
        }
        tokio::time::sleep(READY_RETRY_DELAY).await;
    }
    Err(eyre::eyre!("the entry did not become ready"))
}

/// Runs a future on the runtime of the HTTP library.
pub(crate) fn block_on<T: 'static>(
    future: impl Future<Output = eyre::Result<T>> + 'static,
) -> eyre::Result<T> {
    System::build()
        .name("callers")
        .disable_signals()
        .build(DefaultRuntime)
        .block_on(future)
}

/// Runs a load and measures the CPU time of entry and agent.
pub(crate) fn run(
    deployment: &Deployment,
    load: &Load,
    path: RequestPath,
) -> eyre::Result<Outcome> {
    let entry = deployment.entry.address;
    let target = match path {
        RequestPath::Direct => deployment.engine.address,
        RequestPath::ViaEntry => entry,
    };
    let pids = (deployment.entry.pid(), deployment.agent.pid());
    let load = load.clone();
    block_on(async move {
        let client = build_client().await?;
        wait_until_ready(&client, entry).await?;
        let before = (read_usage(pids.0)?, read_usage(pids.1)?);
        let started = Instant::now();
        let results = send_load(&client, target, &load).await;
        let elapsed = started.elapsed();
        let after = (read_usage(pids.0)?, read_usage(pids.1)?);
        let mut outcome = summarise(&results, &load)?;
        outcome.entry_cpu_us = after.0.cpu_us - before.0.cpu_us;
        outcome.agent_cpu_us = after.1.cpu_us - before.1.cpu_us;
        outcome.tokens_per_s = outcome.tokens * 1_000 / u64::try_from(elapsed.as_millis())?.max(1);
        Ok(outcome)
    })
}

/// Sends requests at the rate of the load and waits for all streams to end.
async fn send_load(client: &Client, target: SocketAddr, load: &Load) -> Vec<StreamTimes> {
    let results = Rc::new(RefCell::new(Vec::new()));
    let interval = Duration::from_secs(1) / u32::try_from(load.rate).unwrap_or(u32::MAX);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for number in 0..load.rate * load.seconds {
        let send_at = started + interval * u32::try_from(number).unwrap_or(u32::MAX);
        tokio::time::sleep_until(send_at.into()).await;
        let (client, results, tokens) = (client.clone(), Rc::clone(&results), load.tokens);
        tasks.push(ntex::rt::spawn(async move {
            let started = Instant::now();
            let times = match send_request(&client, target, number, tokens).await {
                Ok(response) => read_stream(started, response).await,
                Err(_) => StreamTimes::default(),
            };
            results.borrow_mut().push(times);
        }));
    }
    for task in tasks {
        let _ = task.await;
    }
    results.take()
}

fn summarise(results: &[StreamTimes], load: &Load) -> eyre::Result<Outcome> {
    let complete = |times: &&StreamTimes| times.complete && times.tokens == load.tokens;
    Ok(Outcome {
        requests: u64::try_from(results.len())?,
        failed: u64::try_from(results.len() - results.iter().filter(complete).count())?,
        tokens: results.iter().map(|times| times.tokens).sum(),
        first: quantiles(results.iter().filter_map(|times| times.first_token_us))?,
        gap: quantiles(
            results
                .iter()
                .flat_map(|times| times.gaps_us.iter().copied()),
        )?,
        delay: quantiles(
            results
                .iter()
                .flat_map(|times| times.delays_us.iter().copied()),
        )?,
        ..Outcome::default()
    })
}

fn quantiles(values: impl Iterator<Item = u64>) -> eyre::Result<Quantiles> {
    let mut histogram = Histogram::<u64>::new(SIGNIFICANT_DIGITS)?;
    for value in values {
        histogram.record(value)?;
    }
    Ok(Quantiles {
        p50_us: histogram.value_at_quantile(0.5),
        p99_us: histogram.value_at_quantile(0.99),
    })
}
