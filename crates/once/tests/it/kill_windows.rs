//! Kills the executor at one point of a call's processing and counts the service's executions.

use lentil_faults::{CallReport, CallSimulation, FaultPlan, Guard, KillPoint, Scenario};

/// Runs one caller that repeats one key; the first agent is killed in `window`.
fn run_single_caller(window: KillPoint, inline_max_bytes: usize) -> CallReport {
    run(window, inline_max_bytes, 1)
}

/// Like [`run_single_caller`], with further callers that arrive after the first agent was killed.
fn run_many_callers(window: KillPoint, inline_max_bytes: usize) -> CallReport {
    run(window, inline_max_bytes, 12)
}

fn run(window: KillPoint, inline_max_bytes: usize, callers_per_key: usize) -> CallReport {
    let mut scene = Scenario {
        keys: 1,
        callers_per_key,
        conflicts_one_in: 0,
        first_endpoint: Some(0),
        retries_max: 4,
        ..Scenario::default()
    };
    scene.limits.inline_max_bytes = inline_max_bytes;
    let plan = FaultPlan {
        faults: Vec::new(),
        kill_point: Some(window),
    };
    let report = CallSimulation::new(11, scene, plan, Guard::On).run();
    assert!(!report.violated(), "{window:?}: {report:?}");
    report
}

#[test]
fn before_append() {
    let report = run_single_caller(KillPoint::BeforeClaimAppend, 1024);
    assert_eq!((report.executions, report.answers), (1, 1));
}

#[test]
fn claim_on_the_way() {
    let report = run_single_caller(KillPoint::ClaimStoredBeforeRestart, 1024);
    assert_eq!((report.executions, report.answers), (0, 0));
    assert_eq!(report.unknown, report.calls);
}

#[test]
fn claim_behind_successor() {
    let report = run_single_caller(KillPoint::ClaimStoredAfterRestart, 1024);
    assert_eq!((report.executions, report.answers), (1, 1));
}

#[test]
fn before_send() {
    let report = run_single_caller(KillPoint::BeforeSend, 1024);
    assert_eq!((report.executions, report.answers), (0, 0));
    assert_eq!(report.unknown, report.calls);
}

#[test]
fn before_answer() {
    let report = run_single_caller(KillPoint::BeforeAnswer, 1024);
    assert_eq!((report.executions, report.answers), (1, 0));
    assert_eq!(report.unknown, report.calls);
}

#[test]
fn before_record() {
    let report = run_many_callers(KillPoint::BeforeOutcomeRecord, 1024);
    assert_eq!(report.executions, 1);
    assert!(report.answers >= 1 && report.unknown >= 1, "{report:?}");
}

#[test]
fn after_record() {
    let report = run_many_callers(KillPoint::AfterOutcomeRecord, 1024);
    assert_eq!((report.executions, report.answers), (1, report.calls));
}

#[test]
fn after_record_without_body() {
    let report = run_many_callers(KillPoint::AfterOutcomeRecord, 0);
    assert_eq!(report.executions, 1);
    assert!(report.answers >= 1 && report.ran >= 1, "{report:?}");
    assert_eq!(report.unknown, 0, "{report:?}");
}

#[test]
fn after_release() {
    let report = run_single_caller(KillPoint::AfterRelease, 1024);
    assert_eq!((report.executions, report.answers), (1, 1));
}
