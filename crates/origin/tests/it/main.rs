//! Tests of the versions at which streams began.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod default_versions;
mod fixtures;
mod held_records;
mod holders;
mod look_ups;
mod model;
mod records;
mod stream_keys;
