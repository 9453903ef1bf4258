//! Tests of the parts of a gateway that need no process.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod event_splitter;
mod hop_by_hop_headers;
