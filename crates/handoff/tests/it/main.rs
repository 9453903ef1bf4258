//! Tests of the migration planner.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod backup_choice;
mod ended_body;
mod migration_order;
