//! The process of the agent that executes a keyed call is killed. The tests count how
//! often the service ran the call.

use std::net::SocketAddr;
use std::time::Duration;

use lentil_fakes::{
    FakeHostList, FakeLog, FakeService, HostListOptions, LogOptions, Outage, ServiceOptions,
};
use lentil_site::SERVICE;

use crate::caller::{Caller, block_on};
use crate::daemon_process::DaemonProcess;
use crate::keyed_calls::{Answer, READY_ATTEMPTS, RETRY_DELAY, confirm};

const KEY: &str = "sign-off-1";
const BODY: &str = "hoist 1 passes";

struct Environment {
    hosts: FakeHostList,
    log: FakeLog,
    service: FakeService,
}

impl Environment {
    fn new() -> Self {
        Self {
            hosts: FakeHostList::start(HostListOptions::default()).unwrap(),
            log: FakeLog::start(LogOptions::default()).unwrap(),
            service: FakeService::start(ServiceOptions::default()).unwrap(),
        }
    }

    fn agent(&self) -> DaemonProcess {
        let rest = format!(
            "agent:\n  kind: service\n  service: {SERVICE}\n  endpoint_url: http://{}\n",
            self.service.address()
        );
        self.start_process("agent", "certdesk-0", &rest)
    }

    fn entry(&self) -> DaemonProcess {
        let rest = "listen:\n  callers: 127.0.0.1:0\nsecurity:\n  anonymous_callers: true\n\
                    entry:\n  workers: 2\n  deadline_ms: 5000\n";
        self.start_process("entry", "entry-0", rest)
    }

    fn start_process(&self, role: &str, name: &str, rest: &str) -> DaemonProcess {
        let text = format!(
            "name: {name}\nhost: host-{name}\nzone: zone-a\nregion: region-one\n\
             log:\n  format: json\n\
             platform:\n  host_list_url: http://{}\n  log_url: http://{}\n  \
             poll_interval_ms: 100\n{rest}",
            self.hosts.address(),
            self.log.address(),
        );
        let file = format!("{name}-{}", self.service.address().port());
        DaemonProcess::start(role, &file, &text)
    }
}

/// Polls the fakes until `condition` returns true.
async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..READY_ATTEMPTS {
        if condition() {
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    panic!("timed out waiting for a condition");
}

/// Repeats the call until the successor has read the key's records from the log and
/// returns their outcome.
async fn retry_until_settled(
    caller: &Caller,
    entry: SocketAddr,
    log: &FakeLog,
    appends_before: u64,
) -> Answer {
    wait_until(|| log.appends() > appends_before).await;
    let mut answer = confirm(caller, entry, KEY, BODY).await;
    for _ in 0..READY_ATTEMPTS {
        if answer.body["title"] != "endpoint_failed" || answer.body["outcome"] != "not_run" {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
        answer = confirm(caller, entry, KEY, BODY).await;
    }
    answer
}

#[test]
fn killed_after_service_ran() {
    let environment = Environment::new();
    let killed = environment.agent();
    let entry = environment.entry();
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, callers, "warm", "x").await;
        environment.service.withhold_responses(1);
        let first = ntex::rt::spawn(async move {
            let caller = Caller::new().await;
            confirm(&caller, callers, KEY, BODY).await
        });
        wait_until(|| environment.service.executions(KEY) == 1).await;
        drop(killed);
        let appends_before = environment.log.appends();
        let _successor = environment.agent();
        let repeated =
            retry_until_settled(&caller, callers, &environment.log, appends_before).await;
        assert_eq!(repeated.body["outcome"], "unknown", "{repeated:?}");
        let first = first.await.unwrap();
        assert_eq!(first.body["outcome"], "unknown", "{first:?}");
        assert_eq!(environment.service.executions(KEY), 1);
    });
}

#[test]
fn killed_before_claim_is_stored() {
    let environment = Environment::new();
    let killed = environment.agent();
    let entry = environment.entry();
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        confirm(&caller, callers, "warm", "x").await;
        tokio::time::sleep(Duration::from_millis(600)).await;
        environment.log.set_outage(Outage::Silent);
        let first = ntex::rt::spawn(async move {
            let caller = Caller::new().await;
            confirm(&caller, callers, KEY, BODY).await
        });
        tokio::time::sleep(Duration::from_millis(500)).await;
        drop(killed);
        environment.log.set_outage(Outage::None);
        assert_eq!(environment.service.executions(KEY), 0);
        let appends_before = environment.log.appends();
        let _successor = environment.agent();
        let repeated =
            retry_until_settled(&caller, callers, &environment.log, appends_before).await;
        assert_eq!(repeated.status, 200, "{repeated:?}");
        let _ = first.await.unwrap();
        assert_eq!(environment.service.executions(KEY), 1);
    });
}

#[test]
fn killed_after_outcome_is_stored() {
    let environment = Environment::new();
    let killed = environment.agent();
    let entry = environment.entry();
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let first = confirm(&caller, callers, KEY, BODY).await;
        assert_eq!(first.status, 200, "{first:?}");
        // The outcome is written to the log before the next claim.
        let next = confirm(&caller, callers, "sign-off-2", BODY).await;
        assert_eq!(next.status, 200, "{next:?}");
        drop(killed);
        let appends_before = environment.log.appends();
        let _successor = environment.agent();
        let repeated =
            retry_until_settled(&caller, callers, &environment.log, appends_before).await;
        assert_eq!(
            (repeated.status, repeated.replayed),
            (200, true),
            "{repeated:?}"
        );
        assert_eq!(repeated.body, first.body);
        assert_eq!(environment.service.executions(KEY), 1);
    });
}
