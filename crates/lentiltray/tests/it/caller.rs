//! An HTTP client for tests that acts as a caller.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use lentil_agent::Agent;
use lentil_site::{MODEL, Site, SiteOptions};
use ntex::client::{Client, ClientResponse};
use ntex::rt::{DefaultRuntime, System};
use serde_json::{Value, json};

/// Maximum attempts while a new entry discovers the agents.
const READY_ATTEMPTS: u32 = 200;
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs a future on ntex's runtime, which the HTTP client needs.
pub(crate) fn block_on<F: Future<Output = ()> + 'static>(future: F) {
    System::build()
        .name("caller")
        .disable_signals()
        .build(DefaultRuntime)
        .block_on(future);
}

/// Starts a site whose plain service has one endpoint, at this address, beside an agent.
pub(crate) fn start_beside(endpoint: SocketAddr) -> (Site, Agent) {
    let options = SiteOptions {
        services: 0,
        ..SiteOptions::default()
    };
    let site = Site::start(options).unwrap();
    let agent = site.start_service_agent(0, endpoint).unwrap();
    (site, agent)
}

/// One server-sent event of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Event {
    pub(crate) id: Option<String>,
    pub(crate) data: String,
}

pub(crate) struct Caller {
    pub(crate) client: Client,
}

impl Caller {
    pub(crate) async fn new() -> Self {
        let client = Client::builder()
            .disable_timeout()
            .build(ntex::SharedCfg::default())
            .await
            .unwrap();
        Self { client }
    }

    /// Resumes a generation after the event `last`.
    pub(crate) async fn resume(&self, entry: SocketAddr, last: &str) -> ClientResponse {
        let (generation, _) = last.rsplit_once(':').unwrap();
        self.client
            .get(format!("http://{entry}/v1/generations/{generation}"))
            .header("last-event-id", last)
            .send()
            .await
            .unwrap()
    }

    /// Posts a completion and retries while a new entry answers 429.
    pub(crate) async fn complete(&self, entry: SocketAddr, body: &Value) -> ClientResponse {
        for _ in 0..READY_ATTEMPTS {
            let response = self
                .client
                .post(format!("http://{entry}/v1/completions"))
                .send_json(body)
                .await
                .unwrap();
            if response.status().as_u16() != 429 {
                return response;
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
        panic!("the entry never became ready");
    }
}

/// Builds the request body of a completion.
pub(crate) fn completion(prompt: &str, max_tokens: u32, stream: bool) -> Value {
    json!({"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": stream})
}

/// Reads events of a streamed response until at least `limit` have arrived or the
/// response ends.
pub(crate) async fn read_events(response: &mut ClientResponse, limit: usize) -> Vec<Event> {
    let mut buffer = String::new();
    let mut events = Vec::new();
    while events.len() < limit {
        let Some(chunk) = response.next().await else {
            break;
        };
        let Ok(chunk) = chunk else { break };
        buffer.push_str(std::str::from_utf8(&chunk).unwrap());
        while let Some((head, rest)) = buffer.split_once("\n\n") {
            events.push(parse(head));
            buffer = rest.to_owned();
        }
    }
    events
}

fn parse(text: &str) -> Event {
    let field = |name: &str| text.lines().find_map(|line| line.strip_prefix(name));
    Event {
        id: field("id: ").map(str::to_owned),
        data: field("data: ").unwrap_or_default().to_owned(),
    }
}

/// Returns the text of each token event.
pub(crate) fn texts(events: &[Event]) -> Vec<String> {
    events
        .iter()
        .filter(|event| event.id.is_some())
        .map(|event| {
            let value: Value = serde_json::from_str(&event.data).unwrap();
            value["choices"][0]["text"].as_str().unwrap().to_owned()
        })
        .collect()
}
