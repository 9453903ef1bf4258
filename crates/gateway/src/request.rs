//! A caller's request, and what it gets.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use lentil_core::{ParseIdError, Refusal, Span, TokenCount};

use crate::body::ResponseBody;

/// Longest identifier of a request, in bytes.
const ID_MAX_BYTES: usize = 256;

/// The identifier that a caller gave this try of its request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(Arc<str>);

impl RequestId {
    /// The identifier as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// A number that is the same for the same identifier.
    #[must_use]
    pub fn stable_hash(&self) -> u64 {
        // FNV-1a: a stable spread is all that is needed.
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

/// What a request tells about the generation that it asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Generation {
    /// Tokens of the prompt.
    pub prompt_tokens: TokenCount,
    /// Most tokens of the output.
    pub max_output_tokens: TokenCount,
    /// The caller's estimate of the output, often far off.
    pub expected_output_tokens: Option<TokenCount>,
}

/// A request that was read whole.
#[derive(Debug, Clone)]
pub struct InboundRequest {
    /// Its identifier.
    pub id: RequestId,
    /// The host name that the caller addressed, without a port.
    pub host: String,
    /// Its method.
    pub method: Method,
    /// Path and query as they were sent.
    pub target: String,
    /// Headers that are passed on unchanged.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// How long the caller waits.
    pub timeout: Option<Span>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// The generation that it asks for.
    pub generation: Option<Generation>,
    /// The last event that the caller has, where it resumes a stream.
    pub last_event_id: Option<u64>,
}

impl InboundRequest {
    /// The path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// What a caller gets.
#[derive(Debug)]
pub enum GatewayResponse {
    /// An endpoint's answer.
    Endpoint {
        /// Its status.
        status: StatusCode,
        /// Its headers.
        headers: HeaderMap,
        /// Its body.
        body: ResponseBody,
    },
    /// The request was refused or failed here.
    Refused(Refusal),
}
