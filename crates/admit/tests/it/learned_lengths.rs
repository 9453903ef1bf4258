//! What is learned of output lengths.

use lentil_admit::{LearnedLengths, LengthEstimator, LengthHistogram, LengthKey};
use lentil_core::{Priority, TokenCount};
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::config;

fn kind(organisation: usize) -> LengthKey {
    LengthKey {
        organisation: format!("org-{organisation}").parse().unwrap(),
        model: "lentil-writer".parse().unwrap(),
        priority: Priority::Report,
    }
}

proptest! {
    #![proptest_config(config(128))]

    /// The share above a length falls with the length and is near the true one.
    #[test]
    fn close_to_truth(lengths in proptest::collection::vec(1_u32..40_000, 1..500), at in 1_u32..40_000) {
        let mut sketch = LengthHistogram::default();
        for length in &lengths {
            sketch.add(TokenCount::new(*length));
        }
        let near = sketch.longer_than(TokenCount::new(at));
        let far = sketch.longer_than(TokenCount::new(at + at / 2));
        prop_assert!(far <= near);
        let between = |low: u32, high: u32| lengths.iter().filter(|l| **l > low && **l <= high).count();
        let truth = lengths.iter().filter(|l| **l > at).count();
        let slack = between(at - at / 4 - 1, at + at / 4 + 1) + 1;
        let off = (near - f64::from(u32::try_from(truth).unwrap())).abs();
        prop_assert!(off <= f64::from(u32::try_from(slack).unwrap()), "{near} for {truth}");
    }
}

#[test]
fn follows_drift() {
    let mut sketch = LengthHistogram::default();
    for _ in 0..2_000 {
        sketch.add(TokenCount::new(100));
    }
    for _ in 0..1_500 {
        sketch.add(TokenCount::new(4_000));
    }
    let share = sketch.longer_than(TokenCount::new(1_000)) / f64::from(sketch.samples());
    assert!(share > 0.9, "{share}");
}

#[test]
fn bounded_table() {
    let mut lengths = LearnedLengths::new();
    for organisation in 0..9_200 {
        lengths.record(&kind(organisation), TokenCount::new(10));
    }
    assert_eq!(lengths.histogram_count(), 1_024);
}

#[test]
fn wider_sketch_helps() {
    let mut lengths = LearnedLengths::new();
    for organisation in 0..50 {
        lengths.record(&kind(organisation), TokenCount::new(10));
    }
    let longer = lengths.longer_than(&kind(99), 0, &[TokenCount::new(500)]);
    assert!(longer[0] < 0.1, "{longer:?}");
}
