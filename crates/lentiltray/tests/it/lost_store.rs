//! The platform's store is unavailable, rejects requests, or has lost its history.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::fake_store::StoreMode;
use crate::gateway_harness::{Replica, Site, config, respond_ok, wait_until};

/// While the gateway can't confirm that keys are still valid, it accepts none, answers
/// 503 with Retry-After and reports that it is not ready. It recovers when the store does.
#[test]
fn keys_expire_during_outage() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start_unconfigured("keys_expire", "revoke_ms: 3000");
    site.store.put("keyed.op", "config", Some(&config(1)));
    site.register_endpoint(&replica, "desk", "ready");
    site.wait_until_ready();
    site.gateway.wait_for_line("endpoint joined");
    assert_eq!(site.call("/lookup/a", "r1", "").unwrap().status, 200);
    let outage_start = Instant::now();
    site.store.set_mode(StoreMode::Silent);
    wait_until("the keys have expired", || {
        site.call("/lookup/a", "r2", "").unwrap().status == 503
    });
    assert!(outage_start.elapsed() < Duration::from_millis(3_000 + 500));
    assert_eq!(site.readiness(), 503);
    let response = site.call("/confirm/a", "r3", "").unwrap();
    assert!(response.header("retry-after").is_some());
    let sent = replica.requests().len();
    site.store.set_mode(StoreMode::Serving);
    wait_until("the gateway serves again", || {
        site.call("/lookup/a", "r4", "").unwrap().status == 200
    });
    assert!(replica.requests().len() > sent);
}

/// A store that holds no configuration yet is no reason to be ready: all callers would get
/// 503.
#[test]
fn readiness_needs_configuration() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start_unconfigured("unconfigured", "");
    site.register_endpoint(&replica, "desk", "ready");
    site.gateway.wait_for_line("endpoint joined");
    wait_until("the store has confirmed that there is none", || {
        site.store.order_wait_ms().len() > 1
    });
    assert_eq!(site.readiness(), 503);
    site.store.put("keyed.op", "config", Some(&config(1)));
    site.wait_until_ready();
    assert_eq!(site.call("/lookup/a", "r1", "").unwrap().status, 200);
}

/// When the store rejects reads, the gateway keeps what it knows and limits its retries.
#[test]
fn store_rejects_reads() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start("store_rejects", &[(&replica, "desk")]);
    site.store.set_mode(StoreMode::Refusing(429));
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(site.call("/lookup/a", "r1", "").unwrap().status, 200);
    let calls = site.store.calls();
    std::thread::sleep(Duration::from_millis(1_000));
    assert!(
        site.store.calls() - calls < 20,
        "the store is polled too often"
    );
}

/// If the history was deleted, the gateway reads the newest record of each key. An
/// entry without such a record is removed.
#[test]
fn history_deleted() {
    let (one, two) = (
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    );
    let site = Site::start("history_deleted", &[(&one, "desk"), (&two, "desk")]);
    site.store.set_mode(StoreMode::Refusing(503));
    site.store.put("keyed.servers", "i-1", None);
    let mut next = config(9);
    next["tenants"] = json!([{"name": "council", "apiKeys": ["k1", "k3"]}]);
    site.store.put("keyed.op", "config", Some(&next));
    site.store.compact("keyed.servers");
    site.store.compact("keyed.op");
    site.store.set_mode(StoreMode::Serving);
    site.gateway.wait_for_line("a version is in force");
    site.gateway.wait_for_line("endpoint leaves");
    let before = one.requests().len();
    for number in 0..6 {
        let id = format!("r{number}");
        assert_eq!(site.call("/confirm/a", &id, "").unwrap().status, 200);
    }
    assert_eq!(one.requests().len(), before);
}

/// Time for which a removed endpoint goes on serving.
const DRAIN: Duration = Duration::from_millis(2_000);
/// An outage in which a silent endpoint's record would expire.
const LONG_OUTAGE: Duration = Duration::from_millis(4_000);

/// Renews the entries of endpoints for a while.
fn renew(site: &Site, endpoints: &[&Replica], period: Duration) {
    let end = Instant::now() + period;
    while Instant::now() < end {
        for endpoint in endpoints {
            site.register_endpoint(endpoint, "desk", "ready");
        }
        std::thread::sleep(Duration::from_millis(300));
    }
}

/// Sends requests for a while, all of which must be served.
fn serve_all(site: &Site, period: Duration) {
    let end = Instant::now() + period;
    while Instant::now() < end {
        assert_eq!(site.call("/confirm/a", "r", "").unwrap().status, 200);
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// The store turned this gateway away and served the endpoints meanwhile. One of them is
/// removed without notice a second later; it got requests for longer than it goes on
/// serving, as if its entry had expired with the store.
#[test]
fn removal_after_partial_outage() {
    let (one, two) = (
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    );
    let site = Site::start("removal_after", &[(&one, "desk"), (&two, "desk")]);
    site.store.set_mode(StoreMode::Refusing(503));
    renew(&site, &[&one, &two], LONG_OUTAGE);
    site.store.set_mode(StoreMode::Serving);
    renew(&site, &[&one, &two], Duration::from_millis(1_000));
    site.store.put("keyed.servers", "i-1", None);
    renew(&site, &[&two], DRAIN);
    let sent = one.requests().len();
    serve_all(&site, Duration::from_millis(1_000));
    assert_eq!(one.requests().len(), sent);
}

/// All entries expired with the store. The endpoints get requests until they are back.
#[test]
fn expired_entries_return() {
    let (one, two) = (
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    );
    let endpoints = [(&one, "desk"), (&two, "desk")];
    // Keys stay valid in the outage.
    let site = Site::start_bounded("expired_return", &endpoints, 1, "revoke_ms: 60000");
    site.store.set_mode(StoreMode::Refusing(503));
    std::thread::sleep(LONG_OUTAGE);
    for endpoint in ["i-1", "i-2"] {
        site.store.put("keyed.servers", endpoint, None);
    }
    site.store.set_mode(StoreMode::Serving);
    serve_all(&site, Duration::from_millis(1_200));
    site.gateway
        .wait_for_line("an endpoint's record is missing");
    renew(&site, &[&one, &two], Duration::from_millis(300));
    serve_all(&site, Duration::from_millis(2_000));
}

/// The first read of orders after an outage asks for an immediate answer. With a long
/// poll, callers would be refused for longer than the outage lasted.
#[test]
fn first_read_after_outage_does_not_wait() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start("first_read", &[(&replica, "desk")]);
    wait_until("orders are read with a long poll", || {
        site.store
            .order_wait_ms()
            .last()
            .is_some_and(|wait_ms| *wait_ms > 0)
    });
    site.store.set_mode(StoreMode::Refusing(503));
    while site.gateway.wait_for_line("the store refused")["kvs"]["part"] != "orders" {}
    let before = site.store.order_wait_ms().len();
    site.store.set_mode(StoreMode::Serving);
    wait_until("the store is read again", || {
        site.store.order_wait_ms().len() > before
    });
    assert_eq!(site.store.order_wait_ms()[before], 0);
}

/// An endpoint says that it leaves while the store is away for the gateway, and its entry is
/// removed, or an older one is written late, before the gateway reads again.
fn check_notice_during_outage(test: &str, later: impl FnOnce(&Site, &Replica)) {
    let (one, two, three) = (
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
        Replica::start("i-3", respond_ok),
    );
    let endpoints = [(&one, "desk"), (&two, "desk")];
    let site = Site::start_bounded(test, &endpoints, 1, "revoke_ms: 60000");
    site.store.set_mode(StoreMode::Refusing(503));
    while site.gateway.wait_for_line("the store refused")["kvs"]["part"] != "endpoints" {}
    std::thread::sleep(LONG_OUTAGE);
    site.register_endpoint(&one, "desk", "draining");
    later(&site, &one);
    site.register_endpoint(&three, "desk", "ready");
    site.store.set_mode(StoreMode::Serving);
    while site.gateway.wait_for_line("endpoint joined")["kvs"]["endpoint"] != "i-3" {}
    let sent = one.requests().len();
    for number in 0..40 {
        let id = format!("r{number}");
        assert_eq!(site.call("/confirm/a", &id, "").unwrap().status, 200);
    }
    assert_eq!(one.requests().len(), sent);
}

#[test]
fn notice_before_removal() {
    check_notice_during_outage("notice_removal", |site, _| {
        site.store.put("keyed.servers", "i-1", None);
    });
}

#[test]
fn notice_before_late_entry() {
    check_notice_during_outage("notice_late", |site, endpoint| {
        site.register_endpoint(endpoint, "desk", "ready");
    });
}
