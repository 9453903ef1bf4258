//! Tests of the migration planner.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod backup_choice;
mod body_end;
mod migration_order;
