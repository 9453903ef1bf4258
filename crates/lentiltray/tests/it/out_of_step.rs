//! A gateway is out of step with the others while engines of a new version join.

use std::time::Duration;

use crate::daemon_process::DaemonProcess;
use crate::fake_store::StoreLink;
use crate::gateway_harness::wait_until;
use crate::version_fleet::{Caller, EngineOptions, Fleet, READ_EVENTS, config_with_timeout};

/// Timeout of the resumable route.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a gateway has seen that only one version serves: 10 s, and some time to notice.
const TAKE_UP_TIME: Duration = Duration::from_secs(11);
/// Number of streams in each test. More than two joined ones break the users' rule.
const STREAMS: usize = 4;

/// Starts a fleet of one gateway and engines of `v1`, and a further gateway with a link of its own to
/// the store. Both have seen only `v1` for the take-up time.
fn start(test: &str, observed: bool) -> (Fleet, DaemonProcess, StoreLink) {
    let config = config_with_timeout(TIMEOUT);
    let mut fleet = if observed {
        Fleet::start_observed(test, 1, &config)
    } else {
        Fleet::start(test, 1, &config)
    };
    let link = fleet.store.open_link();
    let gateway = fleet.start_gateway(link.address());
    gateway.wait_for_line("default version read");
    std::thread::sleep(TAKE_UP_TIME);
    (fleet, gateway, link)
}

/// Adds engines of `v2` and begins streams there through the fleet's gateway.
fn begin_at_new_version(fleet: &mut Fleet) -> Vec<Caller> {
    for _ in 0..2 {
        fleet.add_engine("v2", EngineOptions::default());
    }
    fleet.begin_at(0, "v2", STREAMS)
}

/// The gateway was cut off from the store, and took streams up at the version that it had known
/// before.
#[test]
fn cut_gateway() {
    let (mut fleet, gateway, link) = start("cut_gateway", false);
    link.set_cut(true);
    let mut callers = begin_at_new_version(&mut fleet);
    for caller in &mut callers {
        let refusal = caller.take_up_once(gateway.address("callers")).unwrap_err();
        assert_eq!(refusal.status, 503, "{refusal:?}");
        assert!(refusal.header("retry-after").is_some(), "{refusal:?}");
        assert!(!refusal.body.contains("version_gone"), "{refusal:?}");
    }
    link.set_cut(false);
    for caller in &mut callers {
        caller.complete_at(gateway.address("callers"));
    }
}

/// The gateway stood still, and took streams up at the version that it had known before.
#[test]
fn paused_gateway() {
    let (mut fleet, gateway, _link) = start("paused_takes_up", false);
    gateway.signal("-STOP");
    wait_until("the gateway is paused", || gateway.is_paused());
    let mut callers = begin_at_new_version(&mut fleet);
    let address = gateway.address("callers");
    let waiting: Vec<_> = callers
        .iter_mut()
        .enumerate()
        .map(|(number, caller)| {
            let id = format!("paused-{number}");
            let headers = format!("{}{}", caller.last_event_header(), caller.resumes_header());
            (caller.open(address, &id, &headers), id)
        })
        .collect();
    gateway.signal("-CONT");
    for (caller, (connection, id)) in callers.iter_mut().zip(waiting) {
        if caller.receive_head(&id, connection).is_ok() {
            caller.read_until(caller.received() + READ_EVENTS);
        }
        caller.check();
        caller.complete_at(address);
    }
}
