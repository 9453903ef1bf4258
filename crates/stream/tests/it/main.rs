//! Tests of journals, cursors and complete streams.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod cursor_order;
mod event_splitter;
mod generation_store;
mod stream_runs;
mod token_journal;
