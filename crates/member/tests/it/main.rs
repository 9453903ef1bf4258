//! Tests of the member table, the link subset and graceful shutdown.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod graceful_shutdown;
mod no_new_work;
mod scripted;
mod subset;
mod support;
