//! Gateways and observers that start while the store holds an older copy, from which it has just come
//! back.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::daemon_process::DaemonProcess;
use crate::fake_http::ClientConnection;
use crate::fake_store::{CallFault, Store, StoreMode};
use crate::gateway_harness::{
    Replica, config, readiness, request_head, respond_ok, start_gateway, wait_until,
};
use crate::restored_store::{Reader, Restored, with_added_route, with_key};
use crate::version_fleet::Fleet;

/// Time within which lost records are written again in the tests. It is shorter than the platform's
/// pages allow.
const WRITE_AGAIN_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a revoked key must stop working.
const REVOKE_MS: u64 = 5_000;
/// Time for which requests are sent afterwards.
const AFTER_TIME: Duration = Duration::from_millis(2_000);
/// How long the store is away.
const AWAY_TIME: Duration = Duration::from_millis(500);
/// Delay of a process that starts some time after the return.
const LATE_START: Duration = Duration::from_millis(1_000);
/// Time after which an endpoint whose entry was removed must get no requests.
const REMOVAL_TIME: Duration = Duration::from_millis(2_000);
/// Time for which entries of the older copy are not written again.
const UNCHANGED_TIME: Duration = Duration::from_millis(6_000);
/// The topic of the record that a restore is over.
const RESTORES: &str = "keyed.restores";
/// Number of gateways that are started beside the first one in the test of a fleet.
const FLEET: usize = 7;
/// Time within which each of them has read the record again.
const FLEET_WRITE_TIME: Duration = Duration::from_millis(7_000);
/// The line of a gateway that can't tell whether the store has just been restored.
const UNCONFIRMED: &str = "may have come back from an older copy";
/// The line of a gateway that has read whether a restore is over.
const RECORD_READ: &str = "read whether the restore";

/// Sends a request, and returns the status of its response.
fn status(gateway: &DaemonProcess, target: &str, key: &str) -> u16 {
    let head = request_head(target, "r", "").replace("Bearer k1", &format!("Bearer {key}"));
    let mut connection = ClientConnection::open(gateway.address("callers"));
    connection.send(&head, "hello");
    connection.receive().unwrap().status
}

/// Sends requests with the key that was taken away for some time, and checks that none is served.
fn refuse_revoked(gateways: &[&DaemonProcess], time: Duration) {
    let end = Instant::now() + time;
    while Instant::now() < end {
        for gateway in gateways {
            let status = status(gateway, "/lookup/a", "k1");
            assert!([401, 503].contains(&status), "{status}");
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

impl Restored {
    /// Starts a gateway, takes a key away, and lets the store come back without that.
    fn lose_revocation(test: &str, reader: Reader) -> Self {
        let mut restored = Self::start(test, reader);
        restored.put("keyed.op", "config", Some(&with_key(2, "k2")));
        let running = &restored.site().gateway;
        wait_until("the key is refused", || {
            status(running, "/lookup/a", "k1") == 401
        });
        restored.restore_after("keyed.op", 1, AWAY_TIME);
        restored
    }

    /// Writes what was lost again some time after the return of the store, and checks that gateways
    /// serve only the newer key before and afterwards.
    fn check_revoked(&self, gateways: &[&DaemonProcess]) {
        refuse_revoked(gateways, WRITE_AGAIN_TIME);
        self.check_written_again(gateways);
    }

    /// The same at once.
    fn check_written_again(&self, gateways: &[&DaemonProcess]) {
        self.put("keyed.op", "config", Some(&with_key(2, "k2")));
        refuse_revoked(gateways, AFTER_TIME);
        for gateway in gateways {
            wait_until("the newer key is served", || {
                status(gateway, "/lookup/a", "k2") == 200
            });
            assert_eq!(status(gateway, "/lookup/a", "k1"), 401);
        }
    }
}

/// A gateway that started at the return of the store served a key that had been taken away.
#[test]
fn revoked_key() {
    let restored = Restored::lose_revocation("starts_revoked", Reader::Gateway);
    let gateway = restored.start_gateway("starts_revoked_2", REVOKE_MS);
    restored.check_revoked(&[&gateway]);
    assert_eq!(readiness(&gateway), 200);
}

/// The same where no other gateway has survived.
#[test]
fn both_restarted() {
    let restored = Restored::lose_revocation("starts_both", Reader::Gateway);
    restored.site().gateway.signal("-KILL");
    let gateway = restored.start_gateway("starts_both_2", REVOKE_MS);
    restored.check_revoked(&[&gateway]);
}

/// The same some time after the return.
#[test]
fn started_later() {
    let restored = Restored::lose_revocation("starts_later", Reader::Gateway);
    std::thread::sleep(LATE_START);
    let gateway = restored.start_gateway("starts_later_2", REVOKE_MS);
    refuse_revoked(&[&gateway], WRITE_AGAIN_TIME.saturating_sub(LATE_START));
    restored.check_written_again(&[&gateway]);
}

/// The same where the store comes back from an older copy once more after the start.
#[test]
fn second_restore() {
    let mut restored = Restored::lose_revocation("starts_second", Reader::Gateway);
    let gateway = restored.start_gateway("starts_second_2", REVOKE_MS);
    refuse_revoked(&[&gateway], LATE_START);
    restored.restore_after("keyed.op", 0, AWAY_TIME);
    restored.check_revoked(&[&gateway]);
}

/// The same where the store is away again before the operator could write.
#[test]
fn away_again() {
    let restored = Restored::lose_revocation("starts_away", Reader::Gateway);
    let gateway = restored.start_gateway("starts_away_2", REVOKE_MS);
    refuse_revoked(&[&gateway], AWAY_TIME);
    restored.set_mode(StoreMode::Closing);
    refuse_revoked(&[&gateway], LATE_START);
    restored.set_mode(StoreMode::Serving);
    restored.check_revoked(&[&gateway]);
}

/// The same where the log holds the record of an earlier restore. Guards against a record that counts
/// for another era than its own.
#[test]
fn record_of_earlier_era() {
    let restored = Restored::start("starts_recorded", Reader::Gateway);
    let record = json!({"era": 1});
    assert_eq!(restored.newest(RESTORES, "restored"), Some(record));
    restored.site().store.set_era(Some("2"));
    let gateway = restored.start_gateway("starts_recorded_2", REVOKE_MS);
    gateway.wait_for_line(UNCONFIRMED);
    assert_eq!(readiness(&gateway), 503);
}

/// A gateway of a store in order waited after its start, as if the store might have been restored.
#[test]
fn store_in_order() {
    let restored = Restored::start("starts_in_order", Reader::Gateway);
    let gateway = restored.start_gateway("starts_in_order_2", REVOKE_MS);
    let read = gateway.wait_for_line(RECORD_READ);
    assert_eq!(read["kvs"]["restored"], true, "{read}");
    wait_until("the gateway is ready", || readiness(&gateway) == 200);
    assert!(!gateway.has_logged(UNCONFIRMED));
}

/// A new store, of which nobody has written that its restore is over: the first gateway writes it for
/// later ones, also after appends have failed for a while.
fn start_on_new_store(test: &str, fault: Option<CallFault>) {
    let store = Store::start_new();
    store.put("keyed.op", "config", Some(&config(1)));
    store.set_append_fault(fault);
    let first = start_gateway(&store, test, "", 1);
    first.wait_for_line(UNCONFIRMED);
    wait_until("the gateway is ready", || readiness(&first) == 200);
    store.set_append_fault(None);
    let written = || store.newest(RESTORES, "restored");
    wait_until("the record is written", || {
        written() == Some(json!({"era": 1}))
    });
    let second = start_gateway(&store, &format!("{test}_2"), "", 1);
    let read = second.wait_for_line(RECORD_READ);
    assert_eq!(read["kvs"]["restored"], true, "{read}");
}

/// Each start waited, as nobody had written that the restore of the era was over.
#[test]
fn new_store() {
    start_on_new_store("starts_new", None);
}

/// A gateway that could not write the record was never ready, or never wrote it.
#[test]
fn appends_fail() {
    start_on_new_store("starts_unwritten", Some(CallFault::Refused(503)));
}

/// A request for a route of the lost configuration was refused for good by a gateway that can't tell
/// whether its configuration is the newest one.
#[test]
fn added_route() {
    let mut restored = Restored::start("starts_route", Reader::Gateway);
    restored.put("keyed.op", "config", Some(&with_added_route(2)));
    let running = &restored.site().gateway;
    wait_until("the route is served", || {
        status(running, "/added/a", "k1") == 200
    });
    restored.restore_after("keyed.op", 1, AWAY_TIME);
    let gateway = restored.start_gateway("starts_route_2", REVOKE_MS);
    gateway.wait_for_line("a version is in force");
    assert_eq!(status(&gateway, "/added/a", "k1"), 503);
    assert_eq!(status(&gateway, "/lookup/a", "unknown"), 503);
    restored.put("keyed.op", "config", Some(&with_added_route(2)));
    wait_until("the route is served", || {
        status(&gateway, "/added/a", "k1") == 200
    });
}

/// A configuration in which requests on these routes need no key.
fn with_public(version: u64, prefix: &str) -> Value {
    let mut next = config(version);
    for route in next["routes"].as_array_mut().unwrap() {
        if route["pathPrefix"] == prefix {
            route["public"] = json!(true);
        }
    }
    next
}

/// Sends requests for some time, and returns the statuses of their responses.
fn statuses(gateway: &DaemonProcess, time: Duration) -> BTreeSet<u16> {
    let end = Instant::now() + time;
    let mut statuses = BTreeSet::new();
    while Instant::now() < end {
        statuses.insert(status(gateway, "/lookup/a", ""));
        std::thread::sleep(Duration::from_millis(10));
    }
    statuses
}

/// Starts a gateway whose store comes back without the last record of a topic, which `write` writes
/// before. Requests need no key.
fn lose_record(
    test: &str,
    topic: &str,
    write: impl FnOnce(&Restored),
) -> (Restored, DaemonProcess) {
    let mut restored = Restored::start(test, Reader::Gateway);
    restored.put("keyed.op", "config", Some(&with_public(2, "/lookup/")));
    wait_until("no key is needed", || {
        status(&restored.site().gateway, "/lookup/a", "") == 200
    });
    write(&restored);
    restored.restore_after(topic, 1, AWAY_TIME);
    let gateway = restored.start_gateway(&format!("{test}_2"), REVOKE_MS);
    gateway.wait_for_line("endpoint joined");
    wait_until("the configuration is read", || {
        status(&gateway, "/lookup/a", "") == 200
    });
    (restored, gateway)
}

/// Every gateway of a fleet wrote the record of a restore, all at the same time.
#[test]
fn fleet_calls() {
    let mut restored = Restored::start("starts_fleet", Reader::Observer);
    let gateways: Vec<_> = (0..FLEET)
        .map(|number| restored.start_gateway(&format!("starts_fleet_{number}"), REVOKE_MS))
        .collect();
    for gateway in &gateways {
        wait_until("the gateway is ready", || readiness(gateway) == 200);
        gateway.wait_for_line("source of the log changed");
    }
    let before = restored.site().store.calls_for(RESTORES);
    restored.restore_after("keyed.op", 0, AWAY_TIME);
    wait_until("the record is written", || {
        restored.newest(RESTORES, "restored") == Some(json!({"era": 2}))
    });
    std::thread::sleep(FLEET_WRITE_TIME);
    let all = FLEET + 1;
    let after = restored.site().store.calls_for(RESTORES) - before;
    assert!((all..=all + 2).contains(&after), "{after} calls of {all}");
}

/// A gateway that starts does not know an evacuation that was lost; it must be in force as soon as it
/// is written again.
#[test]
fn evacuated_zone() {
    let evacuation = json!({});
    let (restored, gateway) = lose_record("starts_zone", "keyed.op", |restored| {
        restored.put("keyed.op", "evacuate/z", Some(&evacuation));
        let changed = "availability zones out of service changed";
        restored.site().gateway.wait_for_line(changed);
    });
    restored.put("keyed.op", "evacuate/z", Some(&evacuation));
    gateway.wait_for_line("availability zones out of service changed");
    let served = (0..20).any(|_| status(&gateway, "/lookup/a", "") == 200);
    assert!(!served);
}

/// An endpoint that had left, and whose entry is in the older copy, must get no requests after the store
/// has removed the entry again. Requests without a key must be served all the while.
#[test]
fn left_endpoint() {
    let left = Replica::start("i-9", respond_ok);
    let (restored, gateway) = lose_record("starts_left", "keyed.servers", |restored| {
        restored.register(&left, "ready");
        let joined = || restored.site().gateway.wait_for_line("endpoint joined");
        while joined()["kvs"]["endpoint"] != "i-9" {}
        restored.put("keyed.servers", "i-9", None);
    });
    assert_eq!(statuses(&gateway, LATE_START), BTreeSet::from([200]));
    restored.put("keyed.servers", "i-9", None);
    std::thread::sleep(REMOVAL_TIME);
    let before = left.requests().len();
    assert_eq!(statuses(&gateway, LATE_START), BTreeSet::from([200]));
    assert_eq!(left.requests().len(), before);
}

/// Endpoints write an entry again only if it has changed. One whose entry is in the older copy must get
/// requests for as long as it is listed.
#[test]
fn unchanged_endpoint() {
    let (_restored, gateway) = lose_record("starts_unchanged", "keyed.op", |restored| {
        restored.put("keyed.op", "evacuate/y", Some(&json!({})));
    });
    assert_eq!(statuses(&gateway, UNCHANGED_TIME), BTreeSet::from([200]));
}

/// An endpoint that had joined since the copy got no requests although it had written again.
#[test]
fn joined_endpoint() {
    let joined = Replica::start("i-9", respond_ok);
    let (restored, gateway) = lose_record("starts_joined", "keyed.servers", |restored| {
        restored.register(&joined, "ready");
    });
    restored.register(&joined, "ready");
    wait_until("the endpoint gets a request", || {
        assert_eq!(status(&gateway, "/lookup/a", ""), 200);
        !joined.requests().is_empty()
    });
}

/// Gateways behind an observer that had noticed the failure of the store confirmed nothing any more.
#[test]
fn reading_gateway() {
    let restored = Restored::lose_revocation("starts_reading", Reader::Observer);
    let gateway = restored.start_gateway("starts_reading_2", REVOKE_MS);
    restored.check_revoked(&[&gateway, &restored.site().gateway]);
}

/// An observer that started at the return passed the older copy on to a gateway that had run all the
/// while and to one that started then.
#[test]
fn observer_started() {
    let mut restored = Restored::lose_revocation("starts_observer", Reader::Observer);
    restored.restart_observer();
    let gateway = restored.start_gateway("starts_observer_2", REVOKE_MS);
    restored.check_revoked(&[&gateway, &restored.site().gateway]);
}

/// A stream went on at another version at a gateway that started before its record was written again
/// by the gateway that had begun it.
#[test]
fn stream_versions() {
    let mut fleet = Fleet::start_overlap("starts_streams", 1, &with_public(1, "/note/"));
    let callers = fleet.begin_at(0, "v2", 4);
    fleet.restore_without(&["streams"]);
    fleet.add_starting_gateway();
    fleet.complete_all(&[1], callers);
}

/// A gateway that started wrote another default version in place of one that was lost, before it could
/// be written again.
#[test]
fn default_version() {
    let mut fleet = Fleet::start_overlap("starts_default", 1, &with_public(1, "/note/"));
    let written = fleet.store.appended_defaults();
    fleet.kill_all_gateways();
    fleet.restore_without(&["keyed.versions"]);
    fleet.add_starting_gateway();
    std::thread::sleep(WRITE_AGAIN_TIME);
    assert_eq!(fleet.store.appended_defaults(), written);
    wait_until("a default is written", || {
        fleet.store.appended_defaults() > written
    });
}

/// A stream that is taken up at a gateway that ran all the while goes on at another version, as both
/// the log and the only gateway that knew its record have lost it.
#[test]
fn first_gateway_lost() {
    let mut fleet = Fleet::start_overlap("starts_lost", 2, &config(1));
    let callers = fleet.begin_at(0, "v2", 4);
    fleet.kill_gateway(0);
    fleet.restore_without(&["streams"]);
    fleet.complete_all(&[0], callers);
}
