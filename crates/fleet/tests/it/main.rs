//! Tests of the table of endpoints and of placing.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod build;
mod cold_bound;
mod lapsed_entries;
mod memory_forecast;
mod retry_budget;
mod reused_address;
