//! Hedges: idempotent reads alone, within the budget, and one answer wins.

use lentil_core::TokenCount;
use lentil_route::{Action, Event, RequestId, Router};

use crate::fixtures::{at_ms, endpoint, load, request, router, zone};

fn pool() -> Router {
    let mut router = router();
    for index in 0..3 {
        let place = endpoint(index);
        router.on(
            at_ms(0),
            Event::EndpointAdded {
                endpoint: place.clone(),
                zone: zone(0),
            },
        );
        router.on(
            at_ms(0),
            Event::Load {
                endpoint: place,
                load: load(1, 1, 500),
            },
        );
    }
    router
}

fn send(router: &mut Router, id: u64, hedgeable: bool) -> lentil_core::EndpointId {
    let mut call = request(id, 0);
    call.hedgeable = hedgeable;
    let actions = router.on(at_ms(1), Event::Arrived(call));
    let [Action::Send { endpoint, .. }] = actions.as_slice() else {
        panic!("not sent: {actions:?}");
    };
    endpoint.clone()
}

/// Sends and finishes enough to pay for one hedge.
fn earn(router: &mut Router) {
    for id in 100..120 {
        let place = send(router, id, false);
        let request = RequestId::new(id);
        router.on(
            at_ms(1),
            Event::Accepted {
                request,
                endpoint: place.clone(),
            },
        );
        router.on(
            at_ms(1),
            Event::Finished {
                request,
                endpoint: place,
                tokens: TokenCount::ZERO,
            },
        );
    }
}

#[test]
fn late_read() {
    let mut router = pool();
    earn(&mut router);
    let first = send(&mut router, 1, true);
    router.on(
        at_ms(2),
        Event::Accepted {
            request: RequestId::new(1),
            endpoint: first.clone(),
        },
    );
    assert!(router.on(at_ms(100), Event::Tick).is_empty());
    let actions = router.on(at_ms(400), Event::Tick);
    let [
        Action::Send {
            endpoint: second, ..
        },
    ] = actions.as_slice()
    else {
        panic!("no hedge: {actions:?}");
    };
    assert_ne!(*second, first);
    let done = Event::Finished {
        request: RequestId::new(1),
        endpoint: second.clone(),
        tokens: TokenCount::ZERO,
    };
    let actions = router.on(at_ms(410), done);
    let cancel = Action::CancelAttempt {
        request: RequestId::new(1),
        endpoint: first,
    };
    assert_eq!(actions, [cancel]);
    assert_eq!(router.counters().hedges, 1);
}

#[test]
fn never_twice() {
    let mut router = pool();
    earn(&mut router);
    let first = send(&mut router, 1, false);
    router.on(
        at_ms(2),
        Event::Accepted {
            request: RequestId::new(1),
            endpoint: first,
        },
    );
    assert!(router.on(at_ms(60_000), Event::Tick).is_empty());
}

#[test]
fn without_budget() {
    let mut router = pool();
    for id in 1..=20 {
        send(&mut router, id, true);
    }
    let hedges = router.on(at_ms(400), Event::Tick);
    assert_eq!(hedges.len(), 5);
    assert!(router.on(at_ms(9_000), Event::Tick).is_empty());
}
