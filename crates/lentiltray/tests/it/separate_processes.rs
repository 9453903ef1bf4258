//! Entries and agents run as separate processes, and each is killed mid-stream.

use lentil_fakes::{EngineOptions, FakeEngine, FakeHostList, FakeLog, HostListOptions, LogOptions};
use lentil_site::MODEL;

use crate::caller::{Caller, block_on, completion, read_events, texts};
use crate::daemon_process::DaemonProcess;

/// The fakes that run in the test process; daemon processes connect to them.
struct Environment {
    hosts: FakeHostList,
    log: FakeLog,
    engine: FakeEngine,
}

impl Environment {
    fn new() -> Self {
        Self {
            hosts: FakeHostList::start(HostListOptions::default()).unwrap(),
            log: FakeLog::start(LogOptions::default()).unwrap(),
            engine: FakeEngine::start(EngineOptions::default()).unwrap(),
        }
    }

    fn agent(&self) -> DaemonProcess {
        let rest = format!(
            "agent:\n  kind: engine\n  models: [{MODEL}]\n  endpoint_url: http://{}\n",
            self.engine.address()
        );
        self.start_process("agent", "engine-0", &rest)
    }

    fn entry(&self, name: &str) -> DaemonProcess {
        let rest = "listen:\n  callers: 127.0.0.1:0\nsecurity:\n  anonymous_callers: true\n\
                    entry:\n  workers: 2\n";
        self.start_process("entry", name, rest)
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
        let file = format!("{name}-{}", self.engine.address().port());
        DaemonProcess::start(role, &file, &text)
    }
}

#[test]
fn entry_and_agent_serve_stream() {
    let environment = Environment::new();
    let expected = environment.engine.expected_tokens("a report", Some(12));
    let agent = environment.agent();
    let entry = environment.entry("entry-0");
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let mut response = caller
            .complete(callers, &completion("a report", 12, true))
            .await;
        let events = read_events(&mut response, usize::MAX).await;
        assert_eq!(texts(&events), expected);
    });
    for process in [&agent, &entry] {
        assert!(!process.holds_io_uring());
    }
    assert_eq!(entry.stop(), Some(0));
    assert_eq!(agent.stop(), Some(0));
}

#[test]
fn entry_killed() {
    let environment = Environment::new();
    let expected = environment.engine.expected_tokens("a report", Some(150));
    let _agent = environment.agent();
    let killed = environment.entry("entry-0");
    let entry = environment.entry("entry-1");
    let (first, second) = (killed.address("callers"), entry.address("callers"));
    block_on(async move {
        let caller = Caller::new().await;
        caller.complete(second, &completion("warm", 1, false)).await;
        let mut response = caller
            .complete(first, &completion("a report", 150, true))
            .await;
        let mut events = read_events(&mut response, 20).await;
        drop(killed);
        events.extend(read_events(&mut response, usize::MAX).await);
        events.retain(|event| event.id.is_some());
        assert!(events.len() < expected.len());
        let last = events.last().unwrap().id.clone().unwrap();
        let mut rest = caller.resume(second, &last).await;
        events.extend(read_events(&mut rest, usize::MAX).await);
        assert_eq!(texts(&events), expected);
    });
}

#[test]
fn agent_killed() {
    let environment = Environment::new();
    let expected = environment.engine.expected_tokens("a report", Some(400));
    let killed = environment.agent();
    let entry = environment.entry("entry-0");
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let mut response = caller
            .complete(callers, &completion("a report", 400, true))
            .await;
        let mut events = read_events(&mut response, 20).await;
        drop(killed);
        events.extend(read_events(&mut response, usize::MAX).await);
        let received = texts(&events);
        assert_eq!(received, expected[..received.len()]);
        let problem: serde_json::Value =
            serde_json::from_str(&events.last().unwrap().data).unwrap();
        assert_ne!(problem["outcome"], "not_run");
    });
}
