//! Tests of the endpoint table and of placement.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod adaptive_calls;
mod adaptive_engines;
mod attempt_limit;
mod cold_limit;
mod copies;
mod endpoint_rest;
mod engine_replay;
mod fixtures;
mod followed_engines;
mod memory_forecast;
mod missing_records;
mod named_limit;
mod retry_budget;
mod reused_address;
mod stream_pauses;
mod version_need;
mod version_rules;
