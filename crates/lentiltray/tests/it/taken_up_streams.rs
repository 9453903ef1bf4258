//! Streams that callers take up at another gateway while engines of several versions serve.

use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::fake_store::{CallFault, StoreMode};
use crate::gateway_harness::{config, wait_until};
use crate::version_fleet::{
    Caller, EngineOptions, Fleet, READ_EVENTS, assert_version_gone, config_with_timeout,
};

/// Timeout of the resumable route where a test waits for the take-up time: long enough for
/// a whole stream.
const SHORT_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which no caller can come back with a stream that isn't recorded, which is 10 s at
/// least, and some time for gateways to notice.
const TAKE_UP_TIME: Duration = Duration::from_secs(11);
/// Time within which a request is refused that can't succeed.
const REFUSAL_TIME: Duration = Duration::from_secs(1);
/// Time by which records that can't be written may delay a first event, and some time for
/// a busy machine.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(1_500);
/// Time after which a gateway of the tests has read an append, and written its own.
const SETTLE_TIME: Duration = Duration::from_millis(500);
/// Number of streams that are taken up at once.
const CROWD: usize = 8;

/// The configuration of all tests with a second organisation, whose key is `k2`.
fn config_of_two() -> Value {
    let mut config = config(1);
    let council = config["tenants"][0].clone();
    let mut museum = council.clone();
    museum["name"] = json!("museum");
    museum["apiKeys"] = json!(["k2"]);
    config["tenants"] = json!([council, museum]);
    config
}

/// Starts two gateways with engines of `v1` and `v2`, begins streams at `version`, and
/// takes them up at gateways that start after all others were killed.
fn take_up_after_kill(test: &str, version: &str) {
    let mut fleet = Fleet::start_overlap(test, 2, &config(1));
    let mut callers = fleet.begin_at(0, version, 2);
    callers.extend(fleet.begin_at(1, version, 2));
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.complete_all(&[0], callers);
}

/// Streams of the newer version went on at the older one after all gateways were lost.
#[test]
fn newer_version_goes_on() {
    take_up_after_kill("newer_goes_on", "v2");
}

/// Streams of the older version went on at the newer one after all gateways were lost.
#[test]
fn older_version_goes_on() {
    take_up_after_kill("older_goes_on", "v1");
}

/// Of many streams that are taken up at once, some were refused or went on at another
/// version.
#[test]
fn many_taken_up() {
    let mut fleet = Fleet::start_overlap("many_taken_up", 2, &config(1));
    let mut callers = fleet.begin_at(0, "v1", CROWD);
    callers.extend(fleet.begin_at(1, "v2", CROWD));
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.add_gateway();
    fleet.complete_all(&[0, 1], callers);
}

/// The same where gateways read default versions and lists of engines through observers.
#[test]
fn beside_observers() {
    let mut fleet = Fleet::start_observed("beside_observers", 2, &config(1));
    for _ in 0..2 {
        fleet.add_engine("v2", EngineOptions::default());
    }
    let mut callers = fleet.begin_at(0, "v1", 3);
    callers.extend(fleet.begin_at(1, "v2", 3));
    let mut gone = fleet.begin_one_at(0, "v1");
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.complete_all(&[0], callers);
    fleet.remove_version("v1");
    assert_version_gone(gone.take_up(fleet.address(0)));
}

/// Checks that streams of a version that has left are refused by gateways that start then.
fn refuse_after_kill(test: &str, gone: &str) {
    let mut fleet = Fleet::start_overlap(test, 1, &config(1));
    let mut caller = fleet.begin_one_at(0, gone);
    fleet.kill_all_gateways();
    fleet.remove_version(gone);
    fleet.add_gateway();
    let sent_at = Instant::now();
    assert_version_gone(caller.take_up(fleet.address(0)));
    assert!(sent_at.elapsed() < REFUSAL_TIME);
}

/// A stream went on at the newer version, or was kept waiting, after all gateways and the
/// older version were lost.
#[test]
fn older_version_gone() {
    refuse_after_kill("older_gone", "v1");
}

/// The same where the version that joined later has left again.
#[test]
fn newer_version_gone() {
    refuse_after_kill("newer_gone", "v2");
}

/// The same at a gateway that has seen the version leave.
#[test]
fn version_left_meanwhile() {
    let mut fleet = Fleet::start_overlap("left_meanwhile", 2, &config(1));
    let mut callers = [fleet.begin_one_at(0, "v1"), fleet.begin_one_at(0, "v1")];
    fleet.remove_version("v1");
    for (gateway, caller) in callers.iter_mut().enumerate() {
        let sent_at = Instant::now();
        assert_version_gone(caller.take_up(fleet.address(gateway)));
        assert!(sent_at.elapsed() < REFUSAL_TIME);
    }
}

/// A stream went on at an engine that had restarted under its id with another version.
#[test]
fn engines_restarted() {
    let mut fleet = Fleet::start("engines_restarted", 2, &config(1));
    let mut callers = fleet.begin_at(0, "v1", 2);
    fleet.restart_engines("v2");
    assert_version_gone(callers[0].take_up(fleet.address(1)));
    let later = fleet.begin_at(0, "v2", 2);
    fleet.kill_all_gateways();
    fleet.add_gateway();
    assert_version_gone(callers[1].take_up(fleet.address(0)));
    fleet.complete_all(&[0], later);
}

/// Streams of engines that state no version, and of the others beside them, went on at each
/// other's.
#[test]
fn unstated_version() {
    let mut fleet = Fleet::start("unstated_version", 2, &config(1));
    for _ in 0..2 {
        fleet.add_engine("", EngineOptions::default());
    }
    let mut callers = fleet.begin_at(0, "", 2);
    callers.extend(fleet.begin_at(1, "v1", 2));
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.complete_all(&[0], callers);
}

/// Streams were recorded, or refused, though there has only been one version.
#[test]
fn single_version() {
    let mut fleet = Fleet::start("single_version", 2, &config(1));
    std::thread::sleep(SETTLE_TIME);
    let mut appended = vec![fleet.store.appended_streams()];
    let callers = fleet.begin_at(0, "v1", CROWD);
    fleet.complete_all(&[1], callers);
    appended.push(fleet.store.appended_streams());
    let callers = fleet.begin_at(0, "v1", CROWD);
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.complete_all(&[0], callers);
    std::thread::sleep(SETTLE_TIME);
    appended.push(fleet.store.appended_streams());
    assert!(
        appended.iter().all(|count| *count == appended[0]),
        "{appended:?}"
    );
    assert_eq!(fleet.store.appended_defaults(), 1);
}

/// Streams that began before a default version was written went on at another version.
#[test]
fn versions_from_start() {
    let mut fleet = Fleet::start_empty("from_start", &config(1));
    for version in ["v1", "v2"] {
        fleet.add_engine(version, EngineOptions::default());
    }
    fleet.add_gateway();
    fleet.add_gateway();
    let mut callers = Vec::new();
    for gateway in [0, 1] {
        for version in ["v1", "v2"] {
            callers.extend(fleet.begin_at(gateway, version, 2));
        }
    }
    for (number, caller) in callers.iter_mut().enumerate() {
        caller.take_up(fleet.address(number % 2)).unwrap();
        caller.read_until(caller.received() + READ_EVENTS);
    }
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.complete_all(&[0], callers);
}

/// A stream went on at another version at a gateway that has served both all the while.
#[test]
fn other_gateway() {
    let fleet = Fleet::start_overlap("other_gateway", 2, &config(1));
    for version in ["v1", "v2"] {
        let callers = fleet.begin_at(0, version, 3);
        fleet.complete_all(&[1], callers);
    }
}

/// The same where the first gateway is lost with the stream.
#[test]
fn first_gateway_lost() {
    let mut fleet = Fleet::start_overlap("first_lost", 2, &config(1));
    let mut callers = fleet.begin_at(0, "v1", 2);
    callers.extend(fleet.begin_at(0, "v2", 2));
    fleet.kill_gateway(0);
    fleet.complete_all(&[0], callers);
}

/// A stream went on at another version when its engine had broken it off.
#[test]
fn engine_breaks_off() {
    let mut fleet = Fleet::start("breaks_off", 2, &config(1));
    let options = EngineOptions {
        begin_delay: Duration::from_millis(100),
        breaks_before: Some(20),
    };
    fleet.add_engine("v2", options);
    let mut caller = fleet.begin_one_at(0, "v2");
    caller.read_until(usize::MAX);
    caller.check();
    if !caller.is_complete {
        caller.complete_at(fleet.address(1));
    }
}

/// A stream that had been taken up before went on at another version.
#[test]
fn taken_up_again() {
    let mut fleet = Fleet::start_overlap("taken_up_again", 3, &config(1));
    let mut callers = fleet.begin_at(0, "v1", 2);
    callers.extend(fleet.begin_at(0, "v2", 2));
    for caller in &mut callers {
        for gateway in [1, 2, 0, 1] {
            caller.take_up(fleet.address(gateway)).unwrap();
            caller.read_until(caller.received() + READ_EVENTS);
            caller.check();
        }
    }
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.complete_all(&[0], callers);
}

/// A stream that was taken up again and again for longer than the take-up time went on at
/// another version, as its record was not renewed.
#[test]
fn record_renewed() {
    let fleet = Fleet::start_overlap("record_renewed", 2, &config_with_timeout(SHORT_TIMEOUT));
    let mut caller = fleet.begin_one_at(0, "v2");
    while caller.age() < TAKE_UP_TIME * 2 {
        std::thread::sleep(SETTLE_TIME * 4);
        let gateway = caller.received() / READ_EVENTS % 2;
        caller.take_up(fleet.address(gateway)).unwrap();
        caller.read_until(caller.received() + READ_EVENTS);
        caller.check();
    }
    caller.complete_at(fleet.address(1));
}

/// Values of `Resumes` that name no attempt; `None` stands for a missing header.
fn invalid_resumes() -> [Option<String>; 4] {
    let long = "r".repeat(257);
    [
        None,
        Some(String::new()),
        Some(long),
        Some("\u{e9}".to_owned()),
    ]
}

fn resumes_header(value: Option<String>) -> String {
    value.map_or_else(String::new, |value| format!("\nResumes: {value}"))
}

/// A stream of unknown version went on at any version in an overlap, or its request was
/// repeated in vain.
#[test]
fn invalid_resumes_refused() {
    let fleet = Fleet::start_overlap("invalid_refused", 2, &config(1));
    for version in ["v2", "v1"] {
        for value in invalid_resumes() {
            let mut caller = fleet.begin_one_at(0, version);
            let headers = format!("{}{}", caller.last_event_header(), resumes_header(value));
            assert_version_gone(caller.send(fleet.address(1), &headers));
        }
    }
}

/// A stream of unknown version was refused though one version has served all the while.
#[test]
fn invalid_resumes_alone() {
    let fleet = Fleet::start("invalid_alone", 2, &config_with_timeout(SHORT_TIMEOUT));
    std::thread::sleep(TAKE_UP_TIME);
    for value in invalid_resumes() {
        let mut caller = fleet.begin_one_at(0, "v1");
        let headers = format!("{}{}", caller.last_event_header(), resumes_header(value));
        caller.repeat(fleet.address(1), &headers).unwrap();
        caller.read_until(usize::MAX);
        caller.check_whole();
    }
}

/// A new stream was refused, or began in its middle, as its request named another attempt.
#[test]
fn resumes_without_event() {
    let fleet = Fleet::start_overlap("without_event", 2, &config(1));
    for version in ["v1", "v2"] {
        let first = fleet.begin_one_at(0, version);
        let mut caller = Caller::new(&format!("again-{version}"));
        let headers = first.resumes_header();
        caller.repeat(fleet.address(1), &headers).unwrap();
        caller.read_until(usize::MAX);
        caller.check_whole();
    }
}

/// The answer to a take-up: its status and body if it was refused, else the version at
/// which it went on.
fn take_up_answer(fleet: &Fleet, name: &str, key: &str, resumes: &str) -> String {
    let mut caller = Caller::with_key(name, key);
    let headers = format!("\nLast-Event-Id: {READ_EVENTS}\nResumes: {resumes}");
    match caller.send(fleet.address(1), &headers) {
        Ok(()) => {
            caller.read_until(1);
            caller.version().to_owned()
        }
        Err(refusal) => format!("{} {}", refusal.status, refusal.body),
    }
}

/// An organisation learned where the stream of another one had begun.
#[test]
fn foreign_attempt_unknown() {
    let fleet = Fleet::start_overlap("foreign_unknown", 2, &config_of_two());
    for version in ["v1", "v2"] {
        let mut own = fleet.begin_one_at(0, version);
        let foreign = take_up_answer(&fleet, "foreign", "k2", own.first_attempt());
        let unknown = take_up_answer(&fleet, "unknown", "k2", "never-was");
        assert_eq!(foreign, unknown, "{version}");
        own.complete_at(fleet.address(1));
    }
}

/// The stream of an organisation went on where another organisation had begun one under the
/// same id.
#[test]
fn foreign_attempt_apart() {
    let fleet = Fleet::start_overlap("foreign_apart", 2, &config_of_two());
    let mut begun = 0;
    for (version, other) in [("v1", "v2"), ("v2", "v1")] {
        let mut own = Caller::default();
        wait_until("both begin streams at these versions", || {
            begun += 1;
            let attempt = format!("shared{begun}");
            let mut foreign = Caller::with_key("foreign", "k2");
            own = Caller::new(&format!("own{begun}"));
            for caller in [&mut foreign, &mut own] {
                caller.send_as(fleet.address(0), &attempt, "").unwrap();
                caller.read_until(READ_EVENTS);
            }
            own.version() == version && foreign.version() == other
        });
        own.complete_at(fleet.address(1));
    }
}

/// Streams waited for records that can't be written, or these were lost when the log was
/// back.
fn write_record_later(test: &str, fault: CallFault) {
    let fleet = Fleet::start_observed_overlap(test, 2, &config(1));
    std::thread::sleep(SETTLE_TIME);
    let appended = fleet.store.appended_streams();
    fleet.store.set_append_fault(Some(fault));
    let mut callers = Vec::new();
    wait_until("a stream begins at v2", || {
        let sent_at = Instant::now();
        let mut caller = Caller::new(&format!("late-{}", callers.len()));
        caller.begin(fleet.address(0));
        assert!(
            sent_at.elapsed() < FIRST_EVENT_TIME,
            "{:?}",
            sent_at.elapsed()
        );
        callers.push(caller);
        callers.last().unwrap().version() == "v2"
    });
    let mut caller = callers.pop().unwrap();
    fleet.store.set_append_fault(None);
    wait_until("the record is written", || {
        fleet.store.appended_streams() > appended
    });
    std::thread::sleep(SETTLE_TIME);
    caller.complete_at(fleet.address(1));
}

/// A stream that began while the log refused appends was kept waiting, or went on at
/// another version afterwards.
#[test]
fn appends_refused() {
    write_record_later("appends_refused", CallFault::Refused(503));
}

/// The same where appends get no answer.
#[test]
fn appends_unanswered() {
    write_record_later("appends_unanswered", CallFault::Unanswered);
}

/// The same where appends are executed and their answers are lost.
#[test]
fn append_answers_lost() {
    write_record_later("append_answers_lost", CallFault::AnswerLost);
}

/// A stream went on at a guessed version, or was given up, as its record couldn't be read.
fn read_record_later(test: &str, fault: CallFault) {
    let fleet = Fleet::start_overlap(test, 2, &config(1));
    fleet.store.set_read_fault(Some(fault));
    let mut caller = fleet.begin_one_at(0, "v2");
    let refusal = caller.take_up_once(fleet.address(1)).unwrap_err();
    assert_eq!(refusal.status, 503, "{refusal:?}");
    assert!(refusal.header("retry-after").is_some(), "{refusal:?}");
    assert!(!refusal.body.contains("version_gone"), "{refusal:?}");
    fleet.store.set_read_fault(None);
    caller.complete_at(fleet.address(1));
}

/// A stream was taken up while the log refused reads.
#[test]
fn reads_refused() {
    read_record_later("reads_refused", CallFault::Refused(503));
}

/// The same where reads get no answer.
#[test]
fn reads_unanswered() {
    read_record_later("reads_unanswered", CallFault::Unanswered);
}

/// Streams went on at another version as a gateway held old records, after older ones had
/// expired.
#[test]
fn records_expired() {
    let fleet = Fleet::start_overlap("records_expired", 2, &config(1));
    let mut callers = fleet.begin_at(0, "v2", 2);
    callers[0].complete_at(fleet.address(1));
    fleet.store.expire_records();
    let later = fleet.begin_at(0, "v2", 2);
    fleet.complete_all(&[1], later);
}

/// A stream went on at another version, as the store had come back from an older copy without its
/// record.
#[test]
fn record_lost_in_restore() {
    let fleet = Fleet::start_overlap("record_lost", 2, &config(1));
    let callers = fleet.begin_at(0, "v2", 2);
    fleet.store.set_mode(StoreMode::Closing);
    std::thread::sleep(SETTLE_TIME);
    fleet.store.truncate("streams", 0);
    fleet.store.set_era(Some("2"));
    fleet.store.set_mode(StoreMode::Serving);
    fleet.complete_all(&[1], callers);
}

/// Takes up streams of each version at the other gateway.
fn take_up_each(fleet: &Fleet, versions: &[&str]) {
    let begin = |version: &&str| fleet.begin_at(0, version, 2);
    fleet.complete_all(&[1], versions.iter().flat_map(begin).collect());
}

/// Streams went on at another version around a change of the default version.
#[test]
fn versions_follow() {
    let mut fleet = Fleet::start("versions_follow", 2, &config_with_timeout(SHORT_TIMEOUT));
    take_up_each(&fleet, &["v1"]);
    let two = |fleet: &mut Fleet, version| {
        for _ in 0..2 {
            fleet.add_engine(version, EngineOptions::default());
        }
    };
    two(&mut fleet, "v2");
    take_up_each(&fleet, &["v1", "v2"]);
    let mut older = fleet.begin_one_at(0, "v1");
    let mut newer = fleet.begin_one_at(0, "v2");
    fleet.remove_version("v1");
    assert_version_gone(older.take_up(fleet.address(1)));
    newer.complete_at(fleet.address(1));
    take_up_each(&fleet, &["v2"]);
    std::thread::sleep(TAKE_UP_TIME);
    take_up_each(&fleet, &["v2"]);
    two(&mut fleet, "v3");
    take_up_each(&fleet, &["v2", "v3"]);
    let mut callers = fleet.begin_at(1, "v2", 2);
    callers.extend(fleet.begin_at(1, "v3", 2));
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.complete_all(&[0], callers);
}

/// Streams went on at another version when a version that had left came back.
#[test]
fn version_returns() {
    let mut fleet = Fleet::start_overlap("version_returns", 2, &config_with_timeout(SHORT_TIMEOUT));
    fleet.remove_version("v1");
    std::thread::sleep(TAKE_UP_TIME);
    take_up_each(&fleet, &["v2"]);
    fleet.add_engine("v1", EngineOptions::default());
    take_up_each(&fleet, &["v1", "v2"]);
}

/// A gateway that had been paused left a stream unrecorded at the version that had been the
/// default before.
#[test]
fn paused_gateway() {
    let mut fleet = Fleet::start("paused_gateway", 2, &config_with_timeout(SHORT_TIMEOUT));
    let paused = fleet.take_gateway(0);
    paused.signal("-STOP");
    wait_until("the gateway is paused", || paused.is_paused());
    fleet.add_engine("v2", EngineOptions::default());
    fleet.remove_version("v1");
    wait_until("the default version changes", || {
        fleet.store.appended_defaults() == 2
    });
    let mut caller = Caller::new("paused");
    let connection = caller.open(paused.address("callers"), "paused-1", "");
    paused.signal("-CONT");
    if caller.receive_head("paused-1", connection).is_ok() {
        caller.read_until(READ_EVENTS);
    }
    if caller.received() > 0 {
        let has_left = caller.version() == "v1";
        let taken_up = caller.take_up(fleet.address(0));
        if has_left {
            assert_version_gone(taken_up);
        } else {
            taken_up.unwrap();
        }
    }
}
