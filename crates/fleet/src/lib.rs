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

mod budget;
mod cold;
mod endpoint;
mod fleet;
mod flight;
mod health;
mod place;
mod placing;

pub use budget::{BudgetBounds, RetryBudget};
pub use endpoint::{EngineReport, EngineStage, Listing};
pub use fleet::{Change, Fleet, FleetBounds, Leaving};
pub use flight::{Ending, FlightId};
pub use place::{GenerationNeed, Nearness, Need, Place, Placement};
