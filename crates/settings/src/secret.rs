//! Keys that must not appear in output.

use std::fmt;

/// A secret key, which is omitted from debug output.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Creates a secret from a key.
    #[must_use]
    pub const fn new(key: String) -> Self {
        Self(key)
    }

    /// Returns the key itself, for sending or comparing it.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
