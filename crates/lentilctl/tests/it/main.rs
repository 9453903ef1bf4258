//! Tests of `lentilctl` against a local site.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod command_sequence;
mod log_faults;
mod operator;
