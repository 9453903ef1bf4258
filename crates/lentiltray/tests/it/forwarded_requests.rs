//! Requests that a gateway passes on, and those it refuses at the door.

use serde_json::json;

use crate::platform_site::{Replica, Site, config, good, head, until};

#[test]
fn passed_on_unchanged() {
    let desk = Replica::start("i-1", good);
    let site = Site::start("passed_on", &[(&desk, "desk")]);
    let forged = "\nTenant: other\nKv-From: 1.2.3.4:5/x\nRequest-Priority: 0\nX-Mine: kept\n\
                  Expected-Replica: i-9\nConnection: x-hop\nX-Hop: dropped";
    let got = site.call("/lookup/a?b=%20c", "r1", forged).unwrap();
    assert_eq!((got.status, got.body.as_str()), (200, "done"));
    assert_eq!(got.header("response-signature"), Some("s.r1"));
    let seen = &desk.requests()[0];
    assert_eq!(seen.target, "/lookup/a?b=%20c");
    assert_eq!(seen.body, b"hello");
    let header = |name: &str| seen.header(name).map(str::to_owned);
    assert_eq!(header("attempt-id"), Some("r1".into()));
    assert_eq!(header("tenant"), Some("council".into()));
    assert_eq!(header("expected-replica"), Some("i-1".into()));
    assert_eq!(header("x-mine"), Some("kept".into()));
    for gone in ["authorization", "kv-from", "request-priority", "x-hop"] {
        assert_eq!(header(gone), None, "{gone}");
    }
    let left: u64 = header("deadline-ms").unwrap().parse().unwrap();
    assert!((1..=2_500).contains(&left), "{left}");
}

#[test]
fn refused_at_the_door() {
    let desk = Replica::start("i-1", good);
    let site = Site::start("at_the_door", &[(&desk, "desk")]);
    assert_eq!(site.call("/nowhere/", "r1", "").unwrap().status, 404);
    let status = |text: &str| {
        let mut line = site.line();
        line.send(text, "");
        line.receive().unwrap().status
    };
    let wrong_key = head("/lookup/a", "r2", "").replace("k1", "k9");
    assert_eq!(status(&wrong_key), 401);
    let no_id = head("/lookup/a", "r3", "").replace("Attempt-Id: r3\n", "");
    assert_eq!(status(&no_id), 400);
    let mut line = site.line();
    line.send(&head("/lookup/a", "r4", ""), &"x".repeat(5_000));
    assert_eq!(line.receive().unwrap().status, 413);
    // Known, but nothing serves it now: not 404, and it may be asked again.
    let got = site.call("/report/a", "r5", "").unwrap();
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
    assert!(desk.requests().is_empty());
}

/// Before anything is known, a gateway neither is ready nor denies a request.
#[test]
fn unknowing_gateway() {
    let site = Site::start_unknowing("unknowing", "");
    assert_eq!(site.readiness(), 503);
    assert_eq!(site.call("/lookup/a", "r1", "").unwrap().status, 503);
}

#[test]
fn configuration_changes() {
    let desk = Replica::start("i-1", good);
    let site = Site::start("config_changes", &[(&desk, "desk")]);
    let mut next = config(5);
    next["tenants"] = json!([{"name": "council", "apiKeys": ["k2"]}]);
    site.store.put("keyed.op", "config", Some(&next));
    until("the key is taken away", || {
        site.call("/lookup/a", "r1", "").unwrap().status == 401
    });
    // An older version that comes late changes nothing.
    site.store.put("keyed.op", "config", Some(&config(3)));
    site.gateway.wait_for_line("an older version");
    assert_eq!(site.call("/lookup/a", "r2", "").unwrap().status, 401);
}

/// Zones that are out get nothing, and entries of other writers name nobody.
#[test]
fn orders_and_entries() {
    let desk = Replica::start("i-1", good);
    let site = Site::start("orders", &[(&desk, "desk")]);
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
    until("the zone is out", || {
        site.call("/lookup/a", "r2", "").unwrap().status == 503
    });
    site.store.put("keyed.op", "evacuate/z", None);
    until("the zone is back", || {
        site.call("/lookup/a", "r3", "").unwrap().status == 200
    });
}

#[test]
fn draining_gets_nothing() {
    let (leaving, staying) = (Replica::start("i-1", good), Replica::start("i-2", good));
    let site = Site::start("draining", &[(&leaving, "desk"), (&staying, "desk")]);
    site.list(&leaving, "desk", "draining");
    site.gateway.wait_for_line("endpoint leaves");
    let before = leaving.requests().len();
    for number in 0..10 {
        let id = format!("r{number}");
        assert_eq!(site.call("/confirm/a", &id, "").unwrap().status, 200);
    }
    assert_eq!(leaving.requests().len(), before);
}
