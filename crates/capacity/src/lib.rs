//! The capacity of endpoints as learned from their answers and reports.
//!
//! [`TokenMeter`] measures the time that a model engine takes for an output token, and
//! [`PrefillModel`] estimates when a prompt that is queued there produces its first event.
//! They are designed for engines that run close to capacity, whose speeds differ and change
//! within a second, and for many gateways that each see only a few of an engine's requests.
//! [`AnnouncedRuns`] counts the prompts that gateways have just sent to an engine.
//! [`EndpointCapacity`] learns how the latency of a plain service's endpoint grows with its load,
//! and the concurrency that it sustains. [`ConcurrencyLimit`] adapts the number of concurrent
//! calls to their latency.
//!
//! This crate has no clock and no I/O; callers pass in the current time. All state is of
//! bounded size and covers one lifetime of an endpoint.

mod announced;
mod endpoint_capacity;
mod limit;
mod prefill;
mod token_meter;

pub use announced::AnnouncedRuns;
pub use endpoint_capacity::EndpointCapacity;
pub use limit::ConcurrencyLimit;
pub use prefill::{PrefillModel, PrefillWork};
pub use token_meter::{RunProgress, TokenMeter};
