//! Tests of claims, recovery and outcomes reported to callers.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]
mod attempt_registry;
mod call_tracker;
mod claim_scenarios;
mod fault_runs;
mod key_share;
mod kill_windows;
mod ledger_order;
mod recovery_table;
