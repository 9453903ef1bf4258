//! Comparing keys.

use lentil_settings::Secret;
use subtle::ConstantTimeEq;

/// Begins a header that carries a key.
const BEARER: &str = "Bearer ";

/// Whether a header's value shows the expected key; none expected takes any.
///
/// The time taken tells nothing of the key but its length.
#[must_use]
pub fn bearer_matches(header: Option<&str>, expected: Option<&Secret>) -> bool {
    let Some(expected) = expected else {
        return true;
    };
    let shown = header.and_then(|value| value.strip_prefix(BEARER));
    shown.is_some_and(|shown| bool::from(shown.as_bytes().ct_eq(expected.expose().as_bytes())))
}

/// The header's value that shows a key.
#[must_use]
pub fn bearer_value(key: &Secret) -> String {
    format!("{BEARER}{}", key.expose())
}
