//! SIGTERM lets running streams finish; a second one, or the end of the grace
//! time, does not.

use crate::caller::{Caller, block_on, completion, read_events, texts};
use crate::process::{ANONYMOUS, Program, Programs};

/// Exit code of a process ended before its work had finished.
const ENDED_EARLY: i32 = 3;

#[test]
fn streams_finish() {
    let mut programs = Programs::start("streams-finish", ANONYMOUS);
    let callers = programs.entry.address("callers");
    let expected = programs.engine.expected_tokens("a report", Some(150));
    block_on(async move {
        let caller = Caller::new().await;
        let mut response = caller
            .complete(callers, &completion("a report", 150, true))
            .await;
        let mut events = read_events(&mut response, 5).await;
        programs.entry.terminate();
        programs.entry.wait_for_line("entry stops");
        programs.agent.terminate();
        programs.agent.wait_for_line("agent stops");
        events.extend(read_events(&mut response, usize::MAX).await);
        assert_eq!(texts(&events), expected);
        drop(response);
        assert_eq!(programs.entry.wait().code(), Some(0));
        assert_eq!(programs.agent.wait().code(), Some(0));
    });
}

#[test]
fn second_signal_ends() {
    let mut programs = Programs::start("second-signal", ANONYMOUS);
    let callers = programs.entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("tokens=1000000", 1_000_000, true);
        let mut response = caller.complete(callers, &body).await;
        read_events(&mut response, 5).await;
        programs.entry.terminate();
        programs.entry.wait_for_line("entry stops");
        programs.entry.terminate();
        assert_eq!(programs.entry.wait().code(), Some(ENDED_EARLY));
    });
}

#[test]
fn grace_time_ends() {
    let extra = format!("{ANONYMOUS}stop: {{grace_ms: 300}}\n");
    let mut programs = Programs::start("grace-time", &extra);
    let callers = programs.entry.address("callers");
    block_on(async move {
        let caller = Caller::new().await;
        let body = completion("tokens=1000000", 1_000_000, true);
        let mut response = caller.complete(callers, &body).await;
        read_events(&mut response, 5).await;
        programs.entry.terminate();
        programs.entry.wait_for_line("grace time");
        assert_eq!(programs.entry.wait().code(), Some(ENDED_EARLY));
    });
}

/// Settings may change at any moment, also while a process starts.
#[test]
fn hangup_at_start() {
    let gateway = "name: at-start\nzone: z\ngateway:\n  callers: 127.0.0.1:0\n  \
        readiness: 127.0.0.1:0\n  metrics: 127.0.0.1:0\n  store: 127.0.0.1:1\n  \
        observer_port: 1\n";
    let observer = "name: at-start\nzone: z\nobserver:\n  listen: 127.0.0.1:0\n  \
        engine: 127.0.0.1:1\n  metrics: 127.0.0.1:0\n";
    let gateway = Program::start_hung_up("gateway", "hangup-gateway", gateway);
    let observer = Program::start_hung_up("observer", "hangup-observer", observer);
    assert_eq!(gateway.stop(), Some(0));
    assert_eq!(observer.stop(), Some(0));
}
