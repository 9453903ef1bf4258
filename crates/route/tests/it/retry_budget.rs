//! Attempts stay within 1.1 times the requests when endpoints fail.

use lentil_core::{Outcome, TokenCount};
use lentil_route::{Action, Event, RequestId, RetryBudget};
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::{
    at_ms, endpoint, load, organisation, request, retries_max, router, seeded_config, zone,
};

proptest! {
    #![proptest_config(seeded_config(64))]

    /// In any sequence of calls, the budget pays for at most one attempt per ten requests, once
    /// the initial loan is repaid.
    #[test]
    fn never_overdrawn(calls in proptest::collection::vec((0_usize..4, 0_u8..3), 1..2_000)) {
        let mut budget = RetryBudget::new();
        let (mut earned, mut spent) = (0_u64, 0_u64);
        for (org, kind) in calls {
            let org = organisation(org);
            match kind {
                0 => {
                    budget.earn(&org);
                    earned += 1;
                }
                1 => spent += u64::from(budget.spend(&org)),
                _ => spent += u64::from(budget.spend_shared()),
            }
            prop_assert!(spent <= retries_max(earned), "{spent} after {earned}");
        }
    }

    /// Half of the endpoints fail at once, and so does every request sent to them.
    #[test]
    fn half_of_endpoints_fail(before in 50_u64..400, after in 0_u64..400) {
        let mut router = router();
        let endpoints = 12;
        let mut attempts = 0_u64;
        let mut sequence = 0;
        let mut in_flight: Vec<(RequestId, usize)> = Vec::new();
        for index in 0..endpoints {
            router.on(at_ms(0), Event::EndpointAdded { endpoint: endpoint(index), zone: zone(index) });
        }
        for id in 0..before + after {
            let now = at_ms(id * 10);
            for index in 0..endpoints {
                sequence += 1;
                router.on(now, Event::Load { endpoint: endpoint(index), load: load(1, sequence, 4) });
            }
            let mut actions = router.on(now, Event::Arrived(request(id, 0)));
            actions.extend(router.on(now, Event::Tick));
            // From request `before` on, endpoints with an even index fail every request.
            while let Some(action) = actions.pop() {
                if let Action::Send { request, endpoint: target } = action {
                    attempts += 1;
                    let index = (0..endpoints).find(|i| endpoint(*i) == target).unwrap();
                    in_flight.push((request, index));
                }
            }
            let failing = id >= before;
            for (request, index) in std::mem::take(&mut in_flight) {
                let endpoint_id = endpoint(index);
                let event = if failing && index % 2 == 0 {
                    Event::Failed { request, endpoint: endpoint_id, outcome: Outcome::NotRun, repeatable: true }
                } else {
                    Event::Finished { request, endpoint: endpoint_id, tokens: TokenCount::new(20) }
                };
                for action in router.on(now, event) {
                    if let Action::Send { request, endpoint: target } = action {
                        attempts += 1;
                        let index = (0..endpoints).find(|i| endpoint(*i) == target).unwrap();
                        in_flight.push((request, index));
                    }
                }
            }
        }
        let requests = before + after;
        prop_assert!(attempts <= requests + retries_max(requests), "{attempts} attempts");
    }
}
