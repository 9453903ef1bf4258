//! Request routing in the entry: decides which endpoint each request goes to and when.
//!
//! A [`Router`] serves one pool, which holds the endpoints of one model or one plain
//! service. Requests wait in a queue that is fair between organisations. A request leaves
//! the queue when an endpoint of the entry's bounded [`endpoint_subset`] is expected to have
//! capacity. Load figures arrive late and cache events may be lost, so both are only
//! estimates; the agent's answer to a request corrects them.
//!
//! The router is a state machine without I/O: the caller passes in the time and events, and
//! carries out the returned [`Action`]s.

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
