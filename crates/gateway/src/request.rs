//! A caller's request and the gateway's response.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use lentil_core::{ParseIdError, PromptPartId, Refusal, Span, TokenCount};

use crate::body::ResponseBody;

/// Longest request ID, in bytes.
const ID_MAX_BYTES: usize = 256;

/// The ID that the caller gave to this attempt of its request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// Returns the ID as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns a hash that is the same in every process.
    #[must_use]
    pub fn stable_hash(&self) -> u64 {
        // FNV-1a: only a stable, even distribution is needed.
        self.0.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0000_0100_0000_01b3)
        })
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseIdError::Empty);
        }
        if text.len() > ID_MAX_BYTES {
            return Err(ParseIdError::TooLong {
                len_bytes: text.len(),
            });
        }
        Ok(Self(Arc::from(text)))
    }
}

/// The size of the generation that a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Number of prompt tokens.
    pub prompt_tokens: TokenCount,
    /// Largest number of output tokens.
    pub max_output_tokens: TokenCount,
    /// The caller's estimate of the output tokens, which is often far off.
    pub expected_output_tokens: Option<TokenCount>,
    /// The parts of the prompt that other requests may have in common with it, in order.
    pub shared_parts: Vec<PromptPartId>,
}

/// A caller's request, completely read.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// The request ID.
    pub id: RequestId,
    /// The requested host name, without the port.
    pub host: String,
    /// The HTTP method.
    pub method: Method,
    /// The path and query as received.
    pub target: String,
    /// The headers to forward unchanged.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the caller waits for the response.
    pub timeout: Option<Span>,
    /// The caller's API key.
    pub api_key: Option<String>,
    /// The size of the requested generation.
    pub generation: Option<Generation>,
    /// The last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// The attempt that brought the first event of that stream, if the caller names it.
    pub resumes: Option<RequestId>,
}

impl InboundRequest {
    /// The attempt that brought the first event of the requested stream: an earlier one, or this
    /// one if it begins the stream.
    #[must_use]
    pub fn first_attempt(&self) -> &RequestId {
        self.resumes.as_ref().unwrap_or(&self.id)
    }

    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// The gateway's response to a caller.
#[derive(Debug)]
pub enum GatewayResponse {
    /// An endpoint's response.
    Endpoint {
        /// The status code.
        status: StatusCode,
        /// The headers.
        headers: HeaderMap,
        /// The body.
        body: ResponseBody,
    },
    /// The gateway refused or failed the request.
    Refused(Refusal),
}
