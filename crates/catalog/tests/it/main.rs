//! Tests of what is in force.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod build;
mod longest_prefix;
mod reliance_lapse;
