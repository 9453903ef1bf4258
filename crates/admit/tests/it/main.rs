//! Tests of admission control.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod admission_rules;
mod fixtures;
mod learned_lengths;
mod memory_scenarios;
mod service_limit;
mod warm_up;
