//! Fake servers for endpoints and for the platform's services, for use in tests.
//!
//! Each fake runs an ntex server at a free port, on its own threads. Its handle gives
//! access to the address and the counters and injects failures. Dropping the handle
//! stops the server.

mod engine;
mod host_list;
mod log_service;
mod server;
mod service;
mod weight_store;

pub use engine::{EngineOptions, EngineStats, FakeEngine, OutputLength};
pub use host_list::{FakeHostList, HostListOptions};
pub use log_service::{FakeLog, LogOptions, Outage};
pub use server::FakeError;
pub use service::{FakeService, ServiceOptions};
pub use weight_store::{FakeWeightStore, WeightStoreOptions};
