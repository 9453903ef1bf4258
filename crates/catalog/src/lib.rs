//! What operators have put in force for forwarded requests: routes, the services
//! behind them, organisations with their keys, and the limits on callers.
//!
//! A [`Catalog`] is one whole version, checked when it is built and never
//! changed afterwards. [`CurrentCatalog`] holds the newest one that a process has seen
//! and tells how long it may still be relied on.

mod catalog;
mod current_catalog;
mod route;
mod service;

pub use catalog::{CallerLimits, Catalog, CatalogError, CatalogSpec, Organisation};
pub use current_catalog::{CurrentCatalog, ReplaceOutcome};
pub use route::{ParsePriorityLevelError, PriorityLevel, Route, RouteKind, WeightedService};
pub use service::{ColdLimit, EngineSpec, Service};
