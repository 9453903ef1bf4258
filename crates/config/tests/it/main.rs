//! Tests of the configuration and its distribution.
#![allow(clippy::unwrap_used, clippy::panic, clippy::indexing_slicing)]

mod history_order;
mod lost_answers;
mod one_preset;
mod peer_spread;
mod scripted;
mod support;
