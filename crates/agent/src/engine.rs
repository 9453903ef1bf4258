//! Client of a model engine's HTTP API.

use std::fmt::Display;
use std::future::Future;
use std::pin::Pin;

use futures_util::StreamExt;
use lentil_core::{GenerationId, Priority, TokenCount};
use lentil_platform::failed_before_sending;
use lentil_stream::EventSplitter;
use ntex::client::Client;
use ntex::client::error::ClientError;
use ntex::http::StatusCode;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::request::GenerationRequest;

/// Timeout of a load query to the engine.
const LOAD_TIMEOUT: ntex::time::Millis = ntex::time::Millis(1_000);

/// Most bytes that an engine sends without an event that has data.
const WITHOUT_DATA_MAX_BYTES: usize = 256 * 1024;
/// Most bytes of text for each token that was asked for, on average.
const TOKEN_MAX_BYTES: usize = 1024;

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

/// Limits the text of one generation.
struct TextLimit {
    tokens_left: u32,
    bytes_left: usize,
}

impl TextLimit {
    fn new(tokens_max: TokenCount) -> Self {
        let tokens = usize::try_from(tokens_max.get()).unwrap_or(usize::MAX);
        Self {
            tokens_left: tokens_max.get(),
            bytes_left: tokens.saturating_mul(TOKEN_MAX_BYTES),
        }
    }

    /// Counts the text of one event, which holds a token or more.
    fn add(&mut self, text: &str) -> Result<(), EngineError> {
        let tokens_left = self.tokens_left.checked_sub(1);
        let bytes_left = self.bytes_left.checked_sub(text.len());
        let (Some(tokens_left), Some(bytes_left)) = (tokens_left, bytes_left) else {
            let reason = "the engine generated more than was asked for";
            return Err(EngineError::Broken(reason.to_owned()));
        };
        self.tokens_left = tokens_left;
        self.bytes_left = bytes_left;
        Ok(())
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
        let mut response = response;
        let mut splitter = EventSplitter::default();
        let mut text_limit = TextLimit::new(request.tokens_max);
        let mut bytes_without_data = 0;
        let mut reason = None;
        let broken = |error: &dyn Display| EngineError::Broken(error.to_string());
        'stream: while let Some(bytes) = response.next().await {
            let bytes = bytes.map_err(|error| broken(&error))?;
            bytes_without_data += bytes.len();
            splitter.push(&bytes);
            while let Some(event) = splitter.next_event().map_err(|error| broken(&error))? {
                if !event.has_data {
                    continue;
                }
                bytes_without_data = 0;
                let data = event.data().map_err(|error| broken(&error))?;
                if data == "[DONE]" {
                    break 'stream;
                }
                let chunk: Chunk = serde_json::from_str(&data).map_err(|error| broken(&error))?;
                for choice in chunk.choices {
                    if !choice.text.is_empty() {
                        text_limit.add(&choice.text)?;
                        sink.on_token(choice.text);
                    }
                    reason = choice.finish_reason.or(reason);
                }
            }
            if bytes_without_data > WITHOUT_DATA_MAX_BYTES {
                return Err(broken(&format!("{bytes_without_data} bytes without data")));
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
