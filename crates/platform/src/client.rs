//! One HTTP client for all services of the platform.

use std::fmt;

use lentil_core::Span;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientRequest};
use ntex::http::StatusCode;
use ntex::time::Millis;
use ntex::util::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::RequestError;

/// Longest answer that is read, in bytes.
const ANSWER_MAX_BYTES: usize = 16 * 1024 * 1024;

/// How to reach one service.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Base URL, without a slash at its end.
    pub base_url: String,
    /// Longest wait for one answer.
    pub timeout: Span,
}

/// What was read, with the entity tag that names its state.
#[derive(Debug, Clone)]
pub struct WithEtag<T> {
    /// The tag, if the service gives one.
    pub etag: Option<String>,
    /// What was read.
    pub content: T,
}

/// A client for JSON over HTTP; it belongs to the thread that made it.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    base_url: String,
    timeout: Millis,
}

impl fmt::Debug for HttpClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpClient")
            .field("base_url", &self.base_url)
            .finish_non_exhaustive()
    }
}

impl HttpClient {
    /// Makes a client on the current thread, which runs an ntex system.
    ///
    /// # Errors
    /// The connector can't be built.
    pub async fn new(options: &ClientOptions) -> Result<Self, RequestError> {
        let timeout = Millis(u32::try_from(options.timeout.as_ms()).unwrap_or(u32::MAX));
        let client = Client::builder()
            .disable_redirects()
            .response_timeout(timeout)
            .response_payload_limit(ANSWER_MAX_BYTES)
            .response_payload_timeout(timeout)
            .build(ntex::SharedCfg::default())
            .await
            .map_err(|error| RequestError::Invalid(error.to_string()))?;
        Ok(Self {
            client,
            base_url: options.base_url.trim_end_matches('/').to_owned(),
            timeout,
        })
    }

    /// Reads `path` as JSON.
    ///
    /// # Errors
    /// The exchange fails or the answer is not understood.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, RequestError> {
        let bytes = self.get_bytes(path).await?;
        decode(&bytes)
    }

    /// Reads `path` as JSON if its entity tag is not `known`.
    ///
    /// # Errors
    /// The exchange fails or the answer is not understood.
    pub async fn get_if_changed<T: DeserializeOwned>(
        &self,
        path: &str,
        known: Option<&str>,
    ) -> Result<Option<WithEtag<T>>, RequestError> {
        let request = self
            .client
            .get(self.url(path))
            .timeout(self.timeout)
            .if_some(known, |tag, request| request.header("if-none-match", tag));
        let response = request
            .send()
            .await
            .map_err(|error| request_error(&error))?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = response
            .header("etag")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let bytes = answer(Ok(response)).await?;
        Ok(Some(WithEtag {
            etag: tag,
            content: decode(&bytes)?,
        }))
    }

    /// Reads `path` as it is.
    ///
    /// # Errors
    /// The exchange fails.
    pub async fn get_bytes(&self, path: &str) -> Result<Bytes, RequestError> {
        let request = self.client.get(self.url(path)).timeout(self.timeout);
        answer(request.send().await).await
    }

    /// Posts JSON to `path`.
    ///
    /// # Errors
    /// The exchange fails or the answer is not understood.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, RequestError> {
        let bytes = self.send(self.client.post(self.url(path)), body).await?;
        decode(&bytes)
    }

    /// Puts JSON to `path`; the answer's body is dropped.
    ///
    /// # Errors
    /// The exchange fails.
    pub async fn put<B: Serialize>(&self, path: &str, body: &B) -> Result<(), RequestError> {
        self.send(self.client.put(self.url(path)), body).await?;
        Ok(())
    }

    async fn send<B: Serialize>(
        &self,
        request: ClientRequest,
        body: &B,
    ) -> Result<Bytes, RequestError> {
        answer(request.timeout(self.timeout).send_json(body).await).await
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}

async fn answer(
    sent: Result<ntex::client::ClientResponse, ClientError>,
) -> Result<Bytes, RequestError> {
    let response = sent.map_err(|error| request_error(&error))?;
    let status = response.status();
    if status != StatusCode::OK && status != StatusCode::NO_CONTENT {
        return Err(RequestError::Status {
            status: status.as_u16(),
        });
    }
    response
        .body()
        .await
        .map_err(|error| RequestError::Interrupted(error.to_string()))
}

/// Whether an exchange failed before anything was sent.
///
/// The client reports a connection that its peer closed unanswered as
/// `Disconnected(None)`, which says nothing about the effect; only an error of
/// the system carries a cause.
#[must_use]
pub const fn failed_before_sending(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(cause)) => cause.is_some(),
        ClientError::Connect(_) => true,
        _ => false,
    }
}

fn request_error(error: &ClientError) -> RequestError {
    if failed_before_sending(error) {
        return RequestError::Connect(error.to_string());
    }
    match error {
        ClientError::Url(_) | ClientError::Http(_) | ClientError::TunnelNotSupported => {
            RequestError::Invalid(error.to_string())
        }
        ClientError::Connect(_)
        | ClientError::Send(_)
        | ClientError::Request(_)
        | ClientError::Response(_)
        | ClientError::H2(_)
        | ClientError::Timeout
        | ClientError::Error(_) => RequestError::Interrupted(error.to_string()),
    }
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, RequestError> {
    serde_json::from_slice(bytes).map_err(|error| RequestError::Malformed(error.to_string()))
}
