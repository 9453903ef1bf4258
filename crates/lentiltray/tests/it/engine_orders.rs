//! Agents that send orders to their engines, such as to load a model.

use std::time::Duration;

use lentil_fakes::{EngineOptions, FakeEngine, FakeLog, Outage};
use lentil_site::{MODEL, Site, SiteOptions};

use crate::caller::{Caller, block_on, completion};

/// Maximum wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Longer than several polls of the order stream.
const SEVERAL_POLLS: Duration = Duration::from_secs(2);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

fn plan(engines: usize) -> SiteOptions {
    SiteOptions {
        engines,
        services: 0,
        entries: 1,
        engine: EngineOptions {
            models: Vec::new(),
            ..EngineOptions::default()
        },
        agent_settings: vec![format!("orders: {{ model: {MODEL} }}")],
        ..SiteOptions::default()
    }
}

fn wait_for(what: &str, mut condition: impl FnMut() -> bool) {
    let polls = WAIT_TIMEOUT.as_millis() / POLL_INTERVAL.as_millis();
    for _ in 0..polls {
        if condition() {
            return;
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    panic!("timed out waiting for {what}");
}

fn fences(engine: &FakeEngine) -> Vec<u64> {
    engine.orders().iter().map(|(fence, _)| *fence).collect()
}

#[test]
fn empty_engine_loads() {
    let site = Site::start(plan(1)).unwrap();
    wait_for("an order", || !site.engines[0].orders().is_empty());
    let orders = site.engines[0].orders();
    assert_eq!(orders[0].1["load"]["model"], MODEL);
    assert_eq!(site.weights.fetches(), 1);
    let address = site.entries[0].address();
    block_on(async move {
        let caller = Caller::new().await;
        let answer = caller
            .complete(address, &completion("a verdict", 3, false))
            .await;
        assert!(answer.status().is_success());
    });
    site.stop().unwrap();
}

#[test]
fn replaced_agent_keeps_order() {
    let mut site = Site::start(plan(1)).unwrap();
    wait_for("an order", || !site.engines[0].orders().is_empty());
    site.agents.remove(0).stop().unwrap();
    let before = fences(&site.engines[0]);
    let engine = FakeEngine::start(plan(1).engine).unwrap();
    let same_agent = site
        .start_engine_agent(0, site.engines[0].address())
        .unwrap();
    let other_agent = site.start_engine_agent(3, engine.address()).unwrap();
    wait_for("another engine's order", || !engine.orders().is_empty());
    assert_eq!(fences(&site.engines[0]), before);
    assert!(fences(&engine) > before);
    site.agents.extend([same_agent, other_agent]);
    site.stop().unwrap();
}

/// Starts a site, applies `change` to its log, and then starts the only engine.
fn start_engine_after(change: impl Fn(&FakeLog)) -> (Site, FakeEngine) {
    let mut site = Site::start(plan(0)).unwrap();
    change(&site.log);
    let engine = FakeEngine::start(plan(1).engine).unwrap();
    let agent = site.start_engine_agent(0, engine.address()).unwrap();
    site.agents.push(agent);
    (site, engine)
}

#[test]
fn no_order_while_log_is_unavailable() {
    let (site, engine) = start_engine_after(|log| log.set_outage(Outage::Refusing));
    std::thread::sleep(SEVERAL_POLLS);
    assert_eq!(fences(&engine), Vec::<u64>::new());
    site.log.set_outage(Outage::None);
    wait_for("an order", || !engine.orders().is_empty());
    site.stop().unwrap();
}

#[test]
fn lost_append_responses_order_once() {
    let (site, engine) = start_engine_after(|log| log.drop_responses(2));
    wait_for("the claim's end", || site.log.appends() > 1);
    assert_eq!(fences(&engine).len(), 1);
    site.stop().unwrap();
}
