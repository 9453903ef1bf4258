//! Tests of the fake servers through the platform's clients and plain HTTP.

#![allow(clippy::unwrap_used, clippy::indexing_slicing)]

mod connection_errors;
mod engine_streams;
mod host_list;
mod log_failures;
mod service_counts;
mod weight_rate;
