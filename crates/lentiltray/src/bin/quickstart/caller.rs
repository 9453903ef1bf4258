//! The two requests that the quickstart sends.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{ContextCompat, bail, ensure};
use futures_util::StreamExt;
use lentil_site::{MODEL, SERVICE};
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::rt::{DefaultRuntime, System};
use ntex::time::Millis;
use serde_json::json;

/// Idempotency key of the confirmation.
pub(crate) const IDEMPOTENCY_KEY: &str = "confirm-bin-17";
/// Maximum attempts while the entries have not discovered the agents yet.
const READY_ATTEMPTS: u32 = 100;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Streams a generation through the first entry, then sends a pickup confirmation
/// with an idempotency key through the last one.
pub(crate) fn run(entries: &[SocketAddr]) -> eyre::Result<()> {
    let first = *entries.first().context("the site has no entry")?;
    let last = *entries.last().context("the site has no entry")?;
    System::build()
        .name("caller")
        .disable_signals()
        .build(DefaultRuntime)
        .block_on(async move {
            let client = Client::builder()
                .disable_timeout()
                .build(ntex::SharedCfg::default())
                .await?;
            generate(&client, first).await?;
            confirm(&client, last).await
        })
}

async fn generate(client: &Client, entry: SocketAddr) -> eyre::Result<()> {
    let body = json!({
        "model": MODEL,
        "prompt": "Summarise this week's rounds.",
        "max_tokens": 16,
        "stream": true,
    });
    for _ in 0..READY_ATTEMPTS {
        let mut response = client
            .post(format!("http://{entry}/v1/completions"))
            .send_json(&body)
            .await
            .map_err(|error| eyre::eyre!("{error}"))?;
        if response.status() == StatusCode::TOO_MANY_REQUESTS {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        ensure!(
            response.status().is_success(),
            "the generation request failed with status {}",
            response.status()
        );
        let mut text = Vec::new();
        while let Some(chunk) = response.next().await {
            text.extend_from_slice(&chunk.map_err(|error| eyre::eyre!("{error}"))?);
        }
        println!("streamed generation:\n{}", String::from_utf8_lossy(&text));
        return Ok(());
    }
    bail!("the entry did not discover an agent in time")
}

async fn confirm(client: &Client, entry: SocketAddr) -> eyre::Result<()> {
    for _ in 0..READY_ATTEMPTS {
        let response = client
            .post(format!("http://{entry}/services/{SERVICE}/confirm"))
            .header("idempotency-key", IDEMPOTENCY_KEY)
            .timeout(Millis(10_000))
            .send_body("bin 17 emptied")
            .await
            .map_err(|error| eyre::eyre!("{error}"))?;
        if response.status() == StatusCode::TOO_MANY_REQUESTS {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        }
        let status = response.status();
        let body = response
            .body()
            .await
            .map_err(|error| eyre::eyre!("{error}"))?;
        println!(
            "pickup confirmation: {status} {}",
            String::from_utf8_lossy(&body)
        );
        ensure!(status.is_success(), "the confirmation request failed");
        return Ok(());
    }
    bail!("the entry did not discover an agent in time")
}
