//! Tail probabilities of the Poisson distribution.

/// Terms below this fraction of the sum don't change a decision.
const NEGLIGIBLE: f64 = 1e-9;

/// The probability of `count` or more events where `mean` are expected.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub(crate) fn at_least(count: u64, mean: f64) -> f64 {
    // Up to the mean the probability is about a half or more, whatever the count.
    if count == 0 || count as f64 <= mean {
        return 1.0;
    }
    let mut term = probability(count, mean);
    let mut sum = 0.0;
    let mut k = count as f64;
    while term > sum * NEGLIGIBLE {
        sum += term;
        k += 1.0;
        term *= mean / k;
    }
    sum
}

/// The probability of `count` or fewer events where `mean` are expected.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub(crate) fn at_most(count: u64, mean: f64) -> f64 {
    // Terms are summed downwards from the largest one below the mean.
    if count as f64 >= mean {
        return 1.0;
    }
    let mut term = probability(count, mean);
    let mut sum = 0.0;
    let mut k = count as f64;
    while term > sum * NEGLIGIBLE {
        sum += term;
        term *= k / mean;
        k -= 1.0;
    }
    sum
}

#[allow(clippy::cast_precision_loss)]
fn probability(count: u64, mean: f64) -> f64 {
    if mean <= 0.0 {
        return if count == 0 { 1.0 } else { 0.0 };
    }
    let log_factorial: f64 = (1..=count).map(|k| (k as f64).ln()).sum();
    (count as f64)
        .mul_add(mean.ln(), -mean - log_factorial)
        .exp()
}
