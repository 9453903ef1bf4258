//! The agent's admission: what an endpoint may be handed, and when.
//!
//! [`Admission`] models a model engine: batch slots, cache blocks in use and the
//! blocks that running generations will yet need, forecast from learned output
//! lengths. [`ServiceAdmission`] does the same for a plain service by a
//! concurrency limit that follows the observed latency.
//!
//! Both are pure: time is handed in, and what is to be done comes back as
//! [`Action`]s.

mod admission;
mod event;
mod forecast;
mod length_histogram;
mod lengths;
mod limit;
mod service;
mod victim;
mod waiting;
mod warm;

pub use admission::{Admission, AdmissionCounters};
pub use event::{Action, EngineConfig, Event, GenerationSpec};
pub use length_histogram::LengthHistogram;
pub use lengths::{LearnedLengths, LengthEstimator, LengthKey};
pub use limit::ConcurrencyLimit;
pub use service::{ServiceAction, ServiceAdmission, ServiceCall, ServiceConfig, ServiceEvent};
pub use warm::WarmUp;
