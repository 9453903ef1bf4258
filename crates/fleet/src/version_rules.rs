//! Restriction of new requests to some versions of a service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lentil_core::{EndpointId, ServiceName, Time, ZoneId};
use lentil_rollout::Version;

use crate::Fleet;
use crate::endpoint::Endpoint;
use crate::fleet::REPORT_TTL;
use crate::placement::{PlacedRequest, PlacementRequest, VersionNeed};

/// Which of the available endpoints of a version get new requests, in the order of their
/// names. All entries use the same ones, so that these see the load of a full deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointRange {
    /// The first of them; the order begins anew after the last one.
    pub first: u32,
    /// Their number.
    pub count: u32,
}

impl EndpointRange {
    /// All endpoints of the version.
    pub const ALL: Self = Self {
        first: 0,
        count: u32::MAX,
    };

    /// Whether the endpoint at `index` of `available` ones is one of them.
    const fn contains(self, index: u32, available: u32) -> bool {
        let Some(first) = self.first.checked_rem(available) else {
            return false;
        };
        let distance = if index >= first {
            index - first
        } else {
            index + available - first
        };
        distance < self.count
    }
}

/// Which versions of a service get new requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionRules {
    /// The endpoints of each version that get requests; versions that are not listed get none.
    pub endpoints: BTreeMap<Version, EndpointRange>,
    /// Whether endpoints that state no valid version get requests.
    pub includes_unversioned: bool,
}

/// The endpoints of one version of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct VersionState {
    /// Endpoints that may get new requests, apart from [`VersionRules`].
    pub available: u32,
    /// Endpoints that are known, including leaving ones.
    pub known: u32,
    /// Whether requests run at any of them, as far as this entry knows from its own
    /// requests and from reports.
    pub busy: bool,
}

impl Fleet {
    /// Restricts the versions of a service that get new requests; `None` lifts this.
    pub fn set_version_rules(&mut self, service: &ServiceName, rules: Option<Arc<VersionRules>>) {
        match rules {
            Some(rules) => self.version_rules.insert(service.clone(), rules),
            None => self.version_rules.remove(service),
        };
    }

    /// Sets the versions of a service that roll-outs have rolled back. They get no request, not
    /// even one whose stream they began.
    pub fn set_rolled_back(&mut self, service: &ServiceName, versions: BTreeSet<Version>) {
        if versions.is_empty() {
            self.rolled_back.remove(service);
        } else {
            self.rolled_back.insert(service.clone(), versions);
        }
    }

    /// Whether a stream that this version began may go on at it.
    fn may_continue(&self, service: &ServiceName, version: Option<&Version>) -> bool {
        let rolled_back = self.rolled_back.get(service);
        !version.is_some_and(|version| rolled_back.is_some_and(|it| it.contains(version)))
    }

    /// Whether an endpoint of the version that a request needs is available, also one that the
    /// request was sent to before. `true` if it needs no particular one.
    #[must_use]
    pub fn serves_version(&self, now: Time, service: &ServiceName, need: &VersionNeed) -> bool {
        let VersionNeed::Only(version) = need else {
            return true;
        };
        let mut endpoints = self.endpoints.iter();
        self.may_continue(service, version.as_ref())
            && endpoints.any(|(id, endpoint)| {
                endpoint.record.service == *service
                    && endpoint.record.version == *version
                    && self.is_available(now, id)
            })
    }

    /// Whether the endpoint that a request was placed at is still the one that was chosen: it
    /// has not restarted since and states the same version.
    #[must_use]
    pub fn is_unchanged(&self, place: &PlacedRequest) -> bool {
        self.is_in_flight(place.id) && self.version(&place.endpoint) == place.version.as_ref()
    }

    /// The version of an endpoint's software.
    #[must_use]
    pub fn version(&self, id: &EndpointId) -> Option<&Version> {
        self.endpoints.get(id)?.record.version.as_ref()
    }

    /// The availability zone of an endpoint.
    #[must_use]
    pub fn zone(&self, id: &EndpointId) -> Option<&ZoneId> {
        Some(&self.endpoints.get(id)?.record.zone)
    }

    /// The services that have endpoints and their versions; `None` stands for endpoints that
    /// state no valid version.
    #[must_use]
    pub fn version_states(
        &self,
        now: Time,
    ) -> BTreeMap<ServiceName, BTreeMap<Option<Version>, VersionState>> {
        let mut services: BTreeMap<ServiceName, BTreeMap<_, VersionState>> = BTreeMap::new();
        for (id, endpoint) in &self.endpoints {
            let record = &endpoint.record;
            let versions = services.entry(record.service.clone()).or_default();
            let state = versions.entry(record.version.clone()).or_default();
            state.known += 1;
            state.available += u32::from(self.is_available(now, id));
            state.busy |= reports_requests(now, endpoint);
        }
        for request in self.in_flight.values() {
            let Some(endpoint) = self.endpoints.get(&request.endpoint) else {
                continue;
            };
            let record = &endpoint.record;
            let versions = services.entry(record.service.clone()).or_default();
            versions.entry(record.version.clone()).or_default().busy = true;
        }
        services
    }

    /// Keeps the endpoints of the version that a request needs, or else those that the service's
    /// rules allow.
    pub(crate) fn restrict_versions(
        &self,
        request: &PlacementRequest,
        mut available: Vec<EndpointId>,
    ) -> Vec<EndpointId> {
        if let VersionNeed::Only(version) = &request.version {
            let version = version.as_ref();
            let may_continue = self.may_continue(&request.service, version);
            available.retain(|id| may_continue && self.version(id) == version);
            return available;
        }
        let Some(rules) = self.version_rules.get(&request.service) else {
            return available;
        };
        let mut available_by_version: BTreeMap<&Version, u32> = BTreeMap::new();
        for version in available.iter().filter_map(|id| self.version(id)) {
            *available_by_version.entry(version).or_default() += 1;
        }
        let mut indices: BTreeMap<&Version, u32> = BTreeMap::new();
        available.retain(|id| {
            let Some(version) = self.version(id) else {
                return rules.includes_unversioned;
            };
            let index = indices.entry(version).or_default();
            let count = available_by_version.get(version).copied().unwrap_or(0);
            let range = rules.endpoints.get(version);
            let is_included = range.is_some_and(|range| range.contains(*index, count));
            *index += 1;
            is_included
        });
        available
    }
}

/// Whether an endpoint reported requests recently.
fn reports_requests(now: Time, endpoint: &Endpoint) -> bool {
    let is_fresh = |at: Time| !(at + REPORT_TTL).has_passed(now);
    let engine = endpoint.report.as_ref();
    let engine = engine.is_some_and(|(at, report)| {
        is_fresh(*at) && report.running.saturating_add(report.waiting) > 0
    });
    // A load is stated while the request that it answers still counts.
    let load = endpoint.reported_load.as_ref();
    let load = load.is_some_and(|reported| {
        let load = reported.load;
        is_fresh(reported.reported_at) && load.running.saturating_add(load.waiting) > 1
    });
    engine || load
}
