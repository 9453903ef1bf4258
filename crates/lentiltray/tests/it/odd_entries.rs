//! Odd entries that other writers leave among those of the endpoints. They name no
//! endpoint, and the others hold.

use std::time::Duration;

use lentil_platform::HostState;
use lentil_site::{Site as ProductSite, SiteOptions};
use serde_json::{Value, json};

use crate::caller::{Caller, block_on, completion};
use crate::fake_store::Store;
use crate::gateway_harness::{Replica, Site, respond_ok};
use crate::shared_log::RelaySite;

/// Levels of nesting that no recursive parser bears.
const LEVELS: usize = 100_000;

fn nested(levels: usize) -> String {
    format!("{}{}", "[".repeat(levels), "]".repeat(levels))
}

/// The entry of an endpoint at a closed port, without its last brace.
fn entry(address: &str) -> String {
    let entry = json!({"service": "desk", "address": address, "zone": "z", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": 1, "born": 7});
    entry.to_string().trim_end_matches('}').to_owned()
}

/// Odd entries, each a text of its own.
fn odd_entries() -> Vec<Vec<u8>> {
    let sound = entry("127.0.0.1:1") + "}";
    let replaced = |field: &str, value: &str| {
        let known: Value = serde_json::from_str(&sound).unwrap();
        let from = format!("\"{field}\":{}", known[field]);
        assert!(sound.contains(&from), "{field}");
        sound.replace(&from, &format!("\"{field}\":{value}"))
    };
    let mut texts = vec![nested(LEVELS), "[".repeat(LEVELS), "{".into(), "{}".into()];
    for field in [
        "service",
        "address",
        "zone",
        "slots",
        "coldRemainingMs",
        "born",
    ] {
        texts.push(replaced(field, &nested(LEVELS)));
    }
    for (field, number) in [
        ("coldRemainingMs", "1e999"),
        ("slots", "99999999999999999999"),
        ("slots", "-1"),
        ("sequence", "1e400"),
        ("born", "18446744073709551616"),
        ("born", "-7"),
    ] {
        texts.push(replaced(field, number));
    }
    for address in [
        "127.0.0.1:99999",
        "127.0.0.1:0",
        "127.0.0.1:-1",
        "127.0.0.1",
        "[::1:80",
    ] {
        texts.push(entry(address) + "}");
    }
    let mut entries: Vec<_> = texts.into_iter().map(String::into_bytes).collect();
    entries.push(b"\xff\xfe\x00".to_vec());
    entries
}

fn put_odd_entries(store: &Store) {
    for (number, text) in odd_entries().into_iter().enumerate() {
        store.put_bytes("keyed.servers", &format!("odd-{number}"), text);
    }
}

/// Waits until the gateway knows an endpoint, and checks that it took none of the odd
/// entries for one.
fn wait_until_joined(site: &Site, name: &str) {
    loop {
        let line = site.gateway.wait_for_line("endpoint joined");
        let endpoint = line["kvs"]["endpoint"].as_str().unwrap();
        assert!(!endpoint.starts_with("odd"), "{endpoint} is no endpoint");
        if endpoint == name {
            return;
        }
    }
}

fn assert_served(site: &Site) {
    for number in 0..20 {
        let id = format!("r{number}");
        assert_eq!(site.call("/confirm/a", &id, "").unwrap().status, 200);
    }
    assert_eq!(site.readiness(), 200);
}

/// The gateway follows the list past odd entries, record by record and as a whole.
#[test]
fn gateway_follows_list() {
    let desks = ["i-1", "i-2", "i-3"].map(|name| Replica::start(name, respond_ok));
    let site = Site::start("odd_entries", &[(&desks[0], "desk")]);
    put_odd_entries(&site.store);
    site.register_endpoint(&desks[1], "desk", "ready");
    wait_until_joined(&site, "i-2");
    assert_served(&site);
    site.store.compact("keyed.servers");
    site.register_endpoint(&desks[2], "desk", "ready");
    wait_until_joined(&site, "i-3");
    assert_served(&site);
}

/// Entries of another writer took live endpoints out of service for good: they named the
/// address of an endpoint and a service of no configuration.
#[test]
fn entries_at_addresses_of_endpoints() {
    let desk = Replica::start("i-1", respond_ok);
    let marker = Replica::start("i-2", respond_ok);
    let site = Site::start("odd_addresses", &[(&desk, "desk")]);
    for (number, born) in [(1, 7), (2, 8), (3, 6)] {
        let odd = json!({"service": "metrics", "address": desk.address().to_string(),
            "zone": "z", "version": "v1", "slots": 8, "state": "ready", "coldRemainingMs": 0,
            "sequence": born, "born": born});
        let key = format!("odd-{number}");
        site.store.put("keyed.servers", &key, Some(&odd));
        site.store.put("keyed.servers", &desk.name, Some(&odd));
    }
    site.register_endpoint(&marker, "desk", "ready");
    wait_until_joined(&site, "i-2");
    site.send_until_reached("/confirm/a", &desk);
    assert_served(&site);
}

/// An endpoint may register before the configuration that names its service.
#[test]
fn service_named_by_later_configuration() {
    let desk = Replica::start("i-1", respond_ok);
    let archive = Replica::start("i-2", respond_ok);
    let marker = Replica::start("i-3", respond_ok);
    let site = Site::start("named_later", &[(&desk, "desk")]);
    site.register_endpoint(&archive, "archive", "ready");
    site.register_endpoint(&marker, "desk", "ready");
    // Entries are read in their order, and only the last one has joined by now.
    let joined = site.gateway.wait_for_line("endpoint joined");
    assert_eq!(joined["kvs"]["endpoint"], "i-3");
    let mut config = crate::gateway_harness::config(2);
    let mut service = config["services"][0].clone();
    service["name"] = json!("archive");
    config["services"].as_array_mut().unwrap().push(service);
    let mut route = config["routes"][1].clone();
    route["name"] = json!("archive");
    route["pathPrefix"] = json!("/archive/");
    route["service"] = json!("archive");
    config["routes"].as_array_mut().unwrap().push(route);
    site.store.put("keyed.op", "config", Some(&config));
    wait_until_joined(&site, "i-2");
    let response = site.call("/archive/a", "a1", "").unwrap();
    assert_eq!(response.status, 200);
    assert_eq!(archive.requests().len(), 1);
}

/// A gateway that starts among odd entries reads the newest of each key.
#[test]
fn gateway_starts_among_odd_entries() {
    let desk = Replica::start("i-1", respond_ok);
    let site = Site::start_unconfigured("odd_start", "");
    put_odd_entries(&site.store);
    site.register_endpoint(&desk, "desk", "ready");
    let config = crate::gateway_harness::config(1);
    site.store.put("keyed.op", "config", Some(&config));
    wait_until_joined(&site, "i-1");
    site.wait_until_ready();
    assert_served(&site);
}

/// The same for a gateway that reads the list through an observer.
#[test]
fn relay_follows_list() {
    let relay = RelaySite::start("odd_relay");
    let desk = Replica::start("i-3", respond_ok);
    for store in [&relay.relay_store, &relay.site.store] {
        put_odd_entries(store);
        relay
            .site
            .register_endpoint_in(store, &desk, "desk", "ready");
    }
    wait_until_joined(&relay.site, "i-3");
    assert_served(&relay.site);
}

/// Entries and agents stopped following the list of hosts at one odd record, and sent
/// new work to an engine that was leaving.
#[test]
fn entry_follows_host_list() {
    let site = ProductSite::start(SiteOptions::default()).unwrap();
    let address = site.entries[0].address();
    let record = |process: &str, peers: &str| {
        json!({"process": process, "role": "agent", "host": "h", "zone": "zone-a",
            "region": "region-one", "peers": peers, "operations": "127.0.0.1:1",
            "state": "live", "kind": "engine", "models": ["m"]})
        .to_string()
    };
    for text in [
        record("port", "127.0.0.1:99999"),
        record("", "127.0.0.1:1"),
        record("deep", "127.0.0.1:1").replace("[\"m\"]", &nested(LEVELS)),
        record("number", "127.0.0.1:1").replace("\"live\"", "1e999"),
        nested(LEVELS),
    ] {
        site.hosts.add_odd_record(text);
    }
    let begun = |engine: usize| site.engines[engine].stats().begun;
    let generate = |calls: usize| {
        block_on(async move {
            let caller = Caller::new().await;
            for _ in 0..calls {
                let body = completion("a verdict", 2, false);
                assert!(caller.complete(address, &body).await.status().is_success());
            }
        });
    };
    generate(3);
    for engine in ["engine-1", "engine-2"] {
        site.hosts.override_state(engine, HostState::Leaving);
    }
    // The list is polled every 0.2 s.
    std::thread::sleep(Duration::from_millis(1_500));
    let before = (begun(0), begun(1) + begun(2));
    generate(12);
    assert!(begun(0) >= before.0 + 12);
    assert_eq!(begun(1) + begun(2), before.1, "leaving engines got work");
    site.stop().unwrap();
}
