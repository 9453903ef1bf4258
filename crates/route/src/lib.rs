//! The entry's routing: which request goes where, and when.
//!
//! [`Router`] serves one pool, the endpoints of one model or one plain service.
//! Requests wait in a queue that is fair by organisation; they leave it when an
//! endpoint of the entry's bounded [`endpoint_subset`] is believed to have room. Load
//! figures are late and cache events have gaps, so both are beliefs that the
//! agent's answer corrects.
//!
//! The router is pure: time is handed in, and what is to be done comes back as
//! [`Action`]s.

mod budget;
mod choose;
mod endpoint_view;
mod event;
mod in_flight;
mod prefix_locations;
mod queue;
mod router;
mod subset;

pub use budget::RetryBudget;
pub use event::{Action, Event, PrefixHash, Request, RequestId, RouterConfig, SendMode};
pub use queue::FairQueue;
pub use router::{Router, RouterCounters};
pub use subset::endpoint_subset;
