//! Runtime support shared by all processes: clocks, worker threads, bounded
//! channels between them, logs, metrics, traces, key checks, TLS, the
//! operations listener and signal handling.

mod body_budget;
mod bounded_grpc;
mod channel;
mod clock;
mod keys;
mod logs;
mod metrics;
mod operations;
mod peer_connector;
mod peer_key;
mod readiness;
mod request_tracker;
mod stop;
mod thread;
mod tls;
mod trace;

pub use body_budget::{BodyBudget, BodyBuffer, BodyRefused, Eviction};
pub use bounded_grpc::BoundedGrpc;
pub use channel::{BoundedReceiver, BoundedSender, SendError, bounded_channel};
pub use clock::{BootClock, Clock};
pub use keys::{bearer_matches, bearer_value};
pub use logs::start_logs;
pub use metrics::Metrics;
pub use operations::{OperationsError, OperationsListener, StatusSource};
pub use peer_connector::{PeerChannel, PeerConnector, PeerConnectorError};
pub use peer_key::{AttachPeerKey, PeerKeyError, VerifyPeerKey};
pub use readiness::Readiness;
pub use request_tracker::{RequestGuard, RequestTracker};
pub use stop::{SignalAction, StopSignals};
pub use thread::{ThreadError, WorkerThread, spawn, spawn_http, spawn_io};
pub use tls::{TlsError, listener_tls, peer_client_tls, peer_server_tls};
pub use trace::{StagedSpan, TraceContext, TraceSpan, export_spans, start_traces, trace_context};
