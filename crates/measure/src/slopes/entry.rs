//! Costs of the entry's decisions.

use lentil_core::{EndpointId, OrganisationId, ParseIdError, Priority, Time, TokenCount, Weight};
use lentil_member::{
    Event as MemberEvent, Group, ListedEndpoint, Location, MemberLimits, MemberTable,
};
use lentil_route::{Action, Event, PrefixHash, Request, RequestId, Router, RouterConfig, SendMode};

use super::fit::{Slope, Unit};
use super::meter;
use super::names;

const QUEUE_MAX: usize = 4_096;
const OUTPUT: TokenCount = TokenCount::new(255);
const PROMPT: TokenCount = TokenCount::new(400);

pub(crate) fn router(agents: usize) -> Result<Router, ParseIdError> {
    let mut router = Router::new(RouterConfig {
        zone: names::zone(0)?,
        queue_max: QUEUE_MAX,
        mode: SendMode::Optimistic,
        seed: 1,
    });
    for (index, endpoint) in names::endpoints(agents)?.into_iter().enumerate() {
        let zone = names::zone(index)?;
        router.on(
            Time::ZERO,
            Event::EndpointAdded {
                endpoint: endpoint.clone(),
                zone,
            },
        );
        let load = names::roomy(1);
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
        prompt: PROMPT,
        deadline: Time::NEVER,
        prefix: Some(PrefixHash::new(number % 64)),
        hedgeable: false,
    }
}

/// Requests of all organisations in turn, each from its arrival to its end.
fn serve(mut router: Router, organisations: &[OrganisationId], count: usize) {
    let requests = organisations.iter().cycle().take(count).enumerate();
    for (number, organisation) in requests {
        let now = Time::from_us(u64::try_from(number).unwrap_or(0) * 70_000);
        let request = request(number, organisation);
        let id = request.id;
        let actions = router.on(now, Event::Arrived(request));
        for endpoint in sent(actions) {
            finish(&mut router, now, id, endpoint);
        }
    }
}

fn sent(actions: Vec<Action>) -> impl Iterator<Item = EndpointId> {
    actions.into_iter().filter_map(|action| match action {
        Action::Send { endpoint, .. } => Some(endpoint),
        _ => None,
    })
}

fn finish(router: &mut Router, now: Time, request: RequestId, endpoint: EndpointId) {
    let at = endpoint.clone();
    router.on(now, Event::Accepted { request, endpoint });
    let endpoint = at.clone();
    router.on(now, Event::ResponseStarted { request, endpoint });
    let tokens = OUTPUT;
    let endpoint = at;
    router.on(
        now,
        Event::Finished {
            request,
            endpoint,
            tokens,
        },
    );
}

/// A router in which every organisation has one request waiting.
pub(crate) fn crowded(count: usize) -> Result<Router, ParseIdError> {
    let mut router = router(0)?;
    for (number, organisation) in names::organisations(count)?.iter().enumerate() {
        router.on(Time::ZERO, Event::Arrived(request(number, organisation)));
    }
    Ok(router)
}

fn streaming(count: usize) -> Result<Router, ParseIdError> {
    let mut router = router(names::AGENTS)?;
    let organisation = names::organisation(0)?;
    for number in 0..count {
        let request = request(number, &organisation);
        let id = request.id;
        let actions = router.on(Time::ZERO, Event::Arrived(request));
        for endpoint in sent(actions) {
            let at = endpoint.clone();
            router.on(
                Time::ZERO,
                Event::Accepted {
                    request: id,
                    endpoint,
                },
            );
            let endpoint = at;
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

pub(crate) fn members(count: usize) -> Result<MemberTable, ParseIdError> {
    let place = |index| -> Result<Location, ParseIdError> {
        Ok(Location {
            zone: names::zone(index)?,
            region: names::region()?,
        })
    };
    let listed = (0..count).map(|index| {
        Ok(ListedEndpoint {
            endpoint: names::endpoint(index)?,
            host: format!("engine-host-{index:04}").parse()?,
            location: place(index)?,
            groups: [Group::Model(names::model(index % names::MODELS)?)].into(),
            address: format!("10.20.{}.{}:7300", index / 250, index % 250),
            leaving: false,
        })
    });
    let listed = listed.collect::<Result<Vec<_>, ParseIdError>>()?;
    let limits = MemberLimits::default();
    let mut members = MemberTable::new(Time::ZERO, "entry-001".parse()?, place(0)?, limits);
    members.on(Time::ZERO, MemberEvent::HostListRead(listed));
    Ok(members)
}

fn reports(mut router: Router, endpoints: &[EndpointId], count: usize) {
    for (number, endpoint) in endpoints.iter().cycle().take(count).enumerate() {
        let number = u64::try_from(number).unwrap_or(u64::MAX);
        let event = Event::Load {
            endpoint: endpoint.clone(),
            load: names::roomy(number + 2),
        };
        router.on(Time::from_us(number), event);
    }
}

pub(crate) fn slopes() -> Result<Vec<Slope>, ParseIdError> {
    let organisations = names::organisations(names::ORGANISATIONS)?;
    let endpoints = names::endpoints(names::AGENTS)?;
    let requests = meter::time(
        &[20_000, 40_000, 80_000, 160_000],
        |_| router(names::AGENTS),
        |router, count| {
            if let Ok(router) = router {
                serve(router, &organisations, count);
            }
        },
    );
    let loads = meter::time(
        &[100_000, 200_000, 400_000],
        |_| router(names::AGENTS),
        |router, count| {
            if let Ok(router) = router {
                reports(router, &endpoints, count);
            }
        },
    );
    Ok(vec![
        Slope::fit("entry: request routed", Unit::Nanoseconds, requests),
        Slope::fit("entry: load report taken", Unit::Nanoseconds, loads),
        Slope::fit(
            "entry: known agent in a router",
            Unit::Bytes,
            meter::memory(&[48, 96, 192, 384], router),
        ),
        Slope::fit(
            "entry: listed endpoint",
            Unit::Bytes,
            meter::memory(&[150, 300, 600, 1_200], members),
        ),
        Slope::fit(
            "entry: organisation with a waiting request",
            Unit::Bytes,
            meter::memory(&[500, 1_000, 2_000, 4_000], crowded),
        ),
        Slope::fit(
            "entry: open stream in a router",
            Unit::Bytes,
            meter::memory(&[250, 500, 1_000, 2_000], streaming),
        ),
        Slope::fit(
            "entry: model with 48 agents",
            Unit::Bytes,
            meter::memory(&[2, 4, 8], |models| {
                (0..models)
                    .map(|_| router(names::AGENTS))
                    .collect::<Vec<_>>()
            }),
        ),
    ])
}
