//! After SIGTERM running streams may finish. A second SIGTERM, or the end of the grace
//! period, ends the process at once.

use crate::caller::{Caller, block_on, completion, read_events, texts};
use crate::daemon_process::{ANONYMOUS_CALLERS, DaemonPair, DaemonProcess};

/// Exit code of a process that exits before its work has finished.
const EXIT_UNFINISHED_WORK: i32 = 3;

#[test]
fn running_streams_finish() {
    let mut daemons = DaemonPair::start("streams-finish", ANONYMOUS_CALLERS);
    let callers = daemons.entry.address("callers");
    let expected = daemons.engine.expected_tokens("a report", Some(150));
    block_on(async move {
        let caller = Caller::new().await;
        let mut response = caller
            .complete(callers, &completion("a report", 150, true))
            .await;
        let mut events = read_events(&mut response, 5).await;
        daemons.entry.terminate();
        daemons.entry.wait_for_line("entry is stopping");
        daemons.agent.terminate();
        daemons.agent.wait_for_line("agent is stopping");
        events.extend(read_events(&mut response, usize::MAX).await);
        assert_eq!(texts(&events), expected);
        drop(response);
        assert_eq!(daemons.entry.wait().code(), Some(0));
        assert_eq!(daemons.agent.wait().code(), Some(0));
    });
}

#[test]
fn second_signal_exits_at_once() {
    let mut daemons = DaemonPair::start("second-signal", ANONYMOUS_CALLERS);
    let callers = daemons.entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("tokens=1000000", 1_000_000, true);
        let mut response = caller.complete(callers, &body).await;
        read_events(&mut response, 5).await;
        daemons.entry.terminate();
        daemons.entry.wait_for_line("entry is stopping");
        daemons.entry.terminate();
        assert_eq!(daemons.entry.wait().code(), Some(EXIT_UNFINISHED_WORK));
    });
}

#[test]
fn exits_when_grace_period_ends() {
    let extra = format!("{ANONYMOUS_CALLERS}stop: {{grace_ms: 300}}\n");
    let mut daemons = DaemonPair::start("grace-time", &extra);
    let callers = daemons.entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("tokens=1000000", 1_000_000, true);
        let mut response = caller.complete(callers, &body).await;
        read_events(&mut response, 5).await;
        daemons.entry.terminate();
        daemons.entry.wait_for_line("grace time");
        assert_eq!(daemons.entry.wait().code(), Some(EXIT_UNFINISHED_WORK));
    });
}

/// SIGHUP, the signal to reload settings, may arrive while a process is starting.
#[test]
fn sighup_during_startup() {
    let gateway = "name: at-start\nzone: z\ngateway:\n  callers: 127.0.0.1:0\n  \
        readiness: 127.0.0.1:0\n  metrics: 127.0.0.1:0\n  store: 127.0.0.1:1\n  \
        observer_port: 1\n";
    let observer = "name: at-start\nzone: z\nobserver:\n  listen: 127.0.0.1:0\n  \
        engine: 127.0.0.1:1\n  metrics: 127.0.0.1:0\n";
    let gateway = DaemonProcess::start_with_hangup("gateway", "hangup-gateway", gateway);
    let observer = DaemonProcess::start_with_hangup("observer", "hangup-observer", observer);
    assert_eq!(gateway.stop(), Some(0));
    assert_eq!(observer.stop(), Some(0));
}
