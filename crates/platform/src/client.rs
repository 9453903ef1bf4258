//! The HTTP client for all services of the platform.

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

/// Response size limit, in bytes.
const RESPONSE_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Connection options of one service.
#[derive(Debug, Clone)]
pub struct ClientOptions {
    /// Base URL, without a trailing slash.
    pub base_url: String,
    /// Response timeout.
    pub timeout: Span,
}

/// Decoded content with the entity tag of its version.
#[derive(Debug, Clone)]
pub struct WithEtag<T> {
    /// The entity tag, if the service sends one.
    pub etag: Option<String>,
    /// The decoded content.
    pub content: T,
}

/// A client for JSON over HTTP. It can only be used on the thread that created it.
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
    /// Creates a client on the current thread, which must run an ntex system.
    ///
    /// # Errors
    /// Returns an error if the connector can't be built.
    pub async fn new(options: &ClientOptions) -> Result<Self, RequestError> {
        let timeout = Millis(u32::try_from(options.timeout.as_ms()).unwrap_or(u32::MAX));
        let client = Client::builder()
            .disable_redirects()
            .response_timeout(timeout)
            .response_payload_limit(RESPONSE_MAX_BYTES)
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

    /// Gets `path` and decodes the response as JSON.
    ///
    /// # Errors
    /// Returns an error if the request fails or the response can't be decoded.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, RequestError> {
        let bytes = self.get_bytes(path).await?;
        decode(&bytes)
    }

    /// Gets `path` and decodes the response as JSON, or returns `None` if the
    /// entity tag is still `known`.
    ///
    /// # Errors
    /// Returns an error if the request fails or the response can't be decoded.
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
            .map_err(|error| classify_error(&error))?;
        if response.status() == StatusCode::NOT_MODIFIED {
            return Ok(None);
        }
        let tag = response
            .header("etag")
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let bytes = read_response(Ok(response)).await?;
        Ok(Some(WithEtag {
            etag: tag,
            content: decode(&bytes)?,
        }))
    }

    /// Gets `path` and returns the response body.
    ///
    /// # Errors
    /// Returns an error if the request fails.
    pub async fn get_bytes(&self, path: &str) -> Result<Bytes, RequestError> {
        let request = self.client.get(self.url(path)).timeout(self.timeout);
        read_response(request.send().await).await
    }

    /// Posts JSON to `path` and decodes the response as JSON.
    ///
    /// # Errors
    /// Returns an error if the request fails or the response can't be decoded.
    pub async fn post<B: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<T, RequestError> {
        let bytes = self.send(self.client.post(self.url(path)), body).await?;
        decode(&bytes)
    }

    /// Puts JSON to `path` and ignores the response body.
    ///
    /// # Errors
    /// Returns an error if the request fails.
    pub async fn put<B: Serialize>(&self, path: &str, body: &B) -> Result<(), RequestError> {
        self.send(self.client.put(self.url(path)), body).await?;
        Ok(())
    }

    async fn send<B: Serialize>(
        &self,
        request: ClientRequest,
        body: &B,
    ) -> Result<Bytes, RequestError> {
        read_response(request.timeout(self.timeout).send_json(body).await).await
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base_url)
    }
}

async fn read_response(
    result: Result<ntex::client::ClientResponse, ClientError>,
) -> Result<Bytes, RequestError> {
    let response = result.map_err(|error| classify_error(&error))?;
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

/// Whether a request failed before any of it was sent.
///
/// The client reports a connection that the peer closed without a response as
/// `Disconnected(None)`, in which case the request may have taken effect. Only
/// operating system errors carry a cause.
#[must_use]
pub const fn failed_before_sending(error: &ClientError) -> bool {
    match error {
        ClientError::Connect(ConnectError::Disconnected(cause)) => cause.is_some(),
        ClientError::Connect(_) => true,
        _ => false,
    }
}

fn classify_error(error: &ClientError) -> RequestError {
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
