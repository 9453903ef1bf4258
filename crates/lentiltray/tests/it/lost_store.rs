//! The platform's store away, refusing, or without its history.

use std::time::{Duration, Instant};

use serde_json::json;

use crate::platform_site::{Replica, Site, config, good, until};
use crate::standin_store::Mood;

/// While keys can't be confirmed, none works, and callers are told truthfully
/// and sent elsewhere; afterwards all goes on.
#[test]
fn keys_lapse() {
    let desk = Replica::start("i-1", good);
    let site = Site::start_unknowing("keys_lapse", "revoke_ms: 3000");
    site.store.put("keyed.op", "config", Some(&config(1)));
    site.list(&desk, "desk", "ready");
    site.until_ready();
    site.gateway.wait_for_line("endpoint joined");
    assert_eq!(site.call("/lookup/a", "r1", "").unwrap().status, 200);
    let away = Instant::now();
    site.store.set_mood(Mood::Silent);
    until("trust has lapsed", || {
        site.call("/lookup/a", "r2", "").unwrap().status == 503
    });
    assert!(away.elapsed() < Duration::from_millis(3_000 + 500));
    assert_eq!(site.readiness(), 503);
    let got = site.call("/confirm/a", "r3", "").unwrap();
    assert!(got.header("retry-after").is_some());
    let sent = desk.requests().len();
    site.store.set_mood(Mood::Serving);
    until("the gateway serves again", || {
        site.call("/lookup/a", "r4", "").unwrap().status == 200
    });
    assert!(desk.requests().len() > sent);
}

/// Refusals of the store change nothing of what is known.
#[test]
fn store_refuses() {
    let desk = Replica::start("i-1", good);
    let site = Site::start("store_refuses", &[(&desk, "desk")]);
    site.store.set_mood(Mood::Refusing(429));
    std::thread::sleep(Duration::from_millis(800));
    assert_eq!(site.call("/lookup/a", "r1", "").unwrap().status, 200);
    let calls = site.store.calls();
    std::thread::sleep(Duration::from_millis(1_000));
    assert!(site.store.calls() - calls < 20, "the store is pressed");
}

/// Records were deleted: the newest of each key is read, and an entry that is
/// not among them is gone.
#[test]
fn history_lost() {
    let (one, two) = (Replica::start("i-1", good), Replica::start("i-2", good));
    let site = Site::start("history_lost", &[(&one, "desk"), (&two, "desk")]);
    site.store.set_mood(Mood::Refusing(503));
    site.store.put("keyed.servers", "i-1", None);
    let mut next = config(9);
    next["tenants"] = json!([{"name": "council", "apiKeys": ["k1", "k3"]}]);
    site.store.put("keyed.op", "config", Some(&next));
    site.store.compact("keyed.servers");
    site.store.compact("keyed.op");
    site.store.set_mood(Mood::Serving);
    site.gateway.wait_for_line("a version is in force");
    site.gateway.wait_for_line("endpoint leaves");
    let before = one.requests().len();
    for number in 0..6 {
        let id = format!("r{number}");
        assert_eq!(site.call("/confirm/a", &id, "").unwrap().status, 200);
    }
    assert_eq!(one.requests().len(), before);
}

/// After an outage the first answer about orders is not held back, or callers
/// would be refused longer than the store was away.
#[test]
fn first_answer_at_once() {
    let desk = Replica::start("i-1", good);
    let site = Site::start("first_answer", &[(&desk, "desk")]);
    until("answers are held back", || {
        site.store
            .order_holds()
            .last()
            .is_some_and(|hold| *hold > 0)
    });
    site.store.set_mood(Mood::Refusing(503));
    while site.gateway.wait_for_line("the store refused")["kvs"]["part"] != "orders" {}
    let before = site.store.order_holds().len();
    site.store.set_mood(Mood::Serving);
    until("the store is asked again", || {
        site.store.order_holds().len() > before
    });
    assert_eq!(site.store.order_holds()[before], 0);
}
