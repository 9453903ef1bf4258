//! Requests that a gateway forwards, and requests that it rejects itself.

use serde_json::json;

use crate::gateway_harness::{Replica, Site, config, request_head, respond_ok, wait_until};

#[test]
fn request_is_forwarded() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start("forwarded", &[(&replica, "desk")]);
    let extra_headers = "\nTenant: other\nKv-From: 1.2.3.4:5/x\nRequest-Priority: 0\nX-Mine: kept\n\
                  Expected-Replica: i-9\nConnection: x-hop\nX-Hop: dropped";
    let response = site.call("/lookup/a?b=%20c", "r1", extra_headers).unwrap();
    assert_eq!((response.status, response.body.as_str()), (200, "done"));
    assert_eq!(response.header("response-signature"), Some("s.r1"));
    let forwarded = &replica.requests()[0];
    assert_eq!(forwarded.target, "/lookup/a?b=%20c");
    assert_eq!(forwarded.body, b"hello");
    let header = |name: &str| forwarded.header(name).map(str::to_owned);
    assert_eq!(header("attempt-id"), Some("r1".into()));
    assert_eq!(header("tenant"), Some("council".into()));
    assert_eq!(header("expected-replica"), Some("i-1".into()));
    assert_eq!(header("x-mine"), Some("kept".into()));
    for removed in ["authorization", "kv-from", "request-priority", "x-hop"] {
        assert_eq!(header(removed), None, "{removed}");
    }
    let remaining_ms: u64 = header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=2_500).contains(&remaining_ms), "{remaining_ms}");
}

#[test]
fn rejected_before_forwarding() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start("rejected", &[(&replica, "desk")]);
    assert_eq!(site.call("/nowhere/", "r1", "").unwrap().status, 404);
    let status = |head: &str| {
        let mut connection = site.connect();
        connection.send(head, "");
        connection.receive().unwrap().status
    };
    let wrong_key = request_head("/lookup/a", "r2", "").replace("k1", "k9");
    assert_eq!(status(&wrong_key), 401);
    let no_id = request_head("/lookup/a", "r3", "").replace("Attempt-Id: r3\n", "");
    assert_eq!(status(&no_id), 400);
    let mut connection = site.connect();
    connection.send(&request_head("/lookup/a", "r4", ""), &"x".repeat(5_000));
    assert_eq!(connection.receive().unwrap().status, 413);
    // The route exists but has no endpoint: the status is 503 with Retry-After, not 404.
    let response = site.call("/report/a", "r5", "").unwrap();
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
    assert!(replica.requests().is_empty());
}

/// Without a configuration a gateway is not ready and answers 503 rather than 404 or 401.
#[test]
fn unconfigured_gateway() {
    let site = Site::start_unconfigured("unconfigured", "");
    assert_eq!(site.readiness(), 503);
    assert_eq!(site.call("/lookup/a", "r1", "").unwrap().status, 503);
}

#[test]
fn configuration_changes() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start("config_changes", &[(&replica, "desk")]);
    let mut next = config(5);
    next["tenants"] = json!([{"name": "council", "apiKeys": ["k2"]}]);
    site.store.put("keyed.op", "config", Some(&next));
    wait_until("the key is revoked", || {
        site.call("/lookup/a", "r1", "").unwrap().status == 401
    });
    // An older version that arrives late is ignored.
    site.store.put("keyed.op", "config", Some(&config(3)));
    site.gateway.wait_for_line("an older version");
    assert_eq!(site.call("/lookup/a", "r2", "").unwrap().status, 401);
}

/// A zone that is taken out gets no requests, and an entry that can't be parsed is
/// skipped.
#[test]
fn zone_orders_and_invalid_entries() {
    let replica = Replica::start("i-1", respond_ok);
    let site = Site::start("orders", &[(&replica, "desk")]);
    site.store
        .put_bytes("keyed.servers", "i-8", b"\xff\xfe".to_vec());
    site.store.put(
        "keyed.servers",
        "i-9",
        Some(&json!({"service": 4, "state": "resting"})),
    );
    site.gateway
        .wait_for_line("skipped an invalid endpoint record");
    assert_eq!(site.call("/lookup/a", "r1", "").unwrap().status, 200);
    site.store.put("keyed.op", "evacuate/z", Some(&json!({})));
    wait_until("the zone is out", || {
        site.call("/lookup/a", "r2", "").unwrap().status == 503
    });
    site.store.put("keyed.op", "evacuate/z", None);
    wait_until("the zone is back", || {
        site.call("/lookup/a", "r3", "").unwrap().status == 200
    });
}

#[test]
fn draining_endpoint_gets_no_requests() {
    let (leaving, staying) = (
        Replica::start("i-1", respond_ok),
        Replica::start("i-2", respond_ok),
    );
    let site = Site::start("draining", &[(&leaving, "desk"), (&staying, "desk")]);
    site.register_endpoint(&leaving, "desk", "draining");
    site.gateway.wait_for_line("endpoint leaves");
    let before = leaving.requests().len();
    for number in 0..10 {
        let id = format!("r{number}");
        assert_eq!(site.call("/confirm/a", &id, "").unwrap().status, 200);
    }
    assert_eq!(leaving.requests().len(), before);
}
