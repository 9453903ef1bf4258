//! A model engine, spoken to in the form that its callers use.

use std::future::Future;
use std::pin::Pin;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use lentil_core::{GenerationId, Priority};
use lentil_platform::failed_before_sending;
use ntex::client::Client;
use ntex::client::error::ClientError;
use ntex::http::StatusCode;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::work::GenerationRequest;

/// Longest wait for the engine's load.
const LOAD_TIMEOUT: ntex::time::Millis = ntex::time::Millis(1_000);

/// A future on the thread that owns the engine's connections.
pub(crate) type Local<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Takes an engine's tokens as they come.
pub(crate) trait TokenSink {
    /// The engine took the request.
    fn opened(&self);

    /// The next token's text.
    fn token(&self, text: String);
}

/// What an agent asks of a model engine.
pub(crate) trait Engine {
    /// Generates, hands tokens to `sink` and returns why it stopped.
    fn generate<'a>(
        &'a self,
        generation: &'a GenerationId,
        request: &'a GenerationRequest,
        sink: &'a dyn TokenSink,
    ) -> Local<'a, Result<String, EngineError>>;

    /// The engine's load, with a lag.
    fn load<'a>(&'a self) -> Local<'a, Result<EngineLoad, EngineError>>;

    /// Ends a generation.
    fn cancel<'a>(&'a self, generation: &'a GenerationId) -> Local<'a, Result<(), EngineError>>;
}

/// What an engine tells of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) struct EngineLoad {
    /// Counts the engine's starts.
    #[serde(default)]
    pub(crate) boot: u64,
    pub(crate) running: u32,
    #[serde(default)]
    pub(crate) waiting: u32,
    #[serde(default)]
    pub(crate) blocks_used: u32,
}

impl EngineLoad {
    /// Generations there, whether they run or wait.
    pub(crate) const fn side_by_side(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// The engine did not do what it was asked.
#[derive(Debug, Error)]
pub(crate) enum EngineError {
    /// No connection could be made, so the engine saw nothing.
    #[error("connecting to the engine: {0}")]
    Connect(String),
    /// The connection broke, or the engine broke its protocol.
    #[error("the engine's stream broke: {0}")]
    Broken(String),
    /// The engine refused.
    #[error("the engine answered {0}")]
    Status(StatusCode),
}

impl From<&ClientError> for EngineError {
    /// Only a connection that was never made proves that nothing was sent.
    fn from(error: &ClientError) -> Self {
        if failed_before_sending(error) {
            Self::Connect(error.to_string())
        } else {
            Self::Broken(error.to_string())
        }
    }
}

#[derive(Debug, Serialize)]
struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    request_id: String,
    priority: u8,
    user: &'a str,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

/// The engine's number for a priority; a smaller one goes first.
const fn urgency(priority: Priority) -> u8 {
    match priority {
        Priority::Verdict => 0,
        Priority::Interactive => 1,
        Priority::Report => 2,
    }
}

/// An engine behind HTTP.
pub(crate) struct HttpEngine {
    client: Client,
    base_url: String,
}

impl HttpEngine {
    pub(crate) fn new(client: Client, base_url: String) -> Self {
        Self { client, base_url }
    }

    async fn stream(
        &self,
        generation: &GenerationId,
        request: &GenerationRequest,
        sink: &dyn TokenSink,
    ) -> Result<String, EngineError> {
        let body = CompletionBody {
            model: request.model.as_str(),
            prompt: &request.prompt,
            max_tokens: request.tokens_max.get(),
            stream: true,
            request_id: generation.to_string(),
            priority: urgency(request.priority),
            user: request.organisation.as_str(),
        };
        let response = self
            .client
            .post(format!("{}/v1/completions", self.base_url))
            .header("traceparent", request.traceparent.as_str())
            .send_json(&body)
            .await
            .map_err(|error| EngineError::from(&error))?;
        if !response.status().is_success() {
            return Err(EngineError::Status(response.status()));
        }
        sink.opened();
        let mut events = response.eventsource();
        let mut reason = None;
        while let Some(event) = events.next().await {
            let event = event.map_err(|error| EngineError::Broken(error.to_string()))?;
            if event.data == "[DONE]" {
                break;
            }
            let chunk: Chunk = serde_json::from_str(&event.data)
                .map_err(|error| EngineError::Broken(error.to_string()))?;
            for choice in chunk.choices {
                if !choice.text.is_empty() {
                    sink.token(choice.text);
                }
                reason = choice.finish_reason.or(reason);
            }
        }
        reason.ok_or_else(|| EngineError::Broken("it ended without a reason".to_owned()))
    }
}

impl Engine for HttpEngine {
    fn generate<'a>(
        &'a self,
        generation: &'a GenerationId,
        request: &'a GenerationRequest,
        sink: &'a dyn TokenSink,
    ) -> Local<'a, Result<String, EngineError>> {
        Box::pin(self.stream(generation, request, sink))
    }

    fn load<'a>(&'a self) -> Local<'a, Result<EngineLoad, EngineError>> {
        Box::pin(async move {
            let response = self
                .client
                .get(format!("{}/load", self.base_url))
                .timeout(LOAD_TIMEOUT)
                .send()
                .await
                .map_err(|error| EngineError::Connect(error.to_string()))?;
            if !response.status().is_success() {
                return Err(EngineError::Status(response.status()));
            }
            response
                .json()
                .await
                .map_err(|error| EngineError::Broken(error.to_string()))
        })
    }

    fn cancel<'a>(&'a self, generation: &'a GenerationId) -> Local<'a, Result<(), EngineError>> {
        Box::pin(async move {
            let url = format!("{}/v1/streams/{generation}", self.base_url);
            self.client
                .delete(url)
                .send()
                .await
                .map(|_| ())
                .map_err(|error| EngineError::from(&error))
        })
    }
}
