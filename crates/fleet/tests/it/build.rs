//! A small fleet for the tests.

use std::sync::Arc;

use lentil_catalog::{
    CallerLimits, Catalog, ColdBound, Draft, EngineShape, Rank, Route, RouteKind, Service, Share,
};
use lentil_core::{ByteCount, ConfigVersion, EndpointId, Span, Time, TokenCount};
use lentil_fleet::{
    EngineReport, EngineStage, Fleet, FleetBounds, GenerationNeed, Listing, Nearness, Need,
    Placement,
};

pub(crate) const MEMORY_TOKENS: u32 = 34_000;

pub(crate) fn ms(ms: u64) -> Time {
    Time::ZERO + Span::from_ms(ms)
}

pub(crate) fn id(number: u32) -> EndpointId {
    format!("i-{number}").parse().unwrap()
}

fn service(name: &str, engine: Option<EngineShape>) -> Service {
    Service {
        name: name.parse().unwrap(),
        health_path: "/health".into(),
        connections_max: 100,
        cold: Some(ColdBound {
            lasts: Span::from_s(1),
            requests_per_s: 35.0,
        }),
        engine,
    }
}

fn catalog() -> Catalog {
    let shape = EngineShape {
        slots: 64,
        memory_tokens: TokenCount::new(MEMORY_TOKENS),
        event_tokens: TokenCount::new(4),
        moves: true,
        copy_lasts: Span::from_s(5),
    };
    let route = Route {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Streaming,
        timeout: Span::from_s(39),
        target_latency: Span::from_ms(1_800),
        endpoints_max: 1,
        rank: Rank::new(1),
        public: true,
        resumable: false,
        shares: vec![Share {
            service: "writers".parse().unwrap(),
            weight: 1,
        }],
    };
    Catalog::try_from(Draft {
        version: ConfigVersion::new(1),
        routes: vec![route],
        services: vec![service("writers", Some(shape)), service("desk", None)],
        organisations: None,
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
    let bounds = FleetBounds {
        cold_slack: 5.0,
        drain: Span::from_ms(2_000),
        lapse_grace: Span::from_ms(2_300),
    };
    let mut fleet = Fleet::new(bounds, "a".parse().unwrap());
    fleet.configure(Arc::new(catalog()));
    fleet
}

pub(crate) fn listing(number: u32) -> Listing {
    Listing {
        endpoint: id(number),
        service: "writers".parse().unwrap(),
        address: format!("10.0.0.{number}:80").parse().unwrap(),
        zone: "a".parse().unwrap(),
        draining: false,
        cold_for: Span::ZERO,
        born_ms: Some(u64::from(number)),
    }
}

pub(crate) fn report(used: u32, running: u32, followers: u32) -> EngineReport {
    EngineReport {
        stage: EngineStage::Serving,
        born_ms: None,
        running,
        waiting: 0,
        memory_used: TokenCount::new(used),
        memory_total: TokenCount::new(MEMORY_TOKENS),
        followers,
    }
}

pub(crate) fn need(prompt: u32, output: u32) -> Need {
    Need {
        service: "writers".parse().unwrap(),
        generation: Some(GenerationNeed {
            prompt: TokenCount::new(prompt),
            output: TokenCount::new(output),
        }),
        near: Nearness::Own,
        draw: 7,
    }
}

pub(crate) fn placed(placement: &Placement) -> Option<EndpointId> {
    match placement {
        Placement::At(place) => Some(place.endpoint.clone()),
        Placement::Full | Placement::Nowhere => None,
    }
}
