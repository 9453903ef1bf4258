//! Forwarding callers' requests to endpoints of unknown and changing number.
//!
//! A [`Gateway`] stands between callers and endpoints: it finds the route and
//! the organisation of a request, waits for a place, sends it to one endpoint,
//! and elsewhere only on proof that it did not run or where it may be repeated.
//! Streams are passed on event by event and moved to another engine when theirs
//! leaves. What callers, endpoints and the platform's store speak is behind the
//! traits [`Endpoints`] and [`Directory`]; an [`Observer`] beside each engine
//! tells gateways about it.

mod attempt;
mod body;
mod control;
mod directory;
mod endpoints;
mod events;
mod follow;
mod gateway;
mod head;
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
mod stop;
mod turns;

pub use body::{AnswerBody, Broken, CollectError, collect};
pub use control::{Control, ControlError, ControlOptions, Directories};
pub use directory::{Changes, Directory, DirectoryError, EndpointChanges, Orders};
pub use endpoints::{
    Attestation, Call, Copied, CopyError, CopyOrder, Endpoints, InspectError, Memory, Reply,
    Resume, SendError,
};
pub use events::{Event, EventSplitter, SplitError};
pub use gateway::{Gateway, GatewayBounds, GatewayOptions};
pub use head::end_to_end;
pub use listener::{BodyError, Connections, Handler, read_body, serve};
pub use metrics::{Counters, MetricsSource, ObserverCounters};
pub use observer::{Observer, ObserverError, ObserverOptions};
pub use pool::{Pool, PoolError, Reuse, Taken};
pub use readiness::Readiness;
pub use request::{Answer, Generation, Inbound, RequestId};
pub use stop::Stage;

/// A future that stays on the thread that began it.
pub type LocalFuture<'a, T> = futures_util::future::LocalBoxFuture<'a, T>;
