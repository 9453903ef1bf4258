//! More configurations were written while the store could not be read than one response of
//! the store holds.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fake_store::{Store, StoreMode};
use crate::gateway_harness::{Replica, Site, config, respond_ok, wait_until};
use crate::shared_log::RelaySite;

/// Time after which a revoked key must stop working.
const REVOKE_MS: u64 = 3_000;
/// How long callers go on with a revoked key after a part of the backlog was read. It is
/// longer than a gateway would trust that part.
const WATCHED: Duration = Duration::from_millis(REVOKE_MS + 500);
/// Versions of a backlog, each of a quarter of the largest response.
const VERSIONS: u64 = 9;
const VERSION_BYTES: usize = 256 * 1024;

/// A large configuration in which only `key` is valid.
fn large_config(version: u64, key: &str) -> Value {
    let mut config = config(version);
    config["tenants"] = json!([{"name": "council", "apiKeys": [key], "priority": 1}]);
    config["padding"] = json!("x".repeat(VERSION_BYTES));
    config
}

/// Writes versions from 2 on; the last one replaces the key `k1` by `k2`.
fn put_backlog(store: &Store) {
    for version in 2..VERSIONS {
        store.put("keyed.op", "config", Some(&large_config(version, "k1")));
    }
    let last = large_config(VERSIONS, "k2");
    store.put("keyed.op", "config", Some(&last));
}

/// Checks that `k1` is refused as long as only a part of the backlog can be read.
fn assert_key_is_refused(site: &Site, desk: &Replica) {
    let version_line = || site.gateway.wait_for_line("a version is in force");
    while version_line()["kvs"]["version"] == "1" {}
    let served = desk.requests().len();
    let end = Instant::now() + WATCHED;
    while Instant::now() < end {
        assert_eq!(site.call("/confirm/a", "r2", "").unwrap().status, 503);
        assert_eq!(site.readiness(), 503);
    }
    assert_eq!(desk.requests().len(), served);
}

/// The store answers one read with the older part of the backlog and goes down. Requests
/// with a key that the newer part takes away were served as if the part were all of it.
#[test]
fn part_of_backlog_is_not_trusted() {
    let desk = Replica::start("i-1", respond_ok);
    let bounds = format!("revoke_ms: {REVOKE_MS}");
    let site = Site::start_bounded("backlog", &[(&desk, "desk")], 1, &bounds);
    assert_eq!(site.call("/confirm/a", "r1", "").unwrap().status, 200);
    site.store.set_mode(StoreMode::Refusing(503));
    wait_until("the key has expired", || site.readiness() == 503);
    put_backlog(&site.store);
    site.store.set_mode(StoreMode::OrderReads(1));
    assert_key_is_refused(&site, &desk);
    site.store.set_mode(StoreMode::Serving);
    wait_until("the gateway has read the backlog", || {
        site.readiness() == 200
    });
    assert_eq!(site.call("/confirm/a", "r3", "").unwrap().status, 401);
}

/// The same at an observer that reads the store for gateways: its copy of a part of the
/// backlog is no confirmation either.
#[test]
fn part_of_backlog_at_relay() {
    let relay = RelaySite::start("backlog_relay");
    for store in [&relay.site.store, &relay.relay_store] {
        store.set_mode(StoreMode::Refusing(503));
        put_backlog(store);
    }
    wait_until("the key has expired", || relay.site.readiness() == 503);
    relay.relay_store.set_mode(StoreMode::OrderReads(1));
    assert_key_is_refused(&relay.site, &relay.desk);
    relay.relay_store.set_mode(StoreMode::Serving);
    wait_until("the gateway has read the backlog", || {
        relay.site.readiness() == 200
    });
    assert_eq!(relay.site.call("/confirm/a", "r3", "").unwrap().status, 401);
}
