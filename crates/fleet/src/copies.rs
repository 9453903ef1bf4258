//! Copies of running generations at other engines, made in advance of a crash.

use std::net::SocketAddr;

use lentil_catalog::PriorityLevel;
use lentil_core::{EndpointId, ServiceName, Time, TokenCount, ZoneId};

use crate::endpoint::Endpoint;
use crate::fleet::REPORT_TTL;
use crate::placement::{
    GenerationSize, MEMORY_FILL_MAX, PlacedRequest, Placement, PlacementRequest, VersionNeed,
    ZonePreference,
};
use crate::scheduling::{DEFAULT_MEMORY_TOKENS, requested_memory};
use crate::{Fleet, PlacementId};

/// A copy of a running generation at an engine.
#[derive(Debug, Clone)]
pub(crate) struct EngineCopy {
    pub(crate) endpoint: EndpointId,
    /// Tokens that the whole generation is expected to occupy.
    pub(crate) tokens: TokenCount,
}

/// An engine that may receive copies.
#[derive(Debug, Clone, PartialEq)]
pub struct CopyHost {
    /// The engine.
    pub endpoint: EndpointId,
    /// Its network address.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Its total memory.
    pub memory_total: TokenCount,
    /// Memory that its requests and copies are expected to occupy.
    pub memory_forecast: TokenCount,
    /// Whether it has room for one more request.
    pub has_free_slot: bool,
}

impl Fleet {
    /// The engines of a service, other than those in `tried`, that a request with this need may
    /// go to and whose load is known from a recent report.
    #[must_use]
    pub fn copy_hosts(
        &self,
        now: Time,
        service: &ServiceName,
        version: VersionNeed,
        tried: &[EndpointId],
    ) -> Vec<CopyHost> {
        let request = copy_request(service, TokenCount::ZERO, version);
        let available = self.available(now, &request, tried);
        let hosts = available.into_iter().filter_map(|id| {
            let endpoint = self.endpoints.get(&id)?;
            let (reported_at, _) = endpoint.report.as_ref()?;
            if (*reported_at + REPORT_TTL).has_passed(now) {
                return None;
            }
            Some(self.copy_host(now, &id, endpoint))
        });
        hosts.collect()
    }

    fn copy_host(&self, now: Time, id: &EndpointId, endpoint: &Endpoint) -> CopyHost {
        let (memory_total, slots) = self.engine_limits(&endpoint.record.service);
        let usage = self.engine_usage(now, id, endpoint);
        CopyHost {
            endpoint: id.clone(),
            address: endpoint.record.address,
            zone: endpoint.record.zone.clone(),
            memory_total,
            memory_forecast: whole_tokens(self.forecast_memory(id, &usage)),
            has_free_slot: usage.running + usage.waiting < slots,
        }
    }

    /// The memory and the slots of a service's engines.
    fn engine_limits(&self, service: &ServiceName) -> (TokenCount, u32) {
        let engine = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(service)?.engine);
        engine.map_or((TokenCount::new(DEFAULT_MEMORY_TOKENS), 1), |engine| {
            (engine.memory_tokens, engine.slots)
        })
    }

    /// The memory of an engine that new requests may still take, by forecast.
    pub(crate) fn engine_room(&self, now: Time, id: &EndpointId) -> f64 {
        let Some(endpoint) = self.endpoints.get(id) else {
            return 0.0;
        };
        let (total, _) = self.engine_limits(&endpoint.record.service);
        let usage = self.engine_usage(now, id, endpoint);
        f64::from(total.get()) * MEMORY_FILL_MAX - self.forecast_memory(id, &usage)
    }

    /// Counts a copy of a generation at an engine, until [`Self::end_copy`].
    pub fn begin_copy(&mut self, endpoint: EndpointId, tokens: TokenCount) -> PlacementId {
        let id = PlacementId(self.next_placement_id);
        self.next_placement_id += 1;
        self.copies.insert(id, EngineCopy { endpoint, tokens });
        id
    }

    /// Removes a copy.
    pub fn end_copy(&mut self, id: PlacementId) {
        self.copies.remove(&id);
    }

    /// Tokens of the copies at an engine.
    pub(crate) fn copied_tokens(&self, id: &EndpointId) -> TokenCount {
        let copies = self.copies.values().filter(|copy| copy.endpoint == *id);
        copies.map(|copy| copy.tokens).sum()
    }

    /// Places a generation at the engine that has this copy of it. Returns `None` if the engine
    /// has restarted since, gets no requests now, or has no longer the version that the
    /// generation needs; the copy remains counted.
    pub fn place_at_copy(
        &mut self,
        now: Time,
        copy: PlacementId,
        service: &ServiceName,
        version: VersionNeed,
        size: GenerationSize,
    ) -> Option<PlacedRequest> {
        let id = self.copies.get(&copy)?.endpoint.clone();
        let entries = self.entry_count(now);
        let spec = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(service).cloned());
        let mut request = copy_request(service, size.prompt_tokens, version);
        request.generation = Some(size);
        let has_version = match &request.version {
            VersionNeed::Any => true,
            VersionNeed::Only(_) => !self
                .restrict_versions(&request, vec![id.clone()])
                .is_empty(),
        };
        if !has_version
            || !self.is_available(now, &id)
            || !self.may_send_to(now, &id, spec.as_ref(), entries)
        {
            return None;
        }
        match self.assign(now, id, &request) {
            Placement::Placed(place) => Some(place),
            Placement::NoCapacity | Placement::NoEndpoint => None,
        }
    }

    /// An engine that has no room for a request only because of this entry's copies there.
    #[must_use]
    pub fn filled_by_copies(
        &self,
        now: Time,
        request: &PlacementRequest,
        tried: &[EndpointId],
    ) -> Option<EndpointId> {
        let need = requested_memory(request.generation.as_ref()?);
        if self.copies.is_empty() {
            return None;
        }
        let available = self.available(now, request, tried);
        available.into_iter().find(|id| {
            let copied = f64::from(self.copied_tokens(id).get());
            let room = self.engine_room(now, id);
            let host = self.endpoints.get(id);
            let host = host.map(|endpoint| self.copy_host(now, id, endpoint));
            room < need && room + copied >= need && host.is_some_and(|host| host.has_free_slot)
        })
    }
}

fn copy_request(
    service: &ServiceName,
    tokens: TokenCount,
    version: VersionNeed,
) -> PlacementRequest {
    PlacementRequest {
        service: service.clone(),
        generation: Some(GenerationSize {
            prompt_tokens: tokens,
            expected_output_tokens: TokenCount::ZERO,
        }),
        zone_preference: ZonePreference::Local,
        jitter_seed: 0,
        wanted_by: None,
        priority: PriorityLevel::default(),
        gap_target: None,
        version,
    }
}

/// Rounds tokens up.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole_tokens(tokens: f64) -> TokenCount {
    TokenCount::new(tokens.ceil() as u32)
}
