//! Organisations share by weight, whatever one of them sends.

use lentil_core::{Priority, TokenCount, Weight};
use lentil_route::FairQueue;
use proptest::prelude::{any, prop_assert, proptest};

use crate::fixtures::{config, organisation, request};

proptest! {
    #![proptest_config(config(128))]

    /// A small organisation's request waits for at most about one request of
    /// each other organisation, however long their lines are.
    #[test]
    fn flood_waits(flood in 1_usize..400, others in 1_usize..10, prompt in 1_u32..400) {
        let mut queue = FairQueue::new();
        let mut id = 0;
        for other in 0..others {
            for _ in 0..flood {
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

    /// Two organisations with waiting requests are served in the ratio of their weights.
    #[test]
    fn weights_hold(light in 1_u32..5, heavy in 5_u32..20) {
        let mut queue = FairQueue::new();
        for id in 0..400 {
            let mut light_one = request(id, 0);
            light_one.weight = Weight::new(light);
            queue.push(light_one);
            let mut heavy_one = request(id + 1_000, 1);
            heavy_one.weight = Weight::new(heavy);
            queue.push(heavy_one);
        }
        let served = 240_u32;
        let light_served = (0..served)
            .filter_map(|_| queue.pop(Priority::Interactive))
            .filter(|r| r.organisation == organisation(0))
            .count();
        let expected = f64::from(served) * f64::from(light) / f64::from(light + heavy);
        let off = (f64::from(u32::try_from(light_served).unwrap()) - expected).abs();
        prop_assert!(off <= 3.0, "{light_served} against {expected}");
    }

    /// What goes in comes out once, whatever is charged, taken and promoted.
    #[test]
    fn nothing_lost(steps in proptest::collection::vec((0_u8..5, 0_usize..6, any::<u16>()), 1..200)) {
        let mut queue = FairQueue::new();
        let mut held = std::collections::BTreeSet::new();
        for (number, (step, org, tokens)) in steps.into_iter().enumerate() {
            let id = u64::try_from(number).unwrap();
            match step {
                0 | 1 => {
                    let mut new = request(id, org);
                    new.priority = Priority::ALL[org % 3];
                    held.insert(new.id);
                    queue.push(new);
                }
                2 => {
                    if let Some(out) = queue.pop(Priority::ALL[org % 3]) {
                        queue.charge(&out, TokenCount::new(u32::from(tokens)));
                        prop_assert!(held.remove(&out.id));
                    }
                }
                3 => {
                    if let Some(out) = queue.drop_last() {
                        prop_assert!(held.remove(&out.id));
                    }
                }
                _ => {
                    for out in queue.take(|r| r.organisation == organisation(org)) {
                        prop_assert!(held.remove(&out.id));
                    }
                }
            }
            prop_assert!(queue.len() == held.len());
        }
        let left: usize = Priority::ALL.iter().map(|p| {
            std::iter::from_fn(|| queue.pop(*p)).count()
        }).sum();
        prop_assert!(left == held.len());
    }
}
