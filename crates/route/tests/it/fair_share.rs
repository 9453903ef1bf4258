//! Organisations share the queue by weight, whatever one of them sends.

use lentil_core::{Priority, TokenCount, Weight};
use lentil_route::FairQueue;
use proptest::prelude::{any, prop_assert, proptest};

use crate::fixtures::{organisation, request, seeded_config};

proptest! {
    #![proptest_config(seeded_config(128))]

    /// The request of a small organisation waits for about one request of each other
    /// organisation, however many these have queued. The check allows two of each on average.
    #[test]
    fn flood_does_not_delay_small_organisation(requests_each in 1_usize..400, others in 1_usize..10, prompt in 1_u32..400) {
        let mut queue = FairQueue::new();
        let mut id = 0;
        for other in 0..others {
            for _ in 0..requests_each {
                id += 1;
                queue.push(request(id, other));
            }
        }
        for _ in 0..others {
            queue.pop(Priority::Interactive);
        }
        let mut small = request(9_999, 99);
        small.prompt = TokenCount::new(prompt);
        let small_id = small.id;
        queue.push(small);
        let ahead = (0..).take_while(|_| {
            queue.pop(Priority::Interactive).is_some_and(|r| r.id != small_id)
        }).count();
        prop_assert!(ahead <= 2 * others, "{ahead} served ahead");
    }

    /// Two organisations that always have waiting requests are served in the ratio of their
    /// weights.
    #[test]
    fn service_follows_weights(light_weight in 1_u32..5, heavy_weight in 5_u32..20) {
        let mut queue = FairQueue::new();
        for id in 0..400 {
            let mut light_request = request(id, 0);
            light_request.weight = Weight::new(light_weight);
            queue.push(light_request);
            let mut heavy_request = request(id + 1_000, 1);
            heavy_request.weight = Weight::new(heavy_weight);
            queue.push(heavy_request);
        }
        let served = 240_u32;
        let light_served = (0..served)
            .filter_map(|_| queue.pop(Priority::Interactive))
            .filter(|r| r.organisation == organisation(0))
            .count();
        let expected = f64::from(served) * f64::from(light_weight) / f64::from(light_weight + heavy_weight);
        let error = (f64::from(u32::try_from(light_served).unwrap()) - expected).abs();
        prop_assert!(error <= 3.0, "{light_served} instead of {expected}");
    }

    /// Each request leaves the queue exactly once, whatever is charged, removed and dropped.
    #[test]
    fn each_request_leaves_queue_once(steps in proptest::collection::vec((0_u8..5, 0_usize..6, any::<u16>()), 1..200)) {
        let mut queue = FairQueue::new();
        let mut queued = std::collections::BTreeSet::new();
        for (number, (step, org, tokens)) in steps.into_iter().enumerate() {
            let id = u64::try_from(number).unwrap();
            match step {
                0 | 1 => {
                    let mut new_request = request(id, org);
                    new_request.priority = Priority::ALL[org % 3];
                    queued.insert(new_request.id);
                    queue.push(new_request);
                }
                2 => {
                    if let Some(removed) = queue.pop(Priority::ALL[org % 3]) {
                        queue.charge(&removed, TokenCount::new(u32::from(tokens)));
                        prop_assert!(queued.remove(&removed.id));
                    }
                }
                3 => {
                    if let Some(removed) = queue.drop_last() {
                        prop_assert!(queued.remove(&removed.id));
                    }
                }
                _ => {
                    for removed in queue.remove_matching(|r| r.organisation == organisation(org)) {
                        prop_assert!(queued.remove(&removed.id));
                    }
                }
            }
            prop_assert!(queue.len() == queued.len());
        }
        let remaining: usize = Priority::ALL.iter().map(|p| {
            std::iter::from_fn(|| queue.pop(*p)).count()
        }).sum();
        prop_assert!(remaining == queued.len());
    }
}
