//! What every process needs around its decisions: a clock, threads for duties,
//! bounded rings between them, logs, metrics, traces, keys, TLS, the operations
//! listener and the signals that stop a process.

mod clock;
mod drain;
mod duty;
mod keys;
mod link;
mod logs;
mod metrics;
mod operations;
mod peer_key;
mod readiness;
mod ring;
mod stop;
mod tls;
mod trace;

pub use clock::{BootClock, Clock};
pub use drain::{Drain, Ticket};
pub use duty::{Duty, DutyError, spawn, spawn_http, spawn_io};
pub use keys::{bearer, shows_key};
pub use link::{Link, LinkError, Linker};
pub use logs::start_logs;
pub use metrics::Metrics;
pub use operations::{Operations, OperationsError, StatusSource};
pub use peer_key::{CheckKey, PeerKeyError, ShowKey};
pub use readiness::Readiness;
pub use ring::{Full, Inbox, Outbox, ring};
pub use stop::{Asked, StopSignals};
pub use tls::{TlsError, listener_tls, peer_client_tls, peer_server_tls};
pub use trace::{Hop, Stages, start_traces, trace_context};
