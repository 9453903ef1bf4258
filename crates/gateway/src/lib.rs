//! An HTTP gateway that forwards callers' requests to a changing set of endpoints.
//!
//! For each request a [`Gateway`] resolves the route and the organisation, waits
//! for capacity and sends the request to one endpoint. It sends the request to
//! another endpoint only if the first one proved that it did not run it, or if
//! the route allows it to run more than once. Streams are forwarded event by
//! event and move to another engine when their engine shuts down.
//!
//! The wire formats of endpoints and of the platform's store are hidden behind
//! the traits [`EndpointClient`], [`StoreFeed`] and [`RecordLog`]. An [`Observer`] runs
//! next to each engine. It reports the engine's state to the gateways that follow it, and
//! reads the store for the gateways of its availability zone, which ask it through a
//! [`RelayedLog`]. It also holds the versions of streams that a gateway can't write to the log.

mod adaptive;
mod announcements;
mod attempt;
mod backups;
mod body;
mod control;
mod counted_stream;
mod drain;
mod endpoints;
mod follow;
mod gateway;
mod held_streams;
mod hop_by_hop;
mod link_lock;
mod listener;
mod log_relay;
mod metrics;
mod observer;
mod origin_log;
mod origins;
mod poison;
mod pool;
mod read_ahead;
mod readiness;
mod relay;
mod relayed_log;
mod request;
mod response_buffers;
mod rollout;
mod rollout_evidence;
mod rollout_exchange;
mod rollout_order;
mod rollout_split;
mod rollout_versions;
mod runs;
mod serve;
mod service_waits;
mod shutdown;
mod status_log;
mod store_feed;
mod store_restores;
mod stream_holders;
mod take_ups;
mod wait_queue;

pub use body::{BodyInterrupted, CollectError, ResponseBody, collect};
pub use control::{ControlError, ControlOptions, ControlSources, ControlThread};
pub use endpoints::{
    Attestation, Call, CompletedCopy, CopyError, CopyRequest, EndpointClient, InspectError, KvCopy,
    Reply, Resume, SendError,
};
pub use gateway::{Gateway, GatewayBounds, GatewayOptions, StopPlan};
pub use hop_by_hop::strip_hop_by_hop;
pub use lentil_handoff::BodyFraming;
pub use listener::{BodyError, Connections, Handler, read_body, serve};
pub use metrics::{GatewayMetrics, MetricsSource, ObserverMetrics};
pub use observer::{Observer, ObserverError, ObserverOptions, ObserverSources};
pub use origin_log::{DefaultsReader, OriginLog, ReadDefaults, ReadRecords};
pub use pool::{ConnectionPool, PoolError, PoolResponse, Reuse};
pub use readiness::Readiness;
pub use relayed_log::{RelayDirectory, RelayedLog};
pub use request::{GatewayResponse, Generation, InboundRequest, RequestId};
pub use rollout::RolloutBounds;
pub use shutdown::ShutdownStage;
pub use status_log::{ReadStatus, StatusLog, WriteOutcome};
pub use store_feed::{
    ConfirmedChanges, EndpointChange, EndpointChanges, FeedError, OperatorChanges, ReadCatalog,
    ReadOrder, RecordLog, StoreChanges, StoreError, StoreFeed,
};
pub use store_restores::{ReadRestore, RestoreLog, StoreRestores};

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;
