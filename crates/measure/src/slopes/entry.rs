//! Marginal costs of routing and membership in the entry.

use lentil_core::{EndpointId, OrganisationId, ParseIdError, Priority, Time, TokenCount, Weight};
use lentil_member::{
    Event as MemberEvent, Group, ListedEndpoint, Location, MemberLimits, MemberTable,
};
use lentil_route::{Action, Event, PrefixHash, Request, RequestId, Router, RouterConfig, SendMode};

use super::fit::{Slope, Unit};
use super::fixtures;
use super::meter;

/// Requests that a router queues at most.
const QUEUE_MAX: usize = 4_096;
const OUTPUT_TOKENS: TokenCount = TokenCount::new(255);
const PROMPT_TOKENS: TokenCount = TokenCount::new(400);

pub(crate) fn router(agents: usize) -> Result<Router, ParseIdError> {
    let mut router = Router::new(RouterConfig {
        zone: fixtures::zone(0)?,
        queue_max: QUEUE_MAX,
        mode: SendMode::Optimistic,
        seed: 1,
    });
    for (index, endpoint) in fixtures::endpoints(agents)?.into_iter().enumerate() {
        let zone = fixtures::zone(index)?;
        router.on(
            Time::ZERO,
            Event::EndpointAdded {
                endpoint: endpoint.clone(),
                zone,
            },
        );
        let load = fixtures::unsaturated_load(1);
        router.on(Time::ZERO, Event::Load { endpoint, load });
    }
    Ok(router)
}

fn request(number: usize, organisation: &OrganisationId) -> Request {
    let number = u64::try_from(number).unwrap_or(u64::MAX);
    Request {
        id: RequestId::new(number),
        organisation: organisation.clone(),
        weight: Weight::new(1),
        priority: Priority::Interactive,
        prompt: PROMPT_TOKENS,
        deadline: Time::NEVER,
        prefix: Some(PrefixHash::new(number % 64)),
        hedgeable: false,
    }
}

/// Routes `count` requests, from the organisations in turn, each from arrival to end.
fn complete_requests(mut router: Router, organisations: &[OrganisationId], count: usize) {
    let requests = organisations.iter().cycle().take(count).enumerate();
    for (number, organisation) in requests {
        let now = Time::from_us(u64::try_from(number).unwrap_or(0) * 70_000);
        let request = request(number, organisation);
        let id = request.id;
        let actions = router.on(now, Event::Arrived(request));
        for endpoint in send_targets(actions) {
            complete_request(&mut router, now, id, endpoint);
        }
    }
}

fn send_targets(actions: Vec<Action>) -> impl Iterator<Item = EndpointId> {
    actions.into_iter().filter_map(|action| match action {
        Action::Send { endpoint, .. } => Some(endpoint),
        _ => None,
    })
}

fn complete_request(router: &mut Router, now: Time, request: RequestId, endpoint: EndpointId) {
    let same_endpoint = endpoint.clone();
    router.on(now, Event::Accepted { request, endpoint });
    let endpoint = same_endpoint.clone();
    router.on(now, Event::ResponseStarted { request, endpoint });
    let tokens = OUTPUT_TOKENS;
    let endpoint = same_endpoint;
    router.on(
        now,
        Event::Finished {
            request,
            endpoint,
            tokens,
        },
    );
}

/// Builds a router without endpoints in which each of `count` organisations has a waiting request.
pub(crate) fn router_with_queue(count: usize) -> Result<Router, ParseIdError> {
    let mut router = router(0)?;
    for (number, organisation) in fixtures::organisations(count)?.iter().enumerate() {
        router.on(Time::ZERO, Event::Arrived(request(number, organisation)));
    }
    Ok(router)
}

fn router_with_streams(count: usize) -> Result<Router, ParseIdError> {
    let mut router = router(fixtures::AGENTS_PER_MODEL)?;
    let organisation = fixtures::organisation(0)?;
    for number in 0..count {
        let request = request(number, &organisation);
        let id = request.id;
        let actions = router.on(Time::ZERO, Event::Arrived(request));
        for endpoint in send_targets(actions) {
            let same_endpoint = endpoint.clone();
            router.on(
                Time::ZERO,
                Event::Accepted {
                    request: id,
                    endpoint,
                },
            );
            let endpoint = same_endpoint;
            router.on(
                Time::ZERO,
                Event::ResponseStarted {
                    request: id,
                    endpoint,
                },
            );
        }
    }
    Ok(router)
}

pub(crate) fn member_table(count: usize) -> Result<MemberTable, ParseIdError> {
    let location = |index| -> Result<Location, ParseIdError> {
        Ok(Location {
            zone: fixtures::zone(index)?,
            region: fixtures::region()?,
        })
    };
    let listed = (0..count).map(|index| {
        Ok(ListedEndpoint {
            endpoint: fixtures::endpoint(index)?,
            host: format!("engine-host-{index:04}").parse()?,
            location: location(index)?,
            groups: [Group::Model(fixtures::model(index % fixtures::MODELS)?)].into(),
            address: format!("10.20.{}.{}:7300", index / 250, index % 250),
            leaving: false,
        })
    });
    let listed = listed.collect::<Result<Vec<_>, ParseIdError>>()?;
    let limits = MemberLimits::default();
    let mut members = MemberTable::new(Time::ZERO, "entry-001".parse()?, location(0)?, limits);
    members.on(Time::ZERO, MemberEvent::HostListRead(listed));
    Ok(members)
}

fn apply_load_reports(mut router: Router, endpoints: &[EndpointId], count: usize) {
    for (number, endpoint) in endpoints.iter().cycle().take(count).enumerate() {
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        let event = Event::Load {
            endpoint: endpoint.clone(),
            load: fixtures::unsaturated_load(number + 2),
        };
        router.on(Time::from_us(number), event);
    }
}

pub(crate) fn slopes() -> Result<Vec<Slope>, ParseIdError> {
    let organisations = fixtures::organisations(fixtures::ORGANISATIONS)?;
    let endpoints = fixtures::endpoints(fixtures::AGENTS_PER_MODEL)?;
    let requests = meter::time(
        &[20_000, 40_000, 80_000, 160_000],
        |_| router(fixtures::AGENTS_PER_MODEL),
        |router, count| {
            if let Ok(router) = router {
                complete_requests(router, &organisations, count);
            }
        },
    );
    let report_times = meter::time(
        &[100_000, 200_000, 400_000],
        |_| router(fixtures::AGENTS_PER_MODEL),
        |router, count| {
            if let Ok(router) = router {
                apply_load_reports(router, &endpoints, count);
            }
        },
    );
    Ok(vec![
        Slope::fit("entry: request routed", Unit::Nanoseconds, requests),
        Slope::fit("entry: load report taken", Unit::Nanoseconds, report_times),
        Slope::fit(
            "entry: known agent in a router",
            Unit::Bytes,
            meter::memory(&[48, 96, 192, 384], router),
        ),
        Slope::fit(
            "entry: listed endpoint",
            Unit::Bytes,
            meter::memory(&[150, 300, 600, 1_200], member_table),
        ),
        Slope::fit(
            "entry: organisation with a waiting request",
            Unit::Bytes,
            meter::memory(&[500, 1_000, 2_000, 4_000], router_with_queue),
        ),
        Slope::fit(
            "entry: open stream in a router",
            Unit::Bytes,
            meter::memory(&[250, 500, 1_000, 2_000], router_with_streams),
        ),
        Slope::fit(
            "entry: model with 48 agents",
            Unit::Bytes,
            meter::memory(&[2, 4, 8], |models| {
                (0..models)
                    .map(|_| router(fixtures::AGENTS_PER_MODEL))
                    .collect::<Vec<_>>()
            }),
        ),
    ])
}
