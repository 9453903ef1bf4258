//! Tests of request routing.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod fair_share;
mod fixtures;
mod hedged_reads;
mod link_subset;
mod retry_budget;
mod routing_rules;
mod zone_scenarios;
