//! The process that runs beside one endpoint.
//!
//! All requests reach the endpoint through its [`Agent`], which alone knows the
//! endpoint's load, which requests ran on it and which tokens it produced. Four
//! threads share the work: `peers` serves entries over gRPC, `claims` lets the
//! log decide which keyed calls run here, `admission` decides which request
//! starts and when, and `endpoint` sends HTTP requests to the endpoint and keeps
//! the tokens of its generations.

mod admission;
mod agent;
mod announce;
mod answer_body;
mod call;
mod claims;
mod counters;
mod endpoint;
mod engine;
mod error;
mod generation;
mod orders;
mod peer;
mod policy;
mod request;
mod status;
mod token_buffer;

pub use agent::Agent;
pub use error::AgentError;
