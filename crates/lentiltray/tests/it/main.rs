//! Tests of the daemon's parts together, a file each feature.

#![allow(
    clippy::expect_used,
    clippy::indexing_slicing,
    clippy::panic,
    clippy::unwrap_used
)]

mod bad_requests;
mod caller;
mod confirmations;
mod dropped_idle;
mod engine_death;
mod engine_orders;
mod forwarded_requests;
mod graceful_stop;
mod killed_executor;
mod lost_store;
mod moved_streams;
mod odd_answers;
mod operations_pages;
mod platform_site;
mod poison_request;
mod process;
mod processes;
mod service_death;
mod settings_check;
mod standin_http;
mod standin_store;
mod stop_signals;
mod tls_links;
mod whole_path;
mod whole_trace;
mod zone_orders;
