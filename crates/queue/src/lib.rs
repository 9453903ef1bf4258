//! Queues of waiting requests.
//!
//! [`FairQueue`] holds items by class and shares each class between organisations by start-time
//! fair queuing. It addresses organisations that send more than their share: their requests
//! delay only themselves.
//!
//! [`ServiceQueue`] holds the requests that wait for one service, in a [`FairQueue`] with
//! requests that can still be in time before late ones and by priority within these. It addresses
//! bursts beyond what the service sustains: it rejects what cannot be served in time at the
//! measured rate of departures, and lets a large request that finds no room be passed by smaller
//! ones for a limited time.
//!
//! Both are data structures without I/O: the caller passes in the time.

mod departures;
mod entry;
mod fair_class;
mod fair_queue;
mod first_event_time;
mod outcome;
mod passing;
mod request;
mod service_queue;

pub use fair_class::Position;
pub use fair_queue::{FairQueue, Queued};
pub use outcome::{Offer, Rejection, RejectionCause, Start, Ticket};
pub use request::{QueuedRequest, RequestCost};
pub use service_queue::ServiceQueue;
