//! One whole version of what is in force.

use std::collections::HashMap;

use lentil_core::{ByteCount, ConfigVersion, OrganisationId, ServiceName, Span};
use thiserror::Error;

use crate::{PriorityLevel, Route, Service};

/// An organisation and the keys of its callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub id: OrganisationId,
    /// Its callers' keys.
    pub keys: Vec<String>,
    /// Its priority; it goes before that of the route.
    pub priority: Option<PriorityLevel>,
}

/// Limits on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest head of a request.
    pub head_max_bytes: ByteCount,
    /// Longest body of a request.
    pub body_max_bytes: ByteCount,
    /// Longest time to send a head.
    pub head_timeout: Span,
    /// Longest time that a connection stays idle.
    pub idle_timeout: Span,
}

/// The parts of a version, before they are checked.
#[derive(Debug, Clone)]
pub struct CatalogSpec {
    /// Its version; a later one is larger.
    pub version: ConfigVersion,
    /// Its routes.
    pub routes: Vec<Route>,
    /// Its services.
    pub services: Vec<Service>,
    /// Its organisations; `None` where callers need no key.
    pub organisations: Option<Vec<Organisation>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// Why a version can't be put in force.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CatalogError {
    /// A path prefix lacks its slashes.
    #[error("route {route}: path prefix {path_prefix:?} does not begin and end with a slash")]
    PathPrefix {
        /// The route.
        route: String,
        /// Its prefix.
        path_prefix: String,
    },
    /// A route has no service with a weight above 0.
    #[error("route {route} leads to no service")]
    NoService {
        /// The route.
        route: String,
    },
    /// A route leads to a service that the version lacks.
    #[error("route {route} leads to service {service}, which is not described")]
    UnknownService {
        /// The route.
        route: String,
        /// The service.
        service: ServiceName,
    },
}

/// One version, checked.
#[derive(Debug)]
pub struct Catalog {
    version: ConfigVersion,
    /// Routes by host, the longest prefix first.
    routes: HashMap<String, Vec<Route>>,
    services: HashMap<ServiceName, Service>,
    organisations: Vec<Organisation>,
    /// Places in `organisations` by key; `None` where callers need no key.
    keys: Option<HashMap<String, usize>>,
    limits: CallerLimits,
}

impl TryFrom<CatalogSpec> for Catalog {
    type Error = CatalogError;

    fn try_from(draft: CatalogSpec) -> Result<Self, Self::Error> {
        let services: HashMap<_, _> = draft
            .services
            .into_iter()
            .map(|service| (service.name.clone(), service))
            .collect();
        for route in &draft.routes {
            check(route, &services)?;
        }
        let mut routes: HashMap<String, Vec<Route>> = HashMap::new();
        for route in draft.routes {
            routes.entry(route.host.clone()).or_default().push(route);
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let keys = draft.organisations.as_deref().map(places_by_key);
        Ok(Self {
            version: draft.version,
            routes,
            services,
            organisations: draft.organisations.unwrap_or_default(),
            keys,
            limits: draft.limits,
        })
    }
}

fn check(route: &Route, services: &HashMap<ServiceName, Service>) -> Result<(), CatalogError> {
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
        .all(|share| share.weight == 0)
    {
        return Err(CatalogError::NoService {
            route: route.name.clone(),
        });
    }
    let unknown = route
        .weighted_services
        .iter()
        .find(|share| !services.contains_key(&share.service));
    unknown.map_or(Ok(()), |share| {
        Err(CatalogError::UnknownService {
            route: route.name.clone(),
            service: share.service.clone(),
        })
    })
}

fn places_by_key(organisations: &[Organisation]) -> HashMap<String, usize> {
    organisations
        .iter()
        .enumerate()
        .flat_map(|(place, organisation)| {
            organisation
                .keys
                .iter()
                .map(move |key| (key.clone(), place))
        })
        .collect()
}

impl Catalog {
    /// Its version.
    #[must_use]
    pub const fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Limits on callers.
    #[must_use]
    pub const fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether callers need keys on routes that are not public.
    #[must_use]
    pub const fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The route with the longest prefix that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .get(&host.to_ascii_lowercase())?
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The organisation that holds a key.
    #[must_use]
    pub fn organisation(&self, key: &str) -> Option<&Organisation> {
        let place = *self.keys.as_ref()?.get(key)?;
        self.organisations.get(place)
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }
}
