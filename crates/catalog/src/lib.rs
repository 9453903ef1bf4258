//! What operators have put in force for forwarded requests: routes, the services
//! behind them, organisations with their keys, and the limits on callers.
//!
//! A [`Catalog`] is one whole version, checked when it is built and never
//! changed afterwards. [`InForce`] holds the newest one that a process has seen
//! and tells how long it may still be relied on.

mod catalog;
mod in_force;
mod route;
mod service;

pub use catalog::{CallerLimits, Catalog, CatalogError, Draft, Organisation};
pub use in_force::{InForce, Replaced};
pub use route::{Rank, RankError, Route, RouteKind, Share};
pub use service::{ColdBound, EngineShape, Service};
