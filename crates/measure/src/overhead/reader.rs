//! Reads one stream and records the times of its tokens.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use futures_util::StreamExt;
use ntex::client::ClientResponse;

/// Precedes the generation time that the fake engine appends to the text of each token.
const TIMESTAMP_MARKER: char = '@';

/// Token times of one stream, in microseconds.
#[derive(Debug, Default)]
pub(crate) struct StreamTimes {
    /// From sending the request to the first token.
    pub(crate) first_token_us: Option<u64>,
    /// Between consecutive tokens.
    pub(crate) gaps_us: Vec<u64>,
    /// From the generation of a token to its receipt.
    pub(crate) delays_us: Vec<u64>,
    /// Number of tokens received.
    pub(crate) tokens: u64,
    /// Whether the stream ended with `[DONE]`.
    pub(crate) complete: bool,
}

/// Reads a stream to its end or to the first error.
pub(crate) async fn read_stream(started: Instant, mut response: ClientResponse) -> StreamTimes {
    let mut times = StreamTimes::default();
    let mut buffer = String::new();
    let mut last_token = started;
    while let Some(Ok(chunk)) = response.next().await {
        let now = Instant::now();
        buffer.push_str(&String::from_utf8_lossy(&chunk));
        while let Some(end) = buffer.find("\n\n") {
            let event: String = buffer.drain(..end + 2).collect();
            times.record_event(&event, started, &mut last_token, now);
        }
    }
    times
}

impl StreamTimes {
    fn record_event(
        &mut self,
        event: &str,
        started: Instant,
        last_token: &mut Instant,
        now: Instant,
    ) {
        if event.contains("[DONE]") {
            self.complete = true;
        }
        let Some(generated_us) = parse_timestamp(event) else {
            return;
        };
        self.tokens += 1;
        match self.first_token_us {
            None => self.first_token_us = Some(to_us(now.duration_since(started))),
            Some(_) => self.gaps_us.push(to_us(now.duration_since(*last_token))),
        }
        *last_token = now;
        self.delays_us
            .push(now_unix_us().saturating_sub(generated_us));
    }
}

fn parse_timestamp(event: &str) -> Option<u64> {
    let (_, rest) = event.split_once(TIMESTAMP_MARKER)?;
    let end = rest.find(|c: char| !c.is_ascii_digit())?;
    rest.get(..end)?.parse().ok()
}

fn to_us(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn now_unix_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, to_us)
}
