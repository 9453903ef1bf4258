//! Tests of gateway components that need no running process.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod hop_by_hop_headers;
