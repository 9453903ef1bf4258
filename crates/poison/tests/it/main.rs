//! Tests of suspects and quarantine.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod crashing_request;
mod isolated_runs;
mod part_suspects;
mod suspect_exchange;
