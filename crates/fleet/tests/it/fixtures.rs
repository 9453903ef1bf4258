//! A small fleet with reports and requests for the tests.

use std::sync::Arc;

use lentil_catalog::{
    CallerLimits, Catalog, CatalogSpec, ColdLimit, EngineSpec, PriorityLevel, Route, RouteKind,
    Service, WeightedService,
};
use lentil_core::{ByteCount, ConfigVersion, EndpointId, Span, Time, TokenCount};
use lentil_fleet::{
    EndpointRecord, EngineReport, EngineStage, Fleet, FleetConfig, GenerationSize, Placement,
    PlacementRequest, VersionNeed, ZonePreference,
};

pub(crate) const MEMORY_TOKENS: u32 = 34_000;
/// Time after a failure of the store within which expired records are back.
pub(crate) const RECORD_RETURN_MS: u64 = 2_900;

pub(crate) fn ms(ms: u64) -> Time {
    Time::ZERO + Span::from_ms(ms)
}

pub(crate) fn id(number: u32) -> EndpointId {
    format!("i-{number}").parse().unwrap()
}

fn service(name: &str, engine: Option<EngineSpec>) -> Service {
    Service {
        name: name.parse().unwrap(),
        health_path: "/health".into(),
        connections_max: 100,
        cold: Some(ColdLimit {
            duration: Span::from_s(1),
            requests_per_s: 35.0,
        }),
        engine,
    }
}

/// A configuration with the services `writers`, `desk` and `more`.
pub(crate) fn catalog(slots: u32, memory_tokens: u32, more: Option<&str>) -> Catalog {
    let engine = EngineSpec {
        slots,
        memory_tokens: TokenCount::new(memory_tokens),
        event_tokens: TokenCount::new(4),
        supports_migration: true,
        copy_ttl: Span::from_s(5),
        supports_backups: true,
        token_bytes: ByteCount::new(163_840),
        link_mbps: 24_000,
    };
    let mut route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Streaming,
        timeout: Span::from_s(39),
        target_latency: Span::from_ms(1_800),
        gap_target: None,
        endpoints_max: 1,
        priority: PriorityLevel::new(1),
        public: true,
        resumable: false,
        weighted_services: vec![WeightedService {
            service: "writers".parse().unwrap(),
            weight: 1,
        }],
    };
    Catalog::try_from(CatalogSpec {
        version: ConfigVersion::new(1),
        routes: vec![route.clone(), {
            route.host = "urgent".into();
            route.priority = PriorityLevel::new(0);
            route.target_latency = Span::from_ms(1_500);
            route
        }],
        services: [service("writers", Some(engine)), service("desk", None)]
            .into_iter()
            .chain(more.map(|name| service(name, None)))
            .collect(),
        organisations: None,
        unusable_keys: std::collections::HashSet::new(),
        limits: CallerLimits {
            head_max_bytes: ByteCount::new(1),
            body_max_bytes: ByteCount::new(1),
            head_timeout: Span::from_s(1),
            idle_timeout: Span::from_s(1),
        },
    })
    .unwrap()
}

pub(crate) fn fleet() -> Fleet {
    fleet_with(false)
}

pub(crate) fn fleet_with(adaptive: bool) -> Fleet {
    fleet_of_engines(adaptive, 64, MEMORY_TOKENS)
}

/// A fleet whose entry knows no configuration yet.
pub(crate) fn unconfigured_fleet(adaptive: bool) -> Fleet {
    let config = FleetConfig {
        cold_slack: 5.0,
        drain: Span::from_ms(2_000),
        record_ttl: Span::from_ms(3_000),
        record_return: Span::from_ms(RECORD_RETURN_MS),
        adaptive,
    };
    Fleet::new(config, "a".parse().unwrap())
}

pub(crate) fn fleet_of_engines(adaptive: bool, slots: u32, memory_tokens: u32) -> Fleet {
    let mut fleet = unconfigured_fleet(adaptive);
    fleet.set_catalog(Time::ZERO, Arc::new(catalog(slots, memory_tokens, None)));
    fleet
}

pub(crate) fn record(number: u32) -> EndpointRecord {
    EndpointRecord {
        endpoint: id(number),
        service: "writers".parse().unwrap(),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: None,
        draining: false,
        cold_remaining: Span::ZERO,
        started_at_ms: Some(u64::from(number)),
        sequence: 1,
        written_after: None,
    }
}

pub(crate) fn report(used: u32, running: u32, followers: u32) -> EngineReport {
    EngineReport {
        stage: EngineStage::Serving,
        started_at_ms: None,
        running,
        waiting: 0,
        memory_used: TokenCount::new(used),
        memory_total: TokenCount::new(MEMORY_TOKENS),
        followers,
        token_interval: None,
        prefilling: 0,
        next_prompt: None,
        runs: Vec::new(),
        announced_runs: 0,
        announced_prompt: TokenCount::ZERO,
    }
}

pub(crate) fn request(prompt: u32, output: u32) -> PlacementRequest {
    PlacementRequest {
        service: "writers".parse().unwrap(),
        generation: Some(GenerationSize {
            prompt_tokens: TokenCount::new(prompt),
            expected_output_tokens: TokenCount::new(output),
        }),
        zone_preference: ZonePreference::Local,
        jitter_seed: 7,
        gap_target: None,
        version: VersionNeed::Any,
        wanted_by: None,
        priority: PriorityLevel::new(1),
    }
}

/// The endpoint that a request was placed at, if any.
pub(crate) fn chosen(placement: &Placement) -> Option<EndpointId> {
    match placement {
        Placement::Placed(placed) => Some(placed.endpoint.clone()),
        Placement::NoCapacity | Placement::NoEndpoint => None,
    }
}
