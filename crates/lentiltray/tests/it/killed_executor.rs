//! The agent that executes a keyed call is killed as a process; the service's
//! executions are counted.

use std::net::SocketAddr;
use std::time::Duration;

use lentil_fakes::{
    FakeHostList, FakeLog, FakeService, HostListOptions, LogOptions, Outage, ServiceOptions,
};
use lentil_site::SERVICE;

use crate::caller::{Caller, block_on};
use crate::confirmations::{Answer, READY_TRIES, READY_WAIT, confirm};
use crate::process::Program;

const KEY: &str = "sign-off-1";
const BODY: &str = "hoist 1 passes";

struct Fleet {
    hosts: FakeHostList,
    log: FakeLog,
    service: FakeService,
}

impl Fleet {
    fn new() -> Self {
        Self {
            hosts: FakeHostList::start(HostListOptions::default()).unwrap(),
            log: FakeLog::start(LogOptions::default()).unwrap(),
            service: FakeService::start(ServiceOptions::default()).unwrap(),
        }
    }

    fn agent(&self) -> Program {
        let rest = format!(
            "agent:\n  kind: service\n  service: {SERVICE}\n  endpoint_url: http://{}\n",
            self.service.address()
        );
        self.program("agent", "certdesk-0", &rest)
    }

    fn entry(&self) -> Program {
        let rest = "listen:\n  callers: 127.0.0.1:0\nsecurity:\n  anonymous_callers: true\n\
                    entry:\n  workers: 2\n  deadline_ms: 5000\n";
        self.program("entry", "entry-0", rest)
    }

    fn program(&self, role: &str, name: &str, rest: &str) -> Program {
        let text = format!(
            "name: {name}\nhost: host-{name}\nzone: zone-a\nregion: region-one\n\
             log:\n  format: json\n\
             platform:\n  host_list_url: http://{}\n  log_url: http://{}\n  \
             poll_interval_ms: 100\n{rest}",
            self.hosts.address(),
            self.log.address(),
        );
        let file = format!("{name}-{}", self.service.address().port());
        Program::start(role, &file, &text)
    }
}

/// Waits for something that the stand-ins show.
async fn until(mut shown: impl FnMut() -> bool) {
    for _ in 0..READY_TRIES {
        if shown() {
            return;
        }
        tokio::time::sleep(READY_WAIT).await;
    }
    panic!("it never showed");
}

/// Repeats until the successor gives its word on the key.
async fn repeat(caller: &Caller, entry: SocketAddr, log: &FakeLog, known: u64) -> Answer {
    until(|| log.appends() > known).await;
    let mut answer = confirm(caller, entry, KEY, BODY).await;
    for _ in 0..READY_TRIES {
        if answer.body["title"] != "endpoint_failed" || answer.body["outcome"] != "not_run" {
            break;
        }
        tokio::time::sleep(READY_WAIT).await;
        answer = confirm(caller, entry, KEY, BODY).await;
    }
    answer
}

#[test]
fn after_the_service_ran() {
    let fleet = Fleet::new();
    let doomed = fleet.agent();
    let entry = fleet.entry();
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, callers, "warm", "x").await;
        fleet.service.withhold_responses(1);
        let first = ntex::rt::spawn(async move {
            let caller = Caller::new().await;
            confirm(&caller, callers, KEY, BODY).await
        });
        until(|| fleet.service.executions(KEY) == 1).await;
        drop(doomed);
        let known = fleet.log.appends();
        let _successor = fleet.agent();
        let again = repeat(&caller, callers, &fleet.log, known).await;
        assert_eq!(again.body["outcome"], "unknown", "{again:?}");
        let first = first.await.unwrap();
        assert_eq!(first.body["outcome"], "unknown", "{first:?}");
        assert_eq!(fleet.service.executions(KEY), 1);
    });
}

#[test]
fn before_its_claim_is_stored() {
    let fleet = Fleet::new();
    let doomed = fleet.agent();
    let entry = fleet.entry();
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, callers, "warm", "x").await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        fleet.log.set_outage(Outage::Silent);
        let first = ntex::rt::spawn(async move {
            let caller = Caller::new().await;
            confirm(&caller, callers, KEY, BODY).await
        });
        tokio::time::sleep(Duration::from_millis(500)).await;
        drop(doomed);
        fleet.log.set_outage(Outage::None);
        assert_eq!(fleet.service.executions(KEY), 0);
        let known = fleet.log.appends();
        let _successor = fleet.agent();
        let again = repeat(&caller, callers, &fleet.log, known).await;
        assert_eq!(again.status, 200, "{again:?}");
        let _ = first.await.unwrap();
        assert_eq!(fleet.service.executions(KEY), 1);
    });
}

#[test]
fn after_the_outcome_is_stored() {
    let fleet = Fleet::new();
    let doomed = fleet.agent();
    let entry = fleet.entry();
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let first = confirm(&caller, callers, KEY, BODY).await;
        assert_eq!(first.status, 200, "{first:?}");
        // The outcome goes to the log ahead of the next claim.
        let next = confirm(&caller, callers, "sign-off-2", BODY).await;
        assert_eq!(next.status, 200, "{next:?}");
        drop(doomed);
        let known = fleet.log.appends();
        let _successor = fleet.agent();
        let again = repeat(&caller, callers, &fleet.log, known).await;
        assert_eq!((again.status, again.replayed), (200, true), "{again:?}");
        assert_eq!(again.body, first.body);
        assert_eq!(fleet.service.executions(KEY), 1);
    });
}
