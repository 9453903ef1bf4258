//! How old a copy of the store a gateway acts on while the observer that it reads is cut off.

use std::time::{Duration, Instant};

use crate::fake_http::{ClientConnection, Request};
use crate::fake_store::StoreMode;
use crate::gateway_harness::{Replica, request_head, respond_ok, wait_until};
use crate::shared_log::RelaySite;

/// Time after which a revoked key must stop working on the sites where the fault was seen.
const REVOKE_MS: u64 = 5_000;
/// Time after the acknowledgement of a record within which gateways must act on it: the drain
/// timeout and the bound for configurations.
const BOUND: Duration = Duration::from_millis(2_000);
/// How long requests are sent after the bound.
const LATE_REQUESTS: Duration = Duration::from_millis(1_300);
/// Delays between a change and the cut, so that cuts fall into different phases of the reads.
const CUT_DELAYS_MS: [u64; 4] = [0, 250, 500, 750];
/// Time without a call after which a gateway no longer reads its store by itself.
const CALM: Duration = Duration::from_millis(1_600);
/// Number of connections that are used at the same time.
const BURST: usize = 8;

/// Waits until the gateway reads the observer's copy only.
fn wait_for_relay(relay: &RelaySite) {
    relay.relay_store.set_mode(StoreMode::Serving);
    wait_until("the gateway reads the observer's copy", || {
        let before = relay.site.store.platform_calls();
        std::thread::sleep(CALM);
        relay.site.store.platform_calls() == before
    });
}

fn register(relay: &RelaySite, replica: &Replica, state: &str) {
    for store in [&relay.site.store, &relay.relay_store] {
        let site = &relay.site;
        site.register_endpoint_in(store, replica, "desk", state);
    }
}

/// Sends requests from the bound on, and returns their statuses. The ids begin with `prefix`.
fn send_late(relay: &RelaySite, acked_at: Instant, prefix: &str) -> Vec<u16> {
    std::thread::sleep((acked_at + BOUND).saturating_duration_since(Instant::now()));
    let mut statuses = Vec::new();
    while acked_at.elapsed() < BOUND + LATE_REQUESTS {
        let mut connections: Vec<_> = (0..BURST).map(|_| relay.site.connect()).collect();
        for (number, connection) in connections.iter_mut().enumerate() {
            let id = format!("{prefix}-{}-{number}", statuses.len());
            connection.send(&request_head("/lookup/a", &id, ""), "hello");
        }
        let answers = connections.iter_mut().filter_map(ClientConnection::receive);
        statuses.extend(answers.map(|answer| answer.status));
        std::thread::sleep(Duration::from_millis(20));
    }
    statuses
}

/// An endpoint leaves while the observer is cut from the store and answers with its old copy.
/// Guards against gateways that send requests to the endpoint after the drain timeout.
#[test]
fn drain_behind_cut() {
    let relay = RelaySite::start_revoking("drain_behind_cut", REVOKE_MS);
    let mut late = Vec::new();
    for (round, delay_ms) in CUT_DELAYS_MS.into_iter().enumerate() {
        let leaving = Replica::start(&format!("i-{}", 10 + round), respond_ok);
        register(&relay, &leaving, "ready");
        relay.site.gateway.wait_for_line("endpoint joined");
        wait_for_relay(&relay);
        std::thread::sleep(Duration::from_millis(delay_ms));
        relay.relay_store.set_mode(StoreMode::Silent);
        register(&relay, &leaving, "draining");
        let prefix = format!("late{round}");
        send_late(&relay, Instant::now(), &prefix);
        let is_late = |request: &&Request| {
            let id = request.header("attempt-id").unwrap_or("");
            id.starts_with(&prefix)
        };
        late.push(leaving.requests().iter().filter(is_late).count());
    }
    assert!(
        late.iter().all(|count| *count == 0),
        "late requests: {late:?}"
    );
}

/// A key is taken away while the observer is cut from the store and waits for an answer.
/// Guards against gateways that handle requests by the older version after the bound.
#[test]
fn config_behind_cut() {
    let relay = RelaySite::start_revoking("config_behind_cut", REVOKE_MS);
    let publish = |version, key| {
        for store in [&relay.site.store, &relay.relay_store] {
            relay.publish(store, version, key);
        }
    };
    let mut late = Vec::new();
    for (round, delay_ms) in (0..).zip(CUT_DELAYS_MS) {
        publish(2 + 2 * round, "k1");
        wait_for_relay(&relay);
        wait_until("the key is valid", || relay.status("valid") == 200);
        // The read that has just begun gets no answer.
        let reads = relay.relay_store.order_wait_ms().len();
        wait_until("the observer reads", || {
            relay.relay_store.order_wait_ms().len() > reads
        });
        std::thread::sleep(Duration::from_millis(delay_ms));
        relay.relay_store.set_mode(StoreMode::Silent);
        publish(3 + 2 * round, "k2");
        let statuses = send_late(&relay, Instant::now(), "late");
        late.push(statuses.iter().filter(|status| **status != 401).count());
    }
    assert!(
        late.iter().all(|count| *count == 0),
        "served by the older version: {late:?}"
    );
}

/// Guards against gateways that read the store themselves while the observer's copy is current,
/// so that the calls to the store would grow with the number of hosts.
#[test]
fn calm_calls() {
    const SECONDS: u64 = 5;
    // A gateway that reads both topics by itself makes two calls a second or more.
    const GATEWAY_CALLS_MAX: usize = 3;
    let relay = RelaySite::start_revoking("calm_calls", REVOKE_MS);
    wait_for_relay(&relay);
    let count = || {
        (
            relay.site.store.platform_calls(),
            relay.relay_store.platform_calls(),
        )
    };
    let before = count();
    std::thread::sleep(Duration::from_secs(SECONDS));
    let after = count();
    let (gateway, observer) = (after.0 - before.0, after.1 - before.1);
    println!("calls in {SECONDS} s: gateway {gateway}, observer {observer}");
    assert!(
        gateway <= GATEWAY_CALLS_MAX,
        "{gateway} calls of the gateway"
    );
}
