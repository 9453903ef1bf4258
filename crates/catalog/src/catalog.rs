//! One complete version of the configuration.

use std::collections::{HashMap, HashSet};

use lentil_core::{ByteCount, ConfigVersion, OrganisationId, ServiceName, Span};
use thiserror::Error;

use crate::{PriorityLevel, Route, RouteKind, Service};

/// An organisation and its API keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// The organisation's name.
    pub id: OrganisationId,
    /// The API keys of its callers.
    pub keys: Vec<String>,
    /// Priority level of its requests; overrides the route's.
    pub priority: Option<PriorityLevel>,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub head_max_bytes: ByteCount,
    /// Maximum size of a request's body.
    pub body_max_bytes: ByteCount,
    /// Maximum time for sending a request's head.
    pub head_timeout: Span,
    /// Maximum time that a connection may stay idle.
    pub idle_timeout: Span,
}

/// The contents of a catalog before validation.
#[derive(Debug, Clone)]
pub struct CatalogSpec {
    /// Version number; it increases with every change.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations; `None` if callers need no API key.
    pub organisations: Option<Vec<Organisation>>,
    /// API keys of organisations that this system can't serve.
    pub unusable_keys: HashSet<String>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// Error for an invalid [`CatalogSpec`].
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CatalogError {
    /// A path prefix does not start and end with a slash.
    #[error("route {route}: path prefix {path_prefix:?} does not start and end with a slash")]
    PathPrefix {
        /// Name of the route.
        route: String,
        /// The invalid prefix.
        path_prefix: String,
    },
    /// A route has no service with a weight above 0.
    #[error("route {route} has no service with a weight above 0")]
    NoService {
        /// Name of the route.
        route: String,
    },
    /// A route refers to a service that does not exist.
    #[error("route {route} refers to service {service}, which is not described")]
    UnknownService {
        /// Name of the route.
        route: String,
        /// Name of the missing service.
        service: ServiceName,
    },
}

/// A validated, immutable version of the configuration.
#[derive(Debug)]
pub struct Catalog {
    version: ConfigVersion,
    /// Routes by host name, longest prefix first.
    routes: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceName, Service>,
    organisations: Vec<Organisation>,
    /// Indices into `organisations` by API key; `None` if callers need no API key.
    keys: Option<HashMap<String, usize>>,
    unusable_keys: HashSet<String>,
    limits: CallerLimits,
}

impl TryFrom<CatalogSpec> for Catalog {
    type Error = CatalogError;

    fn try_from(spec: CatalogSpec) -> Result<Self, Self::Error> {
        let services: HashMap<_, _> = spec
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        for route in &spec.routes {
            validate_route(route, &services)?;
        }
        let mut routes: HashMap<String, Vec<Route>> = HashMap::new();
        for route in spec.routes {
            routes.entry(route.host.clone()).or_default().push(route);
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keys = spec
            .organisations
            .as_deref()
            .map(organisation_indices_by_key);
        Ok(Self {
            version: spec.version,
            routes,
            services,
            organisations: spec.organisations.unwrap_or_default(),
            keys,
            unusable_keys: spec.unusable_keys,
            limits: spec.limits,
        })
    }
}

fn validate_route(
    route: &Route,
    services: &HashMap<ServiceName, Service>,
) -> Result<(), CatalogError> {
    let prefix = &route.path_prefix;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        return Err(CatalogError::PathPrefix {
            route: route.name.clone(),
            path_prefix: prefix.clone(),
        });
    }
    if route
        .weighted_services
        .iter()
        .all(|weighted| weighted.weight == 0)
    {
        return Err(CatalogError::NoService {
            route: route.name.clone(),
        });
    }
    let missing = route
        .weighted_services
        .iter()
        .find(|weighted| !services.contains_key(&weighted.service));
    missing.map_or(Ok(()), |weighted| {
        Err(CatalogError::UnknownService {
            route: route.name.clone(),
            service: weighted.service.clone(),
        })
    })
}

fn organisation_indices_by_key(organisations: &[Organisation]) -> HashMap<String, usize> {
    organisations
        .iter()
        .enumerate()
        .flat_map(|(index, organisation)| {
            organisation
                .keys
                .iter()
                .map(move |key| (key.clone(), index))
        })
        .collect()
}

impl Catalog {
    /// The catalog's version.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits on callers' requests and connections.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether callers need an API key on routes that are not public.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// Finds the route with the longest path prefix that matches.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .get(&host.to_ascii_lowercase())?
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// All routes.
    pub fn routes(&self) -> impl Iterator<Item = &Route> {
        self.routes.values().flatten()
    }

    /// Finds the organisation that an API key belongs to.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let index = *self.keys.as_ref()?.get(key)?;
        self.organisations.get(index)
    }

    /// Whether an API key belongs to an organisation that this system can't serve.
    #[must_use]
    pub fn is_unusable_key(&self, key: &str) -> bool {
        self.unusable_keys.contains(key)
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// The longest time limit of the routes to a service.
    #[must_use]
    pub fn longest_timeout(&self, service: &ServiceName) -> Option<Span> {
        let leads_to = |route: &&Route| {
            let mut services = route.weighted_services.iter();
            services.any(|weighted| weighted.service == *service)
        };
        let routes = self.routes.values().flatten().filter(leads_to);
        routes.map(|route| route.timeout).max()
    }

    /// The longest time limit of the routes to a service whose streams may be resumed.
    #[must_use]
    pub fn longest_resumable_timeout(&self, service: &ServiceName) -> Option<Span> {
        let leads_to = |route: &&Route| {
            let mut services = route.weighted_services.iter();
            let is_resumable = route.kind == RouteKind::Streaming && route.resumable;
            is_resumable && services.any(|weighted| weighted.service == *service)
        };
        let routes = self.routes.values().flatten().filter(leads_to);
        routes.map(|route| route.timeout).max()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}
