//! The endpoints that requests are forwarded to, and the choice of one for each
//! request.
//!
//! [`Fleet`] estimates the state of each endpoint from the platform's list, which
//! lags behind, from recent engine reports and from this entry's requests in
//! flight, and places requests accordingly. It is designed for engines that run
//! close to capacity and are reclaimed at short notice: it forecasts memory use
//! instead of counting slots, several entries place requests on the same outdated
//! reports, and a fifth of the engines is starting or leaving at any time.
//! With hundreds of engines each entry follows and uses the [`FollowedEngines`] only.
//! [`RetryBudget`] limits the retries of all entries together without
//! coordination between them.
//!
//! This crate has no clock and no I/O; callers pass in the current time.

mod adaptive;
mod adaptive_calls;
mod address;
mod attempt_limit;
mod cold_window;
mod copies;
mod departed;
mod displaced;
mod endpoint;
mod engine_view;
mod entry_count;
mod fleet;
mod followed;
mod health;
mod in_flight;
mod named_limit;
mod pauses;
mod placement;
mod rest;
mod retry_budget;
mod scheduling;
mod unnamed;
mod version_rules;

pub use attempt_limit::AttemptLimit;
pub use copies::CopyHost;
pub use endpoint::{EndpointRecord, EngineReport, EngineStage, LoadNotice, PacePercent};
pub use entry_count::EntryCounter;
pub use fleet::{Fleet, FleetChange, FleetConfig, LeaveEvidence, LeavingEndpoint};
pub use followed::FollowedEngines;
pub use in_flight::{AttemptResult, PlacementId};
pub use named_limit::{LimitChange, LimitNotice, LimitedCapacity};
pub use placement::{
    GenerationSize, PlacedRequest, Placement, PlacementRequest, VersionNeed, ZonePreference,
};
pub use rest::RestNotice;
pub use retry_budget::{RetryBudget, RetryBudgetConfig};
pub use version_rules::{EndpointRange, VersionRules, VersionState};
