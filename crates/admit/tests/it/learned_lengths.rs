//! Learned output lengths.

use lentil_admit::{LearnedLengths, LengthEstimator, LengthHistogram, LengthKey};
use lentil_core::{Priority, TokenCount};
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::seeded_config;

fn key(organisation: usize) -> LengthKey {
    LengthKey {
        organisation: format!("org-{organisation}").parse().unwrap(),
        model: "lentil-writer".parse().unwrap(),
        priority: Priority::Report,
    }
}

proptest! {
    #![proptest_config(seeded_config(128))]

    /// The estimated count of longer outputs falls as the length grows, and is wrong by no more
    /// than the outputs within a quarter of the length.
    #[test]
    fn histogram_is_close_to_true_count(lengths in proptest::collection::vec(1_u32..40_000, 1..500), at in 1_u32..40_000) {
        let mut histogram = LengthHistogram::default();
        for length in &lengths {
            histogram.add(TokenCount::new(*length));
        }
        let count_longer = histogram.longer_than(TokenCount::new(at));
        let count_much_longer = histogram.longer_than(TokenCount::new(at + at / 2));
        prop_assert!(count_much_longer <= count_longer);
        let between = |low: u32, high: u32| lengths.iter().filter(|l| **l > low && **l <= high).count();
        let true_count = lengths.iter().filter(|l| **l > at).count();
        let tolerance = between(at - at / 4 - 1, at + at / 4 + 1) + 1;
        let error = (count_longer - f64::from(u32::try_from(true_count).unwrap())).abs();
        prop_assert!(error <= f64::from(u32::try_from(tolerance).unwrap()), "{count_longer} instead of {true_count}");
    }
}

#[test]
fn follows_drift() {
    let mut histogram = LengthHistogram::default();
    for _ in 0..2_000 {
        histogram.add(TokenCount::new(100));
    }
    for _ in 0..1_500 {
        histogram.add(TokenCount::new(4_000));
    }
    let share = histogram.longer_than(TokenCount::new(1_000)) / f64::from(histogram.samples());
    assert!(share > 0.9, "{share}");
}

#[test]
fn histogram_count_is_bounded() {
    let mut lengths = LearnedLengths::new();
    for organisation in 0..9_200 {
        lengths.record(&key(organisation), TokenCount::new(10));
    }
    assert_eq!(lengths.histogram_count(), 1_024);
}

#[test]
fn new_organisation_uses_model_histogram() {
    let mut lengths = LearnedLengths::new();
    for organisation in 0..50 {
        lengths.record(&key(organisation), TokenCount::new(10));
    }
    let longer = lengths.longer_than(&key(99), 0, &[TokenCount::new(500)]);
    assert!(longer[0] < 0.1, "{longer:?}");
}
