//! Tests of the shared reading of the log.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod confirmation_age;
mod record_delay;
mod restore_watch;
mod source_choice;
mod topic_copy;
