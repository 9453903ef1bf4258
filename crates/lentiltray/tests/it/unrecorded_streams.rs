//! Streams that begin while their gateway can't record them in the log, and are taken up elsewhere.

use std::time::{Duration, Instant};

use crate::fake_store::{CallFault, StoreLink, StoreMode};
use crate::gateway_harness::{config, wait_until};
use crate::version_fleet::{Caller, Fleet, assert_version_gone};

/// Number of streams of each version. More than two joined ones break the users' rule.
const STREAMS: usize = 4;
/// Time by which a first event may be late as its record can't be written, and some time for a busy
/// machine.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(1_500);
/// Time for which the store stays away after a gateway was lost.
const AWAY_TIME: Duration = Duration::from_millis(500);
/// Time in which observers have appended what they hold.
const APPEND_TIME: Duration = Duration::from_secs(1);

/// Starts two engines of `v1` and two of `v2`, each with an observer, and three gateways, of which
/// the first one reaches the store through a link of its own.
fn start(test: &str) -> (Fleet, StoreLink) {
    let mut fleet = Fleet::start_observed_overlap(test, 0, &config(1));
    let link = fleet.store.open_link();
    fleet.add_gateway_at(&link);
    fleet.add_gateway();
    fleet.add_gateway();
    // The first streams of each version are recorded, so that only later ones may not be.
    begin_both(&fleet);
    (fleet, link)
}

/// Begins streams of both versions at the first gateway.
fn begin_both(fleet: &Fleet) -> Vec<Caller> {
    let versions = ["v1", "v2"];
    let begun = versions.map(|version| fleet.begin_at(0, version, STREAMS));
    begun.into_iter().flatten().collect()
}

/// The store answers one gateway in this mode, which begins streams and is killed.
fn gateway_turned_away(test: &str, mode: StoreMode) {
    let (mut fleet, link) = start(test);
    link.set_mode(mode);
    let callers = begin_both(&fleet);
    fleet.kill_gateway(0);
    fleet.complete_all(&[0, 1], callers);
}

/// Streams of the newer version went on at the older one, as the store had turned away the gateway
/// that began them.
#[test]
fn gateway_refused() {
    gateway_turned_away("gateway_refused", StoreMode::Refusing(503));
}

/// The same where the store did not answer the gateway.
#[test]
fn gateway_unanswered() {
    gateway_turned_away("gateway_unanswered", StoreMode::Silent);
}

/// The same where the store closed the gateway's connections.
#[test]
fn gateway_closed() {
    gateway_turned_away("gateway_closed", StoreMode::Closing);
}

/// The same where no gateway was lost, and callers came back to another one.
#[test]
fn callers_return_elsewhere() {
    let (fleet, link) = start("return_elsewhere");
    link.set_mode(StoreMode::Refusing(503));
    let callers = begin_both(&fleet);
    fleet.complete_all(&[1, 2], callers);
}

/// The same where nobody could append to the log, which could be read.
fn appends_fail(test: &str, fault: CallFault) {
    let (mut fleet, _link) = start(test);
    fleet.store.set_append_fault(Some(fault));
    let callers = begin_both(&fleet);
    fleet.kill_all_gateways();
    fleet.add_gateway();
    fleet.complete_all(&[0], callers);
}

/// The same where appends were refused.
#[test]
fn appends_refused() {
    appends_fail("all_appends_refused", CallFault::Refused(503));
}

/// The same where appends got no answer.
#[test]
fn appends_unanswered() {
    appends_fail("all_appends_unanswered", CallFault::Unanswered);
}

/// The same where the store turned everybody away, and was back after the gateway's end.
#[test]
fn store_returns() {
    let (mut fleet, _link) = start("store_returns");
    fleet.store.set_mode(StoreMode::Refusing(503));
    let callers = begin_both(&fleet);
    fleet.kill_gateway(0);
    std::thread::sleep(AWAY_TIME);
    fleet.store.set_mode(StoreMode::Serving);
    fleet.complete_all(&[0, 1], callers);
}

/// The same where the newer version had gone too, with its observers.
#[test]
fn version_gone_too() {
    let (mut fleet, link) = start("gone_too");
    link.set_mode(StoreMode::Refusing(503));
    let mut newer = fleet.begin_at(0, "v2", STREAMS);
    let older = fleet.begin_at(0, "v1", STREAMS);
    fleet.kill_gateway(0);
    fleet.remove_version("v2");
    fleet.kill_observer(2);
    fleet.kill_observer(3);
    for caller in &mut newer {
        assert_version_gone(caller.take_up(fleet.address(0)));
    }
    fleet.complete_all(&[0, 1], older);
}

/// The same where an observer that held the records had been lost before they could be appended, and
/// where it was back without them.
#[test]
fn holder_lost() {
    let (mut fleet, _link) = start("holder_lost");
    fleet.store.set_append_fault(Some(CallFault::Refused(503)));
    let earlier = begin_both(&fleet);
    let later = begin_both(&fleet);
    fleet.kill_gateway(0);
    fleet.kill_observer(0);
    fleet.complete_all(&[0, 1], earlier);
    fleet.restart_observer(0);
    fleet.complete_all(&[0, 1], later);
}

/// Records were sent to an observer over a connection from before its restart, and were held nowhere.
#[test]
fn observers_restarted() {
    let (mut fleet, link) = start("observers_restarted");
    link.set_mode(StoreMode::Refusing(503));
    begin_both(&fleet);
    for engine in 0..4 {
        fleet.kill_observer(engine);
        fleet.restart_observer(engine);
    }
    let callers = begin_both(&fleet);
    fleet.kill_gateway(0);
    fleet.complete_all(&[0, 1], callers);
}

/// Records that observers held were not in the log when these had ended.
#[test]
fn holders_append() {
    let (mut fleet, link) = start("holders_append");
    link.set_mode(StoreMode::Refusing(503));
    let appended = fleet.store.appended_streams();
    let callers = begin_both(&fleet);
    wait_until("the records are in the log", || {
        fleet.store.appended_streams() >= appended + STREAMS
    });
    std::thread::sleep(APPEND_TIME);
    fleet.kill_gateway(0);
    for engine in 0..4 {
        fleet.kill_observer(engine);
    }
    fleet.complete_all(&[0, 1], callers);
}

/// Begins streams while appends fail and there are no observers, and takes them up at another gateway.
fn begin_without_holders(test: &str, fault: CallFault) {
    let mut fleet = Fleet::start_overlap(test, 2, &config(1));
    begin_both(&fleet);
    fleet.store.set_append_fault(Some(fault));
    let begin = |number| {
        let mut caller = Caller::new(&format!("alone{number}"));
        let sent_at = Instant::now();
        caller.begin(fleet.address(0));
        let took = sent_at.elapsed();
        assert!(took < FIRST_EVENT_TIME, "{took:?}");
        caller
    };
    let callers: Vec<_> = (0..4 * STREAMS).map(begin).collect();
    assert!(callers.iter().all(|caller| caller.version() == "v1"));
    fleet.kill_gateway(0);
    fleet.complete_all(&[0], callers);
    fleet.store.set_append_fault(None);
    let later = fleet.begin_at(0, "v2", STREAMS);
    fleet.add_gateway();
    fleet.complete_all(&[1], later);
}

/// Streams began at the newer version though neither the log nor an observer took their records, and
/// went on at the older one; or they were refused for good, or kept waiting.
#[test]
fn nobody_holds() {
    begin_without_holders("nobody_holds", CallFault::Refused(503));
}

/// Streams that ran again at the older version went on at the newer one, as the record of their first
/// run was in the log though nobody had confirmed it.
#[test]
fn nobody_confirms() {
    begin_without_holders("nobody_confirms", CallFault::AnswerLost);
}
