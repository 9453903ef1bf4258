//! Forwarding callers' requests to endpoints of unknown and changing number.
//!
//! A [`Gateway`] stands between callers and endpoints: it finds the route and
//! the organisation of a request, waits for a place, sends it to one endpoint,
//! and elsewhere only on proof that it did not run or where it may be repeated.
//! Streams are passed on event by event and moved to another engine when theirs
//! leaves. What callers, endpoints and the platform's store speak is behind the
//! traits [`EndpointClient`] and [`StoreFeed`]; an [`Observer`] beside each engine
//! tells gateways about it.

mod attempt;
mod body;
mod control;
mod endpoints;
mod events;
mod follow;
mod gateway;
mod hop_by_hop;
mod line;
mod listener;
mod metrics;
mod mover;
mod observer;
mod poison;
mod pool;
mod readiness;
mod relay;
mod request;
mod runs;
mod serve;
mod shutdown;
mod store_feed;
mod turns;

pub use body::{BodyInterrupted, CollectError, ResponseBody, collect};
pub use control::{ControlError, ControlOptions, ControlSources, ControlThread};
pub use endpoints::{
    Attestation, Call, CompletedCopy, CopyError, CopyRequest, EndpointClient, InspectError, KvCopy,
    Reply, Resume, SendError,
};
pub use events::{Event, EventSplitter, SplitError};
pub use gateway::{Gateway, GatewayBounds, GatewayOptions};
pub use hop_by_hop::strip_hop_by_hop;
pub use listener::{BodyError, Connections, Handler, read_body, serve};
pub use metrics::{GatewayMetrics, MetricsSource, ObserverMetrics};
pub use observer::{Observer, ObserverError, ObserverOptions};
pub use pool::{ConnectionPool, PoolError, PoolResponse, Reuse};
pub use readiness::Readiness;
pub use request::{GatewayResponse, Generation, InboundRequest, RequestId};
pub use shutdown::ShutdownStage;
pub use store_feed::{EndpointChanges, OperatorChanges, StoreChanges, StoreError, StoreFeed};

/// A future that stays on the thread that began it.
pub type LocalFuture<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;
