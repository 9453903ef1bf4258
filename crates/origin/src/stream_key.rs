//! The key of a stream's record.

use std::fmt;
use std::str::FromStr;

use lentil_core::Fingerprint;

/// Identifies a stream by its request and the attempt that brought its first event.
///
/// The request's fingerprint covers the caller's organisation, so that an organisation which names the
/// attempt of another one finds no record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StreamKey(u128);

/// The text is not a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseStreamKeyError;

impl fmt::Display for ParseStreamKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a stream key has 32 hexadecimal digits")
    }
}

impl std::error::Error for ParseStreamKeyError {}

impl StreamKey {
    /// Number of bytes of an encoded key.
    pub const BYTES: usize = 16;

    /// Computes the key of the stream that `attempt` of a request began.
    #[must_use]
    pub fn of(request: Fingerprint, attempt: &str) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&request.get().to_le_bytes());
        hasher.update(attempt.as_bytes());
        let mut head = [0; Self::BYTES];
        hasher.finalize_xof().fill(&mut head);
        Self(u128::from_le_bytes(head))
    }

    /// Decodes a key.
    #[must_use]
    pub const fn from_bytes(bytes: [u8; Self::BYTES]) -> Self {
        Self(u128::from_le_bytes(bytes))
    }

    /// Encodes the key.
    #[must_use]
    pub const fn to_bytes(self) -> [u8; Self::BYTES] {
        self.0.to_le_bytes()
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl FromStr for StreamKey {
    type Err = ParseStreamKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == 2 * Self::BYTES && text.bytes().all(|it| it.is_ascii_hexdigit());
        let parsed = u128::from_str_radix(text, 16).ok().filter(|_| is_hex);
        parsed.map(Self).ok_or(ParseStreamKeyError)
    }
}
