//! Admission control in the agent: decides which requests an endpoint gets and when.
//!
//! [`Admission`] controls a model engine. It tracks batch slots and KV cache blocks
//! in use, and forecasts the blocks that running generations will still need from
//! learned output lengths. [`ServiceAdmission`] controls a plain service with a
//! concurrency limit that adapts to the observed latency.
//!
//! Both are state machines without I/O: the caller passes in the time and events, and
//! carries out the returned [`Action`]s or [`ServiceAction`]s.

mod admission;
mod event;
mod forecast;
mod length_histogram;
mod lengths;
mod service;
mod victim;
mod waiting;
mod warm;

pub use admission::{Admission, AdmissionCounters};
pub use event::{Action, EngineConfig, Event, GenerationSpec};
pub use length_histogram::LengthHistogram;
pub use lengths::{LearnedLengths, LengthEstimator, LengthKey};
pub use lentil_capacity::ConcurrencyLimit;
pub use service::{ServiceAction, ServiceAdmission, ServiceCall, ServiceConfig, ServiceEvent};
pub use warm::WarmUp;
