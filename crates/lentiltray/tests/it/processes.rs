//! The daemon's programs as processes of their own.

use lentil_fakes::{EngineOptions, FakeEngine, FakeHostList, FakeLog, HostListOptions, LogOptions};
use lentil_site::MODEL;

use crate::caller::{Caller, block_on, completion, read_events, texts};
use crate::process::Program;

/// Stand-ins in the test's process, the daemon's programs outside it.
struct Fleet {
    hosts: FakeHostList,
    log: FakeLog,
    engine: FakeEngine,
}

impl Fleet {
    fn new() -> Self {
        Self {
            hosts: FakeHostList::start(HostListOptions::default()).unwrap(),
            log: FakeLog::start(LogOptions::default()).unwrap(),
            engine: FakeEngine::start(EngineOptions::default()).unwrap(),
        }
    }

    fn agent(&self) -> Program {
        let rest = format!(
            "agent:\n  kind: engine\n  models: [{MODEL}]\n  endpoint_url: http://{}\n",
            self.engine.address()
        );
        self.program("agent", "engine-0", &rest)
    }

    fn entry(&self, name: &str) -> Program {
        let rest = "listen:\n  callers: 127.0.0.1:0\nsecurity:\n  anonymous_callers: true\n\
                    entry:\n  workers: 2\n";
        self.program("entry", name, rest)
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
        let file = format!("{name}-{}", self.engine.address().port());
        Program::start(role, &file, &text)
    }
}

#[test]
fn separate_programs() {
    let fleet = Fleet::new();
    let expected = fleet.engine.expected_tokens("a report", Some(12));
    let agent = fleet.agent();
    let entry = fleet.entry("entry-0");
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let mut response = caller
            .complete(callers, &completion("a report", 12, true))
            .await;
        let events = read_events(&mut response, usize::MAX).await;
        assert_eq!(texts(&events), expected);
    });
    for program in [&agent, &entry] {
        assert!(!program.holds_io_uring());
    }
    assert_eq!(entry.stop(), Some(0));
    assert_eq!(agent.stop(), Some(0));
}

#[test]
fn entry_killed() {
    let fleet = Fleet::new();
    let expected = fleet.engine.expected_tokens("a report", Some(150));
    let _agent = fleet.agent();
    let doomed = fleet.entry("entry-0");
    let entry = fleet.entry("entry-1");
    let (first, second) = (doomed.address("callers"), entry.address("callers"));
    block_on(async move {
        let caller = Caller::new().await;
        caller.complete(second, &completion("warm", 1, false)).await;
        let mut response = caller
            .complete(first, &completion("a report", 150, true))
            .await;
        let mut events = read_events(&mut response, 20).await;
        drop(doomed);
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
    let fleet = Fleet::new();
    let expected = fleet.engine.expected_tokens("a report", Some(400));
    let doomed = fleet.agent();
    let entry = fleet.entry("entry-0");
    let callers = entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let mut response = caller
            .complete(callers, &completion("a report", 400, true))
            .await;
        let mut events = read_events(&mut response, 20).await;
        drop(doomed);
        events.extend(read_events(&mut response, usize::MAX).await);
        let got = texts(&events);
        assert_eq!(got, expected[..got.len()]);
        let problem: serde_json::Value =
            serde_json::from_str(&events.last().unwrap().data).unwrap();
        assert_ne!(problem["outcome"], "not_run");
    });
}
