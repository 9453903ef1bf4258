//! Random distributions and numeric conversions.

use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Truncates a number to an integer; negative numbers become 0, too large ones the maximum.
pub(crate) fn truncate_to_u32(number: f64) -> u32 {
    Duration::try_from_secs_f64(number.max(0.0))
        .ok()
        .and_then(|span| u32::try_from(span.as_secs()).ok())
        .unwrap_or(u32::MAX)
}

/// Converts a count; counts beyond 32 bits become the maximum.
pub(crate) fn count_to_f64(count: usize) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}

/// Converts a count of up to 48 bits; larger ones become the maximum.
pub(crate) fn u64_to_f64(count: u64) -> f64 {
    u32::try_from(count >> 16).map_or(f64::MAX, f64::from) * 65_536.0
        + u32::try_from(count & 0xffff).map_or(0.0, f64::from)
}

/// Samples the exponential distribution.
pub(crate) fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Samples the log-normal distribution, by the Box-Muller method.
pub(crate) fn log_normal(rng: &mut ChaCha8Rng, median: f64, sigma: f64) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * rng.random::<f64>()).cos();
    median * (sigma * normal).exp()
}
