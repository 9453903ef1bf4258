//! Records that agents append to the claim stream of a service.

use std::fmt;
use std::sync::Arc;

use lentil_core::{AttemptId, BootId, EndpointId, Fingerprint, RequestKey};

/// Digest of an idempotency key. The log holds only the digest, never the text from the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest(u128);

impl KeyDigest {
    /// Computes the digest of a key.
    #[must_use]
    pub fn of(key: &RequestKey) -> Self {
        let digest = Fingerprint::of("key", key.organisation.as_str(), key.text.as_bytes());
        Self(digest.get())
    }

    /// Wraps a digest read from the log.
    #[must_use]
    pub const fn new(digest: u128) -> Self {
        Self(digest)
    }

    /// The digest as a number.
    #[must_use]
    pub const fn get(self) -> u128 {
        self.0
    }
}

impl fmt::Display for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// An agent process that makes claims. Only the process that made a claim may run its request.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Executor {
    /// Endpoint that the process serves.
    pub endpoint: EndpointId,
    /// Boot identifier of the process.
    pub boot: BootId,
}

/// The complete answer of an endpoint to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Response body.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Size of the headers and the body in bytes.
    #[must_use]
    pub fn len_bytes(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len())
            .sum();
        self.body.len() + headers
    }
}

/// A record in the claim stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Record {
    /// The executor has started. Claims that earlier boots append after this record are void.
    Start,
    /// The executor requests the right to run the request of this key.
    Claim {
        /// The attempt that the claim is made for.
        claim: AttemptId,
        /// The key.
        key: KeyDigest,
        /// Digest of the request.
        fingerprint: Fingerprint,
    },
    /// The executor has not started the request and will not start it.
    Release {
        /// The claim to release.
        claim: AttemptId,
        /// Key of the claim.
        key: KeyDigest,
    },
    /// The endpoint answered.
    Done {
        /// The claim under which the request ran.
        claim: AttemptId,
        /// Key of the claim.
        key: KeyDigest,
        /// The answer, if it is small enough for the log.
        answer: Option<Answer>,
    },
    /// The key belongs to the other system that runs beside this one.
    Elsewhere {
        /// The attempt that caused the record.
        claim: AttemptId,
        /// The key.
        key: KeyDigest,
        /// Digest of the request.
        fingerprint: Fingerprint,
    },
}

/// Records that one executor appends together.
///
/// A batch whose append was not confirmed is appended again unchanged. Readers ignore a batch whose
/// sequence number is not greater than the last one of its executor.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// The process that appends the batch.
    pub executor: Executor,
    /// Sequence number of the batch within the boot, starting at 0.
    pub sequence: u64,
    /// The records, in order.
    pub records: Vec<Record>,
}
