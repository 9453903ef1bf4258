//! Names that operators choose freely, and configurations that a gateway can't use.

use serde_json::{Value, json};

use crate::gateway_harness::{Replica, Site, config, respond_ok, wait_until};

/// A configuration in which the key `k1` of `council` is replaced by `k3`, and the
/// organisation `name` is added with the key `k2`.
fn config_with(version: u64, name: &str) -> Value {
    let mut config = config(version);
    config["tenants"] = json!([
        {"name": "council", "apiKeys": ["k3"], "priority": 1},
        {"name": name, "apiKeys": ["k2"], "priority": 1},
    ]);
    config
}

/// Sends a request with an API key and returns its status.
fn status(site: &Site, key: &str) -> u16 {
    let mut connection = site.connect();
    let head = format!(
        "POST /confirm/a HTTP/1.1\nHost: h.example\nAttempt-Id: {key}\nDeadline-Ms: 2500\n\
         Authorization: Bearer {key}"
    );
    connection.send(&head, "hello");
    connection.receive().unwrap().status
}

/// A configuration with such a name was dropped as a whole, and keys that it took away went
/// on to work.
#[test]
fn organisation_with_free_name() {
    let long = "venue ".repeat(50) + "group";
    let names = [
        "touring venue group",
        "Tōkyō Söhne & Co. / 2",
        "a~b@c",
        &long,
    ];
    for (number, name) in names.into_iter().enumerate() {
        let desk = Replica::start("i-1", respond_ok);
        let site = Site::start(&format!("free_name_{number}"), &[(&desk, "desk")]);
        assert_eq!(status(&site, "k1"), 200);
        site.store
            .put("keyed.op", "config", Some(&config_with(2, name)));
        wait_until("the version is in force", || status(&site, "k1") == 401);
        assert_eq!(status(&site, "k2"), 200, "{name}");
        let requests = desk.requests();
        let last = requests.last().unwrap();
        assert_eq!(last.header("tenant"), Some(name));
    }
}

/// An organisation whose name no header can hold is refused alone: its callers are told
/// to come back, and all others are served by the version.
#[test]
fn organisation_with_unusable_name() {
    for (number, name) in ["", "ends with a space ", "two\nlines"]
        .into_iter()
        .enumerate()
    {
        let desk = Replica::start("i-1", respond_ok);
        let site = Site::start(&format!("unusable_name_{number}"), &[(&desk, "desk")]);
        site.store
            .put("keyed.op", "config", Some(&config_with(2, name)));
        wait_until("the version is in force", || status(&site, "k1") == 401);
        assert_eq!(status(&site, "k2"), 503, "{name:?}");
        assert_eq!(status(&site, "k3"), 200, "{name:?}");
        assert_eq!(site.readiness(), 200);
    }
}

/// A service and an endpoint with free names serve requests.
#[test]
fn service_with_free_name() {
    let desk = Replica::start("desk 1/a", respond_ok);
    let site = Site::start("free_service", &[(&desk, "desk")]);
    let mut next = config(2);
    for route in next["routes"].as_array_mut().unwrap() {
        if route["service"] == "desk" {
            route["service"] = json!("inspection desk");
        }
    }
    next["services"][0]["name"] = json!("inspection desk");
    site.store.put("keyed.op", "config", Some(&next));
    site.register_endpoint(&desk, "inspection desk", "ready");
    wait_until("the service is known", || status(&site, "k1") == 200);
    let requests = desk.requests();
    let expected = requests.last().unwrap().header("expected-replica");
    assert_eq!(expected, Some("desk 1/a"));
}

/// While the newest configuration can't be used, the one before it isn't trusted: callers
/// with keys are told to come back, and the gateway isn't ready, until a newer one can.
#[test]
fn unusable_configuration() {
    let mut broken = config(2);
    broken["routes"][0]["pathPrefix"] = json!("lookup");
    let deep = format!("{}1{}", "[".repeat(5_000), "]".repeat(5_000));
    let texts = [
        broken.to_string(),
        format!("{{\"version\":2,\"routes\":{deep}}}"),
        "{".into(),
    ];
    for (number, text) in texts.into_iter().enumerate() {
        let desk = Replica::start("i-1", respond_ok);
        let site = Site::start(&format!("unusable_config_{number}"), &[(&desk, "desk")]);
        assert_eq!(status(&site, "k1"), 200);
        site.store
            .put_bytes("keyed.op", "config", text.into_bytes());
        wait_until("keys are refused", || status(&site, "k1") == 503);
        assert_eq!(site.readiness(), 503);
        // The store goes on to confirm that it holds nothing newer.
        let reads = site.store.order_wait_ms().len();
        wait_until("the store is read again", || {
            site.store.order_wait_ms().len() > reads + 1
        });
        assert_eq!(status(&site, "k1"), 503);
        let usable = config_with(3, "ward");
        site.store.put("keyed.op", "config", Some(&usable));
        wait_until("the next version is in force", || {
            status(&site, "k3") == 200
        });
        assert_eq!(status(&site, "k1"), 401);
        assert_eq!(site.readiness(), 200);
    }
}
