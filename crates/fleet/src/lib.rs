//! The endpoints of forwarded requests, and which of them gets the next one.
//!
//! [`Fleet`] folds the platform's lagging list, fresh reports of engines and
//! this entry's own flights into one belief about each endpoint, and places
//! requests by it. It answers engines that are crowded and reclaimed at short
//! notice: memory is forecast rather than slots counted, several entries place
//! on the same late figures, and a fifth of the engines is new or leaving at
//! any time. [`RetryBudget`] keeps repeats of all entries together within the
//! bound without coordination.
//!
//! Everything here is pure: time is handed in.

mod cold_window;
mod endpoint;
mod fleet;
mod health;
mod in_flight;
mod placement;
mod retry_budget;
mod scheduling;

pub use endpoint::{EndpointRecord, EngineReport, EngineStage};
pub use fleet::{Fleet, FleetChange, FleetConfig, LeavingEndpoint};
pub use in_flight::{AttemptResult, PlacementId};
pub use placement::{GenerationSize, PlacedRequest, Placement, PlacementRequest, ZonePreference};
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
