//! The operators' configuration for forwarded requests: routes, services,
//! organisations with their API keys, and limits on callers.
//!
//! A [`Catalog`] is one complete version of this configuration. It is validated
//! when it is built and immutable afterwards. [`CurrentCatalog`] holds the newest
//! version that a process has read and the time until which it is valid.

mod catalog;
mod current_catalog;
mod route;
mod service;

pub use catalog::{CallerLimits, Catalog, CatalogError, CatalogSpec, Organisation};
pub use current_catalog::{CurrentCatalog, ReplaceOutcome};
pub use route::{ParsePriorityLevelError, PriorityLevel, Route, RouteKind, WeightedService};
pub use service::{ColdLimit, EngineSpec, Service};
