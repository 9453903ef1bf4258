//! Tests of the catalog.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod catalog_validity;
mod fixtures;
mod routing;
