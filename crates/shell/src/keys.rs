//! Comparison of keys in `Authorization` headers.

use lentil_settings::Secret;
use subtle::ConstantTimeEq;

/// Prefix of a header value that carries a key.
const BEARER: &str = "Bearer ";

/// Whether a header value carries the expected key.
///
/// Every value matches when no key is expected. The comparison takes constant
/// time, so that its duration reveals nothing about the key but its length.
#[must_use]
pub fn bearer_matches(header: Option<&str>, expected: Option<&Secret>) -> bool {
    let Some(expected) = expected else {
        return true;
    };
    let presented = header.and_then(|value| value.strip_prefix(BEARER));
    presented.is_some_and(|presented| {
        bool::from(presented.as_bytes().ct_eq(expected.expose().as_bytes()))
    })
}

/// Formats the header value that carries a key.
#[must_use]
pub fn bearer_value(key: &Secret) -> String {
    format!("{BEARER}{}", key.expose())
}
