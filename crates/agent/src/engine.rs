//! Client of a model engine's HTTP API.

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

use crate::request::GenerationRequest;

/// Timeout of a load query to the engine.
const LOAD_TIMEOUT: ntex::time::Millis = ntex::time::Millis(1_000);

/// A future that stays on the thread that owns the engine's connections.
pub(crate) type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Receives an engine's tokens as they are generated.
pub(crate) trait TokenSink {
    /// Called when the engine accepts the request.
    fn on_accepted(&self);

    /// Called with the text of each token, in order.
    fn on_token(&self, text: String);
}

/// Operations of a model engine.
pub(crate) trait Engine {
    /// Runs a generation, passes its tokens to `sink` and returns the finish
    /// reason.
    fn generate<'a>(
        &'a self,
        generation: &'a GenerationId,
        request: &'a GenerationRequest,
        sink: &'a dyn TokenSink,
    ) -> LocalFuture<'a, Result<String, EngineError>>;

    /// Queries the engine's load; the answer may lag behind.
    fn load<'a>(&'a self) -> LocalFuture<'a, Result<EngineLoad, EngineError>>;

    /// Cancels a generation.
    fn cancel<'a>(
        &'a self,
        generation: &'a GenerationId,
    ) -> LocalFuture<'a, Result<(), EngineError>>;
}

/// The load that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) struct EngineLoad {
    /// Start counter of the engine.
    #[serde(default)]
    pub(crate) boot: u64,
    pub(crate) running: u32,
    #[serde(default)]
    pub(crate) waiting: u32,
    #[serde(default)]
    pub(crate) blocks_used: u32,
}

impl EngineLoad {
    /// Number of generations at the engine, running and waiting.
    pub(crate) const fn total(self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// A request to the engine failed.
#[derive(Debug, Error)]
pub(crate) enum EngineError {
    /// No connection was established, so the engine received nothing.
    #[error("connecting to the engine: {0}")]
    Connect(String),
    /// The connection failed, or the engine violated the protocol.
    #[error("the connection to the engine failed: {0}")]
    Broken(String),
    /// The engine answered with an error status.
    #[error("the engine answered {0}")]
    Status(StatusCode),
}

impl From<&ClientError> for EngineError {
    /// Only a failure to connect proves that nothing was sent.
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

/// The engine's number for a priority; smaller numbers are scheduled first.
const fn engine_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Verdict => 0,
        Priority::Interactive => 1,
        Priority::Report => 2,
    }
}

/// An engine with an HTTP API.
pub(crate) struct HttpEngine {
    /// For generations, each on a connection of its own.
    client: Client,
    /// For all other requests, which share connections.
    status_client: Client,
    base_url: String,
}

impl HttpEngine {
    pub(crate) const fn new(client: Client, status_client: Client, base_url: String) -> Self {
        Self {
            client,
            status_client,
            base_url,
        }
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
            priority: engine_priority(request.priority),
            user: request.organisation.as_str(),
        };
        let response = self
            .client
            .post(format!("{}/v1/completions", self.base_url))
            .force_close()
            .header("traceparent", request.traceparent.as_str())
            .send_json(&body)
            .await
            .map_err(|error| EngineError::from(&error))?;
        if !response.status().is_success() {
            return Err(EngineError::Status(response.status()));
        }
        sink.on_accepted();
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
                    sink.on_token(choice.text);
                }
                reason = choice.finish_reason.or(reason);
            }
        }
        reason.ok_or_else(|| {
            EngineError::Broken("the stream ended without a finish reason".to_owned())
        })
    }
}

impl Engine for HttpEngine {
    fn generate<'a>(
        &'a self,
        generation: &'a GenerationId,
        request: &'a GenerationRequest,
        sink: &'a dyn TokenSink,
    ) -> LocalFuture<'a, Result<String, EngineError>> {
        Box::pin(self.stream(generation, request, sink))
    }

    fn load<'a>(&'a self) -> LocalFuture<'a, Result<EngineLoad, EngineError>> {
        Box::pin(async move {
            let response = self
                .status_client
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

    fn cancel<'a>(
        &'a self,
        generation: &'a GenerationId,
    ) -> LocalFuture<'a, Result<(), EngineError>> {
        Box::pin(async move {
            let url = format!("{}/v1/streams/{generation}", self.base_url);
            self.status_client
                .delete(url)
                .send()
                .await
                .map(|_| ())
                .map_err(|error| EngineError::from(&error))
        })
    }
}
