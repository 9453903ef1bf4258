//! Attempts stay under 1.1 times the requests when endpoints go.

use lentil_core::{Outcome, TokenCount};
use lentil_route::{Action, Event, RequestId, RetryBudget};
use proptest::prelude::{prop_assert, proptest};

use crate::fixtures::{
    at_ms, config, endpoint, extra_max, load, organisation, request, router, zone,
};

proptest! {
    #![proptest_config(config(64))]

    /// Whatever is asked for, a tenth of what was earned is the most, once the loan is repaid.
    #[test]
    fn never_overdrawn(asks in proptest::collection::vec((0_usize..4, 0_u8..3), 1..2_000)) {
        let mut budget = RetryBudget::new();
        let (mut earned, mut spent) = (0_u64, 0_u64);
        for (org, kind) in asks {
            let org = organisation(org);
            match kind {
                0 => {
                    budget.earn(&org);
                    earned += 1;
                }
                1 => spent += u64::from(budget.spend(&org)),
                _ => spent += u64::from(budget.spend_shared()),
            }
            prop_assert!(spent <= extra_max(earned), "{spent} after {earned}");
        }
    }

    /// Half of the endpoints go at once, and everything sent there fails.
    #[test]
    fn half_goes(before in 50_u64..400, after in 0_u64..400) {
        let mut router = router();
        let endpoints = 12;
        let mut attempts = 0_u64;
        let mut sequence = 0;
        let mut flying: Vec<(RequestId, usize)> = Vec::new();
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
            // From `before` on, even endpoints fail whatever they are given.
            while let Some(action) = actions.pop() {
                if let Action::Send { request, endpoint: to } = action {
                    attempts += 1;
                    let index = (0..endpoints).find(|i| endpoint(*i) == to).unwrap();
                    flying.push((request, index));
                }
            }
            let failing = id >= before;
            for (request, index) in std::mem::take(&mut flying) {
                let place = endpoint(index);
                let event = if failing && index % 2 == 0 {
                    Event::Failed { request, endpoint: place, outcome: Outcome::NotRun, repeatable: true }
                } else {
                    Event::Finished { request, endpoint: place, tokens: TokenCount::new(20) }
                };
                for action in router.on(now, event) {
                    if let Action::Send { request, endpoint: to } = action {
                        attempts += 1;
                        let index = (0..endpoints).find(|i| endpoint(*i) == to).unwrap();
                        flying.push((request, index));
                    }
                }
            }
        }
        let requests = before + after;
        prop_assert!(attempts <= requests + extra_max(requests), "{attempts} attempts");
    }
}
