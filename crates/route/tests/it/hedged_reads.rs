//! Hedging: only idempotent reads are hedged, within the retry budget, and the first
//! completed attempt cancels the other.

use lentil_core::TokenCount;
use lentil_route::{Action, Event, RequestId, Router};

use crate::fixtures::{at_ms, endpoint, load, request, router, zone};

fn router_with_endpoints() -> Router {
    let mut router = router();
    for index in 0..3 {
        let to = endpoint(index);
        router.on(
            at_ms(0),
            Event::EndpointAdded {
                endpoint: to.clone(),
                zone: zone(0),
            },
        );
        router.on(
            at_ms(0),
            Event::Load {
                endpoint: to,
                load: load(1, 1, 500),
            },
        );
    }
    router
}

fn send(router: &mut Router, id: u64, hedgeable: bool) -> lentil_core::EndpointId {
    let mut new_request = request(id, 0);
    new_request.hedgeable = hedgeable;
    let actions = router.on(at_ms(1), Event::Arrived(new_request));
    let [Action::Send { endpoint, .. }] = actions.as_slice() else {
        panic!("not sent: {actions:?}");
    };
    endpoint.clone()
}

/// Completes enough requests to pay for one hedge.
fn earn_budget(router: &mut Router) {
    for id in 100..120 {
        let to = send(router, id, false);
        let request = RequestId::new(id);
        router.on(
            at_ms(1),
            Event::Accepted {
                request,
                endpoint: to.clone(),
            },
        );
        router.on(
            at_ms(1),
            Event::Finished {
                request,
                endpoint: to,
                tokens: TokenCount::ZERO,
            },
        );
    }
}

#[test]
fn late_read_is_hedged_once() {
    let mut router = router_with_endpoints();
    earn_budget(&mut router);
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
    let finished = Event::Finished {
        request: RequestId::new(1),
        endpoint: second.clone(),
        tokens: TokenCount::ZERO,
    };
    let actions = router.on(at_ms(410), finished);
    let cancel = Action::CancelAttempt {
        request: RequestId::new(1),
        endpoint: first,
    };
    assert_eq!(actions, [cancel]);
    assert_eq!(router.counters().hedges, 1);
}

#[test]
fn other_requests_are_not_hedged() {
    let mut router = router_with_endpoints();
    earn_budget(&mut router);
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
    let mut router = router_with_endpoints();
    for id in 1..=20 {
        send(&mut router, id, true);
    }
    let hedges = router.on(at_ms(400), Event::Tick);
    assert_eq!(hedges.len(), 5);
    assert!(router.on(at_ms(9_000), Event::Tick).is_empty());
}
